import * as storePositions from './store-positions.js';

/**
 * Whether this gateway's list of upstreams lags behind its peers' for longer than its watch pauses. Failure: the
 * connection of the watch falls silent. Symptom: an upstream that leaves goes on getting work here. What a peer
 * knew longer ago than the pause, and has not come, was lost on its way, and is asked of the peer.
 */
export type ListLag = {
  /** A peer's list is as of this position. */
  heard: (peer: storePositions.Position, own: storePositions.Position, nowMs: number) => void;
  isLagging: (own: storePositions.Position, nowMs: number) => boolean;
};

export function createListLag(toleratedMs: number): ListLag {
  /** The oldest position that is missing here, and since when. */
  let missing: { at: storePositions.Position; sinceMs: number } | null = null;
  return {
    heard: (peer, own, nowMs) => {
      if (missing !== null && storePositions.isAtLeast(own, missing.at)) missing = null;
      if (storePositions.isAfter(peer, own)) missing ??= { at: peer, sinceMs: nowMs };
    },
    isLagging: (own, nowMs) =>
      missing !== null &&
      storePositions.isAfter(missing.at, own) &&
      nowMs - missing.sinceMs > toleratedMs,
  };
}
