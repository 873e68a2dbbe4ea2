/** What callers ask for: chat completions, the list of models, and plain services. */
import type * as http from 'node:http';

import { type schema, targets } from '@copperlever/configuration';
import type * as journals from '@copperlever/coordination/journal/types';
import type { clocks, logs, metrics as metricsModule } from '@copperlever/runtime';
import * as hashes from '@copperlever/runtime/hashes';
import type * as fastify from 'fastify';

import * as callHeaders from '../../shared/call-headers.js';
import * as chatRequests from '../../shared/chat-requests.js';
import type * as calls from '../../types/calls.js';
import type * as serving from '../requests/serve.js';
import * as answers from './answers.js';
import * as sinks from './sinks.js';

export type CallDeps = {
  clock: clocks.Clock;
  log: logs.Logger;
  metrics: metricsModule.Metrics;
  journal: journals.Journal;
  serve: serving.Serve;
  configuration: () => { version: number; document: schema.Document } | null;
  nextRequestId: () => string;
  openCalls: { count: number };
};

/** Headers that are passed to the upstream. */
const PASSED_HEADERS = ['content-type', 'accept', 'idempotency-key', 'traceparent'];
const STARTING_RETRY_MS = 1_000;
const SERVICES_PREFIX = '/services/';

function refusal(
  cause: calls.NotRunCause,
  detail: string,
  retryAtMs: number | null = null,
): calls.Refusal {
  return { kind: 'not-run', cause, retryAtMs, detail };
}

function passedHeaders(headers: http.IncomingHttpHeaders): calls.HeaderPair[] {
  return PASSED_HEADERS.flatMap((name) => {
    const value = headers[name];
    return typeof value === 'string' ? [{ name, value }] : [];
  });
}

/** Resolves a deadline of the wall clock to the local monotonic clock, once, on arrival. */
function deadlineMsOf(deps: CallDeps, headers: callHeaders.CallHeaders, defaultTimeoutMs: number) {
  const nowMs = deps.clock.nowMs();
  if (headers.deadlineWallMs === null) return nowMs + defaultTimeoutMs;
  return nowMs + headers.deadlineWallMs - deps.clock.wallMs();
}

type CallShape = Pick<
  calls.Call,
  'target' | 'method' | 'path' | 'promptTokens' | 'outputTokens' | 'prefixKey'
> & { mustRunOnce: boolean };

function buildCall(
  deps: CallDeps,
  request: fastify.FastifyRequest,
  document: schema.Document,
  shape: CallShape,
  requestId: string,
): calls.Call | calls.Refusal {
  const parsed = callHeaders.parseCallHeaders(request.headers);
  if (parsed.err) {
    return refusal('invalid-header', `${parsed.val.header}: ${parsed.val.reason}`);
  }
  const headers = parsed.val;
  const deadlineMs = deadlineMsOf(deps, headers, document.policy.defaultTimeoutMs);
  if (deadlineMs <= deps.clock.nowMs()) {
    return refusal('deadline-passed', 'the deadline had passed when the request arrived');
  }
  const { mustRunOnce, ...shapeFields } = shape;
  const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
  const onceKey = headers.idempotencyKey ?? (mustRunOnce ? requestId : null);
  return {
    ...shapeFields,
    requestId,
    headers: passedHeaders(request.headers),
    body,
    priorityClass: headers.priorityClass ?? targets.defaultPriorityClass(document, shape.target),
    callerGroup: headers.callerGroup,
    deadlineMs,
    idempotencyKey: onceKey,
    fingerprint: hashes.hash64Hex(
      `${shape.target.name}\n${shape.path}\n${body.toString('latin1')}`,
    ),
  };
}

function callerGoneSignal(raw: http.ServerResponse): AbortSignal {
  const controller = new AbortController();
  raw.once('close', () => {
    if (!raw.writableEnded) controller.abort();
  });
  return controller.signal;
}

async function serveHeld(
  deps: CallDeps,
  reply: fastify.FastifyReply,
  call: calls.Call,
): Promise<calls.Outcome> {
  const sink = sinks.createHeldSink();
  const outcome = await deps.serve(call, sink, callerGoneSignal(reply.raw));
  if (outcome.kind === 'answered') {
    await answers.sendHeld(reply, sink.answer(), call.requestId, outcome.replayed);
  } else {
    await answers.sendRefusal(reply, outcome, call.requestId, deps.clock);
  }
  return outcome;
}

async function serveStreamed(
  deps: CallDeps,
  reply: fastify.FastifyReply,
  call: calls.Call,
): Promise<calls.Outcome> {
  const sink = sinks.createStreamSink(reply.raw, call.requestId);
  const outcome = await deps.serve(call, sink, callerGoneSignal(reply.raw));
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

function logOutcome(deps: CallDeps, call: calls.Call, outcome: calls.Outcome, startedAtMs: number) {
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

async function serveCall(
  deps: CallDeps,
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
  deps.openCalls.count += 1;
  try {
    const outcome = await (isStreamed ? serveStreamed : serveHeld)(deps, reply, call);
    logOutcome(deps, call, outcome, startedAtMs);
  } finally {
    deps.openCalls.count -= 1;
  }
}

function refuse(
  deps: CallDeps,
  reply: fastify.FastifyReply,
  refused: calls.Refusal,
  requestId: string,
): fastify.FastifyReply {
  const cause = refused.kind === 'not-run' ? refused.cause : '';
  deps.journal.record(requestId, 'refused', { cause });
  deps.log.info('request-refused', { requestId, cause });
  deps.metrics.count('entry.requests', 1, { outcome: refused.kind, cause });
  return answers.sendRefusal(reply, refused, requestId, deps.clock);
}

function starting(deps: CallDeps): calls.Refusal {
  return refusal('starting', 'no configuration yet', deps.clock.nowMs() + STARTING_RETRY_MS);
}

export async function handleChat(
  deps: CallDeps,
  request: fastify.FastifyRequest,
  reply: fastify.FastifyReply,
): Promise<fastify.FastifyReply> {
  const requestId = deps.nextRequestId();
  const configuration = deps.configuration();
  if (configuration === null) return refuse(deps, reply, starting(deps), requestId);
  const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
  const chat = chatRequests.parseChat(body);
  if (chat.err) {
    const detail = `${chat.val.field}: ${chat.val.reason}`;
    return refuse(deps, reply, refusal('malformed-request', detail), requestId);
  }
  const { document } = configuration;
  const target = targets.findModelTarget(document, chat.val.model);
  if (target === null) {
    const detail = `there is no model "${chat.val.model}"`;
    return refuse(deps, reply, refusal('unknown-model', detail), requestId);
  }
  const { promptTokens, outputTokens, prefixKey } = chat.val;
  const shape = {
    target,
    method: 'POST',
    path: '/v1/chat/completions',
    promptTokens,
    outputTokens,
    prefixKey,
    mustRunOnce: false,
  };
  const call = buildCall(deps, request, document, shape, requestId);
  if ('kind' in call) return refuse(deps, reply, call, requestId);
  await serveCall(deps, reply, call, chat.val.isStreamed);
  return reply;
}

export function handleModels(
  deps: CallDeps,
  _request: fastify.FastifyRequest,
  reply: fastify.FastifyReply,
): fastify.FastifyReply {
  const requestId = deps.nextRequestId();
  const configuration = deps.configuration();
  if (configuration === null) return refuse(deps, reply, starting(deps), requestId);
  const { models, adapters } = configuration.document;
  const data = [...Object.keys(models), ...Object.keys(adapters)].map((id) => ({
    id,
    object: 'model',
    owned_by: 'copperlever',
  }));
  return reply.header('x-request-id', requestId).send({ object: 'list', data });
}

function isNonIdempotent(service: schema.Service, method: string, path: string): boolean {
  return service.nonIdempotentRoutes.some(
    (route) => route.method === method && path.startsWith(route.pathPrefix),
  );
}

export async function handleService(
  deps: CallDeps,
  request: fastify.FastifyRequest<{ Params: { name: string } }>,
  reply: fastify.FastifyReply,
): Promise<fastify.FastifyReply> {
  const requestId = deps.nextRequestId();
  const configuration = deps.configuration();
  if (configuration === null) return refuse(deps, reply, starting(deps), requestId);
  const { document } = configuration;
  const { name } = request.params;
  const target = targets.findServiceTarget(document, name);
  const service = document.services[name];
  if (target === null || service === undefined) {
    const detail = `there is no service "${name}"`;
    return refuse(deps, reply, refusal('unknown-service', detail), requestId);
  }
  const path = request.url.slice(SERVICES_PREFIX.length + name.length) || '/';
  const shape = {
    target,
    method: request.method,
    path,
    promptTokens: 0,
    outputTokens: 0,
    prefixKey: '',
    mustRunOnce: isNonIdempotent(service, request.method, path),
  };
  const call = buildCall(deps, request, document, shape, requestId);
  if ('kind' in call) return refuse(deps, reply, call, requestId);
  await serveCall(deps, reply, call, false);
  return reply;
}

/** What fastify itself refuses: a body over the limit, or one that it cannot read. */
export function handleError(
  deps: CallDeps,
  error: { statusCode?: number; message: string },
  reply: fastify.FastifyReply,
): fastify.FastifyReply {
  const cause = error.statusCode === 413 ? 'body-too-large' : 'malformed-request';
  return refuse(deps, reply, refusal(cause, error.message), deps.nextRequestId());
}
