/**
 * How often one process may ask the weight store to load. Made for a store whose limit is shared by
 * processes that do not count for each other: each grows its rate slowly and halves it when the store
 * refuses, so that together they find the limit. Without it refused loads are tried again at once, and
 * models that nobody can reach wait behind copies that only make things faster.
 */
export type LoadPurpose = 'reachability' | 'demand';

export type LoadAllowance = {
  /** Whether a load may be asked for now; it counts as asked for. */
  tryTake: (purpose: LoadPurpose, nowMs: number) => boolean;
  /** The store began the load. */
  accepted: () => void;
  /** The store refused it for now. */
  refused: (nowMs: number) => void;
  finished: () => void;
};

export type LoadAllowanceLimits = { loadsPerSecond: number; concurrentLoads: number };

const INCREASE_PER_LOAD = 0.05;
const DECREASE_FACTOR = 0.5;
/** However often the store refuses, one load in this many seconds' worth of its rate is tried. */
const LEAST_RATE_SHARE = 0.05;
/** Loads for demand leave this part of the store's concurrency to loads for reachability. */
const DEMAND_CONCURRENCY_SHARE = 0.75;
/** Loads for demand leave one load to be taken at once for reachability. */
const DEMAND_RESERVE = 1;

export function createLoadAllowance(limits: LoadAllowanceLimits): LoadAllowance {
  const leastRate = LEAST_RATE_SHARE * limits.loadsPerSecond;
  let ratePerSecond = limits.loadsPerSecond;
  let loads = Math.max(1, limits.loadsPerSecond);
  let countedAtMs: number | null = null;
  let runningCount = 0;

  function refill(nowMs: number): void {
    const sinceMs = Math.max(0, nowMs - (countedAtMs ?? nowMs));
    countedAtMs = nowMs;
    const most = Math.max(1 + DEMAND_RESERVE, limits.loadsPerSecond);
    loads = Math.min(most, loads + (sinceMs / 1_000) * ratePerSecond);
  }

  function reserveFor(purpose: LoadPurpose): { loads: number; concurrency: number } {
    switch (purpose) {
      case 'reachability':
        return { loads: 0, concurrency: limits.concurrentLoads };
      case 'demand':
        return {
          loads: DEMAND_RESERVE,
          concurrency: Math.max(1, DEMAND_CONCURRENCY_SHARE * limits.concurrentLoads),
        };
    }
  }

  return {
    tryTake: (purpose, nowMs) => {
      refill(nowMs);
      const reserve = reserveFor(purpose);
      if (loads < 1 + reserve.loads || runningCount >= reserve.concurrency) return false;
      loads -= 1;
      return true;
    },
    accepted: () => {
      runningCount += 1;
      ratePerSecond = Math.min(limits.loadsPerSecond, ratePerSecond + INCREASE_PER_LOAD);
    },
    refused: (nowMs) => {
      refill(nowMs);
      ratePerSecond = Math.max(leastRate, ratePerSecond * DECREASE_FACTOR);
      loads = 0;
    },
    finished: () => {
      runningCount = Math.max(0, runningCount - 1);
    },
  };
}
