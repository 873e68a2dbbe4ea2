import * as storePositions from './store-positions.js';

/**
 * Whether this gateway's list of upstreams lags behind its peers' lists for longer than its watch pauses. That
 * happens when the connection of the watch falls silent, and an upstream that leaves would go on getting work here. A
 * change that a peer knew longer ago than the pause was lost on its way, and is requested from the peer.
 */
export type ListLag = {
  /** Applies the position of a peer's list. */
  applyPeerPosition: (
    peer: storePositions.Position,
    own: storePositions.Position,
    nowMs: number,
  ) => void;
  isLagging: (own: storePositions.Position, nowMs: number) => boolean;
};

export function createListLag(toleratedMs: number): ListLag {
  /** The oldest position that is missing here, and since when. */
  let missing: { at: storePositions.Position; sinceMs: number } | null = null;
  return {
    applyPeerPosition: (peer, own, nowMs) => {
      if (missing !== null && storePositions.isAtLeast(own, missing.at)) missing = null;
      if (storePositions.isAfter(peer, own)) missing ??= { at: peer, sinceMs: nowMs };
    },
    isLagging: (own, nowMs) =>
      missing !== null &&
      storePositions.isAfter(missing.at, own) &&
      nowMs - missing.sinceMs > toleratedMs,
  };
}
