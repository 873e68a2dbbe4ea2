/**
 * A gateway that has taken the lease over, and must not order yet, is killed. Started again it takes its own record for a lease
 * that it has used, and orders at once: within the lease time of the orders of the holder before.
 */
import * as client from '../lib/client.mjs';
import * as configurations from '../lib/configuration.mjs';
import * as rigs from '../lib/rig.mjs';
import * as servers from '../lib/server.mjs';
import * as stores from '../lib/store.mjs';

const LEASE_MS = 3_000;
const MODEL = 'daka510000';
const ADAPTER_COUNT = 28;
const PAUSE_MS = 25;
const SETTLED_MS = 6_000;
const KILL_AFTER_MS = 100;
const RESTART_AFTER_MS = 200;
const AFTER_MS = 9_000;

const rig = rigs.createRig(import.meta.url);

function engineConfiguration() {
  return configurations.configuration({
    routes: [
      {
        name: 'eligibility-check',
        pathPrefix: '/checks/',
        kind: 'stream',
        service: 'jury-models',
        timeoutMs: 15_000,
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
          models: [
            {
              name: MODEL,
              weightsMb: 72_700,
              loadTimeS: 9,
              adapters: ADAPTER_COUNT,
              adapterMb: 66,
            },
          ],
        },
      },
    ],
  });
}

/** Requests for one adapter after the other, at all gateways that are ready, until `isOver`. */
async function sendDemand(machines, isOver) {
  for (let count = 0; !isOver(); count += 1) {
    const { front } = machines[count % machines.length];
    void client.send({
      front,
      host: configurations.HOST,
      path: `/checks/${count}/`,
      headers: {
        'x-model': `${MODEL}/a${1 + (count % ADAPTER_COUNT)}`,
        'x-token-usage': '100,20',
        'x-prompt-prefix': `${(count + 1).toString(16)}:100`,
      },
      body: `crew ${count}`,
      deadlineMs: 2_000,
    });
    await rigs.sleep(PAUSE_MS);
  }
}

function answerStream({ response, headers }) {
  response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
  response.write('id: 1\ndata: one\n\n');
  setTimeout(() => response.end('id: 2\ndata: two\n\n'), 30);
}

async function play() {
  const { host } = rig;
  const orders = [];
  const note = (event, fields) => {
    if (event === 'order') orders.push({ ...fields, atMs: performance.now() });
    if (event !== 'run') rig.note(event, fields);
  };
  const store = await stores.startStore({ host, note });
  rig.onEnd(store.close);
  store.put('config', 'main', engineConfiguration());
  for (const zone of ['long-bien']) {
    const server = await servers.startServer({
      host,
      store,
      service: 'jury-models',
      zone,
      slots: 32,
      models: [MODEL],
      answer: answerStream,
      note,
    });
    server.ignoreFences();
    rig.onEnd(server.close);
  }
  const machines = [];
  const seeds = () => machines.map(({ control }) => control);
  const bounds = { fencingEnforced: false };
  for (const index of [1, 2, 3]) {
    const options = { storeAddress: store.address, seeds, bounds };
    machines.push(await rig.createMachine(index, options));
  }
  machines.forEach((machine) => machine.start());
  for (const machine of machines) await machine.awaitReady();

  let isOver = false;
  const demand = sendDemand(machines, () => isOver);
  await rigs.sleep(SETTLED_MS);
  const lease = () => store.get('copperlever-leases', 'placing').spec;
  const machineOf = (name) => machines.find((machine) => machine.name === name);
  const first = machineOf(lease().holderId);
  if (!orders.some(({ holder }) => holder === first.name)) throw new Error('nothing was ordered');

  first.signal('SIGTERM');
  while (lease().holderId === first.name) await rigs.sleep(10);
  const second = machineOf(lease().holderId);
  rig.note('taken-over', { holder: second.name, term: lease().term });
  if (rig.hasTrouble) {
    await rigs.sleep(KILL_AFTER_MS);
    second.signal('SIGKILL');
    await second.awaitExit();
    await rigs.sleep(RESTART_AFTER_MS);
    second.start(false);
  }
  void first.awaitExit().then(() => rigs.sleep(RESTART_AFTER_MS).then(() => first.start(false)));
  await rigs.sleep(AFTER_MS);
  isOver = true;
  await demand;

  const turns = orders.flatMap((order, index) => {
    const before = orders
      .slice(0, index)
      .findLast(({ server, holder }) => server === order.server && holder !== order.holder);
    const apartMs = before === undefined ? Infinity : order.atMs - before.atMs;
    return apartMs < LEASE_MS ? [{ order, before, apartMs }] : [];
  });
  turns.slice(0, 5).forEach(({ order, before, apartMs }) =>
    rig.note('turn', {
      server: order.server,
      holder: order.holder,
      token: order.fencingToken,
      before: before.holder,
      tokenBefore: before.fencingToken,
      apartMs: Math.round(apartMs),
    }),
  );
  const holders = new Set(orders.map(({ holder }) => holder));
  if (holders.size < 2) throw new Error('no second holder has ordered');
  const least = Math.round(Math.min(...turns.map(({ apartMs }) => apartMs)));
  return turns.length === 0
    ? null
    : `ONE: ${turns.length} orders within ${LEASE_MS} ms of another holder's at the same server, the nearest after ${least} ms`;
}

await rig.run(play);
