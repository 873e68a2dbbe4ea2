/**
 * What becomes of a request whose upstream crashed under it. Made for a request that crashes each
 * upstream that runs it, and whose caller sends it again: retried freely it takes one upstream after
 * the other. Most suspects are bystanders, so each is retried once, alone as far as possible; only the
 * one that is there at a second crash is refused from then on.
 */

export type SuspectVerdict =
  /** Try once more, on none of `excludedIds`. */
  | { kind: 'retry'; excludedIds: readonly string[] }
  /** Refuse this fingerprint everywhere until then. */
  | { kind: 'quarantine'; untilMs: number };

export type Quarantine = {
  /**
   * An upstream's process was lost while the request ran. Not to be called when the whole VM or its
   * failure domain went: that is no fault of a request.
   */
  crashed: (fingerprint: string, upstreamId: string, nowMs: number) => SuspectVerdict;
  /** The request with this fingerprint ended well: it is no suspect any more. */
  cleared: (fingerprint: string) => void;
  /** What another process found out. */
  learned: (fingerprint: string, untilMs: number) => void;
  /** Until when the fingerprint is refused, or null. */
  refusedUntilMs: (fingerprint: string, nowMs: number) => number | null;
  /** All that is refused now, for other processes to learn. */
  refused: (nowMs: number) => readonly { fingerprint: string; untilMs: number }[];
};

/** Long enough that a caller's resends stop, short enough that a mistake or a mended engine heals. */
const QUARANTINE_MS = 900_000;
/** A suspect that has not come back in this time is forgotten. */
const SUSPECT_MS = 600_000;
/** A crash takes all in flight with it; this holds the suspects of some hundred crashes. */
const MAX_ENTRIES = 10_000;

type Suspect = { upstreamIds: string[]; untilMs: number };

/** Maps keep the order of insertion, so the oldest go first. */
function trim(entries: Map<string, unknown>): void {
  for (const key of entries.keys()) {
    if (entries.size <= MAX_ENTRIES) return;
    entries.delete(key);
  }
}

export function createQuarantine(): Quarantine {
  const suspects = new Map<string, Suspect>();
  const refusedUntil = new Map<string, number>();

  function learned(fingerprint: string, untilMs: number): void {
    const knownMs = refusedUntil.get(fingerprint) ?? 0;
    refusedUntil.delete(fingerprint);
    refusedUntil.set(fingerprint, Math.max(knownMs, untilMs));
    trim(refusedUntil);
  }

  return {
    crashed: (fingerprint, upstreamId, nowMs) => {
      const known = suspects.get(fingerprint);
      const earlierIds = known !== undefined && known.untilMs > nowMs ? known.upstreamIds : [];
      suspects.delete(fingerprint);
      if (earlierIds.length > 0) {
        const untilMs = nowMs + QUARANTINE_MS;
        learned(fingerprint, untilMs);
        return { kind: 'quarantine', untilMs };
      }
      suspects.set(fingerprint, { upstreamIds: [upstreamId], untilMs: nowMs + SUSPECT_MS });
      trim(suspects);
      return { kind: 'retry', excludedIds: [upstreamId] };
    },
    cleared: (fingerprint) => {
      suspects.delete(fingerprint);
    },
    learned,
    refusedUntilMs: (fingerprint, nowMs) => {
      const untilMs = refusedUntil.get(fingerprint);
      if (untilMs === undefined) return null;
      if (untilMs > nowMs) return untilMs;
      refusedUntil.delete(fingerprint);
      return null;
    },
    refused: (nowMs) =>
      [...refusedUntil]
        .filter(([, untilMs]) => untilMs > nowMs)
        .map(([fingerprint, untilMs]) => ({ fingerprint, untilMs })),
  };
}

/**
 * Gives each suspect of one crash an upstream of its own, so that the second crash names one of them.
 * Suspects beyond the upstreams are left out: they are refused rather than run beside another suspect.
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
