/**
 * Takes requests up in small portions, the most pressing first. Load: a burst at a small gateway, where a request costs some
 * tens of milliseconds. Failure: all that is ready is served in one turn of the loop, which accepts one new connection a turn;
 * connections wait for seconds, at a loop that never stands, and requests that cannot be in time are served before those that can.
 * Between two portions connections are accepted, requests read, and the closes of callers that have left.
 */
import type { clocks } from '@copperlever/runtime';

import * as loopAgesModule from './loop-ages.js';

export type Intake = {
  /**
   * Resolves when a request may be taken up that is in time if it is begun by `latestStartMs`. What may have lain unread for
   * long is taken up once connections have been read again: its caller's close may lie behind it.
   */
  takeUp: (latestStartMs: number, unreadMs: number) => Promise<void>;
  waitingCount: () => number;
};

export type IntakeDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  loopAges: Pick<loopAgesModule.LoopAges, 'pollCount'>;
  /** Runs `task` at the end of a turn of the loop, after what has been read in it. */
  atTurnEnd?: (task: () => void) => void;
};

/** Of a turn, for what is taken up in it: a connection that waits to be accepted waits no longer for each before it. */
const PORTION_MS = 10;
/** Requests that are looked for in one turn, where each takes less than a part of its portion. */
const TAKEN_MAX = 16;

type Waiting = { latestStartMs: number; pollCount: number; resolve: () => void };

/** Those that can still be in time come first, the most pressing before others; then the rest as they came. */
export function isBefore(
  left: Pick<Waiting, 'latestStartMs'>,
  right: Pick<Waiting, 'latestStartMs'>,
  nowMs: number,
): boolean {
  const isLeftLate = left.latestStartMs < nowMs;
  const isRightLate = right.latestStartMs < nowMs;
  if (isLeftLate !== isRightLate) return isRightLate;
  return left.latestStartMs < right.latestStartMs;
}

export function createIntake(deps: IntakeDeps): Intake {
  const { clock, loopAges, atTurnEnd = setImmediate } = deps;
  const waiting: Waiting[] = [];
  let isScheduled = false;
  let portionPoll = -1;
  let portionStartMs = 0;

  function schedule(): void {
    if (isScheduled) return;
    isScheduled = true;
    atTurnEnd(beginPortion);
    // One after the other, so that what each one begins is counted against the portion.
    for (let count = 0; count < TAKEN_MAX; count += 1) atTurnEnd(takeNext);
    atTurnEnd(() => {
      isScheduled = false;
      if (waiting.length > 0) schedule();
    });
  }

  /** The most pressing of those whose connections have been read once more since they were. */
  function findNext(nowMs: number, pollCount: number): number {
    return waiting.reduce((best, entry, index) => {
      if (entry.pollCount >= pollCount) return best;
      const known = waiting[best];
      return known === undefined || isBefore(entry, known, nowMs) ? index : best;
    }, -1);
  }

  function beginPortion(): void {
    const nowMs = clock.nowMs();
    const pollCount = loopAges.pollCount();
    if (pollCount !== portionPoll) portionStartMs = nowMs;
    portionPoll = pollCount;
  }

  function takeNext(): void {
    if (waiting.length === 0) return;
    const nowMs = clock.nowMs();
    if (nowMs - portionStartMs > PORTION_MS) return;
    const index = findNext(nowMs, portionPoll);
    if (index < 0) return;
    const [next] = waiting.splice(index, 1);
    next?.resolve();
  }

  return {
    takeUp: async (latestStartMs, unreadMs) => {
      const pollCount = loopAges.pollCount();
      const isFirst = waiting.length === 0 && pollCount !== portionPoll;
      if (isFirst && unreadMs <= loopAgesModule.STALE_MS) {
        // The others that were read in this turn wait for the next one.
        portionPoll = pollCount;
        portionStartMs = clock.nowMs();
        return;
      }
      await new Promise<void>((resolve) => {
        waiting.push({ latestStartMs, pollCount, resolve });
        schedule();
      });
    },
    waitingCount: () => waiting.length,
  };
}
