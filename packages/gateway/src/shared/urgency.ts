/** How urgent a request is to an engine that admits urgent requests first. */
import type * as fleet from '../types/fleet.js';

const LEAST_URGENT = 9;
/** An objective beyond this means work that no user waits for. */
const BATCH_OBJECTIVE_MS = 5_000;
const BATCH_STEPS = 4;

/** Less urgent than interactive work that may still be in time, more urgent than overnight work. */
const LATE_STEPS = 2;

/** Whether the objective leaves time, some seconds, to load a staged copy. */
export function isBatch(route: Pick<fleet.Route, 'latencyObjectiveMs'>): boolean {
  return route.latencyObjectiveMs >= BATCH_OBJECTIVE_MS;
}

/**
 * Overnight work gets a lower priority than interactive work of the same route priority. Admitted alike, its long
 * prompts would make others miss objectives of half a second, while it has ten seconds itself. Neither starves the
 * other, since engines run tens of requests at once. The same holds for callers that come back together once a model
 * has its copy: they are late already, and new requests would become late behind them.
 */
export function enginePriority(
  priority: number,
  route: Pick<fleet.Route, 'latencyObjectiveMs'>,
  isLate: boolean,
): number {
  const steps = (isBatch(route) ? BATCH_STEPS : 0) + (isLate ? LATE_STEPS : 0);
  return Math.min(LEAST_URGENT, Math.max(0, priority) + steps);
}
