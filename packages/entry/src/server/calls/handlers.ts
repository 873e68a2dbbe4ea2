/** What callers ask for: chat completions and the list of models; and what is no request at all. */
import { targets } from '@copperlever/configuration';
import type * as fastify from 'fastify';

import * as chatRequests from '../../shared/chat-requests.js';
import * as bodyRooms from './body-rooms.js';
import * as buildCalls from './build-call.js';
import * as contexts from './context.js';
import * as serveCalls from './serve-call.js';

/** What a caller sent is repeated to it up to this length. */
const MAX_ECHO_LENGTH = 200;
const NO_ROOM_RETRY_MS = 1_000;

export async function handleChat(
  deps: contexts.CallDeps,
  request: fastify.FastifyRequest,
  reply: fastify.FastifyReply,
): Promise<fastify.FastifyReply> {
  const requestId = deps.nextRequestId();
  const configuration = deps.configuration();
  if (configuration === null)
    return serveCalls.refuse(deps, reply, contexts.starting(deps), requestId);
  const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
  const chat = chatRequests.parseChat(body);
  if (chat.err) {
    const detail = `${chat.val.field}: ${chat.val.reason}`;
    return serveCalls.refuse(deps, reply, contexts.refusal('malformed-request', detail), requestId);
  }
  const { document } = configuration;
  const target = targets.findModelTarget(document, chat.val.model);
  if (target === null) {
    const detail = `there is no model "${chat.val.model.slice(0, MAX_ECHO_LENGTH)}"`;
    return serveCalls.refuse(deps, reply, contexts.refusal('unknown-model', detail), requestId);
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
  const call = buildCalls.buildCall(deps, request, document, shape, requestId);
  if ('kind' in call) return serveCalls.refuse(deps, reply, call, requestId);
  await serveCalls.serveCall(deps, reply, call, chat.val.isStreamed);
  return reply;
}

export function handleModels(
  deps: contexts.CallDeps,
  _request: fastify.FastifyRequest,
  reply: fastify.FastifyReply,
): fastify.FastifyReply {
  const requestId = deps.nextRequestId();
  const configuration = deps.configuration();
  if (configuration === null)
    return serveCalls.refuse(deps, reply, contexts.starting(deps), requestId);
  const { models, adapters } = configuration.document;
  const data = [...Object.keys(models), ...Object.keys(adapters)].map((id) => ({
    id,
    object: 'model',
    owned_by: 'copperlever',
  }));
  return reply.header('x-request-id', requestId).send({ object: 'list', data });
}

/** What fastify itself refuses: a body over the limit, or one that it cannot read. */
export function handleError(
  deps: contexts.CallDeps,
  error: { statusCode?: number; message: string; code?: string },
  reply: fastify.FastifyReply,
): fastify.FastifyReply {
  if (error.code === bodyRooms.NO_ROOM) {
    const retryAtMs = deps.clock.nowMs() + NO_ROOM_RETRY_MS;
    const refused = contexts.refusal('no-room', error.message, retryAtMs);
    return serveCalls.refuse(deps, reply, refused, deps.nextRequestId());
  }
  const cause = error.statusCode === 413 ? 'body-too-large' : 'malformed-request';
  return serveCalls.refuse(
    deps,
    reply,
    contexts.refusal(cause, error.message),
    deps.nextRequestId(),
  );
}

/** A path or method that there is not. */
export function handleNotFound(
  deps: contexts.CallDeps,
  request: fastify.FastifyRequest,
  reply: fastify.FastifyReply,
): fastify.FastifyReply {
  const detail = `there is no ${request.method} ${request.url.slice(0, MAX_ECHO_LENGTH)}`;
  return serveCalls.refuse(
    deps,
    reply,
    contexts.refusal('unknown-route', detail),
    deps.nextRequestId(),
  );
}
