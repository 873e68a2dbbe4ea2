/** Serves the metrics to whoever collects them. */
import * as fastify from 'fastify';

import type * as metricsModule from './metrics.js';

export const METRICS_PATH = '/metrics';
const TEXT_FORMAT = 'text/plain; version=0.0.4; charset=utf-8';

export function createMetricsApp(
  metrics: Pick<metricsModule.GatewayMetrics, 'text'>,
): fastify.FastifyInstance {
  const app = fastify.fastify({ forceCloseConnections: true });
  app.get(METRICS_PATH, async (_request, reply) => {
    const text = await metrics.text();
    return reply.type(TEXT_FORMAT).send(text);
  });
  return app;
}
