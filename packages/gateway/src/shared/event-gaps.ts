/**
 * The gaps between the events of a relayed stream, reduced to the smallest of each few. A machine that is slow at the
 * moment stretches every gap; a prompt that is read between two steps stretches one. Called for each event: it keeps
 * numbers only.
 */
export type EventGaps = {
  /** An event has come. */
  event: (nowMs: number) => void;
  /** What follows was held up on this side: the gap until the next event says nothing. */
  interrupted: () => void;
};

/** At some forty events a second the smallest gap of the last tenth of a second. */
export const RUN_LENGTH = 4;
/** Parts of one event that came apart. */
const LEAST_GAP_MS = 2;

/** `onRun` gets the smallest gap of each run. */
export function createEventGaps(onRun: (gapMs: number, nowMs: number) => void): EventGaps {
  let lastMs = NaN;
  let smallestMs = Infinity;
  let count = 0;
  return {
    event: (nowMs) => {
      const gapMs = nowMs - lastMs;
      lastMs = nowMs;
      if (!(gapMs >= LEAST_GAP_MS)) return;
      if (gapMs < smallestMs) smallestMs = gapMs;
      count += 1;
      if (count < RUN_LENGTH) return;
      onRun(smallestMs, nowMs);
      smallestMs = Infinity;
      count = 0;
    },
    interrupted: () => {
      lastMs = NaN;
      smallestMs = Infinity;
      count = 0;
    },
  };
}
