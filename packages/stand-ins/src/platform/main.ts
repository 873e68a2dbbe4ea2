/** Stand-in platform: the object API with versions, conditional writes and watches, and the list of VMs. */
import * as timers from 'node:timers/promises';

import { memoryStore, type objectStoreTypes } from '@copperlever/coordination';
import { clocks } from '@copperlever/runtime';
import * as fastify from 'fastify';

import * as arrivalFaults from '../shared/arrival-faults.js';
import * as commands from '../shared/command.js';
import * as control from '../shared/control-port.js';
import * as connectionSilencers from '../shared/connection-silencer.js';

type PlatformOptions = { port: number; controlPort: number; check?: boolean };

const VERSION_HEADER = 'x-object-version';
const CALL_TIMEOUT_MS = 10_000;

const program = commands
  .createCommand('stand-in-platform', 'Stand-in object API for tests and the demo')
  .parse();
const options = program.opts<PlatformOptions>();
if (options.check === true) process.exit(0);

const faults: control.Faults = new Map();
const clock = clocks.createSystemClock();
const store = memoryStore.createMemoryStore(clock);
const callCounts = new Map<string, number>();

function deadlineMs(): number {
  return clock.nowMs() + CALL_TIMEOUT_MS;
}

function conditionOf(
  headers: fastify.FastifyRequest['headers'],
): objectStoreTypes.WriteCondition | null {
  if (headers['if-none-match'] === '*') return { kind: 'absent' };
  const version = Number(headers['if-match']);
  return Number.isInteger(version) ? { kind: 'version', version } : null;
}

function statusOf(error: objectStoreTypes.ObjectError): number {
  switch (error.kind) {
    case 'conflict':
      return 412;
    case 'too-large':
      return 413;
    case 'unavailable':
    case 'outcome-unknown':
      return 503;
  }
}

const app = fastify.fastify({ bodyLimit: 2_000_000, forceCloseConnections: true });
app.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => done(null, body));
app.removeContentTypeParser(['application/json', 'text/plain']);

const connections = connectionSilencers.createConnectionSilencer(app.server);

app.addHook('onRequest', async (request, reply) => {
  const kind = `${request.method} ${request.url.split(/[/?]/)[1] ?? ''}`;
  callCounts.set(kind, (callCounts.get(kind) ?? 0) + 1);
  if (faults.has('down')) await reply.status(503).header('retry-after', '1').send();
  if (faults.has('silent')) reply.hijack();
  await timers.setTimeout(control.numericValue(faults, 'slow-ms', 0));
});

app.get<{ Params: { '*': string } }>('/objects/*', async (request, reply) => {
  const read = await store.get(request.params['*'], deadlineMs());
  if (read.err) return reply.status(statusOf(read.val)).send();
  if (read.val === null) return reply.status(404).send();
  return reply.header(VERSION_HEADER, String(read.val.version)).send(read.val.value);
});

app.put<{ Params: { '*': string } }>('/objects/*', async (request, reply) => {
  const condition = conditionOf(request.headers);
  if (condition === null) return reply.status(428).send();
  const value = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
  const written = await store.put(request.params['*'], value, condition, deadlineMs());
  if (control.consumeOne(faults, 'lose-write-answers')) return arrivalFaults.hangUp(request, reply);
  if (written.err) return reply.status(statusOf(written.val)).send();
  return reply.header(VERSION_HEADER, String(written.val)).send();
});

app.delete<{ Params: { '*': string } }>('/objects/*', async (request, reply) => {
  const removed = await store.remove(request.params['*'], deadlineMs());
  return reply.status(removed.err ? statusOf(removed.val) : 200).send();
});

app.get<{ Querystring: { prefix?: string } }>('/list', async (request, reply) => {
  const listed = await store.list(request.query.prefix ?? '', deadlineMs());
  if (listed.err) return reply.status(statusOf(listed.val)).send();
  return reply.send({ revision: store.revision(), objects: listed.val });
});

type WatchQuery = { prefix?: string; after?: string; 'timeout-ms'?: string };

app.get<{ Querystring: WatchQuery }>('/watch', async (request, reply) => {
  const { query } = request;
  const untilMs = clock.nowMs() + Number(query['timeout-ms'] ?? CALL_TIMEOUT_MS);
  const changes = await store.watch(query.prefix ?? '', Number(query.after ?? 0), untilMs);
  if (changes.err) return reply.status(statusOf(changes.val)).send();
  return reply.send(changes.val);
});

app.get('/vms', async (_request, reply) => {
  const listed = await store.listVms(deadlineMs());
  return listed.err ? reply.status(503).send() : reply.send({ vms: listed.val });
});

await app.listen({ host: '127.0.0.1', port: options.port });
type VmsBody = { vms: objectStoreTypes.ListedVm[] };

const controlApp = await control.startControlPort({
  port: options.controlPort,
  faults,
  connections,
  counters: () => ({
    calls: Object.fromEntries(callCounts),
    revision: store.revision(),
    objectCount: store.objectCount(),
  }),
  addRoutes: (controlRoutes) => {
    controlRoutes.post<{ Body: VmsBody }>('/vms', (request) => {
      store.setVms(request.body.vms);
      return { count: request.body.vms.length };
    });
  },
});
commands.stopOnSignal(() => Promise.all([app.close(), controlApp.close()]));
