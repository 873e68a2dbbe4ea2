/**
 * Whether this gateway's list of upstreams lags behind its peers' for longer than its watch pauses. Failure: the
 * connection of the watch falls silent. Symptom: an upstream that leaves goes on getting work here. What a peer
 * knew longer ago than the pause, and has not come, was lost on its way, and is asked of the peer.
 */
export type ListLag = {
  /** A peer's list has this revision. */
  heard: (peerRevision: number, ownRevision: number, nowMs: number) => void;
  isLagging: (ownRevision: number, nowMs: number) => boolean;
};

export function createListLag(toleratedMs: number): ListLag {
  /** The oldest revision that is missing here, and since when. */
  let missing: { revision: number; sinceMs: number } | null = null;
  return {
    heard: (peerRevision, ownRevision, nowMs) => {
      if (missing !== null && ownRevision >= missing.revision) missing = null;
      if (peerRevision > ownRevision) missing ??= { revision: peerRevision, sinceMs: nowMs };
    },
    isLagging: (ownRevision, nowMs) =>
      missing !== null && ownRevision < missing.revision && nowMs - missing.sinceMs > toleratedMs,
  };
}
