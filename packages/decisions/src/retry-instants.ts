/**
 * Decides when a refused caller should retry. If all callers of a burst got the same time, they would all come back at
 * once and be refused again. Each refusal therefore reserves the time that its work would have taken, so that callers
 * return at the rate at which slots become free.
 */
export type RetryInstants = {
  /** `earliestMs` is when the request would be admitted if it were the only one. */
  next: (earliestMs: number, expectedMs: number, slotCount: number, nowMs: number) => number;
};

/** Shorter delays are within the variation of the platform's clocks and the network. */
const MIN_DELAY_MS = 100;
/** Beyond this time the estimate is less reliable than a retry. */
const MAX_DELAY_MS = 300_000;

export function createRetryInstants(): RetryInstants {
  let nextAvailableMs = 0;
  return {
    next: (earliestMs, expectedMs, slotCount, nowMs) => {
      const soonestMs = Math.max(earliestMs, nowMs + MIN_DELAY_MS, nextAvailableMs);
      const retryAtMs = Math.min(soonestMs, nowMs + MAX_DELAY_MS);
      nextAvailableMs = retryAtMs + expectedMs / Math.max(1, slotCount);
      return retryAtMs;
    },
  };
}
