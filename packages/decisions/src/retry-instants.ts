/**
 * When a refused caller should ask again. Made for a crowd that is refused within one moment: were all
 * told the same instant, they would all come back in it and be refused again. Each refusal takes the
 * time that its work would have taken, so that callers come back at the pace of the slots.
 */
export type RetryInstants = {
  /** `earliestMs` is the instant at which this one request alone would be admitted. */
  next: (earliestMs: number, expectedMs: number, slotCount: number, nowMs: number) => number;
};

/** The platform's clocks and the network blur anything shorter. */
const LEAST_DELAY_MS = 100;
/** A caller that is told more than this is better off to ask again than to trust the estimate. */
const MOST_DELAY_MS = 300_000;

export function createRetryInstants(): RetryInstants {
  let promisedMs = 0;
  return {
    next: (earliestMs, expectedMs, slotCount, nowMs) => {
      const soonestMs = Math.max(earliestMs, nowMs + LEAST_DELAY_MS, promisedMs);
      const retryAtMs = Math.min(soonestMs, nowMs + MOST_DELAY_MS);
      promisedMs = retryAtMs + expectedMs / Math.max(1, slotCount);
      return retryAtMs;
    },
  };
}
