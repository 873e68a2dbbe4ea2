/** Requests that must run at most once: the claim that stands before each dispatch. */
import type * as claimTypes from '@copperlever/coordination/claims/types';

import type * as calls from '../../types/calls.js';
import type * as links from '../../types/links.js';

/** A larger answer is not kept for resends; its status is. */
const MAX_KEPT_BYTES = 256 * 1024;

/** What this entry may do with a non-idempotent request now. */
export type Permit =
  | { kind: 'run'; held: claimTypes.HeldClaim }
  /** Another request with the key was first; its claim tells what is known. */
  | { kind: 'taken'; held: claimTypes.HeldClaim }
  | { kind: 'refused'; outcome: calls.Refusal };

export type OnceDeps = {
  claims: claimTypes.Claims;
  entryId: string;
};

export type Recorder = calls.AnswerSink & {
  /** What the claim should remember of the answer. */
  outcome: () => claimTypes.ClaimOutcome;
};

function claimKey(call: calls.Call): string {
  return `${call.callerGroup}/${call.idempotencyKey ?? call.requestId}`;
}

function refusalFor(error: claimTypes.ClaimError): calls.Refusal {
  switch (error.kind) {
    case 'store-unavailable':
      return {
        kind: 'not-run',
        cause: 'claim-store-unavailable',
        retryAtMs: error.retryAtMs,
        detail: 'the claim that keeps this request from running twice cannot be written now',
      };
    case 'lost':
      return {
        kind: 'unknown',
        cause: 'claim-lost',
        retryAtMs: null,
        detail: 'another entry took this request over',
      };
  }
}

export async function claimFirst(
  deps: OnceDeps,
  call: calls.Call,
  target: links.AgentTarget,
  dispatchId: string,
): Promise<Permit> {
  const wanted = {
    key: claimKey(call),
    fingerprint: call.fingerprint,
    requestId: call.requestId,
    holderId: deps.entryId,
    target: { memberId: target.agentId, incarnation: target.incarnation, dispatchId },
  };
  const attempt = await deps.claims.claim(wanted, call.deadlineMs);
  if (attempt.err) return { kind: 'refused', outcome: refusalFor(attempt.val) };
  if (attempt.val.kind === 'held') return { kind: 'run', held: attempt.val.held };
  if (attempt.val.held.claim.fingerprint !== call.fingerprint) {
    const detail = 'the idempotency key stands for another request already';
    const outcome: calls.Refusal = {
      kind: 'not-run',
      cause: 'idempotency-key-reused',
      retryAtMs: null,
      detail,
    };
    return { kind: 'refused', outcome };
  }
  return { kind: 'taken', held: attempt.val.held };
}

/** Names a new target before it is dispatched to; a writer that was overtaken stops here. */
export async function claimNext(
  deps: OnceDeps,
  call: calls.Call,
  held: claimTypes.HeldClaim,
  target: links.AgentTarget,
  dispatchId: string,
): Promise<Permit> {
  const change = {
    requestId: call.requestId,
    holderId: deps.entryId,
    target: { memberId: target.agentId, incarnation: target.incarnation, dispatchId },
  };
  const moved = await deps.claims.retarget(held, change, call.deadlineMs);
  if (moved.err) return { kind: 'refused', outcome: refusalFor(moved.val) };
  return { kind: 'run', held: moved.val };
}

/** Passes an answer on and keeps what a resend will need of it. */
export function createRecorder(sink: calls.AnswerSink): Recorder {
  let status = 0;
  let contentType = '';
  let sizeBytes = 0;
  const kept: Buffer[] = [];
  return {
    head: (headStatus, headers) => {
      status = headStatus;
      contentType =
        headers.find((header) => header.name.toLowerCase() === 'content-type')?.value ?? '';
      sink.head(headStatus, headers);
    },
    chunk: (data) => {
      sizeBytes += data.length;
      if (sizeBytes <= MAX_KEPT_BYTES) kept.push(data);
      else kept.length = 0;
      return sink.chunk(data);
    },
    hasBegun: sink.hasBegun,
    outcome: () => {
      if (sizeBytes > MAX_KEPT_BYTES) return { kind: 'finished-not-kept', status };
      const bodyBase64 = Buffer.concat(kept).toString('base64');
      return { kind: 'finished', status, contentType, bodyBase64 };
    },
  };
}

/** Answers a resend from what the claim remembers. */
export async function replay(
  outcome: claimTypes.ClaimOutcome,
  sink: calls.AnswerSink,
): Promise<calls.Outcome> {
  switch (outcome.kind) {
    case 'finished':
      sink.head(outcome.status, [{ name: 'content-type', value: outcome.contentType }]);
      await sink.chunk(Buffer.from(outcome.bodyBase64, 'base64'));
      return { kind: 'answered', status: outcome.status, replayed: true };
    case 'finished-not-kept':
      return {
        kind: 'failed',
        cause: 'answer-too-large',
        retryAtMs: null,
        detail: `it ran once with status ${outcome.status}; its answer was too large to keep`,
      };
    case 'failed':
      return {
        kind: 'failed',
        cause: 'upstream-broken',
        retryAtMs: null,
        detail: `it ran once and failed: ${outcome.cause}`,
      };
    case 'unknown':
      return { kind: 'unknown', cause: 'agent-lost', retryAtMs: null, detail: outcome.cause };
  }
}
