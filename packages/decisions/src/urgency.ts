/** The order in which waiting work starts. */
import * as types from './types.js';

/**
 * How long work may wait before it counts as aged. Without aging, permanent overload by higher classes would starve
 * lower ones. Protest summaries and batch copy can wait long, so the limits are far beyond the wait of any admitted
 * critical request.
 */
const AGED_AFTER_MS: Record<types.PriorityClass, number> = {
  critical: Infinity,
  standard: 60_000,
  batch: 1_800_000,
};
/** Work with a short deadline is aged earlier, after this part of its time, while it can still run in time. */
const AGED_AFTER_SHARE = 0.5;

export function classRank(priorityClass: types.PriorityClass): number {
  return types.PRIORITY_CLASSES.indexOf(priorityClass);
}

/** Orders by class, then by deadline, then by arrival. */
export function compareUrgency(left: types.WorkItem, right: types.WorkItem): number {
  return (
    classRank(left.priorityClass) - classRank(right.priorityClass) ||
    left.deadlineMs - right.deadlineMs ||
    left.arrivedAtMs - right.arrivedAtMs
  );
}

/** Whether `item` has waited so long that it may start before work of a higher class. */
export function isAged(item: types.WorkItem, nowMs: number): boolean {
  if (item.priorityClass === 'critical') return false;
  const spanMs = item.deadlineMs - item.arrivedAtMs;
  const limitMs = Math.min(AGED_AFTER_MS[item.priorityClass], AGED_AFTER_SHARE * spanMs);
  return nowMs - item.arrivedAtMs >= limitMs;
}
