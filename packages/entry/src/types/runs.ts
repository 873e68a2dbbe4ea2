/** One request on its way through the entry. */
import type * as claimTypes from '@copperlever/coordination/claims/types';

import type * as calls from './calls.js';
import type * as links from './links.js';

/** One attempt at one agent, as it is claimed and dispatched. */
export type Dispatch = {
  target: links.AgentTarget;
  dispatchId: string;
  /**
   * Read before the claim is written. An entry that was paused between claim and dispatch sends the
   * old tick, and the agent refuses what a resend may have revoked meanwhile.
   */
  agentTick: number;
};

export type Run = {
  call: calls.Call;
  sink: calls.AnswerSink;
  /** Never aborts for a request that runs at most once: its outcome is wanted by the resend. */
  callerGone: AbortSignal;
  excludedIds: Set<string>;
  attemptCount: number;
  crashCount: number;
  followCount: number;
  held: claimTypes.HeldClaim | null;
  /** How an earlier attempt ended that may have run: from then on "not run" would be a lie. */
  earlierEnding: calls.Refusal | null;
  /** The soonest instant that any agent named; null when none did. */
  soonestRetryMs: number | null;
};

export type Step =
  | { kind: 'done'; outcome: calls.Outcome }
  | { kind: 'again'; target: links.AgentTarget }
  /** Another request took the claim over: its answer is this one's as well. */
  | { kind: 'follow' };

export const FOLLOW: Step = { kind: 'follow' };

export function createRun(call: calls.Call, sink: calls.AnswerSink, callerGone: AbortSignal): Run {
  return {
    call,
    sink,
    callerGone: call.idempotencyKey === null ? callerGone : new AbortController().signal,
    excludedIds: new Set(),
    attemptCount: 0,
    crashCount: 0,
    followCount: 0,
    held: null,
    earlierEnding: null,
    soonestRetryMs: null,
  };
}

export function done(outcome: calls.Outcome): Step {
  return { kind: 'done', outcome };
}
