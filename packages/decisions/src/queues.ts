/** The queue before one upstream: which work starts next, and which is refused on arrival. */
import type * as serviceTimes from './service-times.js';
import * as types from './types.js';

export type QueueLimits = {
  /** Requests that the upstream runs side by side. */
  slotCount: number;
  /** Waiting requests beyond which every arrival is refused. */
  maxWaiting: number;
};

export type Admission = { kind: 'admit'; predictedWaitMs: number } | types.Refusal;

export type WorkQueue = {
  /** Admits `item` to the queue or refuses it at once. */
  admit: (item: types.WorkItem, nowMs: number) => Admission;
  /**
   * Takes the work that should start now; null when no slot is free or nothing waits. Work for which
   * `isReady` is false, such as work whose model still loads, keeps its place and does not start.
   */
  startNext: (nowMs: number, isReady?: (item: types.WorkItem) => boolean) => types.WorkItem | null;
  /** Waiting work whose deadline can no longer be met; it leaves the queue and must be answered. */
  takeExpired: (nowMs: number) => types.WorkItem[];
  /** Withdraws waiting work; false when it does not wait. */
  withdraw: (id: string) => boolean;
  finish: (id: string, nowMs: number) => void;
  setSlotCount: (slotCount: number) => void;
  predictedWaitMs: (nowMs: number) => number;
  waitingCount: () => number;
  runningCount: () => number;
};

function compareUrgency(left: types.WorkItem, right: types.WorkItem): number {
  const leftRank = types.PRIORITY_CLASSES.indexOf(left.priorityClass);
  const rightRank = types.PRIORITY_CLASSES.indexOf(right.priorityClass);
  return leftRank - rightRank || left.deadlineMs - right.deadlineMs;
}

export function createWorkQueue(
  limits: QueueLimits,
  times: Pick<serviceTimes.ServiceTimes, 'expectedMs'>,
): WorkQueue {
  let { slotCount } = limits;
  let waiting: types.WorkItem[] = [];
  const running = new Map<string, { item: types.WorkItem; startedAtMs: number }>();

  function remainingMs(entry: { item: types.WorkItem; startedAtMs: number }, nowMs: number) {
    return Math.max(0, entry.startedAtMs + times.expectedMs(entry.item) - nowMs);
  }

  function waitBeforeMs(ahead: readonly types.WorkItem[], nowMs: number): number {
    if (running.size + ahead.length < slotCount) return 0;
    const runningMs = [...running.values()].reduce(
      (sumMs, entry) => sumMs + remainingMs(entry, nowMs),
      0,
    );
    const aheadMs = ahead.reduce((sumMs, item) => sumMs + times.expectedMs(item), 0);
    return (runningMs + aheadMs) / Math.max(1, slotCount);
  }

  return {
    admit: (item, nowMs) => {
      const ahead = waiting.filter((other) => compareUrgency(other, item) <= 0);
      const predictedWaitMs = waitBeforeMs(ahead, nowMs);
      if (waiting.length >= limits.maxWaiting) {
        return { kind: 'refuse', cause: 'queue-full', retryAtMs: nowMs + predictedWaitMs };
      }
      const doneAtMs = nowMs + predictedWaitMs + times.expectedMs(item);
      if (doneAtMs > item.deadlineMs) {
        return {
          kind: 'refuse',
          cause: 'deadline-unreachable',
          retryAtMs: nowMs + predictedWaitMs,
        };
      }
      waiting.push(item);
      waiting.sort(compareUrgency);
      return { kind: 'admit', predictedWaitMs };
    },
    startNext: (nowMs, isReady = () => true) => {
      if (running.size >= slotCount) return null;
      const item = waiting.find(isReady);
      if (item === undefined) return null;
      waiting = waiting.filter((other) => other !== item);
      running.set(item.id, { item, startedAtMs: nowMs });
      return item;
    },
    takeExpired: (nowMs) => {
      const expired = waiting.filter((item) => item.deadlineMs <= nowMs);
      waiting = waiting.filter((item) => item.deadlineMs > nowMs);
      return expired;
    },
    withdraw: (id) => {
      const before = waiting.length;
      waiting = waiting.filter((item) => item.id !== id);
      return waiting.length < before;
    },
    finish: (id) => {
      running.delete(id);
    },
    setSlotCount: (count) => {
      slotCount = count;
    },
    predictedWaitMs: (nowMs) => waitBeforeMs(waiting, nowMs),
    waitingCount: () => waiting.length,
    runningCount: () => running.size,
  };
}
