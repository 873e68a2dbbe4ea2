/** Registers the callers' routes. */
import type * as fastify from 'fastify';

import * as handlers from './handlers.js';

type ServiceRequest = fastify.FastifyRequest<{ Params: { name: string } }>;

export function registerCalls(app: fastify.FastifyInstance, deps: handlers.CallDeps): void {
  app.post('/v1/chat/completions', (request, reply) => handlers.handleChat(deps, request, reply));
  app.get('/v1/models', (request, reply) => handlers.handleModels(deps, request, reply));
  const serve = (request: ServiceRequest, reply: fastify.FastifyReply) =>
    handlers.handleService(deps, request, reply);
  app.all<{ Params: { name: string } }>('/services/:name', serve);
  app.all<{ Params: { name: string } }>('/services/:name/*', serve);
}
