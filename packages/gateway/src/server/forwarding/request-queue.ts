/**
 * Queue of requests that have been read. A few are started in each turn of the event loop, the most urgent first. In a burst
 * at a small gateway, where a request takes some tens of milliseconds, starting all of them in one turn would keep new
 * connections waiting for seconds, because the loop accepts one connection a turn, and would serve requests that are already
 * late before those that can still be in time. Between two turns the loop accepts connections, reads requests and notices
 * callers that have left.
 */
import type { clocks } from '@copperlever/runtime';

import * as readDelays from './read-delay.js';

export type QueuedRequest = {
  /** When its latency objective ends, and when its caller gives up. */
  dueMs: number;
  deadlineMs: number;
  /** 0 is the most urgent. */
  priorityOf: (isLate: boolean) => number;
  /** Upper bound for the time that it waited in the socket's buffer before it was read. */
  bufferedMs: number;
  /** Runs `task` when the caller has left. */
  onCallerGone: (task: () => void) => void;
};

export type RequestQueue = {
  /**
   * Resolves when a request may be started, when its caller has left or when its deadline has passed. A request that may have
   * been buffered for long is started only after sockets have been read again, because its caller may have closed the
   * connection behind it.
   */
  waitForStart: (arrived: QueuedRequest) => Promise<void>;
  waitingCount: () => number;
};

export type RequestQueueDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  loopAges: Pick<readDelays.ReadDelay, 'pollCount'>;
  /** Runs `task` at the end of a turn of the event loop, after its reads have been handled. */
  atTurnEnd?: (task: () => void) => void;
};

/** Time in each turn for starting requests. A new connection waits that long for each connection accepted before it. */
const TURN_BUDGET_MS = 10;
/** Requests started in one turn, if each takes only a fraction of the budget. */
const STARTS_PER_TURN_MAX = 16;

/**
 * Each queued request keeps its body in memory. Beyond this number requests are started at once; the pre-send check still
 * catches those whose caller has left.
 */
const QUEUE_LENGTH_MAX = 500;

type Waiting = Pick<QueuedRequest, 'dueMs' | 'deadlineMs' | 'priorityOf'> & {
  pollCount: number;
  resolve: () => void;
};

type Urgency = Pick<QueuedRequest, 'dueMs' | 'priorityOf'>;

/** Orders by priority, then by due time. Late requests and batch work have a lower priority. */
export function isBefore(left: Urgency, right: Urgency, nowMs: number): boolean {
  const leftPriority = left.priorityOf(left.dueMs < nowMs);
  const rightPriority = right.priorityOf(right.dueMs < nowMs);
  return leftPriority === rightPriority ? left.dueMs < right.dueMs : leftPriority < rightPriority;
}

export function createRequestQueue(deps: RequestQueueDeps): RequestQueue {
  const { clock, loopAges, atTurnEnd = setImmediate } = deps;
  const waiting: Waiting[] = [];
  let isScheduled = false;
  let budgetPoll = -1;
  let budgetStartMs = 0;

  function schedule(): void {
    if (isScheduled) return;
    isScheduled = true;
    atTurnEnd(beginTurn);
    // Each start is a task of its own, so that the work it triggers counts towards the budget.
    for (let count = 0; count < STARTS_PER_TURN_MAX; count += 1) atTurnEnd(startNext);
    atTurnEnd(() => {
      isScheduled = false;
      if (waiting.length > 0) schedule();
    });
  }

  /** The most urgent request that was queued before the latest poll, in which its connection has been read once more. */
  function findNext(nowMs: number, pollCount: number): Waiting | undefined {
    return waiting
      .filter((entry) => entry.pollCount < pollCount)
      .reduce<Waiting | undefined>(
        (best, entry) => (best === undefined || isBefore(entry, best, nowMs) ? entry : best),
        undefined,
      );
  }

  function beginTurn(): void {
    const nowMs = clock.nowMs();
    const pollCount = loopAges.pollCount();
    if (pollCount !== budgetPoll) budgetStartMs = nowMs;
    budgetPoll = pollCount;
    // Expired requests don't wait for their turn: refusing them is cheap, and their callers learn of it sooner.
    waiting.filter(({ deadlineMs }) => deadlineMs <= nowMs).forEach(dequeue);
  }

  function dequeue(entry: Waiting): void {
    const index = waiting.indexOf(entry);
    if (index >= 0) waiting.splice(index, 1);
    entry.resolve();
  }

  function startNext(): void {
    if (waiting.length === 0) return;
    const nowMs = clock.nowMs();
    if (nowMs - budgetStartMs > TURN_BUDGET_MS) return;
    const next = findNext(nowMs, budgetPoll);
    if (next !== undefined) dequeue(next);
  }

  return {
    waitForStart: async ({ bufferedMs, onCallerGone, ...urgency }) => {
      const pollCount = loopAges.pollCount();
      const isFirst = waiting.length === 0 && pollCount !== budgetPoll;
      if (isFirst && bufferedMs <= readDelays.RECHECK_AFTER_MS) {
        // Other requests that were read in this turn wait for the next one.
        budgetPoll = pollCount;
        budgetStartMs = clock.nowMs();
        return;
      }
      if (waiting.length >= QUEUE_LENGTH_MAX) return;
      await new Promise<void>((resolve) => {
        const entry = { ...urgency, pollCount, resolve };
        waiting.push(entry);
        onCallerGone(() => dequeue(entry));
        schedule();
      });
    },
    waitingCount: () => waiting.length,
  };
}
