/** How long a load takes here, learned from the loads that came to their end. */

export type LoadTimes = {
  /** Zero until a load was seen: nothing is refused on a guess. */
  expectedMs: (sizeBytes: number) => number;
  observe: (sizeBytes: number, tookMs: number) => void;
};

/** Four loads carry most of the weight, so that a slow weight store shows at once. */
const NEWEST_WEIGHT = 0.4;

export function createLoadTimes(): LoadTimes {
  let msPerByte: number | null = null;
  return {
    expectedMs: (sizeBytes) => (msPerByte ?? 0) * sizeBytes,
    observe: (sizeBytes, tookMs) => {
      const observed = tookMs / Math.max(1, sizeBytes);
      msPerByte =
        msPerByte === null ? observed : msPerByte + NEWEST_WEIGHT * (observed - msPerByte);
    },
  };
}
