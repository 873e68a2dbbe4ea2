/** Stand-in model engine with OpenAI-style completions, orders to load and unload copies, and fault injection. */
import type * as http from 'node:http';
import * as timers from 'node:timers/promises';

import * as fastify from 'fastify';

import * as arrivalFaults from '../shared/arrival-faults.js';
import * as commands from '../shared/command.js';
import * as control from '../shared/control-port.js';
import * as connectionSilencers from '../shared/connection-silencer.js';
import * as completions from './completions.js';
import * as engineState from './engine-state.js';

type EngineOptions = {
  port: number;
  controlPort: number;
  memoryBytes: number;
  tokenGapMs: number;
  firstTokenMs: number;
  loadMs: number;
  ignoresFencing?: boolean;
  check?: boolean;
};

const RESTART_MS = 200;

const program = commands
  .createCommand('stand-in-engine', 'Stand-in model engine for tests and the demo')
  .option('--memory-bytes <bytes>', 'accelerator memory', commands.parseAmount, 80e9)
  .option('--token-gap-ms <ms>', 'time between tokens', commands.parseAmount, 5)
  .option('--first-token-ms <ms>', 'time to the first token', commands.parseAmount, 10)
  .option('--load-ms <ms>', 'time to load a copy', commands.parseAmount, 100)
  .option('--ignores-fencing', 'accept orders with an old fencing number')
  .parse();
const options = program.opts<EngineOptions>();
if (options.check === true) process.exit(0);

const faults: control.Faults = new Map();
const state = engineState.createEngineState(options.memoryBytes, Date.now());
const runsById = new Map<string, number>();
let crashCount = 0;
let cancelledCount = 0;
let isDown = false;

/** Simulates a crash: connections are closed, memory is lost, and a new incarnation starts after `RESTART_MS`. */
async function crash(): Promise<void> {
  crashCount += 1;
  isDown = true;
  state.crash();
  // Includes connections without a response so far, such as that of the request that caused the crash.
  app.server.closeAllConnections();
  await timers.setTimeout(RESTART_MS);
  isDown = false;
}

function latencyFactor(): number {
  return control.numericValue(faults, 'slow', 1);
}

async function writeTokens(
  raw: http.ServerResponse,
  id: string,
  body: completions.ChatBody,
): Promise<void> {
  const tokens = completions.tokensOf(body);
  await timers.setTimeout(options.firstTokenMs * latencyFactor());
  for (const [index, token] of tokens.entries()) {
    if (index > 0 && options.tokenGapMs > 0) {
      await timers.setTimeout(options.tokenGapMs * latencyFactor());
    }
    if (raw.destroyed) {
      cancelledCount += 1;
      return;
    }
    if (faults.has('silent')) return;
    if (body.stream === true) {
      raw.write(completions.chunkEvent(id, body.model, token, index === tokens.length - 1));
    }
  }
  if (body.stream === true) raw.end(completions.LAST_EVENT);
  else raw.end(JSON.stringify(completions.chatCompletion(id, body, tokens)));
}

async function complete(raw: http.ServerResponse, id: string, body: completions.ChatBody) {
  const marker = faults.get('crash-on');
  if (typeof marker === 'string' && JSON.stringify(body.messages).includes(marker)) {
    await crash();
    return;
  }
  const contentType = body.stream === true ? 'text/event-stream' : 'application/json';
  raw.writeHead(200, { 'content-type': contentType });
  if (body.stream === true) raw.flushHeaders();
  state.requestStarted();
  try {
    await writeTokens(raw, id, body);
  } finally {
    state.requestEnded();
  }
}

const app = fastify.fastify({ bodyLimit: 16 * 1024 * 1024, forceCloseConnections: true });

arrivalFaults.addArrivalFaults(app, faults, () => isDown);
const connections = connectionSilencers.createConnectionSilencer(app.server);

app.post<{ Body: completions.ChatBody }>('/v1/chat/completions', (request, reply) => {
  const { body } = request;
  if (state.findReady(body.model) === undefined) {
    return reply.status(404).send({ error: { message: `model ${body.model} is not loaded` } });
  }
  const id = String(request.headers['x-request-id'] ?? request.id);
  runsById.set(id, (runsById.get(id) ?? 0) + 1);
  reply.hijack();
  void complete(reply.raw, id, body);
  return reply;
});

app.post<{ Body: engineState.Order }>('/orders', async (request, reply) => {
  const order = request.body;
  if (control.consumeOne(faults, 'drop-orders')) {
    return arrivalFaults.hangUp(request, reply);
  }
  await timers.setTimeout(control.numericValue(faults, 'delay-orders-ms', 0));
  const checksFencing = options.ignoresFencing !== true && !faults.has('ignore-fencing');
  const verdict = state.take(order, checksFencing);
  if (verdict === 'taken' && order.kind === 'load') {
    const { name, version } = order;
    void timers
      .setTimeout(options.loadMs * latencyFactor())
      .then(() => state.markReady(name, version));
  }
  if (control.consumeOne(faults, 'lose-order-answers')) {
    return arrivalFaults.hangUp(request, reply);
  }
  return reply.status(verdict === 'taken' ? 202 : 409).send({ verdict });
});

app.get('/state', () => state.report());

await app.listen({ host: '127.0.0.1', port: options.port });
const controlApp = await control.startControlPort({
  port: options.controlPort,
  faults,
  connections,
  counters: () => ({
    runsById: Object.fromEntries(runsById),
    crashCount,
    cancelledCount,
    overcommitCount: state.overcommitCount(),
    report: state.report(),
  }),
});
commands.stopOnSignal(() => Promise.all([app.close(), controlApp.close()]));
