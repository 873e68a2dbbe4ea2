/** What work takes at the speed of an upstream, and back: what it would have taken at an upstream of usual speed. */

/** Service time relative to the usual of the service, learnt, and relative to the upstream's own usual, now. */
export type Speed = { slowness: number; momentFactor: number };

export const USUAL_SPEED: Speed = { slowness: 1, momentFactor: 1 };

/**
 * A moment factor holds for the work of the next 600 ms and says nothing of what comes after. This also bounds what
 * an absurd factor can add to a prediction.
 */
export const MOMENT_HORIZON_MS = 600;

/** How long work takes there that takes `usualMs` at an upstream of usual speed. */
export function atSpeed(usualMs: number, { slowness, momentFactor }: Speed): number {
  const ownUsualMs = usualMs * slowness;
  const momentMs = ownUsualMs * momentFactor;
  if (momentMs <= MOMENT_HORIZON_MS) return momentMs;
  return MOMENT_HORIZON_MS + ownUsualMs - MOMENT_HORIZON_MS / momentFactor;
}

/** The inverse of `atSpeed`. */
export function atUsualSpeed(tookMs: number, { slowness, momentFactor }: Speed): number {
  const momentMs = Math.min(tookMs, MOMENT_HORIZON_MS);
  return (momentMs / momentFactor + tookMs - momentMs) / slowness;
}
