/**
 * The capacity of a copy at each upstream. Speeds of upstreams differ by more than a factor of two. If all copies
 * counted alike, a model with copies only at slow upstreams would seem sufficiently served, and one with copies at fast
 * upstreams would get further copies that other models need.
 */

/**
 * Learned speeds fluctuate by a few percent. Without rounding, capacities would fluctuate as well, and copies would be
 * moved between upstreams of equal speed.
 */
const STEPS_PER_MEAN = 10;

/**
 * Capacities relative to the average upstream, since the service time of a request is learned over all upstreams: 1 for
 * each if all are equal. `latencyRatio` is the one in `types/upstream-states.ts`.
 */
export function capacitiesOf(
  upstreamIds: readonly string[],
  latencyRatio: (upstreamId: string) => number,
): ReadonlyMap<string, number> {
  const speeds = upstreamIds.map((upstreamId) => 1 / latencyRatio(upstreamId));
  const mean = speeds.reduce((sum, speed) => sum + speed, 0) / Math.max(1, speeds.length);
  return new Map(
    upstreamIds.map((upstreamId, index) => {
      const steps = Math.round((STEPS_PER_MEAN * (speeds[index] ?? mean)) / mean);
      return [upstreamId, Math.max(1, steps) / STEPS_PER_MEAN];
    }),
  );
}
