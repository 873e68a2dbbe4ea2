/**
 * How many retries are allowed: a share of recent successes. Made for upstreams that fail under
 * overload: with every failure tried again the load doubles just when there is no room for it. While
 * all goes well the budget is full and a lost upstream's requests are all tried again.
 */
export type RetryBudget = {
  succeeded: () => void;
  /** Takes one retry from the budget, or says that there is none. */
  take: (nowMs: number) => boolean;
};

/** One retry for ten successes adds at most a tenth to the load. */
const RETRIES_PER_SUCCESS = 0.1;
/** Enough for the in-flight requests of one entry on a lost upstream. */
const MOST_RETRIES = 100;
/** A quiet service has few successes; it gets one retry in this time all the same. */
const ONE_RETRY_IN_MS = 10_000;
const INITIAL_RETRIES = 10;

export function createRetryBudget(): RetryBudget {
  let retries = INITIAL_RETRIES;
  let countedAtMs: number | null = null;
  return {
    succeeded: () => {
      retries = Math.min(MOST_RETRIES, retries + RETRIES_PER_SUCCESS);
    },
    take: (nowMs) => {
      const sinceMs = nowMs - (countedAtMs ?? nowMs);
      countedAtMs = nowMs;
      if (retries < 1) retries = Math.min(1, retries + sinceMs / ONE_RETRY_IN_MS);
      if (retries < 1) return false;
      retries -= 1;
      return true;
    },
  };
}
