/** The queue before one upstream: which work is admitted, which starts next, which is given up on. */
import * as agingCredit from './aging-credit.js';
import * as fairShares from './fair-shares.js';
import * as higherClassLoad from './higher-class-load.js';
import * as longWork from './long-work.js';
import * as predictions from './queue-predictions.js';
import * as retryInstants from './retry-instants.js';
import type * as serviceTimes from './service-times.js';
import type * as types from './types.js';

export type QueueLimits = {
  /** Requests that the upstream runs side by side. */
  slotCount: number;
  /** Waiting requests beyond which every arrival is refused. */
  maxWaiting: number;
  /** A caller group's share against those of the others; 1 for each when left out. */
  shareWeightOf?: fairShares.ShareWeights;
};

export type Admission = { kind: 'admit'; predictedWaitMs: number } | types.Refusal;

export type QueueTimes = Pick<serviceTimes.ServiceTimes, 'expectedMs'> &
  Partial<Pick<serviceTimes.ServiceTimes, 'longestMs'>>;

export type WorkQueue = {
  /** Admits `item` to the queue or refuses it at once. */
  admit: (item: types.WorkItem, nowMs: number) => Admission;
  /**
   * Takes the work that should start now; null when no slot is free or nothing may start. Work for
   * which `isReady` is false, such as work whose model still loads, keeps its place.
   */
  startNext: (nowMs: number, isReady?: (item: types.WorkItem) => boolean) => types.WorkItem | null;
  /** Waiting work whose deadline can no longer be met; it leaves the queue and must be answered. */
  takeExpired: (nowMs: number) => types.WorkItem[];
  /** Withdraws waiting work; false when it does not wait. */
  withdraw: (id: string) => boolean;
  finish: (id: string, nowMs: number) => void;
  setSlotCount: (slotCount: number) => void;
  /** How long new work of the class would wait; of the lowest class when none is named. */
  predictedWaitMs: (nowMs: number, priorityClass?: types.PriorityClass) => number;
  /** The same for every class at once. */
  predictedWaitsMs: (nowMs: number) => Record<types.PriorityClass, number>;
  waitingCount: () => number;
  runningCount: () => number;
};

/**
 * The part of `maxWaiting` that a class may fill. Made for a flood of batch work, which may wait
 * overnight: without it the flood fills the queue and critical work is refused for want of a place.
 */
const WAITING_SHARE: Record<types.PriorityClass, number> = {
  critical: 1,
  standard: 0.75,
  batch: 0.5,
};
/**
 * A group over its share is admitted only while it would wait less than this part of what its deadline
 * allows. The rest is left to the other groups, which then find a queue that they can still use; with
 * nobody else there the limit does not apply, and slots are never kept idle for it.
 */
const OVER_SHARE_SLACK = 0.5;

export function createWorkQueue(limits: QueueLimits, times: QueueTimes): WorkQueue {
  const state: predictions.QueueState = {
    slotCount: limits.slotCount,
    waiting: [],
    running: new Map(),
  };
  const credit = agingCredit.createAgingCredit(() => state.slotCount);
  const shares = fairShares.createFairShares(limits.shareWeightOf);
  const higherLoad = higherClassLoad.createHigherClassLoad();
  const long = longWork.createLongWork();
  const predicted = predictions.createPredictions(state, credit, higherLoad);
  const retries = retryInstants.createRetryInstants();

  function estimate(item: types.WorkItem): predictions.Queued {
    const expectedMs = times.expectedMs(item);
    const longestMs = times.longestMs?.(item) ?? expectedMs;
    const readyAtMs = item.readyAtMs ?? 0;
    return { item, expectedMs, longestMs, readyAtMs, isLong: long.isLong(expectedMs) };
  }

  function refuse(
    cause: types.RefusalCause,
    queued: predictions.Queued,
    earliestMs: number,
    nowMs: number,
  ): types.Refusal {
    const retryAtMs = retries.next(earliestMs, queued.expectedMs, state.slotCount, nowMs);
    return { kind: 'refuse', cause, retryAtMs };
  }

  function judge(queued: predictions.Queued, nowMs: number): Admission {
    const { item } = queued;
    const predictedWaitMs = predicted.waitMs(queued, nowMs);
    if (state.waiting.length >= limits.maxWaiting * WAITING_SHARE[item.priorityClass]) {
      return refuse('queue-full', queued, nowMs + predictedWaitMs, nowMs);
    }
    const slackMs = item.deadlineMs - nowMs - queued.longestMs;
    /** Waits shrink by a millisecond each millisecond, so this is when the slack is enough. */
    const earliestMs = nowMs + predictedWaitMs - Math.max(0, slackMs);
    if (predictedWaitMs > slackMs || predicted.breaksPromise(queued, nowMs)) {
      return refuse('deadline-unreachable', queued, earliestMs, nowMs);
    }
    const isCrowding =
      item.priorityClass !== 'batch' &&
      predictedWaitMs > OVER_SHARE_SLACK * slackMs &&
      shares.isOverShare(item.callerGroup, nowMs);
    if (isCrowding) {
      const enoughAtMs = nowMs + predictedWaitMs - OVER_SHARE_SLACK * slackMs;
      return refuse('group-over-share', queued, enoughAtMs, nowMs);
    }
    return { kind: 'admit', predictedWaitMs };
  }

  function insert(queued: predictions.Queued): void {
    const index = state.waiting.findIndex((other) => !predictions.isMoreUrgent(other, queued));
    state.waiting.splice(index === -1 ? state.waiting.length : index, 0, queued);
  }

  function mayStart(queued: predictions.Queued): boolean {
    if (!queued.isLong) return true;
    const longCount = [...state.running.values()].filter((entry) => entry.queued.isLong).length;
    return longCount < longWork.longSlotLimit(state.slotCount);
  }

  /** Aged work goes first as long as ageing has credit and costs no one a deadline. */
  function pickNext(
    mayStartNow: (queued: predictions.Queued) => boolean,
    nowMs: number,
  ): predictions.Queued | undefined {
    const first = state.waiting.find(mayStartNow);
    const aged = predicted.findAged(nowMs);
    if (aged === undefined || aged === first || !mayStartNow(aged)) return first;
    if (predicted.costsDeadline(aged, nowMs)) return first;
    credit.spend(aged.expectedMs, nowMs);
    return aged;
  }

  return {
    admit: (item, nowMs) => {
      const queued = estimate(item);
      shares.asked(item.callerGroup, nowMs);
      const verdict = judge(queued, nowMs);
      if (verdict.kind === 'refuse') return verdict;
      insert(queued);
      shares.admitted(item.callerGroup, queued.expectedMs, nowMs);
      higherLoad.admitted(item.priorityClass, queued.expectedMs, nowMs);
      long.observe(queued.expectedMs);
      return verdict;
    },
    startNext: (nowMs, isReady = () => true) => {
      if (state.running.size >= state.slotCount) return null;
      const queued = pickNext((other) => isReady(other.item) && mayStart(other), nowMs);
      if (queued === undefined) return null;
      state.waiting.splice(state.waiting.indexOf(queued), 1);
      state.running.set(queued.item.id, { queued, startedAtMs: nowMs });
      return queued.item;
    },
    takeExpired: (nowMs) => {
      const isLost = (queued: predictions.Queued) =>
        nowMs + queued.expectedMs > queued.item.deadlineMs;
      const expired = state.waiting.filter(isLost);
      if (expired.length > 0) state.waiting = state.waiting.filter((queued) => !isLost(queued));
      return expired.map(({ item }) => item);
    },
    withdraw: (id) => {
      const before = state.waiting.length;
      state.waiting = state.waiting.filter(({ item }) => item.id !== id);
      return state.waiting.length < before;
    },
    finish: (id) => {
      state.running.delete(id);
    },
    setSlotCount: (count) => {
      state.slotCount = count;
    },
    predictedWaitMs: (nowMs, priorityClass = 'batch') => predicted.waitsMs(nowMs)[priorityClass],
    predictedWaitsMs: predicted.waitsMs,
    waitingCount: () => state.waiting.length,
    runningCount: () => state.running.size,
  };
}
