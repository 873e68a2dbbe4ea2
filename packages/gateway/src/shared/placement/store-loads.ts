/**
 * Limits how many loads from the weight store may start. The store counts the loads of all upstreams in a sliding
 * window; more loads than allowed break the operators' limit and slow down every running load.
 */
export type StoreLoads = {
  remaining: (ratePerSecond: number, nowMs: number) => number;
  recordStart: (nowMs: number) => void;
  /** An order that was not answered may still start a load at any time until `untilMs`. */
  recordUnanswered: (untilMs: number) => void;
  /** For a new holder, which does not know the orders of its predecessor. */
  assumeUsed: (nowMs: number) => void;
};

export type StoreLoadLimits = { windowMs: number; overage: number };

const MS_PER_SECOND = 1_000;

export function createStoreLoads(limits: StoreLoadLimits): StoreLoads {
  let startedMs: number[] = [];
  let uncertainUntilMs: number[] = [];
  let usedUntilMs = 0;
  return {
    remaining: (ratePerSecond, nowMs) => {
      if (nowMs < usedUntilMs) return 0;
      startedMs = startedMs.filter((atMs) => atMs > nowMs - limits.windowMs);
      uncertainUntilMs = uncertainUntilMs.filter((untilMs) => untilMs > nowMs);
      const most = Math.floor((ratePerSecond * limits.windowMs * limits.overage) / MS_PER_SECOND);
      return Math.max(0, most - startedMs.length - uncertainUntilMs.length);
    },
    recordStart: (nowMs) => {
      startedMs.push(nowMs);
    },
    recordUnanswered: (untilMs) => {
      uncertainUntilMs.push(untilMs);
    },
    assumeUsed: (nowMs) => {
      usedUntilMs = nowMs + limits.windowMs;
    },
  };
}
