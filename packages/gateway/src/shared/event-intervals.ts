/**
 * Measures the intervals between the events of a relayed stream, reduced to the smallest of each few. A machine that is
 * currently slow stretches every interval; a prompt that is prefilled between two steps stretches only one. It is
 * called for each event and therefore stores only numbers.
 */
export type EventIntervals = {
  /** Records that an event has arrived. */
  event: (nowMs: number) => void;
  /** Starts over after a delay on this side: the interval until the next event says nothing about the upstream. */
  interrupted: () => void;
};

/** At about forty events a second a run covers the last tenth of a second. */
export const RUN_LENGTH = 4;
/** A shorter interval separates parts of one event that arrived separately. */
const MIN_INTERVAL_MS = 2;

/** `onRun` gets the smallest interval of each run. */
export function createEventIntervals(
  onRun: (intervalMs: number, nowMs: number) => void,
): EventIntervals {
  let lastMs = NaN;
  let smallestMs = Infinity;
  let count = 0;
  return {
    event: (nowMs) => {
      const intervalMs = nowMs - lastMs;
      lastMs = nowMs;
      if (!(intervalMs >= MIN_INTERVAL_MS)) return;
      if (intervalMs < smallestMs) smallestMs = intervalMs;
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
