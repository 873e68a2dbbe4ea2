/** Stand-in plain service: accepts and counts proof submissions, with fault injection. */
import * as timers from 'node:timers/promises';

import * as fastify from 'fastify';

import * as arrivalFaults from '../shared/arrival-faults.js';
import * as commands from '../shared/command.js';
import * as control from '../shared/control-port.js';
import * as connectionSilencers from '../shared/connection-silencer.js';

type ServiceOptions = { port: number; controlPort: number; workMs: number; check?: boolean };

const program = commands
  .createCommand('stand-in-service', 'Stand-in plain service for tests and the demo')
  .option('--work-ms <ms>', 'time that a call takes', commands.parseAmount, 20)
  .parse();
const options = program.opts<ServiceOptions>();
if (options.check === true) process.exit(0);

const faults: control.Faults = new Map();
const submissions: { proof: unknown; requestId: string }[] = [];

const app = fastify.fastify({ forceCloseConnections: true });

arrivalFaults.addArrivalFaults(app, faults);
const connections = connectionSilencers.createConnectionSilencer(app.server);

app.post('/submissions', async (request, reply) => {
  await timers.setTimeout(options.workMs * control.numericValue(faults, 'slow', 1));
  submissions.push({ proof: request.body, requestId: String(request.headers['x-request-id']) });
  if (control.consumeOne(faults, 'lose-answers')) {
    return arrivalFaults.hangUp(request, reply);
  }
  return reply.status(201).send({ submission: submissions.length, proof: request.body });
});

app.get('/submissions', () => ({ count: submissions.length }));

await app.listen({ host: '127.0.0.1', port: options.port });
const controlApp = await control.startControlPort({
  port: options.controlPort,
  faults,
  connections,
  counters: () => ({ submissions }),
});
commands.stopOnSignal(() => Promise.all([app.close(), controlApp.close()]));
