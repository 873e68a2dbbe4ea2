/**
 * What this gateway believes of each upstream from its own attempts. Made for upstreams that fail long
 * before the platform's list says so: dark ones that answer nothing, grey ones that fail a part of
 * their requests while their health check is good, slow ones. Without it each request would find that
 * out anew, and an upstream that fails fast looks idle and draws all traffic to itself.
 */
export type AttemptEnd =
  | { kind: 'good'; firstPieceMs: number; predictedMs: number }
  /** It was too full to take the request. */
  | { kind: 'rejected' }
  /** It said itself that the request failed. */
  | { kind: 'failed' }
  /** No connection, a broken one, silence, or bytes that are no answer. */
  | { kind: 'broken' };

export type Belief = {
  /** Gets no requests but single probes until then. */
  avoidUntilMs: number;
  /** Part of its latest attempts that did not end well, from 0 to 1. */
  failureShare: number;
  /** Time to the first piece, smoothed; null before the first answer. */
  firstPieceMs: number | null;
  /** How much later than predicted its first pieces came, smoothed. */
  excessMs: number;
  /** Broken attempts since the last good one. */
  brokenInRow: number;
  /** When an attempt there last ended. */
  endedMs: number;
};

export type BeliefChange = { kind: 'avoided' | 'trusted'; belief: Belief };

export type UpstreamBeliefs = {
  /** Says whether the end changed what the upstream gets: `avoided` after breaks in a row, `trusted` again. */
  ended: (upstreamId: string, end: AttemptEnd, nowMs: number) => BeliefChange | null;
  belief: (upstreamId: string, nowMs: number) => Belief;
  avoidedIds: () => readonly string[];
  /** Forgets upstreams that are no longer listed. */
  retain: (upstreamIds: ReadonlySet<string>) => void;
};

/** Ten attempts make up most of the smoothed figures: a second's worth at usual load. */
const SMOOTHING = 0.15;
/**
 * What an upstream did wrong fades, since one that is left out has no attempts that could show that it has
 * recovered: without it a single late answer kept an idle upstream out beside one with a queue of a second.
 */
const FADE_MS = 1_500;
/** One answer that was late by more says no more of the next. */
const EXCESS_MAX_MS = 400;
/** One broken answer is bad luck; two in a row are a pattern. */
const AVOIDED_FROM = 2;
/** A first pause after a broken attempt; it doubles while probes fail as well. */
const FIRST_AVOID_MS = 200;
const LONGEST_AVOID_MS = 3_000;
/** A full upstream has room again after about one service time. */
const REJECTED_AVOID_MS = 60;

const FRESH: Belief = {
  avoidUntilMs: 0,
  failureShare: 0,
  firstPieceMs: null,
  excessMs: 0,
  brokenInRow: 0,
  endedMs: 0,
};

function smooth(before: number, sample: number): number {
  return before + SMOOTHING * (sample - before);
}

function faded(state: Belief, nowMs: number): Belief {
  const share = Math.exp(-Math.max(0, nowMs - state.endedMs) / FADE_MS);
  return {
    ...state,
    excessMs: state.excessMs * share,
    failureShare: state.failureShare * share,
  };
}

function afterEnd(state: Belief, end: AttemptEnd, nowMs: number): Belief {
  switch (end.kind) {
    case 'good':
      return {
        avoidUntilMs: 0,
        failureShare: smooth(state.failureShare, 0),
        firstPieceMs:
          state.firstPieceMs === null
            ? end.firstPieceMs
            : smooth(state.firstPieceMs, end.firstPieceMs),
        excessMs: smooth(
          state.excessMs,
          Math.min(EXCESS_MAX_MS, Math.max(0, end.firstPieceMs - end.predictedMs)),
        ),
        brokenInRow: 0,
        endedMs: nowMs,
      };
    case 'rejected':
      return { ...state, avoidUntilMs: Math.max(state.avoidUntilMs, nowMs + REJECTED_AVOID_MS) };
    case 'failed':
      return { ...state, failureShare: smooth(state.failureShare, 1), brokenInRow: 0 };
    case 'broken': {
      const pauseMs = Math.min(LONGEST_AVOID_MS, FIRST_AVOID_MS * 2 ** state.brokenInRow);
      return {
        ...state,
        failureShare: smooth(state.failureShare, 1),
        avoidUntilMs: isAvoided({ brokenInRow: state.brokenInRow + 1 })
          ? nowMs + pauseMs
          : state.avoidUntilMs,
        brokenInRow: state.brokenInRow + 1,
      };
    }
  }
}

/** An upstream is avoided from its second break in a row until its next good answer. */
export function isAvoided(belief: Pick<Belief, 'brokenInRow'>): boolean {
  return belief.brokenInRow >= AVOIDED_FROM;
}

function changeOf(before: Belief, after: Belief): BeliefChange | null {
  if (isAvoided(before) === isAvoided(after)) return null;
  return { kind: isAvoided(after) ? 'avoided' : 'trusted', belief: after };
}

export function createUpstreamBeliefs(): UpstreamBeliefs {
  const states = new Map<string, Belief>();
  return {
    ended: (upstreamId, end, nowMs) => {
      const before = faded(states.get(upstreamId) ?? FRESH, nowMs);
      const after = { ...afterEnd(before, end, nowMs), endedMs: nowMs };
      states.set(upstreamId, after);
      return changeOf(before, after);
    },
    belief: (upstreamId, nowMs) => faded(states.get(upstreamId) ?? FRESH, nowMs),
    avoidedIds: () => [...states].filter(([, state]) => isAvoided(state)).map(([id]) => id),
    retain: (upstreamIds) => {
      for (const id of [...states.keys()]) if (!upstreamIds.has(id)) states.delete(id);
    },
  };
}
