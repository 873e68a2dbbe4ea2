/**
 * Limits the slot time that aged work may take before work of higher classes. In a queue that higher classes keep full,
 * lower classes would starve without aging; with unlimited aging the order would be reversed, and critical work would
 * miss its targets. Credit accrues with slot time and is spent by expected service time, so aged work gets its share,
 * and no more, however long each item takes.
 */
export type AgingCredit = {
  /** Whether aged work may start now. */
  isAvailable: (nowMs: number) => boolean;
  /** Spends the expected time of one item of aged work; the last item may exceed the credit. */
  spend: (expectedMs: number, nowMs: number) => void;
};

/** One twentieth: aged work makes progress, and higher classes lose at most this part. */
const AGED_SHARE = 0.05;
/** Credit of at most a minute is kept, so that aged work cannot take over the queue after an idle hour. */
const CREDIT_CAP_MS = 60_000;

/** Creates the credit of a queue with `slotCount()` slots. */
export function createAgingCredit(slotCount: () => number): AgingCredit {
  let creditMs = 0;
  let countedAtMs: number | null = null;

  function refill(nowMs: number): void {
    const sinceMs = nowMs - (countedAtMs ?? nowMs);
    countedAtMs = nowMs;
    const maxMs = AGED_SHARE * slotCount() * CREDIT_CAP_MS;
    creditMs = Math.min(maxMs, creditMs + AGED_SHARE * slotCount() * sinceMs);
  }

  return {
    isAvailable: (nowMs) => {
      refill(nowMs);
      return creditMs >= 0;
    },
    spend: (expectedMs, nowMs) => {
      refill(nowMs);
      creditMs -= expectedMs;
    },
  };
}
