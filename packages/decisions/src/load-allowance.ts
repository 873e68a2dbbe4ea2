/**
 * Limits how often one process orders loads from the weight store. The store's limit is shared by processes that do not
 * count each other's loads. Each process raises its rate slowly and halves it when the store refuses a load, so that
 * together they converge to the limit. Otherwise refused loads would be repeated at once, and models without any copy
 * would wait behind copies that only add capacity.
 */
/** `reachability`: the model has no copy yet. `demand`: it needs further copies. */
export type LoadPurpose = 'reachability' | 'demand';

export type LoadAllowance = {
  /** Acquires permission to order a load now; false if there is none. */
  tryAcquire: (purpose: LoadPurpose, nowMs: number) => boolean;
  /** The store started the load. */
  recordStarted: () => void;
  /** The store refused the load for now. */
  recordRefused: (nowMs: number) => void;
  recordFinished: () => void;
};

export type LoadAllowanceLimits = { loadsPerSecond: number; concurrentLoads: number };

const INCREASE_PER_LOAD = 0.05;
const DECREASE_FACTOR = 0.5;
/** Part of the rate that is kept, however often the store refuses, so that loads are still tried. */
const MIN_RATE_SHARE = 0.05;
/**
 * Loads for demand use at most this part of the store's concurrent loads; the rest is reserved for models without any
 * copy.
 */
const DEMAND_CONCURRENCY_SHARE = 0.75;
/** Loads for demand leave one load that a model without any copy can use at once. */
const DEMAND_RESERVE = 1;

export function createLoadAllowance(limits: LoadAllowanceLimits): LoadAllowance {
  const minRate = MIN_RATE_SHARE * limits.loadsPerSecond;
  let ratePerSecond = limits.loadsPerSecond;
  let loads = Math.max(1, limits.loadsPerSecond);
  let countedAtMs: number | null = null;
  let runningCount = 0;

  function refill(nowMs: number): void {
    const sinceMs = Math.max(0, nowMs - (countedAtMs ?? nowMs));
    countedAtMs = nowMs;
    const maxLoads = Math.max(1 + DEMAND_RESERVE, limits.loadsPerSecond);
    loads = Math.min(maxLoads, loads + (sinceMs / 1_000) * ratePerSecond);
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
    tryAcquire: (purpose, nowMs) => {
      refill(nowMs);
      const reserve = reserveFor(purpose);
      if (loads < 1 + reserve.loads || runningCount >= reserve.concurrency) return false;
      loads -= 1;
      return true;
    },
    recordStarted: () => {
      runningCount += 1;
      ratePerSecond = Math.min(limits.loadsPerSecond, ratePerSecond + INCREASE_PER_LOAD);
    },
    recordRefused: (nowMs) => {
      refill(nowMs);
      ratePerSecond = Math.max(minRate, ratePerSecond * DECREASE_FACTOR);
      loads = 0;
    },
    recordFinished: () => {
      runningCount = Math.max(0, runningCount - 1);
    },
  };
}
