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
  stopAtMs: number;
  takesAllUntilMs: number;
  refusesUnsentMs: number;
  endMs: number;
};

export function stopTimes(stopAtMs: number, stopTimeoutMs: number): StopTimes {
  const endMs = exitByMs(stopAtMs, stopTimeoutMs);
  return {
    stopAtMs,
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

/** Time before the end of a drain at which what is still open is answered: withdrawals from agents, and a second try of them. */
const LAST_ANSWERS_MS = 500;
/** The last answers are on their way to callers. */
const LINGER_MS = 150;
/** Behind the drain: the last batch of the journal, the word to the other members, the log's last lines. */
const PARTS_MS = 400;
/** Of it, what is left for other parts behind the journal. */
const BEHIND_JOURNAL_MS = 150;
/** A stop that takes longer is cut off. */
const CUT_OFF_MS = 50;

/** A drain under way, whose length the settings state; the process is gone shortly after it. */
export type DrainTimes = {
  stopAtMs: number;
  takesAllUntilMs: number;
  /** What is still open is withdrawn and answered. */
  lastAnswersMs: number;
  /** Every answer is written. */
  answeredMs: number;
  /** The last connection is closed. */
  endMs: number;
  /** The parts have stopped. */
  exitMs: number;
};

/** `noticeMs`: in which others learn of the stop and send no more. */
export function drainTimes(stopAtMs: number, drainTimeoutMs: number, noticeMs: number): DrainTimes {
  const endMs = stopAtMs + drainTimeoutMs;
  // Halves of a drain that is as short.
  const lastAnswersMs = Math.max(endMs - LAST_ANSWERS_MS, (stopAtMs + endMs) / 2);
  return {
    stopAtMs,
    takesAllUntilMs: Math.min(stopAtMs + noticeMs, lastAnswersMs),
    lastAnswersMs,
    answeredMs: Math.max(endMs - LINGER_MS, (lastAnswersMs + endMs) / 2),
    endMs,
    exitMs: endMs + PARTS_MS,
  };
}

/** What is known of a piece of work before it begins. */
export type Work = {
  deadlineMs: number;
  /** How long the longest of its kind took lately; null where none was seen. */
  longestMs: number | null;
};

/** Until when work may begin so that it is over, by its deadline or by what its kind takes, when the drain ends. */
export function latestStartMs(times: DrainTimes, { deadlineMs, longestMs }: Work): number {
  const isOver = deadlineMs <= times.lastAnswersMs;
  const latestMs = isOver ? times.lastAnswersMs : times.lastAnswersMs - (longestMs ?? Infinity);
  return Math.max(times.takesAllUntilMs, latestMs);
}

export function mayBegin(times: DrainTimes | null, nowMs: number, work: Work): boolean {
  return times === null || nowMs < latestStartMs(times, work);
}

/** Until when the last batch of the journal may be written, in a stop that has until `untilMs`. */
export function journalUntilMs(wantedMs: number, untilMs: number): number {
  return Math.min(wantedMs, untilMs - BEHIND_JOURNAL_MS);
}

/** How long a stop with such a drain takes at most: well under a second more, so that a kill one second later finds nothing. */
export function wholeStopMs(drainTimeoutMs: number): number {
  return drainTimeoutMs + PARTS_MS + CUT_OFF_MS;
}
