/**
 * The slot time that aged work may take before higher classes. Made for a queue that higher classes
 * fill without end. The harm prevented is twofold: that lower classes starve, and that ageing turns
 * the order around and critical work misses its targets. Credit grows with slot time and is spent by
 * expected service time, so that aged work gets its share however long each piece is, and no more.
 */
export type AgingCredit = {
  /** Whether aged work may start now. */
  isLeft: (nowMs: number) => boolean;
  /** Spends the expected time of one piece of aged work; this may overdraw once. */
  spend: (expectedMs: number, nowMs: number) => void;
};

/** One twentieth: starved work moves, and the higher classes lose at most that much. */
const AGED_SHARE = 0.05;
/** Credit of an idle hour must not become a flood: a minute's worth is kept. */
const KEPT_MS = 60_000;

/** Credit for a queue of `slotCount()` slots. */
export function createAgingCredit(slotCount: () => number): AgingCredit {
  let creditMs = 0;
  let countedAtMs: number | null = null;

  function refill(nowMs: number): void {
    const sinceMs = nowMs - (countedAtMs ?? nowMs);
    countedAtMs = nowMs;
    const mostMs = AGED_SHARE * slotCount() * KEPT_MS;
    creditMs = Math.min(mostMs, creditMs + AGED_SHARE * slotCount() * sinceMs);
  }

  return {
    isLeft: (nowMs) => {
      refill(nowMs);
      return creditMs >= 0;
    },
    spend: (expectedMs, nowMs) => {
      refill(nowMs);
      creditMs -= expectedMs;
    },
  };
}
