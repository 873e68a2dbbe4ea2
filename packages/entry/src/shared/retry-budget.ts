/**
 * How many retries this entry may make. Load: a fault or saturation that makes many requests fail at
 * the same time. Harm without a limit: each failed request comes back several times, and retries keep
 * an overload alive that would pass by itself. Retries are therefore a share of recent successes.
 */

export type RetryBudget = {
  noteSuccess: (nowMs: number) => void;
  /** Takes one retry from the budget; false when there is none left. */
  tryTake: (nowMs: number) => boolean;
};

/** One retry for five answers: an overload grows by a fifth at most. */
const SHARE_OF_SUCCESSES = 0.2;
/** What an idle entry may still retry: enough for a lost agent, too little to hurt one. */
const REFILL_PER_SECOND = 10;
const MAX_RETRIES = 100;

export function createRetryBudget(startedAtMs: number): RetryBudget {
  let retries = MAX_RETRIES / 2;
  let filledAtMs = startedAtMs;

  function add(count: number): void {
    retries = Math.min(MAX_RETRIES, retries + count);
  }

  function refill(nowMs: number): void {
    add(((nowMs - filledAtMs) / 1_000) * REFILL_PER_SECOND);
    filledAtMs = nowMs;
  }

  return {
    noteSuccess: (nowMs) => {
      refill(nowMs);
      add(SHARE_OF_SUCCESSES);
    },
    tryTake: (nowMs) => {
      refill(nowMs);
      if (retries < 1) return false;
      retries -= 1;
      return true;
    },
  };
}
