/** The faults that every stand-in shares, applied to each request as it arrives. */
import type * as fastify from 'fastify';

import type * as control from './control-port.js';

/** Ends the connection without an answer: what the caller sees when a process dies. */
export function hangUp(
  request: fastify.FastifyRequest,
  reply: fastify.FastifyReply,
): fastify.FastifyReply {
  reply.hijack();
  request.raw.socket.destroy();
  return reply;
}

/** `down` ends each connection, `silent` takes each request and never answers. */
export function addArrivalFaults(
  app: fastify.FastifyInstance,
  faults: control.Faults,
  isDown: () => boolean = () => false,
): void {
  app.addHook('onRequest', async (request, reply) => {
    if (isDown() || faults.has('down')) hangUp(request, reply);
    else if (faults.has('silent')) reply.hijack();
  });
}
