/** The library's own membership and spread, many processes in one, over a queue for transport. */
import {
  controlNode,
  documentCodec,
  faultyStore,
  memoryStore,
  type membershipTypes,
} from '@copperlever/coordination';
import * as queueNetwork from '@copperlever/coordination/testing/queue-network';
import { peer } from '@copperlever/protocol';
import { randoms } from '@copperlever/runtime';

import type * as messages from './daemon-messages.js';
import * as virtualClock from './virtual-clock.js';

export type PureNode = controlNode.ControlNode<messages.BenchDocument> & {
  memberId: string;
  address: string;
  region: string;
  failureDomain: string;
  incarnation: number;
};

export type Traffic = { calls: number; payloadBytes: number; configBytes: number };

export type PureFleet = {
  clock: virtualClock.VirtualClock;
  store: faultyStore.FaultyStore;
  network: queueNetwork.QueueNetwork;
  nodes: PureNode[];
  start: (index: number, incarnation: number) => void;
  kill: (index: number) => void;
  /** Of the whole fleet since its start; each call is counted once. */
  traffic: () => Traffic;
  storeCalls: () => number;
};

const REGIONS = 3;
const FAILURE_DOMAINS = 8;
const SEED_NODES = 5;
/** Assumed: the two-year plan names three regions, not the way between them. */
const LATENCY_MS = 20;

function addressOf(index: number): string {
  return `10.${index % FAILURE_DOMAINS}.0.${index}:7000`;
}

export function createPureFleet(): PureFleet {
  const clock = virtualClock.createVirtualClock();
  const store = faultyStore.createFaultyStore(memoryStore.createMemoryStore(clock), clock);
  const network = queueNetwork.createQueueNetwork({ clock, latencyMs: () => LATENCY_MS });
  const traffic: Traffic = { calls: 0, payloadBytes: 0, configBytes: 0 };
  const nodes: PureNode[] = [];

  function count<Message>(type: peer.MessageFns<Message>, message: Message): number {
    return type.encode(message).finish().length;
  }

  /** Counts what would go over the wire, in both directions. */
  function counted(inner: membershipTypes.PeerTransport): membershipTypes.PeerTransport {
    return {
      probe: async (address, message, deadlineMs) => {
        traffic.calls += 1;
        traffic.payloadBytes += count(peer.ProbeMessage, message);
        const reply = await inner.probe(address, message, deadlineMs);
        if (reply.ok) traffic.payloadBytes += count(peer.ProbeMessage, reply.val);
        return reply;
      },
      probeIndirectly: async (address, request, deadlineMs) => {
        traffic.calls += 1;
        traffic.payloadBytes += count(peer.IndirectProbeRequest, request);
        return inner.probeIndirectly(address, request, deadlineMs);
      },
      listMembers: async (address, request, deadlineMs) => {
        traffic.calls += 1;
        traffic.payloadBytes += count(peer.ListMembersRequest, request);
        const reply = await inner.listMembers(address, request, deadlineMs);
        if (reply.ok) traffic.payloadBytes += count(peer.ListMembersReply, reply.val);
        return reply;
      },
      fetchConfig: async (address, request, deadlineMs) => {
        traffic.calls += 1;
        traffic.configBytes += count(peer.FetchConfigRequest, request);
        const reply = await inner.fetchConfig(address, request, deadlineMs);
        if (reply.ok) traffic.configBytes += count(peer.FetchConfigReply, reply.val);
        return reply;
      },
    };
  }

  function start(index: number, incarnation: number): void {
    const domain = index % FAILURE_DOMAINS;
    const self = {
      memberId: `agent-${String(index).padStart(4, '0')}.example`,
      incarnation,
      address: addressOf(index),
      region: `region-${domain % REGIONS}`,
      failureDomain: `domain-${domain}`,
      attributes: Buffer.from('{"kind":"agent"}'),
    };
    const node = controlNode.createControlNode<messages.BenchDocument>({
      self,
      store,
      transport: counted(network.transportOf(self.address)),
      codec: documentCodec.createJsonCodec<messages.BenchDocument>(),
      clock,
      random: randoms.createRandom(index * 100 + incarnation),
      seedAddresses: Array.from({ length: SEED_NODES }, (_, seed) => addressOf(seed)),
    });
    network.attach(self.address, node.handlers);
    nodes[index] = { ...node, ...self };
    void node.start();
  }

  return {
    clock,
    store,
    network,
    nodes,
    start,
    kill: (index) => {
      const node = nodes[index];
      if (node === undefined) return;
      network.detach(node.address);
      void node.stop();
    },
    traffic: () => ({ ...traffic }),
    storeCalls: store.callCount,
  };
}
