/** A few control nodes on a simulated network and one object store, for tests. */
import { randoms } from '@copperlever/runtime';
import * as fakeClock from '@copperlever/runtime/testing/fake-clock';

import * as documentCodec from '../config/document-codec.js';
import * as controlNode from '../control/control-node.js';
import * as faultyStore from '../object-store/faulty-store.js';
import * as memoryStore from '../object-store/memory-store.js';

import * as queueNetwork from './queue-network.js';

export type Document = { models: Record<string, { sizeBytes: number }> };

export type FleetNode = controlNode.ControlNode<Document> & { address: string; memberId: string };

export type Fleet = {
  clock: fakeClock.FakeClock;
  store: faultyStore.FaultyStore;
  network: queueNetwork.QueueNetwork;
  nodes: FleetNode[];
  startNode: (index: number, incarnation?: number) => Promise<FleetNode>;
  /** Advances the clock until `isDone` or the limit; returns the time that it took, or null at the limit. */
  advanceUntil: (isDone: () => boolean, limitMs: number) => Promise<number | null>;
  stop: () => Promise<void>;
};

const LATENCY_MS = 2;
const STEP_MS = 100;
const DOMAINS = ['long-bien', 'tay-ho', 'cau-giay'];

export function addressOf(index: number): string {
  return `10.0.0.${index}:7000`;
}

export async function createFleet(count: number, seed: number): Promise<Fleet> {
  const clock = fakeClock.createFakeClock();
  const store = faultyStore.createFaultyStore(memoryStore.createMemoryStore(clock), clock);
  const network = queueNetwork.createQueueNetwork({ clock, latencyMs: () => LATENCY_MS });
  const nodes: FleetNode[] = [];

  /** Advances the clock until `work` is done. */
  async function run(work: Promise<unknown>): Promise<void> {
    let isDone = false;
    void work.then(() => {
      isDone = true;
    });
    while (!isDone) await clock.advance(STEP_MS);
    await work;
  }

  async function startNode(index: number, incarnation = 1): Promise<FleetNode> {
    const address = addressOf(index);
    const memberId = `node-${index}`;
    const node = controlNode.createControlNode<Document>({
      self: {
        memberId,
        incarnation,
        address,
        region: 'hanoi',
        failureDomain: DOMAINS[index % DOMAINS.length] ?? '',
        attributes: Buffer.alloc(0),
      },
      store,
      transport: network.transportOf(address),
      codec: documentCodec.createJsonCodec<Document>(),
      clock,
      random: randoms.createRandom(seed * 1_000 + index * 10 + incarnation),
      seedAddresses: [addressOf(0), addressOf(1)],
    });
    network.attach(address, node.handlers);
    await run(node.start());
    const started = { ...node, address, memberId };
    nodes[index] = started;
    return started;
  }

  for (let index = 0; index < count; index += 1) await startNode(index);

  return {
    clock,
    store,
    network,
    nodes,
    startNode,
    advanceUntil: async (isDone, limitMs) => {
      const startedMs = clock.nowMs();
      while (!isDone()) {
        if (clock.nowMs() - startedMs >= limitMs) return null;
        await clock.advance(STEP_MS);
      }
      return clock.nowMs() - startedMs;
    },
    stop: () => run(Promise.all(nodes.map((node) => node.stop()))),
  };
}
