/** The control port of every stand-in: faults are set and cleared here while it runs. */
import * as fastify from 'fastify';

import type * as silence from './silence.js';

/** The faults in force, by name; the value's meaning belongs to the fault. */
export type Faults = Map<string, number | string | boolean>;

export type ControlOptions = {
  port: number;
  faults: Faults;
  connections: silence.Silence;
  /** What tests want to know of the stand-in: counts of what ran, crashes and the like. */
  counters: () => unknown;
  /** Routes that only one kind of stand-in has. */
  addRoutes?: (app: fastify.FastifyInstance) => void;
};

export type FaultBody = { name: string; value: number | string | boolean };

/** Not a state but an event: it strikes the connections that are open now. */
const SILENCE_OPEN = 'silence-open-connections';

/** Serves `POST /faults`, `DELETE /faults` and `GET /counters`. */
export async function startControlPort(options: ControlOptions) {
  const app = fastify.fastify({ forceCloseConnections: true });
  app.get('/counters', () => options.counters());
  app.post<{ Body: FaultBody }>('/faults', (request) => {
    const { name, value } = request.body;
    if (name === SILENCE_OPEN) options.connections.silenceOpen();
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

/** Reads a fault that is a number; `otherwise` when it is not in force. */
export function numberOf(faults: Faults, name: string, otherwise: number): number {
  const value = faults.get(name);
  return typeof value === 'number' ? value : otherwise;
}

/** Uses up one of a counted fault, such as "drop the next three orders". */
export function takeOne(faults: Faults, name: string): boolean {
  const left = numberOf(faults, name, 0);
  if (left <= 0) return false;
  faults.set(name, left - 1);
  return true;
}
