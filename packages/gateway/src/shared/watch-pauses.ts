/**
 * How long a watch of the upstreams pauses after changes, so that one call brings several: they write often, and
 * each call is paid for by every gateway.
 */
/** The holder plans by the list. */
export const HOLDER_PAUSE_MS = 600;
/** The part of the time in which an upstream that leaves may still get work; the rest is for the call itself. */
const FOLLOWER_SHARE = 0.6;

export function followerPauseMs(drainTimeoutMs: number): number {
  return drainTimeoutMs * FOLLOWER_SHARE;
}
