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

/**
 * Waits are promised with this margin. Made for answers whose length nobody knows, and for a higher
 * class whose load moves: with 1 a standard request is often given up on after it waited (measured, see
 * docs/decisions.md). Critical work has no margin: it would cost about twenty refusals for each late
 * answer that it spares. Batch work is admitted late rather than refused early: neither a margin nor the
 * load of higher classes counts against it, since that load ebbs long before its deadline.
 */
const WAIT_MARGIN: Record<Exclude<types.PriorityClass, 'batch'>, number> = {
  critical: 1,
  standard: 2,
};

/** Admitted work with what it was expected to take when it came. */
type Queued = waits.PlannedWork & { item: types.WorkItem; longestMs: number; isLong: boolean };

type Running = { queued: Queued; startedAtMs: number };

function isMoreUrgent(left: Queued, right: Queued): boolean {
  return urgency.compareUrgency(left.item, right.item) <= 0;
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
    const readyAtMs = item.readyAtMs ?? 0;
    return { item, expectedMs, longestMs, readyAtMs, isLong: long.isLong(expectedMs) };
  }

  function planNow(nowMs: number): waits.SlotPlan {
    const leftsMs = [...running.values()].map(({ queued, startedAtMs }) =>
      waits.remainingMs(startedAtMs, queued.expectedMs, nowMs),
    );
    return waits.planSlots(slotCount, leftsMs, nowMs);
  }

  /** The aged work that may go next, before work of higher classes. */
  function findAged(nowMs: number): Queued | undefined {
    if (!credit.isLeft(nowMs)) return undefined;
    return waiting
      .filter(({ item }) => urgency.isAged(item, nowMs))
      .sort((left, right) => left.item.arrivedAtMs - right.item.arrivedAtMs)[0];
  }

  /** The slots as they are once all that starts before `queued` has its own. */
  function planBefore(queued: Queued, nowMs: number): waits.SlotPlan {
    const plan = planNow(nowMs);
    const aged = findAged(nowMs);
    if (aged !== undefined && !isMoreUrgent(aged, queued)) waits.assign(plan, aged);
    waits.assignAll(
      plan,
      waiting.filter((other) => isMoreUrgent(other, queued)),
    );
    return plan;
  }

  /** The wait that is counted on, given the wait if nothing more of a higher class came. */
  function promiseMs({ item }: Queued, waitMs: number, nowMs: number): number {
    if (item.priorityClass === 'batch') return waitMs;
    const marginMs = waitMs * WAIT_MARGIN[item.priorityClass];
    return higherLoad.stretch(item.priorityClass, marginMs, slotCount, nowMs);
  }

  /** The wait of `queued` behind all waiting work that is more urgent. */
  function predictWaitMs(queued: Queued, nowMs: number): number {
    const plan = planBefore(queued, nowMs);
    const queueMs = Math.max(0, (plan[0] ?? nowMs) - nowMs);
    return Math.max(promiseMs(queued, queueMs, nowMs), queued.readyAtMs - nowMs);
  }

  function predictWaitsMs(nowMs: number): Record<types.PriorityClass, number> {
    const plan = planNow(nowMs);
    const waitsMs = { critical: 0, standard: 0, batch: 0 };
    types.PRIORITY_CLASSES.forEach((name) => {
      waits.assignAll(
        plan,
        waiting.filter(({ item }) => item.priorityClass === name),
      );
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
    const plan = planBefore(queued, nowMs);
    waits.assign(plan, queued);
    return behind.some((other) => {
      const waitMs = promiseMs(other, waits.assign(plan, other) - nowMs, nowMs);
      return nowMs + waitMs + other.longestMs > other.item.deadlineMs;
    });
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

  /**
   * Whether starting `aged` now makes work of a higher class late that would be in time otherwise. Made for
   * critical work admitted with little to spare: ageing must not cost it its deadline. Admission counts the
   * next aged piece as going first, so room for it comes within the longest wait of a critical request.
   */
  function costsDeadline(aged: Queued, nowMs: number): boolean {
    const without = planNow(nowMs);
    const withAged = planNow(nowMs);
    waits.assign(withAged, aged);
    return waiting
      .filter((other) => other !== aged && isMoreUrgent(other, aged))
      .some((other) => {
        const latestStartMs = other.item.deadlineMs - other.longestMs;
        const startMs = waits.assign(without, other);
        return waits.assign(withAged, other) > latestStartMs && startMs <= latestStartMs;
      });
  }

  /** Aged work goes first as long as ageing has credit and costs no one a deadline. */
  function pickNext(mayStartNow: (queued: Queued) => boolean, nowMs: number): Queued | undefined {
    const first = waiting.find(mayStartNow);
    const aged = findAged(nowMs);
    if (aged === undefined || aged === first || !mayStartNow(aged)) return first;
    if (costsDeadline(aged, nowMs)) return first;
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
