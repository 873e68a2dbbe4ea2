/** The control port of each stand-in, where tests set and clear faults and read counters at run time. */
import * as fastify from 'fastify';

import type * as connectionSilencers from './connection-silencer.js';

/** Active faults by name; the meaning of the value depends on the fault. */
export type Faults = Map<string, number | string | boolean>;

export type ControlOptions = {
  port: number;
  faults: Faults;
  connections: connectionSilencers.ConnectionSilencer;
  /** Counters that tests read, such as numbers of runs and crashes. */
  counters: () => unknown;
  /** Adds routes specific to one kind of stand-in. */
  addRoutes?: (app: fastify.FastifyInstance) => void;
};

export type FaultBody = { name: string; value: number | string | boolean };

/** Not a lasting fault but a single event, which affects the connections open at that time. */
const SILENCE_OPEN_CONNECTIONS = 'silence-open-connections';

/** Serves `POST /faults`, `DELETE /faults` and `GET /counters`. */
export async function startControlPort(options: ControlOptions) {
  const app = fastify.fastify({ forceCloseConnections: true });
  app.get('/counters', () => options.counters());
  app.post<{ Body: FaultBody }>('/faults', (request) => {
    const { name, value } = request.body;
    if (name === SILENCE_OPEN_CONNECTIONS) options.connections.silenceOpen();
    else options.faults.set(name, value);
    return { inForce: Object.fromEntries(options.faults) };
  });
  app.delete<{ Querystring: { name?: string } }>('/faults', (request) => {
    if (request.query.name === undefined) options.faults.clear();
    else options.faults.delete(request.query.name);
    return { inForce: Object.fromEntries(options.faults) };
  });
  options.addRoutes?.(app);
  await app.listen({ host: '127.0.0.1', port: options.port });
  return app;
}

/** The value of a numeric fault; `fallback` if the fault is not active. */
export function numericValue(faults: Faults, name: string, fallback: number): number {
  const value = faults.get(name);
  return typeof value === 'number' ? value : fallback;
}

/** Uses one occurrence of a counted fault, such as "drop the next three orders"; false if none is left. */
export function consumeOne(faults: Faults, name: string): boolean {
  const remaining = numericValue(faults, name, 0);
  if (remaining <= 0) return false;
  faults.set(name, remaining - 1);
  return true;
}
