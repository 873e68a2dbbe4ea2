/** Requests whose body has not come whole: they did not run, and the end of a stop refuses them. */
import type * as fastify from 'fastify';

import type * as contexts from './context.js';
import * as serveCalls from './serve-call.js';

export function refuseUnreadBodies(app: fastify.FastifyInstance, deps: contexts.CallDeps): void {
  const unread = new Set<fastify.FastifyReply>();

  function refuse(reply: fastify.FastifyReply): void {
    unread.delete(reply);
    if (reply.raw.headersSent) return;
    const requestId = deps.nextRequestId();
    const refusal = deps.stop.refusal();
    deps.calls.add(requestId);
    deps.calls.logAtStop(requestId, 'refused', refusal.cause);
    deps.calls.noteAnswered(requestId);
    serveCalls.refuse(deps, reply, refusal, requestId);
  }

  app.addHook('onRequest', async (_request, reply) => {
    unread.add(reply);
    reply.raw.once('close', () => unread.delete(reply));
  });
  app.addHook('preHandler', async (_request, reply) => {
    unread.delete(reply);
  });
  deps.stop.onBegin(() => {
    const times = deps.stop.times();
    if (times === null) return;
    // Once for most of them, and once for those that began meanwhile.
    [times.lastAnswersMs, times.answeredMs].forEach((atMs) => {
      deps.clock.schedule(atMs, () => unread.forEach(refuse));
    });
  });
}
