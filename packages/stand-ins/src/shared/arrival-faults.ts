/** Faults common to several stand-ins, applied to each request on arrival. */
import type * as fastify from 'fastify';

import type * as control from './control-port.js';

/** Closes the connection without a response, as seen by the caller when a process dies. */
export function hangUp(
  request: fastify.FastifyRequest,
  reply: fastify.FastifyReply,
): fastify.FastifyReply {
  reply.hijack();
  request.raw.socket.destroy();
  return reply;
}

/** Applies `down`, which closes each connection, and `silent`, which accepts each request and never responds. */
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
