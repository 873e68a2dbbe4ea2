/**
 * The slot time that aged work may take before higher classes. Made for a queue that higher classes
 * fill without end. The harm prevented is twofold: that lower classes starve, and that ageing turns
 * the order around and critical work misses its targets. Credit grows with slot time and is spent by
 * expected service time, so that aged work gets its share however long each piece is, and no more.
 */
export type AgingCredit = {
  /** Spends the expected time of one piece of aged work, or says that there is not enough credit. */
  spend: (expectedMs: number, nowMs: number) => boolean;
};

/** One twentieth: starved work moves, and the higher classes lose at most that much. */
const AGED_SHARE = 0.05;
/** Credit of an idle hour must not become a flood: a minute's worth is kept. */
const KEPT_MS = 60_000;

/** Credit for a queue of `slotCount()` slots. Spending may overdraw by one piece of work. */
export function createAgingCredit(slotCount: () => number): AgingCredit {
  let creditMs = 0;
  let countedAtMs: number | null = null;
  return {
    spend: (expectedMs, nowMs) => {
      const sinceMs = nowMs - (countedAtMs ?? nowMs);
      countedAtMs = nowMs;
      const mostMs = AGED_SHARE * slotCount() * KEPT_MS;
      creditMs = Math.min(mostMs, creditMs + AGED_SHARE * slotCount() * sinceMs);
      if (creditMs < 0) return false;
      creditMs -= expectedMs;
      return true;
    },
  };
}
