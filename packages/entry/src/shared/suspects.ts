/**
 * Requests that may crash each engine that runs them. Load: now and then one request takes an engine
 * down, and its caller, or a retry, sends it to the next. Harm without this: one request empties a
 * pool. A first crash says little, since all requests in flight there share it; so each is tried once
 * more, apart from other suspects. A request that was on two crashed engines is the likely reason:
 * every entry refuses its fingerprint until the notice expires.
 */
import type * as membership from '@copperlever/coordination/membership/types';
import type { clocks } from '@copperlever/runtime';

export type SuspectsDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  notices: Pick<membership.Notices, 'publish' | 'has' | 'list'>;
};

export type Suspects = {
  /** Until when the fingerprint is refused; null when it is not. */
  quarantinedUntilMs: (fingerprint: string) => number | null;
  noteCrash: (fingerprint: string) => void;
  /** It was answered: it is not what crashed the engine. */
  noteAnswer: (fingerprint: string) => void;
  noteStarted: (agentId: string) => void;
  noteEnded: (agentId: string) => void;
  /** Agents that run a suspect of this entry now. */
  busyAgentIds: () => ReadonlySet<string>;
};

export const QUARANTINE_TOPIC = 'quarantine';
/** A request that one entry has seen on a crashed engine: its caller may come to another next. */
export const SUSPECT_TOPIC = 'crash-suspect';
/** A caller that asks again does so within this time. */
const SUSPECT_NOTICE_MS = 60_000;
/** Long enough that its callers give up, short enough that a wrong verdict passes by itself. */
export const QUARANTINE_MS = 600_000;
/** A second crash this long after the first is another story. */
const SUSPICION_MS = 300_000;
/** A crash leaves as many suspects as were in flight; the oldest make room. */
const MAX_SUSPECTS = 1_000;

/** Keeps a map of fingerprints within its limit; the oldest were added first. */
function dropOldest(byFingerprint: Map<string, number>): void {
  if (byFingerprint.size <= MAX_SUSPECTS) return;
  const [oldest] = byFingerprint.keys();
  if (oldest !== undefined) byFingerprint.delete(oldest);
}

export function createSuspects(deps: SuspectsDeps): Suspects {
  const { clock, notices } = deps;
  const crashedAtMs = new Map<string, number>();
  /** Fingerprints that were answered here after another entry called them suspects. */
  const clearedUntilMs = new Map<string, number>();
  const busyCounts = new Map<string, number>();

  /**
   * Failure: a stream has begun, so its crash is not retried, and the caller asks at another entry.
   * Symptom: each entry sees a first crash, and the request takes down an engine for each of them.
   * Enough, because the word of a first crash reaches the other entries before a caller does.
   */
  function isSuspect(fingerprint: string): boolean {
    const beforeMs = crashedAtMs.get(fingerprint);
    if (beforeMs !== undefined) return beforeMs > clock.nowMs() - SUSPICION_MS;
    const isCleared = (clearedUntilMs.get(fingerprint) ?? 0) > clock.nowMs();
    return notices.has(SUSPECT_TOPIC, fingerprint) && !isCleared;
  }

  /**
   * Failure: a frequent request, such as a health check, is in flight at each crash. Symptom: the word
   * of one crash and another one later quarantine it. Enough, because it is answered in between, and
   * an answer outweighs a suspicion at the entry that gave it.
   */
  function clear(fingerprint: string): void {
    crashedAtMs.delete(fingerprint);
    if (!notices.has(SUSPECT_TOPIC, fingerprint)) return;
    clearedUntilMs.delete(fingerprint);
    clearedUntilMs.set(fingerprint, clock.nowMs() + SUSPECT_NOTICE_MS);
    dropOldest(clearedUntilMs);
  }

  function quarantine(fingerprint: string): void {
    const expiresAtMs = clock.nowMs() + QUARANTINE_MS;
    notices.publish({ topic: QUARANTINE_TOPIC, key: fingerprint, expiresAtMs });
    crashedAtMs.delete(fingerprint);
  }

  function suspect(fingerprint: string): void {
    clearedUntilMs.delete(fingerprint);
    crashedAtMs.delete(fingerprint);
    crashedAtMs.set(fingerprint, clock.nowMs());
    const expiresAtMs = clock.nowMs() + SUSPECT_NOTICE_MS;
    notices.publish({ topic: SUSPECT_TOPIC, key: fingerprint, expiresAtMs });
    dropOldest(crashedAtMs);
  }

  function addBusy(agentId: string, change: number): void {
    const count = (busyCounts.get(agentId) ?? 0) + change;
    if (count > 0) busyCounts.set(agentId, count);
    else busyCounts.delete(agentId);
  }

  return {
    quarantinedUntilMs: (fingerprint) => {
      if (!notices.has(QUARANTINE_TOPIC, fingerprint)) return null;
      const listed = notices.list(QUARANTINE_TOPIC);
      return listed.find((notice) => notice.key === fingerprint)?.expiresAtMs ?? null;
    },
    noteCrash: (fingerprint) => {
      if (isSuspect(fingerprint)) quarantine(fingerprint);
      else suspect(fingerprint);
    },
    noteAnswer: clear,
    noteStarted: (agentId) => addBusy(agentId, 1),
    noteEnded: (agentId) => addBusy(agentId, -1),
    busyAgentIds: () => new Set(busyCounts.keys()),
  };
}
