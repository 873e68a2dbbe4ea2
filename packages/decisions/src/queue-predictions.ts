/** Predicts the waits in a queue, for admission, for aging and for the processes that send work to it. */
import type * as agingCredit from './aging-credit.js';
import type * as higherClassLoad from './higher-class-load.js';
import * as types from './types.js';
import * as urgency from './urgency.js';
import * as slotPlans from './slot-plans.js';

/** Admitted work with its service time as estimated on admission. */
export type Queued = slotPlans.PlannedWork & {
  item: types.WorkItem;
  longestMs: number;
  isLong: boolean;
};

export type Running = { queued: Queued; startedAtMs: number };

/** The state of the queue; `waiting` is ordered by urgency. */
export type QueueState = {
  slotCount: number;
  waiting: Queued[];
  running: Map<string, Running>;
};

export type Predictions = {
  /** The aged work that may start next, before work of higher classes. */
  findAged: (nowMs: number) => Queued | undefined;
  /** A conservative prediction of the wait of `queued`. */
  waitMs: (queued: Queued, nowMs: number) => number;
  /** Predicted wait of new work of each class. */
  waitsMs: (nowMs: number) => Record<types.PriorityClass, number>;
  makesAdmittedLate: (queued: Queued, nowMs: number) => boolean;
  makesHigherClassLate: (aged: Queued, nowMs: number) => boolean;
};

/**
 * Factor on predicted waits, since the length of answers is not known and the load of higher classes varies: with a
 * factor of 1, standard requests are often dropped after waiting (see docs/decisions.md). Critical work has no margin,
 * which would cause about twenty refusals for each late answer that it avoids. Batch work is rather admitted and late
 * than refused early: neither a margin nor the load of higher classes is applied, since that load decreases long before
 * its deadline.
 */
const WAIT_MARGIN_FACTOR: Record<Exclude<types.PriorityClass, 'batch'>, number> = {
  critical: 1,
  standard: 2,
};

export function isMoreUrgent(left: Queued, right: Queued): boolean {
  return urgency.compareUrgency(left.item, right.item) <= 0;
}

export function createPredictions(
  state: QueueState,
  credit: Pick<agingCredit.AgingCredit, 'isAvailable'>,
  higherLoad: Pick<higherClassLoad.HigherClassLoad, 'extendedWaitMs'>,
): Predictions {
  function planNow(nowMs: number): slotPlans.SlotPlan {
    const remainingsMs = [...state.running.values()].map(({ queued, startedAtMs }) =>
      slotPlans.remainingMs(startedAtMs, queued.expectedMs, nowMs),
    );
    return slotPlans.planSlots(state.slotCount, remainingsMs, nowMs);
  }

  /** The aged work that may start next, before work of higher classes. */
  function findAged(nowMs: number): Queued | undefined {
    if (!credit.isAvailable(nowMs)) return undefined;
    return state.waiting
      .filter(({ item }) => urgency.isAged(item, nowMs))
      .sort((left, right) => left.item.arrivedAtMs - right.item.arrivedAtMs)[0];
  }

  /** The slots after all work that starts before `queued` is assigned. */
  function planBefore(queued: Queued, nowMs: number): slotPlans.SlotPlan {
    const plan = planNow(nowMs);
    const aged = findAged(nowMs);
    if (aged !== undefined && !isMoreUrgent(aged, queued)) slotPlans.assign(plan, aged);
    slotPlans.assignAll(
      plan,
      state.waiting.filter((other) => isMoreUrgent(other, queued)),
    );
    return plan;
  }

  /** The wait including its margin; `queueMs` is the wait if no more work of higher classes arrived. */
  function conservativeWaitMs({ item }: Queued, queueMs: number, nowMs: number): number {
    if (item.priorityClass === 'batch') return queueMs;
    const queueWithMarginMs = queueMs * WAIT_MARGIN_FACTOR[item.priorityClass];
    return higherLoad.extendedWaitMs(item.priorityClass, queueWithMarginMs, state.slotCount, nowMs);
  }

  /** The wait of `queued` behind all waiting work that is more urgent. */
  function waitMs(queued: Queued, nowMs: number): number {
    const plan = planBefore(queued, nowMs);
    const queueMs = Math.max(0, (plan[0] ?? nowMs) - nowMs);
    return Math.max(conservativeWaitMs(queued, queueMs, nowMs), queued.readyAtMs - nowMs);
  }

  function waitsMs(nowMs: number): Record<types.PriorityClass, number> {
    const plan = planNow(nowMs);
    const byClass = { critical: 0, standard: 0, batch: 0 };
    types.PRIORITY_CLASSES.forEach((name) => {
      slotPlans.assignAll(
        plan,
        state.waiting.filter(({ item }) => item.priorityClass === name),
      );
      byClass[name] = Math.max(0, (plan[0] ?? nowMs) - nowMs);
    });
    return byClass;
  }

  /**
   * Whether admitting `queued` would make admitted work of its own class miss its deadline. With earliest deadline
   * first, new work may overtake admitted work; in a burst, each new item admitted in time would make an admitted one
   * late.
   */
  function makesAdmittedLate(queued: Queued, nowMs: number): boolean {
    const behind = state.waiting.filter(
      (other) =>
        other.item.priorityClass === queued.item.priorityClass && !isMoreUrgent(other, queued),
    );
    if (behind.length === 0) return false;
    const plan = planBefore(queued, nowMs);
    slotPlans.assign(plan, queued);
    return behind.some((other) => {
      const otherWaitMs = conservativeWaitMs(other, slotPlans.assign(plan, other) - nowMs, nowMs);
      return nowMs + otherWaitMs + other.longestMs > other.item.deadlineMs;
    });
  }

  /**
   * Whether starting `aged` now would make work of a higher class late that would otherwise be in time. Critical work
   * may be admitted with little margin, and aging must not make it late. Admission assumes that the next aged item
   * starts first, so there is room for it within the longest wait of a critical request.
   */
  function makesHigherClassLate(aged: Queued, nowMs: number): boolean {
    const without = planNow(nowMs);
    const withAged = planNow(nowMs);
    slotPlans.assign(withAged, aged);
    return state.waiting
      .filter((other) => other !== aged && isMoreUrgent(other, aged))
      .some((other) => {
        const latestStartMs = other.item.deadlineMs - other.longestMs;
        const startMs = slotPlans.assign(without, other);
        return slotPlans.assign(withAged, other) > latestStartMs && startMs <= latestStartMs;
      });
  }

  return {
    findAged,
    waitMs,
    waitsMs,
    makesAdmittedLate,
    makesHigherClassLate,
  };
}
