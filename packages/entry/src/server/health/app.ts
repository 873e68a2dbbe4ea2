/** Whether this entry is alive, and whether the balancer should send it callers. */
import type * as fastify from 'fastify';

export type Readiness = { ready: boolean; reason: string };

export type HealthDeps = { readiness: () => Readiness };

export function registerHealth(app: fastify.FastifyInstance, deps: HealthDeps): void {
  app.get('/healthz', () => ({ alive: true }));
  app.get('/readyz', (_request, reply) => {
    const readiness = deps.readiness();
    return reply.status(readiness.ready ? 200 : 503).send(readiness);
  });
}
