/** What the agent does with each call of AgentService, without the gRPC around it. */
import { agent } from '@copperlever/protocol';
import type { clocks } from '@copperlever/runtime';

import type * as answerLogs from '../../shared/answer-log.js';
import * as frames from '../../shared/frames.js';
import type * as attemptsModule from './attempts.js';

export type HandlerDeps = {
  clock: clocks.Clock;
  incarnation: number;
  /** Null until the configuration names this agent's upstream. */
  attempts: () => attemptsModule.Attempts | null;
};

/** A starting agent is ready within about this time. */
const STARTING_RETRY_MS = 500;

function startingLoad(deps: HandlerDeps): agent.AgentLoad {
  const { incarnation } = deps;
  return { incarnation, tick: 0, queueLength: 0, predictedWaitMs: 0, runningCount: 0 };
}

async function* readFrames(
  deps: HandlerDeps,
  attempts: attemptsModule.Attempts,
  dispatchId: string,
  log: answerLogs.AnswerLog,
  fromBytes: number,
  signal?: AbortSignal,
): AsyncGenerator<agent.AnswerFrame> {
  for await (const part of log.read(fromBytes, signal)) {
    // The load looks at each request that runs here: for each token of each it would cost the square.
    const load = part.kind === 'chunk' ? undefined : attempts.load();
    yield frames.toFrame(dispatchId, part, load, deps.clock.nowMs());
  }
}

async function* refuseStarting(deps: HandlerDeps, dispatchId: string) {
  const retryAtMs = deps.clock.nowMs() + STARTING_RETRY_MS;
  const part = { kind: 'refused', cause: 'starting', retryAtMs, detail: '' } as const;
  yield frames.toFrame(dispatchId, part, startingLoad(deps), deps.clock.nowMs());
}

export function handleDispatch(
  deps: HandlerDeps,
  request: agent.DispatchRequest,
  signal?: AbortSignal,
): AsyncIterable<agent.AnswerFrame> {
  const attempts = deps.attempts();
  if (attempts === null) return refuseStarting(deps, request.dispatchId);
  const log = attempts.dispatch(request);
  return readFrames(deps, attempts, request.dispatchId, log, 0, signal);
}

/** What this process never saw, or has forgotten: the entry stops asking, and may not say "not run". */
async function* failUnknown(deps: HandlerDeps, dispatchId: string) {
  const part = {
    kind: 'failed',
    cause: 'attempt-unknown',
    detail: 'no such attempt here',
    upstreamCrashed: false,
  } as const;
  yield frames.toFrame(dispatchId, part, startingLoad(deps), deps.clock.nowMs());
}

export function handleResume(
  deps: HandlerDeps,
  request: agent.ResumeRequest,
  signal?: AbortSignal,
): AsyncIterable<agent.AnswerFrame> {
  const attempts = deps.attempts();
  const attempt = attempts?.find(request.dispatchId);
  const isOurs = request.agentIncarnation === deps.incarnation;
  if (attempts === null || attempt === undefined || !isOurs) {
    return failUnknown(deps, request.dispatchId);
  }
  return readFrames(deps, attempts, request.dispatchId, attempt.log, request.offsetBytes, signal);
}

export function handleRevoke(deps: HandlerDeps, request: agent.RevokeRequest): agent.RevokeReply {
  const attempts = deps.attempts();
  if (attempts === null) {
    // The id cannot be remembered yet, so "revoked" would be a promise that nobody keeps.
    const outcome = agent.RevokeOutcome.REVOKE_OUTCOME_OTHER_INCARNATION;
    return { outcome, load: startingLoad(deps) };
  }
  return { outcome: attempts.revoke(request), load: attempts.load() };
}

export function handleAcknowledge(
  deps: HandlerDeps,
  request: agent.AcknowledgeRequest,
): agent.AcknowledgeReply {
  deps.attempts()?.acknowledge(request.dispatchIds);
  return {};
}
