/** The times of a planned stop: until when it takes up work, and when all of it has to be over. */

/**
 * The balancer polls once a second and stops sending connections after two failed polls. Until then all is taken up, whatever time it
 * needs.
 */
export const BALANCER_NOTICE_MS = 2_500;
/** Time before the platform's kill at which the process exits by itself, since the kill would cut off open answers. */
const EXIT_MARGIN_MS = 700;
/** Time before the end at which what no upstream has is refused: several turns of a slow loop, and the refusals' way to callers. */
const UNSENT_REFUSAL_MS = 500;

/** A stop under way: what it still takes up, when it refuses what it has not sent, and when it has to be over. */
export type StopTimes = {
  startedMs: number;
  takesAllUntilMs: number;
  refusesUnsentMs: number;
  endMs: number;
};

export function stopTimes(stopAtMs: number, stopTimeoutMs: number): StopTimes {
  const endMs = exitByMs(stopAtMs, stopTimeoutMs);
  return {
    startedMs: stopAtMs,
    takesAllUntilMs: stopAtMs + BALANCER_NOTICE_MS,
    // At half of a stop that is as short.
    refusesUnsentMs: Math.max(endMs - UNSENT_REFUSAL_MS, (stopAtMs + endMs) / 2),
    endMs,
  };
}

/**
 * Whether a request may be taken up or passed on now: later on a stop refuses what it might have to cut off. `usualMs`: what nearly
 * all of its kind take; null if that isn't known.
 */
export function mayTake(
  stop: StopTimes | null,
  nowMs: number,
  deadlineMs: number,
  usualMs: number | null = null,
): boolean {
  if (stop === null) return true;
  if (nowMs >= stop.refusesUnsentMs) return false;
  if (nowMs < stop.takesAllUntilMs || deadlineMs <= stop.endMs) return true;
  return usualMs !== null && nowMs + usualMs <= stop.endMs;
}

/** When a stop that begins at `stopAtMs` has to be over, which is before the platform kills the process. */
export function exitByMs(stopAtMs: number, stopTimeoutMs: number): number {
  return stopAtMs + stopTimeoutMs - EXIT_MARGIN_MS;
}
