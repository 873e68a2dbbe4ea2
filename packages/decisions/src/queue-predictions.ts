/** What the waits in one queue will be: for admission, for ageing and for those who send work there. */
import type * as agingCredit from './aging-credit.js';
import type * as higherClassLoad from './higher-class-load.js';
import * as types from './types.js';
import * as urgency from './urgency.js';
import * as waits from './waits.js';

/** Admitted work with what it was expected to take when it came. */
export type Queued = waits.PlannedWork & {
  item: types.WorkItem;
  longestMs: number;
  isLong: boolean;
};

export type Running = { queued: Queued; startedAtMs: number };

/** The queue as it is; `waiting` is in the order of urgency. */
export type QueueState = {
  slotCount: number;
  waiting: Queued[];
  running: Map<string, Running>;
};

export type Predictions = {
  /** The aged work that may go next, before work of higher classes. */
  findAged: (nowMs: number) => Queued | undefined;
  /** How long `queued` would wait, as far as it can be promised. */
  waitMs: (queued: Queued, nowMs: number) => number;
  /** How long new work of each class would wait. */
  waitsMs: (nowMs: number) => Record<types.PriorityClass, number>;
  breaksPromise: (queued: Queued, nowMs: number) => boolean;
  costsDeadline: (aged: Queued, nowMs: number) => boolean;
};

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

export function isMoreUrgent(left: Queued, right: Queued): boolean {
  return urgency.compareUrgency(left.item, right.item) <= 0;
}

export function createPredictions(
  state: QueueState,
  credit: Pick<agingCredit.AgingCredit, 'isLeft'>,
  higherLoad: Pick<higherClassLoad.HigherClassLoad, 'stretch'>,
): Predictions {
  function planNow(nowMs: number): waits.SlotPlan {
    const leftsMs = [...state.running.values()].map(({ queued, startedAtMs }) =>
      waits.remainingMs(startedAtMs, queued.expectedMs, nowMs),
    );
    return waits.planSlots(state.slotCount, leftsMs, nowMs);
  }

  /** The aged work that may go next, before work of higher classes. */
  function findAged(nowMs: number): Queued | undefined {
    if (!credit.isLeft(nowMs)) return undefined;
    return state.waiting
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
      state.waiting.filter((other) => isMoreUrgent(other, queued)),
    );
    return plan;
  }

  /** The wait that is counted on, given the wait if nothing more of a higher class came. */
  function promiseMs({ item }: Queued, bareMs: number, nowMs: number): number {
    if (item.priorityClass === 'batch') return bareMs;
    const marginMs = bareMs * WAIT_MARGIN[item.priorityClass];
    return higherLoad.stretch(item.priorityClass, marginMs, state.slotCount, nowMs);
  }

  /** The wait of `queued` behind all waiting work that is more urgent. */
  function waitMs(queued: Queued, nowMs: number): number {
    const plan = planBefore(queued, nowMs);
    const queueMs = Math.max(0, (plan[0] ?? nowMs) - nowMs);
    return Math.max(promiseMs(queued, queueMs, nowMs), queued.readyAtMs - nowMs);
  }

  function waitsMs(nowMs: number): Record<types.PriorityClass, number> {
    const plan = planNow(nowMs);
    const byClass = { critical: 0, standard: 0, batch: 0 };
    types.PRIORITY_CLASSES.forEach((name) => {
      waits.assignAll(
        plan,
        state.waiting.filter(({ item }) => item.priorityClass === name),
      );
      byClass[name] = Math.max(0, (plan[0] ?? nowMs) - nowMs);
    });
    return byClass;
  }

  /**
   * Whether `queued` would push admitted work of its own class past its deadline. Made for bursts: with
   * earliest deadline first a newcomer overtakes, and without this check each newcomer in time would
   * cost an admitted one its deadline.
   */
  function breaksPromise(queued: Queued, nowMs: number): boolean {
    const behind = state.waiting.filter(
      (other) =>
        other.item.priorityClass === queued.item.priorityClass && !isMoreUrgent(other, queued),
    );
    if (behind.length === 0) return false;
    const plan = planBefore(queued, nowMs);
    waits.assign(plan, queued);
    return behind.some((other) => {
      const promisedMs = promiseMs(other, waits.assign(plan, other) - nowMs, nowMs);
      return nowMs + promisedMs + other.longestMs > other.item.deadlineMs;
    });
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
    return state.waiting
      .filter((other) => other !== aged && isMoreUrgent(other, aged))
      .some((other) => {
        const latestStartMs = other.item.deadlineMs - other.longestMs;
        const startMs = waits.assign(without, other);
        return waits.assign(withAged, other) > latestStartMs && startMs <= latestStartMs;
      });
  }

  return { findAged, waitMs, waitsMs, breaksPromise, costsDeadline };
}
