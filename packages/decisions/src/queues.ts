/** The queue in front of one upstream: decides which work is admitted, which starts next, and which is dropped. */
import * as agingCredit from './aging-credit.js';
import * as fairShares from './fair-shares.js';
import * as higherClassLoad from './higher-class-load.js';
import * as longWork from './long-work.js';
import * as predictions from './queue-predictions.js';
import * as retryInstants from './retry-instants.js';
import type * as serviceTimes from './service-times.js';
import type * as types from './types.js';

export type QueueLimits = {
  /** Requests that the upstream runs concurrently. */
  slotCount: number;
  /** Number of waiting requests above which every new one is refused. */
  maxWaiting: number;
  /** Weight of a caller group's share relative to the other groups; 1 for each if left out. */
  shareWeightOf?: fairShares.ShareWeights;
};

export type Admission = { kind: 'admit'; predictedWaitMs: number } | types.Refusal;

export type QueueTimes = Pick<serviceTimes.ServiceTimeEstimator, 'expectedMs'> &
  Partial<Pick<serviceTimes.ServiceTimeEstimator, 'longestMs'>>;

export type WorkQueue = {
  /** Admits `item` to the queue or refuses it at once. */
  admit: (item: types.WorkItem, nowMs: number) => Admission;
  /**
   * Removes and returns the work that should start now; null if no slot is free or nothing may start. Work for which
   * `isReady` is false, for example because its model is still loading, keeps its position.
   */
  startNext: (nowMs: number, isReady?: (item: types.WorkItem) => boolean) => types.WorkItem | null;
  /** Removes and returns the waiting work that can no longer meet its deadline; the caller must answer it. */
  takeExpired: (nowMs: number) => types.WorkItem[];
  /** Removes waiting work; false if it is not waiting. */
  withdraw: (id: string) => boolean;
  finish: (id: string, nowMs: number) => void;
  setSlotCount: (slotCount: number) => void;
  /** Predicted wait of new work of the class; of the lowest class if none is given. */
  predictedWaitMs: (nowMs: number, priorityClass?: types.PriorityClass) => number;
  /** Predicted wait of new work of each class. */
  predictedWaitsMs: (nowMs: number) => Record<types.PriorityClass, number>;
  waitingCount: () => number;
  runningCount: () => number;
};

/**
 * Part of `maxWaiting` that a class may fill. Batch work may wait overnight; without a limit, a flood of it would fill
 * the queue and critical work would be refused.
 */
const WAITING_SHARE: Record<types.PriorityClass, number> = {
  critical: 1,
  standard: 0.75,
  batch: 0.5,
};
/**
 * A group above its share is admitted only if its wait is less than this part of the time that its deadline allows. The
 * rest stays available to other groups. If no other group sends requests, the limit does not apply, so slots are never
 * kept idle for it.
 */
const OVER_SHARE_MARGIN = 0.5;

export function createWorkQueue(limits: QueueLimits, times: QueueTimes): WorkQueue {
  const state: predictions.QueueState = {
    slotCount: limits.slotCount,
    waiting: [],
    running: new Map(),
  };
  const credit = agingCredit.createAgingCredit(() => state.slotCount);
  const shares = fairShares.createFairShares(limits.shareWeightOf);
  const higherLoad = higherClassLoad.createHigherClassLoad();
  const long = longWork.createLongWorkDetector();
  const predicted = predictions.createPredictions(state, credit, higherLoad);
  const retryTimes = retryInstants.createRetryInstants();

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
    const retryAtMs = retryTimes.next(earliestMs, queued.expectedMs, state.slotCount, nowMs);
    return { kind: 'refuse', cause, retryAtMs };
  }

  function decideAdmission(queued: predictions.Queued, nowMs: number): Admission {
    const { item } = queued;
    const predictedWaitMs = predicted.waitMs(queued, nowMs);
    if (state.waiting.length >= limits.maxWaiting * WAITING_SHARE[item.priorityClass]) {
      return refuse('queue-full', queued, nowMs + predictedWaitMs, nowMs);
    }
    const marginMs = item.deadlineMs - nowMs - queued.longestMs;
    /** A predicted wait shrinks by one millisecond per millisecond, so this is when the margin will be sufficient. */
    const earliestMs = nowMs + predictedWaitMs - Math.max(0, marginMs);
    if (predictedWaitMs > marginMs || predicted.makesAdmittedLate(queued, nowMs)) {
      return refuse('deadline-unreachable', queued, earliestMs, nowMs);
    }
    const isCrowdingOut =
      item.priorityClass !== 'batch' &&
      predictedWaitMs > OVER_SHARE_MARGIN * marginMs &&
      shares.isOverShare(item.callerGroup, nowMs);
    if (isCrowdingOut) {
      const enoughAtMs = nowMs + predictedWaitMs - OVER_SHARE_MARGIN * marginMs;
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

  /** Aged work starts first as long as aging has credit and no work of a higher class would miss its deadline. */
  function pickNext(
    mayStartNow: (queued: predictions.Queued) => boolean,
    nowMs: number,
  ): predictions.Queued | undefined {
    const first = state.waiting.find(mayStartNow);
    const aged = predicted.findAged(nowMs);
    if (aged === undefined || aged === first || !mayStartNow(aged)) return first;
    if (predicted.makesHigherClassLate(aged, nowMs)) return first;
    credit.spend(aged.expectedMs, nowMs);
    return aged;
  }

  return {
    admit: (item, nowMs) => {
      const queued = estimate(item);
      shares.recordRequest(item.callerGroup, nowMs);
      const decision = decideAdmission(queued, nowMs);
      if (decision.kind === 'refuse') return decision;
      insert(queued);
      shares.recordAdmitted(item.callerGroup, queued.expectedMs, nowMs);
      higherLoad.recordAdmitted(item.priorityClass, queued.expectedMs, nowMs);
      long.observe(queued.expectedMs);
      return decision;
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
      const isTooLate = (queued: predictions.Queued) =>
        nowMs + queued.expectedMs > queued.item.deadlineMs;
      const expired = state.waiting.filter(isTooLate);
      if (expired.length > 0) state.waiting = state.waiting.filter((queued) => !isTooLate(queued));
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
