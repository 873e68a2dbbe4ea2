/** An agent's hold on its engine's memory, joined to fakes, for tests. */
import { schema } from '@copperlever/configuration';
import { faultyStore, memoryStore } from '@copperlever/coordination';
import { logs, metrics, randoms } from '@copperlever/runtime';
import * as fakeClock from '@copperlever/runtime/testing/fake-clock';

import * as engineCopies from '../server/copies/engine-copies.js';
import * as intents from '../server/orders/intents.js';
import * as orders from '../server/orders/orders.js';
import * as ledgers from '../shared/memory-ledger.js';
import * as fakeEngines from './fake-engine.js';

export const UPSTREAM_ID = 'jury-1';
export const POOL = 'jury-models';

export type ModelSpec = { sizeBytes: number; version?: string };

export type FixtureOptions = {
  memoryBytes: number;
  checksFencing: boolean;
  models: Readonly<Record<string, ModelSpec>>;
  adapters?: Readonly<Record<string, ModelSpec & { model: string }>>;
  loadMs?: number;
  moveCostMs?: number;
};

export type TestAgent = {
  copies: engineCopies.EngineCopies;
  gate: fakeEngines.Gate;
  stop: () => void;
};

export function createDocument(options: FixtureOptions): schema.Document {
  const { memoryBytes, checksFencing } = options;
  const models = Object.entries(options.models).map(([name, spec]) => [
    name,
    { version: 'v1', pools: [POOL], ...spec },
  ]);
  const adapters = Object.entries(options.adapters ?? {}).map(([name, spec]) => [
    name,
    { version: 'v1', ...spec },
  ]);
  const upstream = {
    kind: 'engine',
    pool: POOL,
    failureDomain: 'long-bien',
    region: 'hanoi',
    acceleratorCount: 1,
    memoryBytes,
    slotCount: 4,
    checksFencing,
  };
  return schema.documentSchema.parse({
    upstreams: { [UPSTREAM_ID]: upstream },
    models: Object.fromEntries(models),
    adapters: Object.fromEntries(adapters),
    policy: {
      moveCostMs: options.moveCostMs ?? 0,
      weightStoreLoadsPerSecond: 2,
      weightStoreConcurrentLoads: 25,
      defaultTimeoutMs: 60_000,
    },
  });
}

export function createCopiesFixture(options: FixtureOptions) {
  const clock = fakeClock.createFakeClock();
  const { memoryBytes, checksFencing } = options;
  const store = faultyStore.createFaultyStore(memoryStore.createMemoryStore(clock), clock);
  const engine = fakeEngines.createFakeEngine({
    clock,
    memoryBytes,
    checksFencing,
    loadMs: options.loadMs ?? 100,
  });
  const floorNames = new Set<string>();
  let document = createDocument(options);

  function startAgent(incarnation: number): TestAgent {
    const gate = fakeEngines.createGate();
    const log = logs.createSilentLogger();
    const port = engine.createPort(gate);
    const ledger = ledgers.createMemoryLedger(memoryBytes);
    const gatedStore = {
      get: async (...args: Parameters<typeof store.get>) => {
        await gate.pass();
        const answer = await store.get(...args);
        await gate.pass();
        return answer;
      },
      put: async (...args: Parameters<typeof store.put>) => {
        await gate.pass();
        const answer = await store.put(...args);
        await gate.pass();
        return answer;
      },
    };
    const sender = orders.createOrders({
      clock,
      log,
      metrics: metrics.createSilentMetrics(),
      engine: port,
      ledger,
      intents: intents.createIntentsStore({
        store: gatedStore,
        clock,
        random: randoms.createRandom(incarnation),
        upstreamId: UPSTREAM_ID,
        incarnation,
      }),
      upstreamId: UPSTREAM_ID,
      incarnation,
      checksFencing: () => checksFencing,
    });
    const copies = engineCopies.createEngineCopies({
      clock,
      log,
      metrics: metrics.createSilentMetrics(),
      engine: port,
      ledger,
      orders: sender,
      upstreamId: UPSTREAM_ID,
      document: () => document,
      isFloorHere: (name) => floorNames.has(name),
    });
    const stopping = new AbortController();
    void copies.run(stopping.signal);
    return { copies, gate, stop: () => stopping.abort() };
  }

  return {
    clock,
    store,
    engine,
    floorNames,
    startAgent,
    setDocument: (next: schema.Document) => {
      document = next;
    },
    document: () => document,
  };
}
