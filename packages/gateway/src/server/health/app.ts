/** Answers the balancer's readiness probe: 200 while this gateway takes new connections, else 503. */
import * as fastify from 'fastify';

export function createReadinessApp(path: string, isReady: () => boolean): fastify.FastifyInstance {
  const app = fastify.fastify({ forceCloseConnections: true });
  app.get(path, async (_request, reply) => {
    const ready = isReady();
    return reply.status(ready ? 200 : 503).send({ ready });
  });
  return app;
}
