/**
 * Gateways that keep the origins of streams, on a virtual clock: they end and start again, are cut off from each other and from
 * the list of upstreams, which each of them gets at a time of its own.
 */
import { clocks as clocksModule, logs, randoms, results } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';

import * as runs from '../server/forwarding/run.js';
import type * as peerLinks from '../server/peers/peer-link.js';
import * as originArchives from '../server/streams/origin-archive.js';
import * as originPeers from '../server/streams/origin-peers.js';
import * as versionRecorders from '../server/streams/version-recorder.js';
import * as resumedStreams from '../server/streams/resumed-streams.js';
import * as listBudgets from '../shared/list-budget.js';
import * as peerRegistries from '../shared/peer-registry.js';
import * as streamOrigins from '../shared/stream-origins.js';
import * as versionHistories from '../shared/version-history.js';
import type * as fleet from '../types/fleet.js';
import type * as stores from '../types/stores.js';
import * as fixtures from './fleet-fixtures.js';
import * as memoryRecords from './memory-records.js';
import * as streamCalls from './stream-calls.js';

export const STREAM_LIFE_MS = 120_000;
const DRAIN_TIMEOUT_MS = 2_000;
const NETWORK_MS = 2;
/** How often gateways hear of each other and of the list while they are reached. */
const EXCHANGE_MS = 200;
const MODEL = 'm1';

export type GatewayNode = {
  gatewayId: string;
  book: peerRegistries.PeerRegistry;
  origins: streamOrigins.StreamOrigins;
  peers: originPeers.OriginPeers;
  streams: resumedStreams.ResumedStreams;
  recorder: versionRecorders.VersionRecorder;
  archive: originArchives.OriginArchive;
  /** Its list of upstreams and when the store confirmed that. */
  list: { records: readonly fleet.UpstreamRecord[]; asOfMs: number | null };
  incarnation: number;
};

export type Begun = { requestId: string; version: string };

/** How a caller's try to take a stream up ended. */
export type Resumption = { kind: 'went-on'; version: string } | { kind: 'refused' | 'no-upstream' };

export type OriginFleet = ReturnType<typeof createOriginFleet>;

/** `isFirstFlagKept`: the settings of gateways that start again still say that none ran before. */
export type OriginFleetOptions = { gatewayCount: number; seed: number; isFirstFlagKept?: boolean };

export function createOriginFleet({
  gatewayCount,
  seed,
  isFirstFlagKept = false,
}: OriginFleetOptions) {
  const clock = fakeClocks.createFakeClock();
  const random = randoms.createRandom(seed);
  const nodes = new Map<string, GatewayNode>();
  const isolated = new Set<string>();
  const storeRecords = memoryRecords.createMemoryRecords();
  const withoutStore = new Set<string>();
  /** What the store lists. */
  const listed = new Map<string, fleet.UpstreamRecord>();
  const seedAddresses = ['g1:1', 'g2:1', 'g3:1'];
  let nextStream = 0;
  let nextIncarnation = 1;
  let messageCount = 0;

  function isCut(from: string, to: string): boolean {
    return isolated.has(from) || isolated.has(to) || !nodes.has(to) || !nodes.has(from);
  }

  /** Of one life of a gateway: nothing is sent after its end. */
  function createLink(gatewayId: string, incarnation: number): OriginLink {
    async function call<Reply>(address: string, deadlineMs: number, reply: Answer<Reply>) {
      messageCount += 1;
      const to = address.split(':')[0] ?? '';
      const before = nodes.get(to)?.incarnation;
      await clocksModule.sleepUntil(clock, clock.nowMs() + NETWORK_MS);
      const node = nodes.get(to);
      // The port of a process that has ended refuses connections; a machine that is cut off does not answer.
      if (node === undefined)
        return results.Err({ kind: 'unreachable', address, reason: 'ended' } as const);
      const hasEnded = nodes.get(gatewayId)?.incarnation !== incarnation;
      const isLost = isCut(gatewayId, to) || node.incarnation !== before || hasEnded;
      if (isLost) {
        await clocksModule.sleepUntil(clock, deadlineMs);
        return results.Err({ kind: 'deadline', address } as const);
      }
      const value = reply(node);
      await clocksModule.sleepUntil(clock, clock.nowMs() + NETWORK_MS);
      return results.Ok(value);
    }
    return {
      replicateOrigins: (address, request, deadlineMs) =>
        call(address, deadlineMs, ({ peers }) => peers.storeReplicas(request)),
      findOrigins: (address, request, deadlineMs) =>
        call(address, deadlineMs, ({ peers }) => peers.findLocal(request)),
    };
  }

  /** The first that others reach. */
  function holderId(): string | null {
    return [...nodes.keys()].sort().find((id) => !isolated.has(id)) ?? null;
  }

  /** The store as a gateway reaches it. */
  function storeOf(gatewayId: string): Pick<stores.RecordStore, 'list' | 'get' | 'put' | 'era'> {
    const lost = { kind: 'unavailable', reason: 'cut off' } as const;
    const isReached = () => !withoutStore.has(gatewayId) && !isolated.has(gatewayId);
    return {
      era: storeRecords.era,
      list: async (...args) => {
        await clocksModule.sleepUntil(clock, clock.nowMs() + NETWORK_MS);
        return isReached() ? storeRecords.list(...args) : results.Err(lost);
      },
      get: async (...args) => {
        await clocksModule.sleepUntil(clock, clock.nowMs() + NETWORK_MS);
        return isReached() ? storeRecords.get(...args) : results.Err(lost);
      },
      put: async (...args) => {
        await clocksModule.sleepUntil(clock, clock.nowMs() + NETWORK_MS);
        return isReached() ? storeRecords.put(...args) : results.Err(lost);
      },
    };
  }

  function createNode(gatewayId: string, isFirstStart: boolean): GatewayNode {
    const incarnation = nextIncarnation;
    nextIncarnation += 1;
    const book = peerRegistries.createPeerRegistry(gatewayId);
    const origins = streamOrigins.createStreamOrigins(() => STREAM_LIFE_MS);
    const versions = versionHistories.createVersionHistory({
      sinceMs: clock.nowMs(),
      streamLifeMs: () => STREAM_LIFE_MS,
      listBudget: listBudgets.listBudget(DRAIN_TIMEOUT_MS),
    });
    const ownList: GatewayNode['list'] = { records: [], asOfMs: null };
    const listAgeMs = () => (ownList.asOfMs === null ? null : clock.nowMs() - ownList.asOfMs);
    const peers = originPeers.createOriginPeers({
      clock,
      link: createLink(gatewayId, incarnation),
      book,
      origins,
      onlyVersion: (service) => versions.onlyVersion(service, listAgeMs(), clock.nowMs()),
      holder: () => {
        const id = holderId();
        return id === null ? null : { gatewayId: id, address: `${id}:1` };
      },
      gatewayId,
      address: `${gatewayId}:1`,
      seedAddresses,
    });
    const archive = originArchives.createOriginArchive({
      clock,
      log: logs.createSilentLogger(),
      store: storeOf(gatewayId),
      origins,
      onlyVersion: (service) => versions.onlyVersion(service, listAgeMs(), clock.nowMs()),
      heldTerm: () => (holderId() === gatewayId ? incarnation : null),
      streamLifeMs: () => STREAM_LIFE_MS,
    });
    const streams = resumedStreams.createResumedStreams({
      clock,
      log: logs.createSilentLogger(),
      metrics: { streamResumed: () => {}, originFound: () => {} },
      origins,
      peers,
      archive,
      versions,
      doubts: { isDoubtful: () => false },
      findUpstream: (upstreamId) =>
        ownList.records.find((record) => record.upstreamId === upstreamId),
      listAgeMs,
    });
    const recorder = versionRecorders.createVersionRecorder({
      clock,
      log: logs.createSilentLogger(),
      random,
      store: storeOf(gatewayId),
      history: versions,
      isHolder: () => holderId() === gatewayId,
      services: () => ['pool'],
      isFirstStart: isFirstStart || isFirstFlagKept,
      newVersionHoldMs: listBudgets.listBudget(DRAIN_TIMEOUT_MS).newVersionHoldMs,
    });
    return {
      gatewayId,
      book,
      origins,
      peers,
      streams,
      recorder,
      archive,
      list: ownList,
      incarnation,
    };
  }

  function hear(node: GatewayNode): void {
    const nowMs = clock.nowMs();
    nodes.forEach((other) => {
      if (other === node || isCut(node.gatewayId, other.gatewayId)) return;
      const { gatewayId, incarnation } = other;
      node.book.noteContact(
        { gatewayId, address: `${gatewayId}:1`, millicores: 1, incarnation },
        nowMs,
      );
    });
  }

  function fetchList(node: GatewayNode): void {
    if (withoutStore.has(node.gatewayId)) return;
    node.list.records = [...listed.values()];
    node.list.asOfMs = clock.nowMs();
    node.streams.noteListed(node.list.records);
    node.recorder.noteListed();
  }

  /** Gateways do so at times of their own. */
  function follow(node: GatewayNode): void {
    if (nodes.get(node.gatewayId) !== node) return;
    hear(node);
    fetchList(node);
    const waitMs = EXCHANGE_MS + random.below(EXCHANGE_MS);
    clock.schedule(clock.nowMs() + waitMs, () => follow(node));
  }

  function start(gatewayId: string, isFirstStart = false): void {
    const node = createNode(gatewayId, isFirstStart);
    nodes.set(gatewayId, node);
    follow(node);
    node.streams.start();
    node.recorder.start();
    node.archive.start();
  }

  function kill(gatewayId: string): void {
    nodes.get(gatewayId)?.streams.stop();
    nodes.get(gatewayId)?.recorder.stop();
    nodes.get(gatewayId)?.archive.stop();
    nodes.delete(gatewayId);
  }

  function list(upstreamId: string, softwareVersion: string): void {
    const models = [{ name: MODEL, version: 1, adapters: [] }];
    listed.set(upstreamId, fixtures.upstreamRecord(upstreamId, { softwareVersion, models }));
  }

  function pickUpstream(records: readonly fleet.UpstreamRecord[]): fleet.UpstreamRecord | null {
    return randoms.pick(random, records) ?? null;
  }

  /** Null where no upstream may begin a stream. What is listed no longer does not answer. */
  function begin(gatewayId: string): Begun | null {
    const node = nodes.get(gatewayId);
    if (node === undefined) return null;
    const eligible = node.list.records.filter(node.streams.mayBegin);
    const upstream = pickUpstream(eligible.filter((record) => listed.get(record.name) === record));
    if (upstream === null) return null;
    nextStream += 1;
    const requestId = `r${nextStream}`;
    node.streams.noteBegun(streamCalls.streamCall(requestId), runs.createRun(), upstream);
    return { requestId, version: upstream.softwareVersion };
  }

  async function resume(
    gatewayId: string,
    { requestId }: Pick<Begun, 'requestId'>,
  ): Promise<Resumption> {
    const node = nodes.get(gatewayId);
    if (node === undefined) return { kind: 'refused' };
    nextStream += 1;
    const match = await node.streams.match(streamCalls.resumptionOf(`r${nextStream}`, requestId));
    if (match.kind !== 'bound') return { kind: 'refused' };
    const upstream = pickUpstream(
      node.list.records
        .filter(({ softwareVersion }) => softwareVersion === match.version)
        .filter((record) => listed.get(record.name) === record),
    );
    if (upstream === null) return { kind: 'no-upstream' };
    return { kind: 'went-on', version: upstream.softwareVersion };
  }

  for (let index = 1; index <= gatewayCount; index += 1)
    nodes.set(`g${index}`, createNode(`g${index}`, true));

  return {
    clock,
    random,
    nodes,
    isolated,
    withoutStore,
    listed,
    /** Has all gateways follow the list; call it once the first upstreams are listed. */
    startAll: () => {
      nodes.forEach((node) => {
        follow(node);
        node.streams.start();
        node.recorder.start();
        node.archive.start();
      });
    },
    start,
    kill,
    list,
    unlist: (upstreamId: string) => {
      listed.delete(upstreamId);
    },
    begin,
    takeUp: resume,
    messageCount: () => messageCount,
    /** The store that all of them use. */
    records: storeRecords,
    stop: () => [...nodes.keys()].forEach(kill),
  };
}

type OriginLink = Pick<peerLinks.PeerLink, 'replicateOrigins' | 'findOrigins'>;
type Answer<Reply> = (node: GatewayNode) => Reply;
