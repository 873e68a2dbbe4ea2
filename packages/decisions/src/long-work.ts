/**
 * How many slots long work may hold. Made for long and short work mixed: once long work holds every
 * slot, the next short request waits for the end of a long one, whatever its class, and a short
 * deadline is lost. With a part of the slots kept free of long work, a slot frees at the pace of short
 * work.
 */
export type LongWork = {
  /** Learns what is usual here. */
  observe: (expectedMs: number) => void;
  isLong: (expectedMs: number) => boolean;
};

/** Work this many times as long as usual is long. */
const LONG_FACTOR = 4;
const NEWEST_WEIGHT = 0.02;
/** Half: long work still gets on, and short work always has the other half. */
const LONG_SLOT_SHARE = 0.5;

export function createLongWork(): LongWork {
  let usualMs: number | null = null;
  return {
    observe: (expectedMs) => {
      /** Work of unknown length, as of a plain service, says nothing of what is usual. */
      if (expectedMs <= 0) return;
      /** One huge piece must not move the measure by more than a usual long one would. */
      const counted = usualMs === null ? expectedMs : Math.min(expectedMs, LONG_FACTOR * usualMs);
      usualMs = usualMs === null ? counted : usualMs + NEWEST_WEIGHT * (counted - usualMs);
    },
    isLong: (expectedMs) => usualMs !== null && expectedMs > LONG_FACTOR * usualMs,
  };
}

/** The most slots that long work may hold; at least one, and never all where there are two. */
export function longSlotLimit(slotCount: number): number {
  return Math.max(1, Math.min(slotCount - 1, Math.floor(slotCount * LONG_SLOT_SHARE)));
}
