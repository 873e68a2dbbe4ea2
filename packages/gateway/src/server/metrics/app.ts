/** Serves the metrics to whoever collects them. */
import * as fastify from 'fastify';

import type * as metricsModule from './metrics.js';

export const METRICS_PATH = '/metrics';
const TEXT_FORMAT = 'text/plain; version=0.0.4; charset=utf-8';

/** More than collect at the same time; each holds one text that its reader has not taken. */
export const CONNECTIONS_MAX = 32;
/** A collector that reads nothing for so long has given up. */
const CONNECTION_TIMEOUT_MS = 10_000;

/** Bounded: texts that nobody reads would fill the memory of the process, most of all where requests come pipelined. */
export function createMetricsApp(
  metrics: Pick<metricsModule.GatewayMetrics, 'text'>,
): fastify.FastifyInstance {
  const app = fastify.fastify({
    forceCloseConnections: true,
    connectionTimeout: CONNECTION_TIMEOUT_MS,
    maxRequestsPerSocket: 1,
  });
  app.server.maxConnections = CONNECTIONS_MAX;
  app.get(METRICS_PATH, async (_request, reply) => {
    const text = await metrics.text();
    return reply.type(TEXT_FORMAT).send(text);
  });
  return app;
}
