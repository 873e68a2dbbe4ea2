/**
 * What a copy at each upstream counts for. Load: upstreams whose speeds differ by more than twice. Harm prevented: a model
 * whose copies all stand at slow upstreams is taken for served, and one at fast ones gets copies that others lack.
 */

/**
 * Learnt speeds waver by some hundredths. Failure: what a copy counts for wavers with them. Symptom: copies are moved
 * between upstreams that are equal.
 */
const STEPS = 10;

/**
 * As parts of what the upstreams carry in the mean, since what a request takes is learnt over all of them: 1 for each where
 * all are equal. `slowness`: as in `types/upstream-states.ts`.
 */
export function capacitiesOf(
  upstreamIds: readonly string[],
  slowness: (upstreamId: string) => number,
): ReadonlyMap<string, number> {
  const speeds = upstreamIds.map((upstreamId) => 1 / slowness(upstreamId));
  const mean = speeds.reduce((sum, speed) => sum + speed, 0) / Math.max(1, speeds.length);
  return new Map(
    upstreamIds.map((upstreamId, index) => {
      const steps = Math.round((STEPS * (speeds[index] ?? mean)) / mean);
      return [upstreamId, Math.max(1, steps) / STEPS];
    }),
  );
}
