/**
 * Decides which suspected requests may be sent, and where: each alone, so that an end has one cause and a bad request ends one upstream
 * at a time. Load: a request that ends upstreams comes again beside sound ones that were beside its ends. Harm prevented: all upstreams
 * of a service down at once, and sound requests refused since nothing tells them from the bad one.
 *
 * Several may be tried at a time, each at another upstream, as long as one upstream is left without a trial.
 */
import type * as crashEvidence from './crash-evidence.js';
import type * as requestTraits from './request-traits.js';

export type TrialQuestion = {
  /** The trait of the whole request. */
  trait: string;
  upstreamId: string;
  /** Some of the other upstreams that could run it. */
  otherIds: readonly string[];
  /** The ends that the asking gateway knows of. */
  crashCount: number;
  /** The trial is over by then. */
  untilMs: number;
};

export type TrialVerdict =
  /** It may be sent, and nothing else that is suspected. */
  | { kind: 'alone' }
  /** It is not suspected. */
  | { kind: 'free' }
  | { kind: 'busy'; retryAfterMs: number }
  /** It could end the last upstream that is up. */
  | { kind: 'last-up'; retryAfterMs: number };

export type TrialOutcome = 'sound' | 'crashed' | 'undecided';

export type TrialEnd = { trait: string; upstreamId: string; outcome: TrialOutcome };

export type TrialArbiter = {
  ask: (question: TrialQuestion, nowMs: number) => TrialVerdict;
  ended: (end: TrialEnd, nowMs: number) => void;
  /** The trait of the request that is on trial there; undefined if there is none. */
  traitAt: (upstreamId: string) => string | undefined;
};

/** Beyond the time at which a trial is over: its gateway has ended, or is cut off. */
const OVERDUE_MS = 1_000;
/** Other gateways tell which of their requests were beside the end. */
export const POOLED_AFTER_MS = 60;
/** A plain call takes some tens of milliseconds. */
const BUSY_RETRY_MS = 300;
/** Upstreams that have ended are back after some seconds, and a single one has served others again by then. */
const LAST_UP_WAIT_MS = 15_000;
const LAST_UP_RETRY_MS = 1_000;

export function createTrialArbiter(
  evidence: Pick<
    crashEvidence.CrashEvidence,
    'add' | 'judgeRequest' | 'hasEnded' | 'latestCrashMs'
  >,
  refusedSets: () => readonly requestTraits.TraitSet[],
): TrialArbiter {
  const trials = new Map<string, TrialQuestion>();

  /** Nobody knows whether it ended its upstream: it counts as an end, so that no more are let through than may be. */
  function dropOverdue(nowMs: number): void {
    trials.forEach(({ trait, upstreamId, untilMs }) => {
      if (nowMs < untilMs + OVERDUE_MS) return;
      trials.delete(trait);
      const unknownId = `${upstreamId} unknown`;
      evidence.add({ upstreamId: unknownId, atMs: nowMs, suspects: [[trait]], trialTrait: trait });
    });
  }

  function traitAt(upstreamId: string): string | undefined {
    return [...trials.values()].find((one) => one.upstreamId === upstreamId)?.trait;
  }

  return {
    traitAt,
    ask: (question, nowMs) => {
      dropOverdue(nowMs);
      const { trait, upstreamId, otherIds, crashCount } = question;
      const { state } = evidence.judgeRequest(trait, { crashCount, atMs: nowMs }, refusedSets());
      if (state === 'free') return { kind: 'free' };
      const sinceMs = nowMs - (evidence.latestCrashMs(trait) ?? -Infinity);
      const isOpen = trials.has(trait) || sinceMs < POOLED_AFTER_MS;
      if (isOpen || traitAt(upstreamId) !== undefined) {
        return { kind: 'busy', retryAfterMs: BUSY_RETRY_MS };
      }
      const isLeftUp = otherIds.some((id) => !evidence.hasEnded(id) && traitAt(id) === undefined);
      if (!isLeftUp && sinceMs < LAST_UP_WAIT_MS) {
        return { kind: 'last-up', retryAfterMs: LAST_UP_RETRY_MS };
      }
      trials.set(trait, question);
      return { kind: 'alone' };
    },
    ended: ({ trait, upstreamId, outcome }, nowMs) => {
      if (trials.get(trait)?.upstreamId === upstreamId) trials.delete(trait);
      // Mostly its gateway has reported the end by then, with all traits of the request.
      if (outcome !== 'crashed' || evidence.hasEnded(upstreamId)) return;
      evidence.add({ upstreamId, atMs: nowMs, suspects: [[trait]], trialTrait: trait });
    },
  };
}
