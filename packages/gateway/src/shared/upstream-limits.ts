/**
 * What upstreams have said of the requests that they take. Answers on different connections overtake each other, and
 * the head of an answer may be older than what came since: only an answer to a request that was sent after the last
 * word came is surely newer than it.
 */
import type * as dialects from '../types/dialects.js';

export type UpstreamLimit = {
  /** Requests a second from all gateways together; null when a limit that was named has ended. */
  perSecond: number | null;
  /** When it was last said, here or to another gateway. */
  saidMs: number;
};

/** What another gateway knows; `ageMs`: since it was said. */
export type ToldLimit = { upstreamId: string; perSecond: number | null; ageMs: number };

export type LimitChange =
  { kind: 'named'; perSecond: number; before: number | null } | { kind: 'ended'; before: number };

export type UpstreamLimits = {
  /** The head of an answer to a request that was sent at `sentMs`; says what it changed. */
  answered: (
    upstreamId: string,
    word: dialects.LimitWord,
    sentMs: number,
    nowMs: number,
  ) => LimitChange | null;
  /** What another gateway knows. */
  told: (limit: ToldLimit, nowMs: number) => LimitChange | null;
  /** Requests a second; null without a limit. */
  perSecond: (upstreamId: string) => number | null;
  /** Since it was last said; null where nothing was ever said. */
  ageMs: (upstreamId: string, nowMs: number) => number | null;
  limitedIds: () => readonly string[];
  /** To tell other gateways. */
  known: (nowMs: number) => readonly ToldLimit[];
  /** Forgets upstreams that have not been listed for long. */
  retain: (upstreamIds: ReadonlySet<string>, nowMs: number) => void;
};

/** What two gateways know of one answer differs by what a message takes: which of two words is newer cannot be told. */
const SAME_WORD_MS = 500;

/** By then all gateways know that a limit has ended. */
const ENDED_TOLD_MS = 30_000;
/** Entries lapse while the store is away, and come back. */
const UNLISTED_KEPT_MS = 600_000;

function changeOf(before: number | null, after: number | null): LimitChange | null {
  if (before === after) return null;
  if (after !== null) return { kind: 'named', perSecond: after, before };
  return before === null ? null : { kind: 'ended', before };
}

/** Where either word may be the newer one, the lower limit holds until a later answer tells. */
function isLower(perSecond: number | null, { perSecond: known }: UpstreamLimit): boolean {
  return perSecond !== null && (known === null || perSecond < known);
}

export function createUpstreamLimits(): UpstreamLimits {
  const limits = new Map<string, UpstreamLimit>();

  function set(upstreamId: string, perSecond: number | null, saidMs: number): LimitChange | null {
    const before = limits.get(upstreamId);
    limits.set(upstreamId, { perSecond, saidMs });
    return changeOf(before?.perSecond ?? null, perSecond);
  }

  return {
    answered: (upstreamId, word, sentMs, nowMs) => {
      if (word.kind === 'unreadable') return null;
      const perSecond = word.kind === 'named' ? word.perSecond : null;
      const before = limits.get(upstreamId);
      if (before === undefined) {
        return perSecond === null ? null : set(upstreamId, perSecond, nowMs);
      }
      if (sentMs >= before.saidMs) return set(upstreamId, perSecond, nowMs);
      return isLower(perSecond, before) ? set(upstreamId, perSecond, nowMs) : null;
    },
    told: ({ upstreamId, perSecond, ageMs }, nowMs) => {
      const saidMs = nowMs - ageMs;
      const before = limits.get(upstreamId);
      if (before === undefined) {
        return perSecond === null ? null : set(upstreamId, perSecond, saidMs);
      }
      if (saidMs > before.saidMs + SAME_WORD_MS) return set(upstreamId, perSecond, saidMs);
      const isOld = saidMs < before.saidMs - SAME_WORD_MS;
      return !isOld && isLower(perSecond, before) ? set(upstreamId, perSecond, saidMs) : null;
    },
    perSecond: (upstreamId) => limits.get(upstreamId)?.perSecond ?? null,
    ageMs: (upstreamId, nowMs) => {
      const limit = limits.get(upstreamId);
      return limit === undefined ? null : nowMs - limit.saidMs;
    },
    limitedIds: () => [...limits].flatMap(([id, { perSecond }]) => (perSecond === null ? [] : id)),
    known: (nowMs) =>
      [...limits]
        .map(([upstreamId, { perSecond, saidMs }]) => ({
          upstreamId,
          perSecond,
          ageMs: nowMs - saidMs,
        }))
        .filter(({ perSecond, ageMs }) => perSecond !== null || ageMs < ENDED_TOLD_MS),
    retain: (upstreamIds, nowMs) => {
      for (const [id, { saidMs }] of limits) {
        if (!upstreamIds.has(id) && nowMs - saidMs > UNLISTED_KEPT_MS) limits.delete(id);
      }
    },
  };
}
