/**
 * One server of three answers one stream in twenty without a length. The gateway passes it on without one; when the gateway's planned stop ends
 * before the stream does, it closes the channel as after a whole answer.
 */
import * as timers from 'node:timers';

import * as client from '../lib/client.mjs';
import * as configurations from '../lib/configuration.mjs';
import * as rigs from '../lib/rig.mjs';
import * as servers from '../lib/server.mjs';
import * as stores from '../lib/store.mjs';

const MODEL = 'daka510000';
const STREAM_COUNT = 80;
/** One server of three gives one answer in so many without a length. */
const UNFRAMED_EVERY = 20;
const EVENT_COUNT = 60;
const EVENT_MS = 200;
const DEADLINE_MS = 15_000;
const PAUSE_MS = 25;

const rig = rigs.createRig(import.meta.url);

function engineConfiguration() {
  return configurations.configuration({
    routes: [
      {
        name: 'eligibility-check',
        pathPrefix: '/checks/',
        kind: 'stream',
        service: 'jury-models',
        timeoutMs: DEADLINE_MS,
        targetLatencyMs: 500,
        gapAimMs: 300,
        priority: 1,
      },
    ],
    services: [
      {
        name: 'jury-models',
        maxConns: 250,
        engine: {
          slots: 32,
          kvCapacity: 113_863,
          weightsMb: 230_000,
          maxAdapters: 8,
          loadsPerS: 2.1,
          models: [{ name: MODEL, weightsMb: 72_700, loadTimeS: 9, adapters: 0, adapterMb: 66 }],
        },
      },
    ],
  });
}

let unframingCount = 0;

/** By request id: whether its answer has a length in chunks, and how many events the server has written. */
const answers = new Map();

function answerStream({ id, response, headers }, isUnframing) {
  if (isUnframing) unframingCount += 1;
  const isUnframed = isUnframing && unframingCount % UNFRAMED_EVERY === 0;
  const answer = { isUnframed, written: 0 };
  answers.set(id, answer);
  if (isUnframed) {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
  const timer = timers.setInterval(() => {
    answer.written += 1;
    response.write(`id: ${answer.written}\ndata: piece ${answer.written}\n\n`);
    if (answer.written < EVENT_COUNT) return;
    timers.clearInterval(timer);
    response.end();
  }, EVENT_MS);
  response.once('close', () => timers.clearInterval(timer));
}

async function play() {
  const { host, note } = rig;
  const store = await stores.startStore({ host, note });
  rig.onEnd(store.close);
  store.put('config', 'main', engineConfiguration());
  for (const [index, zone] of ['long-bien', 'tay-ho', 'cau-giay'].entries()) {
    const server = await servers.startServer({
      host,
      store,
      service: 'jury-models',
      zone,
      slots: 32,
      models: [MODEL],
      answer: (run) => answerStream(run, index === 0),
      note,
    });
    rig.onEnd(server.close);
  }
  const machines = [];
  const seeds = () => machines.map(({ control }) => control);
  for (const index of [1, 2]) {
    machines.push(await rig.createMachine(index, { storeAddress: store.address, seeds }));
  }
  machines.forEach((machine) => machine.start());
  for (const machine of machines) await machine.awaitReady();
  await rigs.sleep(1_000);

  const [stopped] = machines;
  const pending = [];
  for (let count = 0; count < STREAM_COUNT; count += 1) {
    pending.push(
      client.send({
        front: stopped.front,
        host: configurations.HOST,
        path: `/checks/${count}/`,
        headers: {
          'x-model': MODEL,
          'x-token-usage': '100,180',
          'x-prompt-prefix': `${(count + 1).toString(16)}:100`,
        },
        body: `crew ${count}`,
        deadlineMs: DEADLINE_MS,
      }),
    );
    await rigs.sleep(PAUSE_MS);
  }
  if (rig.hasTrouble) stopped.signal('SIGTERM');
  const received = await Promise.all(pending);

  const short = received.flatMap(({ id, status, headers, body, end }) => {
    const eventCount = body.split('\n\n').length - 1;
    const { isUnframed, written } = answers.get(id) ?? {};
    note('answered', { id, status, end, eventCount, isUnframed, written });
    const isSuccess = status === 200 && headers['x-response-signature'] !== undefined;
    return isSuccess && end === 'whole' && eventCount < EVENT_COUNT ? [{ id, eventCount }] : [];
  });
  const unframedCount = received.filter(({ id }) => answers.get(id)?.isUnframed === true).length;
  note('answers-of-that-server', { answers: unframingCount, unframedCount });
  if (unframedCount === 0) throw new Error('no answer was without a length');
  if (short.length === 0) return null;
  const counts = short.map(({ eventCount }) => eventCount).join(', ');
  return `MIXED: ${short.length} of ${unframedCount} answers without a length look complete with ${counts} of ${EVENT_COUNT} events`;
}

await rig.run(play);
