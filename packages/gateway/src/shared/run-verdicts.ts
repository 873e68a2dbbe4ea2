/** What follows from the end of an attempt: another attempt, or the truthful end of the request. */
import type * as calls from '../types/calls.js';

/** What the request has been through so far, the present attempt included. */
export type RunFacts = {
  route: {
    kind: 'idempotent' | 'at-most-once' | 'stream';
    isResumable: boolean;
    maxAttempts: number;
  };
  /** Attempts that an upstream may have run. */
  ranCount: number;
  /** Attempts that reached an upstream, rejected ones included. */
  sentCount: number;
  /** The caller has a part of an answer. */
  hasBegun: boolean;
  upstreamId: string;
};

export type Verdict =
  | { kind: 'retry'; isRepeat: boolean; resumeAfterId: string | null }
  | { kind: 'end'; ending: calls.Ending };

/** Rejected sends run nowhere, yet each is work for an upstream that is full already. */
const REJECTED_SENDS_MAX = 2;
/** A full upstream frees a place about every service time; several gateways' callers share them. */
const REJECTED_RETRY_AFTER_MS = 400;
const NOT_SENT_RETRY_AFTER_MS = 250;

function mayRepeat(facts: RunFacts): boolean {
  switch (facts.route.kind) {
    case 'idempotent':
      return true;
    case 'at-most-once':
      return false;
    case 'stream':
      return facts.route.isResumable;
  }
}

/**
 * A refusal promises that the request has not run. Once any attempt may have run, only "failed" is
 * true, however the last one ended. Behind a part of an answer no other answer can follow: a resumed stream
 * that finds no upstream ends with its connection, which tells the caller that it is not whole.
 */
export function refusalOrFailure(
  facts: RunFacts,
  cause: calls.RefusalCause,
  retryAfterMs: number,
): calls.Ending {
  const { upstreamId } = facts;
  if (facts.hasBegun) return { kind: 'cut', cause: 'upstream-lost', upstreamId };
  if (facts.ranCount === 0) return { kind: 'not-run', cause, retryAfterMs };
  return { kind: 'failed', cause: 'upstream-lost', upstreamId };
}

function afterLoss(
  facts: RunFacts,
  result: Extract<calls.AttemptResult, { kind: 'lost' }>,
): Verdict {
  const { upstreamId, route } = facts;
  const ending: calls.Ending = result.hasBegun
    ? { kind: 'cut', cause: 'upstream-lost', upstreamId }
    : { kind: 'failed', cause: 'upstream-lost', upstreamId };
  if (!mayRepeat(facts) || facts.ranCount >= route.maxAttempts) return { kind: 'end', ending };
  // A stream goes on only behind an event that the caller has whole.
  if (result.hasBegun && (route.kind !== 'stream' || result.lastEventId === null)) {
    return { kind: 'end', ending };
  }
  return { kind: 'retry', isRepeat: true, resumeAfterId: result.lastEventId };
}

export function afterAttempt(
  facts: RunFacts,
  result: Exclude<calls.AttemptResult, { kind: 'held-failure' }>,
): Verdict {
  const { upstreamId } = facts;
  switch (result.kind) {
    case 'answered':
      return { kind: 'end', ending: { kind: 'answered', status: result.status, upstreamId } };
    case 'caller-gone':
      return { kind: 'end', ending: { kind: 'caller-gone', stage: 'upstream' } };
    case 'not-sent':
      if (facts.sentCount <= REJECTED_SENDS_MAX) {
        return { kind: 'retry', isRepeat: facts.sentCount > 0, resumeAfterId: null };
      }
      return {
        kind: 'end',
        ending: refusalOrFailure(facts, 'no-upstream', NOT_SENT_RETRY_AFTER_MS),
      };
    case 'rejected':
      if (facts.sentCount <= REJECTED_SENDS_MAX) {
        return { kind: 'retry', isRepeat: true, resumeAfterId: null };
      }
      return {
        kind: 'end',
        ending: refusalOrFailure(
          facts,
          'overloaded',
          result.retryAfterMs ?? REJECTED_RETRY_AFTER_MS,
        ),
      };
    case 'lost':
      return afterLoss(facts, result);
    case 'deadline': {
      const kind = result.hasBegun ? 'cut' : 'failed';
      return { kind: 'end', ending: { kind, cause: 'timeout', upstreamId } };
    }
  }
}
