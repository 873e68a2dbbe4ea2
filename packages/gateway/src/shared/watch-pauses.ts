/**
 * How long a watch of the upstreams pauses after changes, so that one call brings several: they write often, and
 * each call is paid for by every gateway.
 */
/** The holder plans by the list. */
export const HOLDER_PAUSE_MS = 600;
/** A watch whose connection has fallen silent is noticed at its end; a change must be in force well before long after. */
const HOLDER_WAIT_MAX_MS = 2_000;
/** The part of the time in which an upstream that leaves may still get work; others learn of it after that. */
const HOLDER_WAIT_SHARE = 0.25;

/** How long a watch of the holder waits, on which all others rely. */
export function holderWaitMs(drainTimeoutMs: number): number {
  return Math.min(HOLDER_WAIT_MAX_MS, drainTimeoutMs * HOLDER_WAIT_SHARE);
}

/** The part of the time in which an upstream that leaves may still get work; the rest is for the call itself. */
const FOLLOWER_SHARE = 0.6;

export function followerPauseMs(drainTimeoutMs: number): number {
  return drainTimeoutMs * FOLLOWER_SHARE;
}
