/**
 * Upstreams that may have restarted under their name, with other software, before the platform's list shows it. An upstream that
 * refused a connection has probably crashed. It is back after some seconds, and renews its entry some time after it has begun
 * to answer.
 */
export type RestartDoubts = {
  /** The upstream accepted no connection. */
  noteUnreachable: (upstreamId: string) => void;
  noteAnswered: (upstreamId: string, nowMs: number) => void;
  /** Whether the upstream's entry in the list may belong to its previous start. */
  isDoubtful: (upstreamId: string, listAgeMs: number | null, nowMs: number) => boolean;
  retain: (upstreamIds: ReadonlySet<string>) => void;
};

/** Upstreams renew their entries about once a second; an entry that is missing for two is taken for gone. */
const REGISTERED_WITHIN_MS = 2_500;

export function createRestartDoubts(): RestartDoubts {
  /** When each first answered again; null until then. */
  const answeredMs = new Map<string, number | null>();
  return {
    noteUnreachable: (upstreamId) => {
      answeredMs.set(upstreamId, null);
    },
    noteAnswered: (upstreamId, nowMs) => {
      if (answeredMs.get(upstreamId) === null) answeredMs.set(upstreamId, nowMs);
    },
    isDoubtful: (upstreamId, listAgeMs, nowMs) => {
      const sinceMs = answeredMs.get(upstreamId);
      if (sinceMs === undefined) return false;
      if (sinceMs === null || listAgeMs === null) return true;
      const isSettled = nowMs - listAgeMs - sinceMs >= REGISTERED_WITHIN_MS;
      if (isSettled) answeredMs.delete(upstreamId);
      return !isSettled;
    },
    retain: (upstreamIds) => {
      for (const id of answeredMs.keys()) if (!upstreamIds.has(id)) answeredMs.delete(id);
    },
  };
}
