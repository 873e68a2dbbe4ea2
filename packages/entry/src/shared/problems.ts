/** Refusals as RFC 9457 problem details. */
import type * as calls from '../types/calls.js';

export const PROBLEM_CONTENT_TYPE = 'application/problem+json';

export type Problem = {
  type: string;
  title: string;
  status: number;
  detail: string;
  outcome: 'not-run' | 'unknown' | 'failed';
  requestId: string;
};

const NOT_RUN_STATUS: Readonly<Record<calls.NotRunCause, number>> = {
  'malformed-request': 400,
  'invalid-header': 400,
  'unknown-model': 404,
  'unknown-service': 404,
  'unknown-route': 404,
  'body-too-large': 413,
  'deadline-passed': 400,
  'idempotency-key-reused': 422,
  quarantined: 422,
  'queue-full': 429,
  'group-over-share': 429,
  'caller-gone': 499,
  'deadline-unreachable': 503,
  'no-upstream': 503,
  'no-memory': 503,
  'load-failed': 503,
  'upstream-unreachable': 503,
  'retries-exhausted': 503,
  'expired-waiting': 504,
  'config-behind': 503,
  starting: 503,
  'no-room': 503,
  leaving: 503,
  'claim-store-unavailable': 503,
};

const UNKNOWN_STATUS: Readonly<Record<calls.UnknownCause, number>> = {
  'agent-lost': 502,
  'claim-lost': 502,
  'deadline-passed': 504,
  'in-progress': 409,
  'upstream-broken': 502,
  stopping: 504,
};

const FAILED_STATUS: Readonly<Record<calls.FailedCause, number>> = {
  'upstream-broken': 502,
  'upstream-silent': 504,
  'agent-lost': 502,
  'deadline-passed': 504,
  cancelled: 499,
  'answer-too-large': 502,
  quarantined: 422,
  stopping: 504,
};

/** What each outcome means for the caller, in one sentence. */
const TITLES: Readonly<Record<Problem['outcome'], string>> = {
  'not-run': 'The request did not run.',
  unknown: 'It is not known whether the request ran.',
  failed: 'The request started and did not finish.',
};

export function statusOf(refusal: calls.Refusal): number {
  switch (refusal.kind) {
    case 'not-run':
      return NOT_RUN_STATUS[refusal.cause];
    case 'unknown':
      return UNKNOWN_STATUS[refusal.cause];
    case 'failed':
      return FAILED_STATUS[refusal.cause];
  }
}

export function toProblem(refusal: calls.Refusal, requestId: string): Problem {
  return {
    type: `urn:copperlever:problem:${refusal.cause}`,
    title: TITLES[refusal.kind],
    status: statusOf(refusal),
    detail: refusal.detail,
    outcome: refusal.kind,
    requestId,
  };
}

/** `Retry-After` in whole seconds, at least one; null when asking again is no use. */
export function retryAfterSeconds(refusal: calls.Refusal, nowMs: number): number | null {
  if (refusal.retryAtMs === null) return null;
  return Math.max(1, Math.ceil((refusal.retryAtMs - nowMs) / 1_000));
}
