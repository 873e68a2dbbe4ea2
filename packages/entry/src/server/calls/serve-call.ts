/** Serves one call to its caller, whole or streamed, and says in journal, log and metrics how it ended. */
import type * as http from 'node:http';

import type { clocks } from '@copperlever/runtime';
import type * as fastify from 'fastify';

import type * as calls from '../../types/calls.js';
import * as answers from './answers.js';
import type * as contexts from './context.js';
import * as sinks from './sinks.js';

function callerGoneSignal(raw: http.ServerResponse): AbortSignal {
  const controller = new AbortController();
  raw.once('close', () => {
    if (!raw.writableEnded) controller.abort();
  });
  return controller.signal;
}

function logAtStop(deps: contexts.CallDeps, call: calls.Call, outcome: calls.Outcome): void {
  if (outcome.kind === 'answered') return;
  const { cause, kind } = outcome;
  if (cause !== 'leaving' && cause !== 'stopping') return;
  deps.calls.logAtStop(call.requestId, kind === 'not-run' ? 'refused' : 'answered', cause);
}

/** What became of `call`; where a stop has to answer before that is known, that it may have run. */
async function outcomeOf(
  deps: contexts.CallDeps,
  call: calls.Call,
  served: Promise<calls.Outcome>,
): Promise<calls.Outcome> {
  const { clock, stop } = deps;
  let cancel: clocks.Cancel = () => {};
  let remove = () => {};
  const unanswered = new Promise<calls.Outcome>((resolve) => {
    const detail = 'this entry stopped before it was known what became of the request';
    const kind = call.idempotencyKey === null ? 'failed' : 'unknown';
    const told: calls.Outcome = { kind, cause: 'stopping', retryAtMs: null, detail };
    const answerInTime = () => {
      cancel = clock.schedule(stop.times()?.answeredMs ?? Infinity, () => resolve(told));
    };
    if (stop.times() === null) remove = stop.onBegin(answerInTime);
    else answerInTime();
  });
  const outcome = await Promise.race([served, unanswered]);
  cancel();
  remove();
  logAtStop(deps, call, outcome);
  return outcome;
}

async function serveHeld(
  deps: contexts.CallDeps,
  reply: fastify.FastifyReply,
  call: calls.Call,
): Promise<calls.Outcome> {
  const sink = sinks.createHeldSink(deps.holds, call.requestId, deps.clock);
  try {
    const served = deps.serve(call, sink, callerGoneSignal(reply.raw));
    const outcome = await outcomeOf(deps, call, served);
    if (outcome.kind === 'answered') {
      await answers.sendHeld(reply, sink.answer(), call.requestId, outcome.replayed);
    } else {
      await answers.sendRefusal(reply, outcome, call.requestId, deps.clock);
    }
    return outcome;
  } finally {
    sink.release();
  }
}

async function serveStreamed(
  deps: contexts.CallDeps,
  reply: fastify.FastifyReply,
  call: calls.Call,
): Promise<calls.Outcome> {
  const startedAtMs = deps.clock.nowMs();
  let isOver = false;
  const noteFirstByte = () => {
    const tookMs = deps.clock.nowMs() - startedAtMs;
    deps.metrics.timing('entry.first_byte_ms', tookMs, { class: call.priorityClass });
  };
  const sink = sinks.createStreamSink(reply.raw, call.requestId, noteFirstByte, () => isOver);
  const served = deps.serve(call, sink, callerGoneSignal(reply.raw));
  const outcome = await outcomeOf(deps, call, served);
  isOver = true;
  if (sink.hasBegun()) {
    reply.hijack();
    answers.endStream(reply, outcome, call.requestId);
  } else if (outcome.kind !== 'answered') {
    await answers.sendRefusal(reply, outcome, call.requestId, deps.clock);
  } else {
    await reply.status(outcome.status).header('x-request-id', call.requestId).send();
  }
  return outcome;
}

function logOutcome(
  deps: contexts.CallDeps,
  call: calls.Call,
  outcome: calls.Outcome,
  startedAtMs: number,
) {
  const cause = outcome.kind === 'answered' ? '' : outcome.cause;
  const tookMs = Math.round(deps.clock.nowMs() - startedAtMs);
  deps.log.info('request-ended', {
    requestId: call.requestId,
    target: call.target.name,
    outcome: outcome.kind,
    cause,
    tookMs,
    configVersion: deps.configuration()?.version,
  });
  deps.metrics.count('entry.requests', 1, { outcome: outcome.kind, cause });
  deps.metrics.timing('entry.request_ms', tookMs, { class: call.priorityClass });
}

export async function serveCall(
  deps: contexts.CallDeps,
  reply: fastify.FastifyReply,
  call: calls.Call,
  isStreamed: boolean,
): Promise<void> {
  const startedAtMs = deps.clock.nowMs();
  deps.journal.record(call.requestId, 'admitted', {
    target: call.target.name,
    priorityClass: call.priorityClass,
    callerGroup: call.callerGroup,
    remainingMs: Math.round(call.deadlineMs - startedAtMs),
  });
  deps.calls.add(call.requestId);
  // Its answer is written, or its caller is gone.
  const noteAnswered = () => deps.calls.noteAnswered(call.requestId);
  reply.raw.once('finish', noteAnswered);
  reply.raw.once('close', noteAnswered);
  deps.openCalls.count += 1;
  deps.metrics.gauge('entry.open_calls', deps.openCalls.count);
  try {
    const outcome = await (isStreamed ? serveStreamed : serveHeld)(deps, reply, call);
    logOutcome(deps, call, outcome, startedAtMs);
  } finally {
    deps.openCalls.count -= 1;
    deps.metrics.gauge('entry.open_calls', deps.openCalls.count);
  }
}

/** Refuses at once what never became a call. */
export function refuse(
  deps: contexts.CallDeps,
  reply: fastify.FastifyReply,
  refused: calls.Refusal,
  requestId: string,
): fastify.FastifyReply {
  const cause = refused.kind === 'not-run' ? refused.cause : '';
  deps.journal.record(requestId, 'refused', { cause });
  const configVersion = deps.configuration()?.version;
  deps.log.info('request-refused', { requestId, cause, configVersion });
  deps.metrics.count('entry.requests', 1, { outcome: refused.kind, cause });
  return answers.sendRefusal(reply, refused, requestId, deps.clock);
}
