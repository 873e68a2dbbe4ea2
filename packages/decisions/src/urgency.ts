/** The order in which waiting work starts. */
import * as types from './types.js';

/**
 * How long work may wait before it is aged. Made for overload by higher classes that does not end:
 * without ageing, lower classes would wait for ever. Protest summaries and batch copy can wait for
 * long, so the limits are far beyond what any admitted critical request waits.
 */
const AGED_AFTER_MS: Record<types.PriorityClass, number> = {
  critical: Infinity,
  standard: 60_000,
  batch: 1_800_000,
};
/** Work with a near deadline is aged earlier, while there is still time to run it. */
const AGED_AFTER_SHARE = 0.5;

export function classRank(priorityClass: types.PriorityClass): number {
  return types.PRIORITY_CLASSES.indexOf(priorityClass);
}

/** Class first, then the earliest deadline. */
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
