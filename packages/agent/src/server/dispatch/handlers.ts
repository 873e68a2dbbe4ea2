/** What the agent does with each call of AgentService, without the gRPC around it. */
import { agent } from '@copperlever/protocol';
import type { clocks } from '@copperlever/runtime';

import type * as answerLogs from '../../shared/answer-log.js';
import * as frames from '../../shared/frames.js';
import type * as attemptsModule from './attempts.js';

export type HandlerDeps = { attempts: attemptsModule.Attempts; clock: clocks.Clock };

async function* readFrames(
  deps: HandlerDeps,
  dispatchId: string,
  log: answerLogs.AnswerLog,
  fromBytes: number,
  signal?: AbortSignal,
): AsyncGenerator<agent.AnswerFrame> {
  for await (const part of log.read(fromBytes, signal)) {
    yield frames.toFrame(dispatchId, part, deps.attempts.load(), deps.clock.nowMs());
  }
}

export function handleDispatch(
  deps: HandlerDeps,
  request: agent.DispatchRequest,
  signal?: AbortSignal,
): AsyncIterable<agent.AnswerFrame> {
  const log = deps.attempts.dispatch(request);
  return readFrames(deps, request.dispatchId, log, 0, signal);
}

/** An attempt that is not known here is refused, so that the entry stops asking. */
async function* refuseUnknown(deps: HandlerDeps, dispatchId: string) {
  const load = deps.attempts.load();
  const failed = { cause: 'upstream-broken', detail: 'no such attempt', upstreamCrashed: false };
  const frame: agent.AnswerFrame = {
    dispatchId,
    offsetBytes: 0,
    load,
    part: { $case: 'failed', value: failed },
  };
  yield frame;
}

export function handleResume(
  deps: HandlerDeps,
  request: agent.ResumeRequest,
  signal?: AbortSignal,
): AsyncIterable<agent.AnswerFrame> {
  const attempt = deps.attempts.find(request.dispatchId);
  if (attempt === undefined) return refuseUnknown(deps, request.dispatchId);
  return readFrames(deps, request.dispatchId, attempt.log, request.offsetBytes, signal);
}

export function handleRevoke(deps: HandlerDeps, request: agent.RevokeRequest): agent.RevokeReply {
  const outcome = deps.attempts.revoke(request);
  return { outcome, load: deps.attempts.load() };
}

export function handleAcknowledge(
  deps: HandlerDeps,
  request: agent.AcknowledgeRequest,
): agent.AcknowledgeReply {
  deps.attempts.acknowledge(request.dispatchIds);
  return {};
}
