/** Conversion of durations between an upstream's speed and the average speed of its service. */

/**
 * `latencyRatio`: learned service time relative to the service's average. `transientFactor`: current service time
 * relative to the upstream's own baseline.
 */
export type Speed = { latencyRatio: number; transientFactor: number };

export const BASELINE_SPEED: Speed = { latencyRatio: 1, transientFactor: 1 };

/**
 * A transient factor applies to the work of the next 600 ms and says nothing about what comes after. This also limits
 * what an absurd factor can add to a prediction.
 */
export const TRANSIENT_HORIZON_MS = 600;

/** Duration at an upstream of this speed of work that takes `baselineMs` at an upstream of average speed. */
export function atSpeed(
  baselineMs: number,
  { latencyRatio: slowness, transientFactor: momentFactor }: Speed,
): number {
  const undisturbedMs = baselineMs * slowness;
  const slowedMs = undisturbedMs * momentFactor;
  if (slowedMs <= TRANSIENT_HORIZON_MS) return slowedMs;
  return TRANSIENT_HORIZON_MS + undisturbedMs - TRANSIENT_HORIZON_MS / momentFactor;
}

/** The inverse of `atSpeed`. */
export function atBaselineSpeed(
  durationMs: number,
  { latencyRatio: slowness, transientFactor: momentFactor }: Speed,
): number {
  const slowedMs = Math.min(durationMs, TRANSIENT_HORIZON_MS);
  return (slowedMs / momentFactor + durationMs - slowedMs) / slowness;
}
