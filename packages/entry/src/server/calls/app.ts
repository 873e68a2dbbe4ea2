/** The callers' side of the entry: its routes, and typed problems for all that is none. */
import * as fastify from 'fastify';

import * as bodyRooms from './body-rooms.js';
import type * as contexts from './context.js';
import * as handlers from './handlers.js';
import * as services from './services.js';
import * as unreadBodies from './unread-bodies.js';

/** A body that comes more slowly would hold its room for as long as its caller likes. */
const REQUEST_READ_TIMEOUT_MS = 60_000;

export type CallerAppOptions = { maxBodyBytes: number; isStopping: () => boolean };

/** Registers the callers' routes. */
export function registerCalls(app: fastify.FastifyInstance, deps: contexts.CallDeps): void {
  app.post('/v1/chat/completions', (request, reply) => handlers.handleChat(deps, request, reply));
  app.get('/v1/models', (request, reply) => handlers.handleModels(deps, request, reply));
  const serve = (request: fastify.FastifyRequest, reply: fastify.FastifyReply) =>
    services.handleService(deps, request, reply);
  app.all('/services/:name', serve);
  app.all('/services/:name/*', serve);
}

export function createCallerApp(
  deps: contexts.CallDeps,
  options: CallerAppOptions,
): fastify.FastifyInstance {
  const app = fastify.fastify({
    bodyLimit: options.maxBodyBytes,
    requestTimeout: REQUEST_READ_TIMEOUT_MS,
    // A URL that cannot be decoded never reaches a route or the error handler.
    frameworkErrors: (error, _request, reply) => {
      handlers.handleError(deps, error, reply);
    },
  });
  // Bodies pass to the upstream as they came.
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => done(null, body));
  app.setErrorHandler((error: fastify.FastifyError, _request, reply) =>
    handlers.handleError(deps, error, reply),
  );
  app.setNotFoundHandler((request, reply) => handlers.handleNotFound(deps, request, reply));
  // A balancer that keeps its connections would go on using this entry after it has left. Streams write their head themselves.
  const askForClose = async (_request: fastify.FastifyRequest, reply: fastify.FastifyReply) => {
    if (options.isStopping() && !reply.raw.headersSent) reply.raw.setHeader('connection', 'close');
  };
  app.addHook('onRequest', askForClose);
  app.addHook('onSend', askForClose);
  bodyRooms.registerBodyRooms(app, deps, options.maxBodyBytes);
  unreadBodies.refuseUnreadBodies(app, deps);
  registerCalls(app, deps);
  return app;
}
