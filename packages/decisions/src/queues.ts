/** The queue before one upstream: which work is admitted, which starts next, which is given up on. */
import * as agingCredit from './aging-credit.js';
import * as fairShares from './fair-shares.js';
import * as higherClassLoad from './higher-class-load.js';
import * as longWork from './long-work.js';
import * as retryInstants from './retry-instants.js';
import type * as serviceTimes from './service-times.js';
import type * as types from './types.js';
import * as urgency from './urgency.js';
import * as waits from './waits.js';

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

type Running = { item: types.WorkItem; startedAtMs: number; isLong: boolean };

export function createWorkQueue(limits: QueueLimits, times: QueueTimes): WorkQueue {
  let { slotCount } = limits;
  let waiting: types.WorkItem[] = [];
  const running = new Map<string, Running>();
  const credit = agingCredit.createAgingCredit(() => slotCount);
  const shares = fairShares.createFairShares(limits.shareWeightOf);
  const higherLoad = higherClassLoad.createHigherClassLoad();
  const long = longWork.createLongWork();
  const retries = retryInstants.createRetryInstants();

  function longestMs(item: types.WorkItem): number {
    return times.longestMs?.(item) ?? times.expectedMs(item);
  }

  function planNow(nowMs: number): waits.SlotPlan {
    const leftsMs = [...running.values()].map(({ item, startedAtMs }) =>
      waits.remainingMs(startedAtMs, times.expectedMs(item), nowMs),
    );
    return waits.planSlots(slotCount, leftsMs, nowMs);
  }

  function assign(plan: waits.SlotPlan, item: types.WorkItem): number {
    return waits.assign(plan, {
      expectedMs: times.expectedMs(item),
      readyAtMs: item.readyAtMs ?? 0,
    });
  }

  /** The wait of `item` behind all waiting work that is more urgent. */
  function predictWaitMs(item: types.WorkItem, nowMs: number): number {
    const plan = planNow(nowMs);
    waiting
      .filter((other) => urgency.compareUrgency(other, item) <= 0)
      .forEach((other) => assign(plan, other));
    const queueMs = Math.max(0, (plan[0] ?? nowMs) - nowMs);
    const stretchedMs = higherLoad.stretch(item.priorityClass, queueMs, slotCount, nowMs);
    return Math.max(stretchedMs, (item.readyAtMs ?? 0) - nowMs);
  }

  /**
   * Whether `item` would push admitted work of its own class past its deadline. Made for bursts: with
   * earliest deadline first a newcomer overtakes, and without this check each newcomer in time would
   * cost an admitted one its deadline.
   */
  function breaksPromise(item: types.WorkItem, nowMs: number): boolean {
    const plan = planNow(nowMs);
    const order = [...waiting, item].sort(urgency.compareUrgency);
    for (const other of order) {
      const startAtMs = assign(plan, other);
      const isBehind =
        other.priorityClass === item.priorityClass && urgency.compareUrgency(other, item) > 0;
      if (isBehind && startAtMs + longestMs(other) > other.deadlineMs) return true;
    }
    return false;
  }

  function refuse(
    cause: types.RefusalCause,
    item: types.WorkItem,
    earliestMs: number,
    nowMs: number,
  ): types.Refusal {
    const retryAtMs = retries.next(earliestMs, times.expectedMs(item), slotCount, nowMs);
    return { kind: 'refuse', cause, retryAtMs };
  }

  function judge(item: types.WorkItem, nowMs: number): Admission {
    const predictedWaitMs = predictWaitMs(item, nowMs);
    if (waiting.length >= limits.maxWaiting * WAITING_SHARE[item.priorityClass]) {
      return refuse('queue-full', item, nowMs + predictedWaitMs, nowMs);
    }
    const slackMs = item.deadlineMs - nowMs - longestMs(item);
    /** Waits shrink by a millisecond each millisecond, so this is when the slack is enough. */
    const earliestMs = nowMs + predictedWaitMs - Math.max(0, slackMs);
    if (predictedWaitMs > slackMs || breaksPromise(item, nowMs)) {
      return refuse('deadline-unreachable', item, earliestMs, nowMs);
    }
    const isCrowding =
      item.priorityClass !== 'batch' &&
      predictedWaitMs > OVER_SHARE_SLACK * slackMs &&
      shares.isOverShare(item.callerGroup, nowMs);
    if (isCrowding) {
      const enoughAtMs = nowMs + predictedWaitMs - OVER_SHARE_SLACK * slackMs;
      return refuse('group-over-share', item, enoughAtMs, nowMs);
    }
    return { kind: 'admit', predictedWaitMs };
  }

  function insert(item: types.WorkItem): void {
    const index = waiting.findIndex((other) => urgency.compareUrgency(other, item) > 0);
    waiting.splice(index === -1 ? waiting.length : index, 0, item);
  }

  function mayStart(item: types.WorkItem): boolean {
    if (!long.isLong(times.expectedMs(item))) return true;
    const longCount = [...running.values()].filter((entry) => entry.isLong).length;
    return longCount < longWork.longSlotLimit(slotCount);
  }

  /** The longest waiting aged work goes first as long as ageing has credit; then by urgency. */
  function pickNext(ready: readonly types.WorkItem[], nowMs: number): types.WorkItem | undefined {
    const [first] = ready;
    if (first === undefined) return undefined;
    const aged = ready
      .filter((item) => urgency.isAged(item, nowMs))
      .reduce<types.WorkItem | undefined>(
        (oldest, item) =>
          oldest === undefined || item.arrivedAtMs < oldest.arrivedAtMs ? item : oldest,
        undefined,
      );
    if (aged === undefined || aged === first) return first;
    return credit.spend(times.expectedMs(aged), nowMs) ? aged : first;
  }

  return {
    admit: (item, nowMs) => {
      const expectedMs = times.expectedMs(item);
      shares.asked(item.callerGroup, nowMs);
      const verdict = judge(item, nowMs);
      if (verdict.kind === 'refuse') return verdict;
      insert(item);
      shares.admitted(item.callerGroup, expectedMs, nowMs);
      higherLoad.admitted(item.priorityClass, expectedMs, nowMs);
      long.observe(expectedMs);
      return verdict;
    },
    startNext: (nowMs, isReady = () => true) => {
      if (running.size >= slotCount) return null;
      const ready = waiting.filter((item) => isReady(item) && mayStart(item));
      const item = pickNext(ready, nowMs);
      if (item === undefined) return null;
      waiting = waiting.filter((other) => other !== item);
      const isLong = long.isLong(times.expectedMs(item));
      running.set(item.id, { item, startedAtMs: nowMs, isLong });
      return item;
    },
    takeExpired: (nowMs) => {
      const isLost = (item: types.WorkItem) => nowMs + times.expectedMs(item) > item.deadlineMs;
      const expired = waiting.filter(isLost);
      if (expired.length > 0) waiting = waiting.filter((item) => !isLost(item));
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
    predictedWaitMs: (nowMs, priorityClass = 'batch') => {
      const plan = planNow(nowMs);
      const rank = urgency.classRank(priorityClass);
      waiting
        .filter((item) => urgency.classRank(item.priorityClass) <= rank)
        .forEach((item) => assign(plan, item));
      return Math.max(0, (plan[0] ?? nowMs) - nowMs);
    },
    waitingCount: () => waiting.length,
    runningCount: () => running.size,
  };
}
