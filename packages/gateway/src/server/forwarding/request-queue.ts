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
  loopAges: Pick<readDelays.ReadDelay, 'pollCount' | 'acceptWaitMs'>;
  /** Runs `task` at the end of a turn of the event loop, after its reads have been handled. */
  atTurnEnd?: (task: () => void) => void;
};

/** Time in each turn for starting requests. A new connection waits that long for each connection accepted before it. */
const TURN_BUDGET_MS = 10;
/** Requests started in one turn, if each takes only a fraction of the budget. */
const STARTS_PER_TURN_MAX = 16;
/**
 * The same while connections wait to be accepted, of which a turn accepts one. Load: a thousand callers that send again as soon as
 * they are refused. Harm prevented: connections beside them that are not accepted before their callers give up.
 */
const STARTS_BESIDE_ACCEPTS_MAX = 4;
/** A shorter queue of connections is gone before its callers notice. */
const ACCEPT_WAIT_MAX_MS = 100;

/**
 * Beyond this number requests are started at once, and a turn takes as long as all that were read in it; the pre-send check still
 * catches those whose caller has left. Bodies have a bound of their own; the rest of a request takes some KB.
 */
const QUEUE_LENGTH_MAX = 4_000;

type Waiting = Pick<QueuedRequest, 'dueMs' | 'deadlineMs' | 'priorityOf'> & {
  pollCount: number;
  resolve: () => void;
  isWaiting: boolean;
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
  /** To be started in this turn, the most urgent first. */
  let selected: Waiting[] = [];

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

  /** The most urgent requests that were queued before the latest poll, in which their connections have been read once more. */
  function selectNext(nowMs: number, count: number): Waiting[] {
    const best: Waiting[] = [];
    waiting.forEach((entry) => {
      if (entry.pollCount >= budgetPoll) return;
      const last = best.length < count ? undefined : best.at(-1);
      if (last !== undefined && !isBefore(entry, last, nowMs)) return;
      const at = best.findIndex((other) => isBefore(entry, other, nowMs));
      best.splice(at < 0 ? best.length : at, 0, entry);
      if (best.length > count) best.pop();
    });
    return best;
  }

  function beginTurn(): void {
    const nowMs = clock.nowMs();
    const pollCount = loopAges.pollCount();
    if (pollCount !== budgetPoll) budgetStartMs = nowMs;
    budgetPoll = pollCount;
    // Expired requests don't wait for their turn: refusing them is cheap, and their callers learn of it sooner.
    waiting.filter(({ deadlineMs }) => deadlineMs <= nowMs).forEach(dequeue);
    const isAcceptLate = loopAges.acceptWaitMs() > ACCEPT_WAIT_MAX_MS;
    selected = selectNext(nowMs, isAcceptLate ? STARTS_BESIDE_ACCEPTS_MAX : STARTS_PER_TURN_MAX);
  }

  function dequeue(entry: Waiting): void {
    const index = waiting.indexOf(entry);
    if (index >= 0) waiting.splice(index, 1);
    Object.assign(entry, { isWaiting: false });
    entry.resolve();
  }

  function startNext(): void {
    const nowMs = clock.nowMs();
    if (nowMs - budgetStartMs > TURN_BUDGET_MS) return;
    // Callers of the others have left since.
    selected = selected.filter(({ isWaiting }) => isWaiting);
    const next = selected.shift();
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
        const entry = { ...urgency, pollCount, resolve, isWaiting: true };
        waiting.push(entry);
        onCallerGone(() => dequeue(entry));
        schedule();
      });
    },
    waitingCount: () => waiting.length,
  };
}
