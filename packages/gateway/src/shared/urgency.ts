/** How urgent a request is to an engine that admits urgent requests first. */
import type * as fleet from '../types/fleet.js';

const LEAST_URGENT = 9;
/** An objective beyond this is work that nobody watches. */
const BATCH_OBJECTIVE_MS = 5_000;
const BATCH_STEPS = 4;

/**
 * Made for overnight work beside interactive work of the same priority: admitted alike, its long prompts
 * make others miss objectives of half a second, while it has ten seconds itself. It starves nobody and
 * is not starved, since engines run tens of requests at once.
 */
export function enginePriority(route: fleet.Route): number {
  const isBatch = route.latencyObjectiveMs >= BATCH_OBJECTIVE_MS;
  return Math.min(LEAST_URGENT, Math.max(0, route.priority) + (isBatch ? BATCH_STEPS : 0));
}
