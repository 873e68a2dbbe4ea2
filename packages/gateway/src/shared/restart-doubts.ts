/**
 * Upstreams that may have started again under their name, with other software, before the platform's list says so. One that took
 * no connection has probably ended; it is back after some seconds, and writes its entry anew some time after it has begun to
 * answer.
 */
export type RestartDoubts = {
  /** It took no connection. */
  noteUnreachable: (upstreamId: string) => void;
  noteAnswered: (upstreamId: string, nowMs: number) => void;
  /** Whether what the list says of the upstream may be of an earlier start. */
  isDoubtful: (upstreamId: string, listAgeMs: number | null, nowMs: number) => boolean;
  retain: (upstreamIds: ReadonlySet<string>) => void;
};

/** Upstreams write their entries about every second; what is missing after two is taken for gone. */
const REGISTERED_WITHIN_MS = 2_500;

export function createRestartDoubts(): RestartDoubts {
  /** When each of them first answered again; null until then. */
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
