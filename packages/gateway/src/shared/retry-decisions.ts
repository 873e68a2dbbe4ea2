/**
 * Decides what follows an attempt: another attempt, or the end of the request with an outcome that is true for the
 * caller.
 */
import type * as calls from '../types/calls.js';

/** The state of a request, including its current attempt. */
export type RequestFacts = {
  route: {
    kind: 'idempotent' | 'at-most-once' | 'stream';
    isResumable: boolean;
    maxAttempts: number;
  };
  /** Attempts that an upstream may have run. */
  possiblyRunCount: number;
  /** Attempts that reached an upstream, including rejected ones. */
  sentCount: number;
  /** The caller has received a part of an answer. */
  hasBegun: boolean;
  upstreamId: string;
};

export type RetryDecision =
  | { kind: 'retry'; isRepeat: boolean; resumeAfterId: string | null }
  /** The caller gets the error of the upstream as it is. */
  | { kind: 'forward'; answer: calls.HeldAnswer }
  | { kind: 'end'; ending: calls.Ending };

/** Limit on rejected sends: they are not run, but each is work for an upstream that is full already. */
const MAX_REJECTED_SENDS = 2;
/** A full upstream frees capacity about once per service time, and callers of several gateways share it. */
const REJECTED_RETRY_AFTER_MS = 400;
const NOT_SENT_RETRY_AFTER_MS = 250;

function isIdempotent({ kind, isResumable }: RequestFacts['route']): boolean {
  switch (kind) {
    case 'idempotent':
      return true;
    case 'at-most-once':
      return false;
    case 'stream':
      return isResumable;
  }
}

/** Whatever an attempt has ended with: what an upstream may have run is sent again only if it may run again. */
function maySendAgain({ route, possiblyRunCount }: RequestFacts): boolean {
  if (possiblyRunCount === 0) return true;
  return isIdempotent(route) && possiblyRunCount < route.maxAttempts;
}

/**
 * A refusal guarantees that the request has not run. Once any attempt may have run, only "failed" is true, however the
 * last attempt ended. After a part of an answer no other answer can follow: a resumed stream that finds no upstream
 * ends with its connection, which tells the caller that the answer is incomplete.
 */
export function refusalOrFailure(
  facts: RequestFacts,
  cause: calls.RefusalCause,
  retryAfterMs: number,
): calls.Ending {
  const { upstreamId } = facts;
  if (facts.hasBegun) return { kind: 'cut', cause: 'upstream-lost', upstreamId };
  if (facts.possiblyRunCount === 0) return { kind: 'not-run', cause, retryAfterMs };
  return { kind: 'failed', cause: 'upstream-lost', upstreamId };
}

function decideAfterLoss(
  facts: RequestFacts,
  result: Extract<calls.AttemptResult, { kind: 'lost' }>,
): RetryDecision {
  const { upstreamId, route } = facts;
  const ending: calls.Ending = result.hasBegun
    ? { kind: 'cut', cause: 'upstream-lost', upstreamId }
    : { kind: 'failed', cause: 'upstream-lost', upstreamId };
  if (!maySendAgain(facts)) return { kind: 'end', ending };
  // A stream can resume only after an event that the caller has received completely.
  if (result.hasBegun && (route.kind !== 'stream' || result.lastEventId === null)) {
    return { kind: 'end', ending };
  }
  return { kind: 'retry', isRepeat: true, resumeAfterId: result.lastEventId };
}

/** The signed error of a stream is an answer to its caller; elsewhere another upstream may succeed. */
function decideAfterFailure(
  facts: RequestFacts,
  { answer, isSigned }: Extract<calls.AttemptResult, { kind: 'held-failure' }>,
): RetryDecision {
  const isFinal = isSigned && facts.route.kind === 'stream';
  if (isFinal || !maySendAgain(facts)) return { kind: 'forward', answer };
  return { kind: 'retry', isRepeat: true, resumeAfterId: null };
}

export function decideAfterAttempt(
  facts: RequestFacts,
  result: calls.AttemptResult,
): RetryDecision {
  const { upstreamId } = facts;
  const maySendRejected = facts.sentCount <= MAX_REJECTED_SENDS && maySendAgain(facts);
  switch (result.kind) {
    case 'answered':
      return { kind: 'end', ending: { kind: 'answered', status: result.status, upstreamId } };
    case 'caller-gone':
      return { kind: 'end', ending: { kind: 'caller-gone', stage: 'upstream' } };
    case 'not-sent':
      if (maySendRejected) {
        return { kind: 'retry', isRepeat: facts.sentCount > 0, resumeAfterId: null };
      }
      return {
        kind: 'end',
        ending: refusalOrFailure(facts, 'no-upstream', NOT_SENT_RETRY_AFTER_MS),
      };
    case 'rejected':
      if (maySendRejected) {
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
      return decideAfterLoss(facts, result);
    case 'held-failure':
      return decideAfterFailure(facts, result);
    case 'no-room':
      // Another upstream's answer would find no room either.
      return { kind: 'end', ending: { kind: 'failed', cause: 'answer-too-large', upstreamId } };
    case 'deadline': {
      const kind = result.hasBegun ? 'cut' : 'failed';
      return { kind: 'end', ending: { kind, cause: 'timeout', upstreamId } };
    }
  }
}
