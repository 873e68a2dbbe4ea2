/** How urgent a request is to an engine that admits urgent requests first. */
import type * as fleet from '../types/fleet.js';

const LEAST_URGENT = 9;
/** An objective beyond this is work that nobody watches. */
const BATCH_OBJECTIVE_MS = 5_000;
const BATCH_STEPS = 4;

/** Below interactive work that may still be in time, above overnight work. */
const LATE_STEPS = 2;

/** Whether its objective leaves time for a copy to be brought from near, which takes seconds. */
export function isBatch(route: Pick<fleet.Route, 'latencyObjectiveMs'>): boolean {
  return route.latencyObjectiveMs >= BATCH_OBJECTIVE_MS;
}

/**
 * Made for overnight work beside interactive work of the same priority: admitted alike, its long prompts
 * make others miss objectives of half a second, while it has ten seconds itself. It starves nobody and
 * is not starved, since engines run tens of requests at once. The same holds for callers that come back
 * together once a model has its copy: they are late already, and those that ask for the first time would be
 * late behind them.
 */
export function enginePriority(
  priority: number,
  route: Pick<fleet.Route, 'latencyObjectiveMs'>,
  isLate: boolean,
): number {
  const steps = (isBatch(route) ? BATCH_STEPS : 0) + (isLate ? LATE_STEPS : 0);
  return Math.min(LEAST_URGENT, Math.max(0, priority) + steps);
}
