/** A small plain service: takes proof submissions, counts them, and takes faults on demand. */
import * as timers from 'node:timers/promises';

import * as fastify from 'fastify';

import * as arrivals from '../shared/arrivals.js';
import * as commands from '../shared/command.js';
import * as control from '../shared/control-port.js';
import * as silence from '../shared/silence.js';

type ServiceOptions = { port: number; controlPort: number; workMs: number; check?: boolean };

const program = commands
  .createCommand('stand-in-service', 'A small plain service for tests and the demo')
  .option('--work-ms <ms>', 'time that a call takes', commands.parseAmount, 20)
  .parse();
const options = program.opts<ServiceOptions>();
if (options.check === true) process.exit(0);

const faults: control.Faults = new Map();
const submissions: { proof: unknown; requestId: string }[] = [];

const app = fastify.fastify({ forceCloseConnections: true });

arrivals.addArrivalFaults(app, faults);
const connections = silence.createSilence(app.server);

app.post('/submissions', async (request, reply) => {
  await timers.setTimeout(options.workMs * control.numberOf(faults, 'slow', 1));
  submissions.push({ proof: request.body, requestId: String(request.headers['x-request-id']) });
  if (control.takeOne(faults, 'lose-answers')) {
    return arrivals.hangUp(request, reply);
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
