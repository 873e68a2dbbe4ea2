/**
 * Decides what happens to requests whose upstream crashed while they ran. A request that crashes every upstream, and
 * that its caller sends again, would take down one upstream after another if it were retried without limit. Most
 * requests in flight during a crash did not cause it, so each is retried once, if possible apart from the others; only
 * a request that is in flight during a second crash is refused from then on.
 */

export type CrashDecision =
  /** Retry once, but not on `excludedIds`. */
  | { kind: 'retry'; excludedIds: readonly string[] }
  /** Refuse this fingerprint everywhere until `untilMs`. */
  | { kind: 'quarantine'; untilMs: number };

export type Quarantine = {
  /**
   * Records that an upstream's process crashed while the request ran. Must not be called when a whole VM or failure
   * domain was lost, since no request caused that.
   */
  recordCrash: (fingerprint: string, upstreamId: string, nowMs: number) => CrashDecision;
  /** Records that a request with this fingerprint succeeded; it is no longer suspected. */
  clearSuspicion: (fingerprint: string) => void;
  /** Adds a quarantine that another process reported. */
  applyQuarantine: (fingerprint: string, untilMs: number) => void;
  /** Until when the fingerprint is refused; null if it is not. */
  refusedUntilMs: (fingerprint: string, nowMs: number) => number | null;
  /** All quarantines in force, to be reported to other processes. */
  activeQuarantines: (nowMs: number) => readonly { fingerprint: string; untilMs: number }[];
};

/**
 * Long enough that a caller stops sending the request, short enough to recover from a wrong decision or after the
 * engine was fixed.
 */
const QUARANTINE_MS = 900_000;
/** A suspected request that is not seen for this time is forgotten. */
const SUSPECT_MS = 600_000;
/** Every request in flight during a crash becomes suspected; this is enough for some hundred crashes. */
const MAX_ENTRIES = 10_000;

type Suspect = { upstreamIds: string[]; untilMs: number };

/** Maps keep insertion order, so the oldest entries are deleted first. */
function trim(entries: Map<string, unknown>): void {
  for (const key of entries.keys()) {
    if (entries.size <= MAX_ENTRIES) return;
    entries.delete(key);
  }
}

export function createQuarantine(): Quarantine {
  const suspects = new Map<string, Suspect>();
  const refusedUntil = new Map<string, number>();

  function applyQuarantine(fingerprint: string, untilMs: number): void {
    const knownMs = refusedUntil.get(fingerprint) ?? 0;
    refusedUntil.delete(fingerprint);
    refusedUntil.set(fingerprint, Math.max(knownMs, untilMs));
    trim(refusedUntil);
  }

  return {
    recordCrash: (fingerprint, upstreamId, nowMs) => {
      const known = suspects.get(fingerprint);
      const earlierIds = known !== undefined && known.untilMs > nowMs ? known.upstreamIds : [];
      suspects.delete(fingerprint);
      if (earlierIds.length > 0) {
        const untilMs = nowMs + QUARANTINE_MS;
        applyQuarantine(fingerprint, untilMs);
        return { kind: 'quarantine', untilMs };
      }
      suspects.set(fingerprint, { upstreamIds: [upstreamId], untilMs: nowMs + SUSPECT_MS });
      trim(suspects);
      return { kind: 'retry', excludedIds: [upstreamId] };
    },
    clearSuspicion: (fingerprint) => {
      suspects.delete(fingerprint);
    },
    applyQuarantine,
    refusedUntilMs: (fingerprint, nowMs) => {
      const untilMs = refusedUntil.get(fingerprint);
      if (untilMs === undefined) return null;
      if (untilMs > nowMs) return untilMs;
      refusedUntil.delete(fingerprint);
      return null;
    },
    activeQuarantines: (nowMs) =>
      [...refusedUntil]
        .filter(([, untilMs]) => untilMs > nowMs)
        .map(([fingerprint, untilMs]) => ({ fingerprint, untilMs })),
  };
}

/**
 * Assigns each request suspected in one crash to a different upstream, so that a second crash identifies the cause. If
 * there are more requests than upstreams, the remaining ones are not assigned: they are refused instead of running
 * beside another suspected request.
 */
export function assignSuspects(
  fingerprints: readonly string[],
  upstreamIds: readonly string[],
): Map<string, string> {
  const assigned = new Map<string, string>();
  fingerprints.slice(0, upstreamIds.length).forEach((fingerprint, index) => {
    assigned.set(fingerprint, upstreamIds[index] as string);
  });
  return assigned;
}
