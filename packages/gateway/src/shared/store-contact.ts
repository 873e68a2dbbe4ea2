/**
 * When the platform's store answered any gateway. Entries lapse while upstreams cannot renew them, and live ones are written
 * again after the store's return, so entries that are missing then are kept for a while. A gateway that alone was cut off must
 * not take its own outage for the store's: it would keep upstreams that were really removed.
 */

/** The store answered all along, with no pause in which an entry could have lapsed. */
export type ContactSpan = { fromMs: number; toMs: number };

export type StoreContact = {
  /** The store answered a gateway with its state as of then. */
  noteAnswered: (asOfMs: number) => void;
  /** Another gateway knows of a span. */
  noteSpan: (span: ContactSpan) => void;
  /** A call of this gateway failed. */
  noteFailed: (nowMs: number) => void;
  /** The latest span; null before the first answer. */
  latest: () => ContactSpan | null;
  /** From when on entries that are missing count as possibly lapsed; -Infinity if none do. */
  returnedMs: () => number;
};

/** Entries that lapsed are written again within about this time of the store's return. */
export const LAPSE_GRACE_MS = 2_000;
/** Entries lapse after three heartbeats of some 1.2 s, and the last one may have come just before the store went away. */
const LAPSE_SILENCE_MS = 2_200;
/** A gateway whose calls failed for longer has not just lost an answer or two. */
const OWN_OUTAGE_MS = 600;
/** Part of the drain timeout within which a gateway that saw no outage itself drops what is missing. */
const UNSEEN_SHARE = 0.9;
const SPANS_MAX = 4;
const FAILURES_MAX = 50;
/** A call that was lost in the outage may fail so long after its end. */
const FAILED_LATE_MS = 1_000;

export function createStoreContact(drainTimeoutMs: number): StoreContact {
  /** In order, with pauses of `LAPSE_SILENCE_MS` or more between them. */
  let spans: readonly ContactSpan[] = [];
  /** The latest failures of this gateway's own calls. */
  let failuresMs: readonly number[] = [];

  function noteSpan(span: ContactSpan): void {
    const isNear = (other: ContactSpan) =>
      other.fromMs - span.toMs < LAPSE_SILENCE_MS && span.fromMs - other.toMs < LAPSE_SILENCE_MS;
    const near = [span, ...spans.filter(isNear)];
    const merged = {
      fromMs: Math.min(...near.map(({ fromMs }) => fromMs)),
      toMs: Math.max(...near.map(({ toMs }) => toMs)),
    };
    spans = [...spans.filter((other) => !isNear(other)), merged]
      .sort((left, right) => left.fromMs - right.fromMs)
      .slice(-SPANS_MAX);
  }

  /** Whether this gateway's own calls failed for a while between two spans. */
  function hasSeenOutage(before: ContactSpan, after: ContactSpan): boolean {
    const between = failuresMs.filter(
      (atMs) => atMs > before.toMs && atMs <= after.fromMs + FAILED_LATE_MS,
    );
    const [first] = between;
    const last = between.at(-1);
    return first !== undefined && last !== undefined && last - first > OWN_OUTAGE_MS;
  }

  return {
    noteAnswered: (asOfMs) => noteSpan({ fromMs: asOfMs, toMs: asOfMs }),
    noteSpan,
    noteFailed: (nowMs) => {
      failuresMs = [...failuresMs, nowMs].slice(-FAILURES_MAX);
    },
    latest: () => spans.at(-1) ?? null,
    returnedMs: () => {
      const [before, latest] = spans.slice(-2);
      if (before === undefined || latest === undefined) return -Infinity;
      if (hasSeenOutage(before, latest)) return latest.fromMs;
      const untilMs = before.toMs + drainTimeoutMs * UNSEEN_SHARE;
      return Math.min(latest.fromMs, untilMs - LAPSE_GRACE_MS);
    },
  };
}
