/**
 * Limits retries to a share of recent successes. If upstreams fail because of overload and every failure is retried,
 * the load doubles just when there is no capacity for it. While requests succeed, the budget is full, so all requests
 * of a lost upstream are retried.
 */
export type RetryBudget = {
  recordSuccess: () => void;
  /** Acquires one retry from the budget; false if there is none. */
  tryAcquire: (nowMs: number) => boolean;
};

/** One retry for ten successes adds at most a tenth to the load. */
const RETRIES_PER_SUCCESS = 0.1;
/** Enough for the requests of one entry in flight on a lost upstream. */
const MAX_RETRIES = 100;
/** A service with few requests has few successes; it still gets one retry in this time. */
const RETRY_REFILL_MS = 10_000;
const INITIAL_RETRIES = 10;

export function createRetryBudget(): RetryBudget {
  let retries = INITIAL_RETRIES;
  let countedAtMs: number | null = null;
  return {
    recordSuccess: () => {
      retries = Math.min(MAX_RETRIES, retries + RETRIES_PER_SUCCESS);
    },
    tryAcquire: (nowMs) => {
      const sinceMs = nowMs - (countedAtMs ?? nowMs);
      countedAtMs = nowMs;
      if (retries < 1) retries = Math.min(1, retries + sinceMs / RETRY_REFILL_MS);
      if (retries < 1) return false;
      retries -= 1;
      return true;
    },
  };
}
