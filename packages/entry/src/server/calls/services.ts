/** Calls to plain services, below `/services/NAME/`. */
import { type schema, targets } from '@copperlever/configuration';
import type * as fastify from 'fastify';

import * as servicePaths from '../../shared/service-paths.js';
import * as buildCalls from './build-call.js';
import * as contexts from './context.js';
import * as serveCalls from './serve-call.js';

/** What a caller sent is repeated to it up to this length. */
const MAX_ECHO_LENGTH = 200;

function isNonIdempotent(service: schema.Service, method: string, plainPath: string): boolean {
  return service.nonIdempotentRoutes.some(
    (route) => route.method === method && plainPath.startsWith(route.pathPrefix),
  );
}

export async function handleService(
  deps: contexts.CallDeps,
  request: fastify.FastifyRequest,
  reply: fastify.FastifyReply,
): Promise<fastify.FastifyReply> {
  const requestId = deps.nextRequestId();
  const configuration = deps.configuration();
  if (configuration === null)
    return serveCalls.refuse(deps, reply, contexts.starting(deps), requestId);
  const { document } = configuration;
  const parsed = servicePaths.parseServiceUrl(request.url);
  if (parsed.err) {
    const refused = contexts.refusal('malformed-request', parsed.val.reason);
    return serveCalls.refuse(deps, reply, refused, requestId);
  }
  const { name, path, plainPath } = parsed.val;
  const target = targets.findServiceTarget(document, name);
  const service = document.services[name];
  if (target === null || service === undefined) {
    const detail = `there is no service "${name.slice(0, MAX_ECHO_LENGTH)}"`;
    const refused = contexts.refusal('unknown-service', detail);
    return serveCalls.refuse(deps, reply, refused, requestId);
  }
  const shape = {
    target,
    method: request.method,
    path,
    promptTokens: 0,
    outputTokens: 0,
    prefixKey: '',
    mustRunOnce: isNonIdempotent(service, request.method, plainPath),
  };
  const call = buildCalls.buildCall(deps, request, document, shape, requestId);
  if ('kind' in call) return serveCalls.refuse(deps, reply, call, requestId);
  await serveCalls.serveCall(deps, reply, call, false);
  return reply;
}
