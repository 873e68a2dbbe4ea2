/**
 * Limits how many slots long work may use. If long work held every slot, the next short request would wait for a long
 * one to end, whatever its class, and would miss a short deadline. With part of the slots kept free of long work, slots
 * become free at the rate of short work.
 */
export type LongWorkDetector = {
  /** Updates the baseline of expected times. */
  observe: (expectedMs: number) => void;
  isLong: (expectedMs: number) => boolean;
};

/** Work that takes this many times the baseline is long. */
const LONG_FACTOR = 4;
const NEWEST_WEIGHT = 0.02;
/** With half of the slots, long work still makes progress, and short work always has the other half. */
const LONG_SLOT_SHARE = 0.5;

export function createLongWorkDetector(): LongWorkDetector {
  let baselineMs: number | null = null;
  return {
    observe: (expectedMs) => {
      /** Work of unknown length, such as that of a plain service, is not counted. */
      if (expectedMs <= 0) return;
      /** A single huge item must not change the baseline by more than a typical long one. */
      const counted =
        baselineMs === null ? expectedMs : Math.min(expectedMs, LONG_FACTOR * baselineMs);
      baselineMs =
        baselineMs === null ? counted : baselineMs + NEWEST_WEIGHT * (counted - baselineMs);
    },
    isLong: (expectedMs) => baselineMs !== null && expectedMs > LONG_FACTOR * baselineMs,
  };
}

/** The number of slots that long work may use: at least one, and never all if there are two or more. */
export function longSlotLimit(slotCount: number): number {
  return Math.max(1, Math.min(slotCount - 1, Math.floor(slotCount * LONG_SLOT_SHARE)));
}
