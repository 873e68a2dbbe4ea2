/**
 * How many loads from the weight store may begin. The store counts them over a sliding window, over all
 * upstreams; loads beyond it break the operators' limit, and slow every load that runs.
 */
export type StoreLoads = {
  left: (ratePerSecond: number, nowMs: number) => number;
  began: (nowMs: number) => void;
  /** An order without an answer may still begin a load, at any time until `untilMs`. */
  uncertain: (untilMs: number) => void;
  /** A new holder does not know what its predecessor ordered. */
  assumeUsed: (nowMs: number) => void;
};

export type StoreLoadLimits = { windowMs: number; overage: number };

const MS_PER_SECOND = 1_000;

export function createStoreLoads(limits: StoreLoadLimits): StoreLoads {
  let beganMs: number[] = [];
  let uncertainUntilMs: number[] = [];
  let usedUntilMs = 0;
  return {
    left: (ratePerSecond, nowMs) => {
      if (nowMs < usedUntilMs) return 0;
      beganMs = beganMs.filter((atMs) => atMs > nowMs - limits.windowMs);
      uncertainUntilMs = uncertainUntilMs.filter((untilMs) => untilMs > nowMs);
      const most = Math.floor((ratePerSecond * limits.windowMs * limits.overage) / MS_PER_SECOND);
      return Math.max(0, most - beganMs.length - uncertainUntilMs.length);
    },
    began: (nowMs) => {
      beganMs.push(nowMs);
    },
    uncertain: (untilMs) => {
      uncertainUntilMs.push(untilMs);
    },
    assumeUsed: (nowMs) => {
      usedUntilMs = nowMs + limits.windowMs;
    },
  };
}
