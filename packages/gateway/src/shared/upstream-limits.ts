/**
 * The request limits that upstreams have reported. Answers on different connections overtake each other, and the head
 * of an answer may be older than a signal received before it: only an answer to a request that was sent after the
 * last signal was received is certainly newer.
 */
import type * as dialects from '../types/dialects.js';

export type UpstreamLimit = {
  /** Requests a second from all gateways together; null once a reported limit has ended. */
  perSecond: number | null;
  /** When it was last reported, here or to another gateway. */
  reportedAtMs: number;
};

/** A limit as another gateway knows it. `ageMs`: time since the upstream reported it. */
export type ReportedLimit = { upstreamId: string; perSecond: number | null; ageMs: number };

export type LimitChange =
  { kind: 'named'; perSecond: number; before: number | null } | { kind: 'ended'; before: number };

export type UpstreamLimits = {
  /** Applies the head of an answer to a request that was sent at `sentMs`. Returns what it changed. */
  answered: (
    upstreamId: string,
    signal: dialects.LimitSignal,
    sentMs: number,
    nowMs: number,
  ) => LimitChange | null;
  /** Applies what another gateway knows. */
  applyRemoteLimit: (limit: ReportedLimit, nowMs: number) => LimitChange | null;
  /** Requests a second; null without a limit. */
  perSecond: (upstreamId: string) => number | null;
  /** Time since the last report; null if there was none. */
  ageMs: (upstreamId: string, nowMs: number) => number | null;
  limitedIds: () => readonly string[];
  /** Limits to report to other gateways. */
  reportedLimits: (nowMs: number) => readonly ReportedLimit[];
  /** Forgets upstreams that have not been listed for long. */
  retain: (upstreamIds: ReadonlySet<string>, nowMs: number) => void;
};

/**
 * Two gateways may know the time of one answer with a difference of a message's delay. Within it, the order of two
 * signals is unknown.
 */
const SAME_SIGNAL_MS = 500;

/** By then all gateways know that a limit has ended. */
const ENDED_REPORTED_MS = 30_000;
/** Entries lapse while the store is away, and return. */
const UNLISTED_KEPT_MS = 600_000;

function changeOf(before: number | null, after: number | null): LimitChange | null {
  if (before === after) return null;
  if (after !== null) return { kind: 'named', perSecond: after, before };
  return before === null ? null : { kind: 'ended', before };
}

/** Where either signal may be the newer one, the lower limit applies until a later answer decides. */
function isLower(perSecond: number | null, { perSecond: known }: UpstreamLimit): boolean {
  return perSecond !== null && (known === null || perSecond < known);
}

export function createUpstreamLimits(): UpstreamLimits {
  const limits = new Map<string, UpstreamLimit>();

  function set(
    upstreamId: string,
    perSecond: number | null,
    reportedAtMs: number,
  ): LimitChange | null {
    const before = limits.get(upstreamId);
    limits.set(upstreamId, { perSecond, reportedAtMs });
    return changeOf(before?.perSecond ?? null, perSecond);
  }

  return {
    answered: (upstreamId, signal, sentMs, nowMs) => {
      if (signal.kind === 'unreadable') return null;
      const perSecond = signal.kind === 'named' ? signal.perSecond : null;
      const before = limits.get(upstreamId);
      if (before === undefined) {
        return perSecond === null ? null : set(upstreamId, perSecond, nowMs);
      }
      if (sentMs >= before.reportedAtMs) return set(upstreamId, perSecond, nowMs);
      return isLower(perSecond, before) ? set(upstreamId, perSecond, nowMs) : null;
    },
    applyRemoteLimit: ({ upstreamId, perSecond, ageMs }, nowMs) => {
      const reportedAtMs = nowMs - ageMs;
      const before = limits.get(upstreamId);
      if (before === undefined) {
        return perSecond === null ? null : set(upstreamId, perSecond, reportedAtMs);
      }
      if (reportedAtMs > before.reportedAtMs + SAME_SIGNAL_MS)
        return set(upstreamId, perSecond, reportedAtMs);
      const isOld = reportedAtMs < before.reportedAtMs - SAME_SIGNAL_MS;
      return !isOld && isLower(perSecond, before) ? set(upstreamId, perSecond, reportedAtMs) : null;
    },
    perSecond: (upstreamId) => limits.get(upstreamId)?.perSecond ?? null,
    ageMs: (upstreamId, nowMs) => {
      const limit = limits.get(upstreamId);
      return limit === undefined ? null : nowMs - limit.reportedAtMs;
    },
    limitedIds: () => [...limits].flatMap(([id, { perSecond }]) => (perSecond === null ? [] : id)),
    reportedLimits: (nowMs) =>
      [...limits]
        .map(([upstreamId, { perSecond, reportedAtMs }]) => ({
          upstreamId,
          perSecond,
          ageMs: nowMs - reportedAtMs,
        }))
        .filter(({ perSecond, ageMs }) => perSecond !== null || ageMs < ENDED_REPORTED_MS),
    retain: (upstreamIds, nowMs) => {
      for (const [id, { reportedAtMs }] of limits) {
        if (!upstreamIds.has(id) && nowMs - reportedAtMs > UNLISTED_KEPT_MS) limits.delete(id);
      }
    },
  };
}
