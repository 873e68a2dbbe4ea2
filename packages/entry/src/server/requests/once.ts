/** Requests that must run at most once: the claim that stands before each dispatch. */
import type * as claimTypes from '@copperlever/coordination/claims/types';
import type { clocks } from '@copperlever/runtime';

import * as endings from '../../shared/endings.js';
import type * as calls from '../../types/calls.js';
import type * as runs from '../../types/runs.js';

/** A larger answer is not kept for resends; its status is. */
const MAX_KEPT_BYTES = 256 * 1024;

/** What this entry may do with a non-idempotent request now. */
export type Permit =
  | { kind: 'run'; held: claimTypes.HeldClaim }
  /** Another request with the key was first; its claim tells what is known. */
  | { kind: 'taken'; held: claimTypes.HeldClaim }
  /** Another entry changed the claim since it was read. */
  | { kind: 'overtaken' }
  | { kind: 'refused'; outcome: calls.Refusal };

export type OnceDeps = {
  clock: clocks.Clock;
  claims: claimTypes.Claims;
  entryId: string;
};

export type Recorder = calls.AnswerSink & {
  /** What the claim should remember of the answer. */
  outcome: () => claimTypes.ClaimOutcome;
};

/** A caller learns soon that its claim cannot be written, not at the end of a long deadline. */
const CLAIM_TIMEOUT_MS = 1_000;

function claimDeadlineMs(deps: OnceDeps, call: calls.Call): number {
  return Math.min(call.deadlineMs, deps.clock.nowMs() + CLAIM_TIMEOUT_MS);
}

function claimKey(call: calls.Call): string {
  return `${call.callerGroup}/${call.idempotencyKey ?? call.requestId}`;
}

function toClaimTarget(dispatch: runs.Dispatch): claimTypes.ClaimTarget {
  return {
    memberId: dispatch.target.agentId,
    incarnation: dispatch.target.incarnation,
    dispatchId: dispatch.dispatchId,
    tick: dispatch.agentTick,
  };
}

/** Nothing was dispatched without the claim, so that this is "not run". */
function refuseUnavailable(retryAtMs: number): Permit {
  const detail = 'the claim that keeps this request from running twice cannot be written now';
  const outcome = endings.notRun('claim-store-unavailable', retryAtMs, detail);
  return { kind: 'refused', outcome };
}

export async function claimFirst(
  deps: OnceDeps,
  call: calls.Call,
  dispatch: runs.Dispatch,
): Promise<Permit> {
  const wanted = {
    key: claimKey(call),
    fingerprint: call.fingerprint,
    requestId: call.requestId,
    holderId: deps.entryId,
    target: toClaimTarget(dispatch),
  };
  const attempt = await deps.claims.claim(wanted, claimDeadlineMs(deps, call));
  if (attempt.err) {
    return attempt.val.kind === 'lost'
      ? { kind: 'overtaken' }
      : refuseUnavailable(attempt.val.retryAtMs);
  }
  if (attempt.val.kind === 'held') return { kind: 'run', held: attempt.val.held };
  if (attempt.val.held.claim.fingerprint !== call.fingerprint) {
    const detail = 'the idempotency key stands for another request already';
    return { kind: 'refused', outcome: endings.notRun('idempotency-key-reused', null, detail) };
  }
  return { kind: 'taken', held: attempt.val.held };
}

/** Names a new target before it is dispatched to; a writer that was overtaken stops here. */
export async function claimNext(
  deps: OnceDeps,
  call: calls.Call,
  held: claimTypes.HeldClaim,
  dispatch: runs.Dispatch,
): Promise<Permit> {
  const change = {
    requestId: call.requestId,
    holderId: deps.entryId,
    target: toClaimTarget(dispatch),
  };
  const moved = await deps.claims.retarget(held, change, claimDeadlineMs(deps, call));
  if (moved.ok) return { kind: 'run', held: moved.val };
  return moved.val.kind === 'lost' ? { kind: 'overtaken' } : refuseUnavailable(moved.val.retryAtMs);
}

/** The claim as it is now; null when it is gone or cannot be read. */
export async function readAgain(
  deps: OnceDeps,
  call: calls.Call,
): Promise<claimTypes.HeldClaim | null> {
  const read = await deps.claims.read(claimKey(call), claimDeadlineMs(deps, call));
  return read.ok ? read.val : null;
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
    takeRoom: sink.takeRoom,
    outcome: () => {
      if (sizeBytes > MAX_KEPT_BYTES) return { kind: 'finished-not-kept', status };
      const bodyBase64 = Buffer.concat(kept).toString('base64');
      return { kind: 'finished', status, contentType, bodyBase64 };
    },
  };
}

/** Answers a resend from what the claim remembers. */
export async function replay(
  outcome: Exclude<claimTypes.ClaimOutcome, { kind: 'refused' }>,
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
