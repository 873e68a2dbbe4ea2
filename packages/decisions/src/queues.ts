/** The queue before one upstream: which work is admitted, which starts next, which is given up on. */
import * as agingCredit from './aging-credit.js';
import * as fairShares from './fair-shares.js';
import * as higherClassLoad from './higher-class-load.js';
import * as longWork from './long-work.js';
import * as retryInstants from './retry-instants.js';
import type * as serviceTimes from './service-times.js';
import * as types from './types.js';
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

/** Admitted work with what it was expected to take when it came. */
type Queued = { item: types.WorkItem; expectedMs: number; longestMs: number; isLong: boolean };

type Running = { queued: Queued; startedAtMs: number };

function isMoreUrgent(left: Queued, right: Queued): boolean {
  return urgency.compareUrgency(left.item, right.item) <= 0;
}

/** Gives the next slot of `plan` to the work and returns the instant at which it starts. */
function assign(plan: waits.SlotPlan, queued: Queued): number {
  const { item, expectedMs } = queued;
  return waits.assign(plan, { expectedMs, readyAtMs: item.readyAtMs ?? 0 });
}

export function createWorkQueue(limits: QueueLimits, times: QueueTimes): WorkQueue {
  let { slotCount } = limits;
  let waiting: Queued[] = [];
  const running = new Map<string, Running>();
  const credit = agingCredit.createAgingCredit(() => slotCount);
  const shares = fairShares.createFairShares(limits.shareWeightOf);
  const higherLoad = higherClassLoad.createHigherClassLoad();
  const long = longWork.createLongWork();
  const retries = retryInstants.createRetryInstants();

  function estimate(item: types.WorkItem): Queued {
    const expectedMs = times.expectedMs(item);
    const longestMs = times.longestMs?.(item) ?? expectedMs;
    return { item, expectedMs, longestMs, isLong: long.isLong(expectedMs) };
  }

  function planNow(nowMs: number): waits.SlotPlan {
    const leftsMs = [...running.values()].map(({ queued, startedAtMs }) =>
      waits.remainingMs(startedAtMs, queued.expectedMs, nowMs),
    );
    return waits.planSlots(slotCount, leftsMs, nowMs);
  }

  /** The wait of `queued` behind all waiting work that is more urgent. */
  function predictWaitMs(queued: Queued, nowMs: number): number {
    const { item } = queued;
    const plan = planNow(nowMs);
    waiting.filter((other) => isMoreUrgent(other, queued)).forEach((other) => assign(plan, other));
    const queueMs = Math.max(0, (plan[0] ?? nowMs) - nowMs);
    const stretchedMs = higherLoad.stretch(item.priorityClass, queueMs, slotCount, nowMs);
    return Math.max(stretchedMs, (item.readyAtMs ?? 0) - nowMs);
  }

  function predictWaitsMs(nowMs: number): Record<types.PriorityClass, number> {
    const plan = planNow(nowMs);
    const waitsMs = { critical: 0, standard: 0, batch: 0 };
    types.PRIORITY_CLASSES.forEach((name) => {
      waiting
        .filter(({ item }) => item.priorityClass === name)
        .forEach((queued) => assign(plan, queued));
      waitsMs[name] = Math.max(0, (plan[0] ?? nowMs) - nowMs);
    });
    return waitsMs;
  }

  /**
   * Whether `queued` would push admitted work of its own class past its deadline. Made for bursts: with
   * earliest deadline first a newcomer overtakes, and without this check each newcomer in time would
   * cost an admitted one its deadline.
   */
  function breaksPromise(queued: Queued, nowMs: number): boolean {
    const behind = waiting.filter(
      (other) =>
        other.item.priorityClass === queued.item.priorityClass && !isMoreUrgent(other, queued),
    );
    if (behind.length === 0) return false;
    const plan = planNow(nowMs);
    waiting.filter((other) => isMoreUrgent(other, queued)).forEach((other) => assign(plan, other));
    assign(plan, queued);
    return behind.some((other) => assign(plan, other) + other.longestMs > other.item.deadlineMs);
  }

  function refuse(
    cause: types.RefusalCause,
    queued: Queued,
    earliestMs: number,
    nowMs: number,
  ): types.Refusal {
    const retryAtMs = retries.next(earliestMs, queued.expectedMs, slotCount, nowMs);
    return { kind: 'refuse', cause, retryAtMs };
  }

  function judge(queued: Queued, nowMs: number): Admission {
    const { item } = queued;
    const predictedWaitMs = predictWaitMs(queued, nowMs);
    if (waiting.length >= limits.maxWaiting * WAITING_SHARE[item.priorityClass]) {
      return refuse('queue-full', queued, nowMs + predictedWaitMs, nowMs);
    }
    const slackMs = item.deadlineMs - nowMs - queued.longestMs;
    /** Waits shrink by a millisecond each millisecond, so this is when the slack is enough. */
    const earliestMs = nowMs + predictedWaitMs - Math.max(0, slackMs);
    if (predictedWaitMs > slackMs || breaksPromise(queued, nowMs)) {
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

  function insert(queued: Queued): void {
    const index = waiting.findIndex((other) => !isMoreUrgent(other, queued));
    waiting.splice(index === -1 ? waiting.length : index, 0, queued);
  }

  function mayStart(queued: Queued): boolean {
    if (!queued.isLong) return true;
    const longCount = [...running.values()].filter((entry) => entry.queued.isLong).length;
    return longCount < longWork.longSlotLimit(slotCount);
  }

  /** The longest waiting aged work goes first as long as ageing has credit; then by urgency. */
  function pickNext(mayStartNow: (queued: Queued) => boolean, nowMs: number): Queued | undefined {
    const first = waiting.find(mayStartNow);
    const aged = waiting
      .filter(({ item }) => urgency.isAged(item, nowMs))
      .sort((left, right) => left.item.arrivedAtMs - right.item.arrivedAtMs)
      .find(mayStartNow);
    if (aged === undefined || aged === first) return first;
    return credit.spend(aged.expectedMs, nowMs) ? aged : first;
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
      if (running.size >= slotCount) return null;
      const queued = pickNext((other) => isReady(other.item) && mayStart(other), nowMs);
      if (queued === undefined) return null;
      waiting.splice(waiting.indexOf(queued), 1);
      running.set(queued.item.id, { queued, startedAtMs: nowMs });
      return queued.item;
    },
    takeExpired: (nowMs) => {
      const isLost = (queued: Queued) => nowMs + queued.expectedMs > queued.item.deadlineMs;
      const expired = waiting.filter(isLost);
      if (expired.length > 0) waiting = waiting.filter((queued) => !isLost(queued));
      return expired.map(({ item }) => item);
    },
    withdraw: (id) => {
      const before = waiting.length;
      waiting = waiting.filter(({ item }) => item.id !== id);
      return waiting.length < before;
    },
    finish: (id) => {
      running.delete(id);
    },
    setSlotCount: (count) => {
      slotCount = count;
    },
    predictedWaitMs: (nowMs, priorityClass = 'batch') => predictWaitsMs(nowMs)[priorityClass],
    predictedWaitsMs: predictWaitsMs,
    waitingCount: () => waiting.length,
    runningCount: () => running.size,
  };
}
