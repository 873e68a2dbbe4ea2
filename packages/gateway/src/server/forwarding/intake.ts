/**
 * Takes requests up in small portions, the most pressing first. Load: a burst at a small gateway, where a request costs some
 * tens of milliseconds. Failure: all that is ready is served in one turn of the loop, which accepts one new connection a turn;
 * connections wait for seconds, at a loop that never stands, and requests that cannot be in time are served before those that can.
 * Between two portions connections are accepted, requests read, and the closes of callers that have left.
 */
import type { clocks } from '@copperlever/runtime';

import * as loopAgesModule from './loop-ages.js';

export type Arrived = {
  /** When its latency objective ends, and when its caller gives up. */
  dueMs: number;
  deadlineMs: number;
  /** 0 is the most urgent. */
  priorityOf: (isLate: boolean) => number;
  /** For how long it may have lain unread, at most. */
  unreadMs: number;
  /** Runs `task` once its caller has left. */
  onceLeft: (task: () => void) => void;
};

export type Intake = {
  /**
   * Resolves when a request may be taken up, or need not be any more: its caller has left, or its time is up. What may have
   * lain unread for long is taken up once connections have been read again: its caller's close may lie behind it.
   */
  takeUp: (arrived: Arrived) => Promise<void>;
  waitingCount: () => number;
};

export type IntakeDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  loopAges: Pick<loopAgesModule.LoopAges, 'pollCount'>;
  /** Runs `task` at the end of a turn of the loop, after what has been read in it. */
  atTurnEnd?: (task: () => void) => void;
};

/** What a turn may take for new requests: a connection that waits to be accepted waits as long for each before it. */
const PORTION_MS = 10;
/** In one portion, where each takes a fraction of it. */
const TAKEN_MAX = 16;

/** Each keeps its body. Beyond, requests are taken up at once; the last look still stands before the sending. */
const WAITING_MAX = 500;

type Waiting = Pick<Arrived, 'dueMs' | 'deadlineMs' | 'priorityOf'> & {
  pollCount: number;
  resolve: () => void;
};

type Urgency = Pick<Arrived, 'dueMs' | 'priorityOf'>;

/** By priority, which is lower for what is late and for work that nobody watches; then by when they are due. */
export function isBefore(left: Urgency, right: Urgency, nowMs: number): boolean {
  const leftPriority = left.priorityOf(left.dueMs < nowMs);
  const rightPriority = right.priorityOf(right.dueMs < nowMs);
  return leftPriority === rightPriority ? left.dueMs < right.dueMs : leftPriority < rightPriority;
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

  /** The most pressing of those that came before the latest poll: their connections have been read once more. */
  function findNext(nowMs: number, pollCount: number): Waiting | undefined {
    return waiting
      .filter((entry) => entry.pollCount < pollCount)
      .reduce<Waiting | undefined>(
        (best, entry) => (best === undefined || isBefore(entry, best, nowMs) ? entry : best),
        undefined,
      );
  }

  function beginPortion(): void {
    const nowMs = clock.nowMs();
    const pollCount = loopAges.pollCount();
    if (pollCount !== portionPoll) portionStartMs = nowMs;
    portionPoll = pollCount;
    // To be refused is cheap, and sooner told is better.
    waiting.filter(({ deadlineMs }) => deadlineMs <= nowMs).forEach(leave);
  }

  function leave(entry: Waiting): void {
    const index = waiting.indexOf(entry);
    if (index >= 0) waiting.splice(index, 1);
    entry.resolve();
  }

  function takeNext(): void {
    if (waiting.length === 0) return;
    const nowMs = clock.nowMs();
    if (nowMs - portionStartMs > PORTION_MS) return;
    const next = findNext(nowMs, portionPoll);
    if (next !== undefined) leave(next);
  }

  return {
    takeUp: async ({ unreadMs, onceLeft, ...urgency }) => {
      const pollCount = loopAges.pollCount();
      const isFirst = waiting.length === 0 && pollCount !== portionPoll;
      if (isFirst && unreadMs <= loopAgesModule.LOOK_AFTER_MS) {
        // The others that were read in this turn wait for the next one.
        portionPoll = pollCount;
        portionStartMs = clock.nowMs();
        return;
      }
      if (waiting.length >= WAITING_MAX) return;
      await new Promise<void>((resolve) => {
        const entry = { ...urgency, pollCount, resolve };
        waiting.push(entry);
        onceLeft(() => leave(entry));
        schedule();
      });
    },
    waitingCount: () => waiting.length,
  };
}
