/**
 * Gateways that keep the origins of streams, on a virtual clock: they end and start again, are cut off from each other and from
 * the list of upstreams, which each of them gets at a time of its own.
 */
import { clocks as clocksModule, logs, randoms, results } from '@copperlever/runtime';
import type { clocks } from '@copperlever/runtime';
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
/** How long a gateway's list may be older than another's before it asks for that. */
const LAG_TOLERATED_MS = 500;
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
  list: { records: readonly fleet.UpstreamRecord[]; asOfMs: number | null; revision: number };
  incarnation: number;
};

export type Begun = { requestId: string; version: string };

/** How a caller's try to take a stream up ended. */
export type Resumption = { kind: 'went-on'; version: string } | { kind: 'refused' | 'no-upstream' };

/** How a gateway is out of step with the others. */
export type Disruption = {
  /** It reaches no other gateway; `isolated` cuts it off from the records of the store as well. */
  isAlone: boolean;
  /** Its process is stopped: what is due and what arrives meanwhile is handled after it. */
  isPaused: boolean;
  /** Its timers run late by up to so much. */
  slowMs: number;
  /** Answers of the store take so much longer. */
  lateMs: number;
  /** The store answers it with what was true so long ago. */
  behindMs: number;
  /** It takes its list from this gateway, not from the store. */
  relayedBy: string | null;
};

const IN_STEP: Disruption = {
  isAlone: false,
  isPaused: false,
  slowMs: 0,
  lateMs: 0,
  behindMs: 0,
  relayedBy: null,
};

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
  /** By gateway, the oldest list of others that is newer than its own, and since when it has heard of it. */
  const lags = new Map<string, { revision: number; sinceMs: number }>();
  const disruptions = new Map<string, Disruption>();
  /** What paused gateways do once they go on. */
  const postponed = new Map<string, (() => void)[]>();
  /** The list of the store over time, and its record of versions. */
  let listings: { atMs: number; records: readonly fleet.UpstreamRecord[] }[] = [];
  const versionRecords: { atMs: number; found: unknown }[] = [];

  function disruptionOf(gatewayId: string): Disruption {
    return disruptions.get(gatewayId) ?? IN_STEP;
  }

  function isCut(from: string, to: string): boolean {
    const isAlone = disruptionOf(from).isAlone || disruptionOf(to).isAlone;
    return isAlone || isolated.has(from) || isolated.has(to) || !nodes.has(to) || !nodes.has(from);
  }

  /** Runs the task now, or once the gateway's process goes on. */
  function whenRunning(gatewayId: string, task: () => void): void {
    if (!disruptionOf(gatewayId).isPaused) return task();
    postponed.set(gatewayId, [...(postponed.get(gatewayId) ?? []), task]);
    return undefined;
  }

  function createNodeClock(gatewayId: string): clocks.Clock {
    const schedule = (atMs: number, task: () => void) => {
      const { slowMs } = disruptionOf(gatewayId);
      const dueMs = slowMs === 0 ? atMs : Math.max(atMs, clock.nowMs()) + random.below(slowMs);
      let isCancelled = false;
      const cancel = clock.schedule(dueMs, () =>
        whenRunning(gatewayId, () => {
          if (!isCancelled) task();
        }),
      );
      return () => {
        isCancelled = true;
        cancel();
      };
    };
    return { nowMs: clock.nowMs, wallMs: clock.wallMs, schedule };
  }

  /** What the store tells a gateway now. */
  function listingFor(gatewayId: string): {
    records: readonly fleet.UpstreamRecord[];
    revision: number;
  } {
    const asOfMs = clock.nowMs() - disruptionOf(gatewayId).behindMs;
    const known = listings.filter(({ atMs }) => atMs <= asOfMs);
    return { records: known.at(-1)?.records ?? [], revision: known.length };
  }

  function noteListing(): void {
    listings = [...listings, { atMs: clock.nowMs(), records: [...listed.values()] }];
  }

  /** Of one life of a gateway: nothing is sent after its end. */
  function createLink(gatewayId: string, incarnation: number): OriginLink {
    const ownClock = createNodeClock(gatewayId);
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
        await clocksModule.sleepUntil(ownClock, deadlineMs);
        return results.Err({ kind: 'deadline', address } as const);
      }
      const answered = new Promise<Reply>((resolve) => {
        whenRunning(to, () => resolve(reply(node)));
      });
      const value = await clocksModule.raceDeadline(ownClock, deadlineMs, answered);
      if (value === 'deadline') return results.Err({ kind: 'deadline', address } as const);
      await clocksModule.sleepUntil(ownClock, clock.nowMs() + NETWORK_MS);
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
    // One that reaches neither the store nor the others has lost the lease.
    const isReached = (id: string) => {
      const { isPaused, isAlone } = disruptionOf(id);
      return !isolated.has(id) && !isPaused && !(isAlone && withoutStore.has(id));
    };
    return [...nodes.keys()].sort().find(isReached) ?? null;
  }

  /** The store as a gateway reaches it. */
  function storeOf(gatewayId: string): Pick<stores.RecordStore, 'list' | 'get' | 'put' | 'era'> {
    const lost = { kind: 'unavailable', reason: 'cut off' } as const;
    const isReached = () => !withoutStore.has(gatewayId) && !isolated.has(gatewayId);
    async function answered<Value>(deadlineMs: number, call: () => Promise<Value>) {
      const { lateMs } = disruptionOf(gatewayId);
      await clocksModule.sleepUntil(clock, clock.nowMs() + NETWORK_MS);
      if (!isReached()) return results.Err(lost);
      const value = await call();
      if (lateMs === 0) return value;
      await clocksModule.sleepUntil(
        createNodeClock(gatewayId),
        Math.min(deadlineMs, clock.nowMs() + lateMs),
      );
      return clock.nowMs() >= deadlineMs ? results.Err(lost) : value;
    }
    async function getBehind<K extends stores.Kind>(
      kind: K,
      name: string,
      deadlineMs: number,
    ): ReturnType<typeof storeRecords.get<K>> {
      const { behindMs } = disruptionOf(gatewayId);
      if (kind !== 'streamVersions' || behindMs === 0)
        return storeRecords.get(kind, name, deadlineMs);
      const asOfMs = clock.nowMs() - behindMs;
      const found = versionRecords.filter(({ atMs }) => atMs <= asOfMs).at(-1)?.found ?? null;
      return results.Ok(found as stores.StoredRecord<stores.KindValues[K]> | null);
    }
    return {
      era: storeRecords.era,
      list: (kind, deadlineMs) => answered(deadlineMs, () => storeRecords.list(kind, deadlineMs)),
      get: (kind, name, deadlineMs) =>
        answered(deadlineMs, () => getBehind(kind, name, deadlineMs)),
      put: (kind, name, value, expected, deadlineMs) =>
        answered(deadlineMs, async () => {
          const put = await storeRecords.put(kind, name, value, expected, deadlineMs);
          if (put.ok && kind === 'streamVersions') {
            versionRecords.push({ atMs: clock.nowMs(), found: put.val });
          }
          return put;
        }),
    };
  }

  function createNode(gatewayId: string, isFirstStart: boolean): GatewayNode {
    const ownClock = createNodeClock(gatewayId);
    const incarnation = nextIncarnation;
    nextIncarnation += 1;
    const book = peerRegistries.createPeerRegistry(gatewayId);
    const origins = streamOrigins.createStreamOrigins(() => STREAM_LIFE_MS);
    const versions = versionHistories.createVersionHistory({
      sinceMs: clock.nowMs(),
      streamLifeMs: () => STREAM_LIFE_MS,
      listBudget: listBudgets.listBudget(DRAIN_TIMEOUT_MS),
    });
    const ownList: GatewayNode['list'] = { records: [], asOfMs: null, revision: 0 };
    const listAgeMs = () => (ownList.asOfMs === null ? null : clock.nowMs() - ownList.asOfMs);
    const peers = originPeers.createOriginPeers({
      clock: ownClock,
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
      clock: ownClock,
      log: logs.createSilentLogger(),
      store: storeOf(gatewayId),
      origins,
      onlyVersion: (service) => versions.onlyVersion(service, listAgeMs(), clock.nowMs()),
      heldTerm: () => (holderId() === gatewayId ? incarnation : null),
      streamLifeMs: () => STREAM_LIFE_MS,
    });
    const recorder = versionRecorders.createVersionRecorder({
      clock: ownClock,
      log: logs.createSilentLogger(),
      random,
      store: storeOf(gatewayId),
      history: versions,
      isHolder: () => holderId() === gatewayId,
      services: () => ['pool'],
      isFirstStart: isFirstStart || isFirstFlagKept,
      newVersionHoldMs: listBudgets.listBudget(DRAIN_TIMEOUT_MS).newVersionHoldMs,
    });
    const streams = resumedStreams.createResumedStreams({
      clock: ownClock,
      log: logs.createSilentLogger(),
      metrics: { streamResumed: () => {}, originFound: () => {} },
      origins,
      peers,
      archive,
      recorder,
      versions,
      doubts: { isDoubtful: () => false },
      findUpstream: (upstreamId) =>
        ownList.records.find((record) => record.upstreamId === upstreamId),
      listAgeMs,
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
      learnList(node, other);
    });
  }

  /** A gateway that hears for longer than its watch pauses that its list is older than another's asks for that. */
  function learnList(node: GatewayNode, other: GatewayNode): void {
    const nowMs = clock.nowMs();
    const { list: own, gatewayId } = node;
    if (other.list.revision <= own.revision) return;
    const lag = lags.get(gatewayId);
    if (lag === undefined || lag.revision <= own.revision) {
      lags.set(gatewayId, { revision: other.list.revision, sinceMs: nowMs });
    } else if (nowMs - lag.sinceMs > LAG_TOLERATED_MS) {
      applyList(node, { ...other.list, asOfMs: null });
    }
  }

  function applyList(node: GatewayNode, told: GatewayNode['list']): void {
    const { list: own } = node;
    if (told.asOfMs !== null) own.asOfMs = Math.max(own.asOfMs ?? -Infinity, told.asOfMs);
    if (told.revision < own.revision) return;
    own.records = told.records;
    own.revision = told.revision;
    node.streams.noteListed(own.records);
    node.recorder.noteListed();
  }

  async function fetchList(node: GatewayNode): Promise<void> {
    const { gatewayId } = node;
    const { lateMs, relayedBy } = disruptionOf(gatewayId);
    const relaying = relayedBy === null ? undefined : nodes.get(relayedBy);
    if (relaying !== undefined && relaying !== node) {
      if (!isCut(gatewayId, relaying.gatewayId)) applyList(node, relaying.list);
      return;
    }
    if (withoutStore.has(gatewayId)) return;
    const told = { ...listingFor(gatewayId), asOfMs: clock.nowMs() };
    if (lateMs > 0) {
      await clocksModule.sleepUntil(createNodeClock(gatewayId), clock.nowMs() + lateMs);
    }
    if (nodes.get(gatewayId) === node) applyList(node, told);
  }

  /** Gateways do so at times of their own. */
  function follow(node: GatewayNode): void {
    if (nodes.get(node.gatewayId) !== node) return;
    hear(node);
    const again = () => {
      const waitMs = EXCHANGE_MS + random.below(EXCHANGE_MS);
      createNodeClock(node.gatewayId).schedule(clock.nowMs() + waitMs, () => follow(node));
    };
    if (disruptionOf(node.gatewayId).lateMs > 0) void fetchList(node).then(again);
    else {
      void fetchList(node);
      again();
    }
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
    postponed.delete(gatewayId);
    disruptions.delete(gatewayId);
  }

  function disrupt(gatewayId: string, changes: Partial<Disruption>): void {
    const before = disruptionOf(gatewayId);
    disruptions.set(gatewayId, { ...before, ...changes });
    if (!before.isPaused || disruptionOf(gatewayId).isPaused) return;
    const tasks = postponed.get(gatewayId) ?? [];
    postponed.delete(gatewayId);
    tasks.forEach((task) => task());
  }

  function list(upstreamId: string, softwareVersion: string): void {
    const models = [{ name: MODEL, version: 1, adapters: [] }];
    listed.set(upstreamId, fixtures.upstreamRecord(upstreamId, { softwareVersion, models }));
    noteListing();
  }

  function pickUpstream(records: readonly fleet.UpstreamRecord[]): fleet.UpstreamRecord | null {
    return randoms.pick(random, records) ?? null;
  }

  /** Null where no upstream may begin a stream. What is listed no longer does not answer. */
  function begin(gatewayId: string): Begun | null {
    const node = nodes.get(gatewayId);
    if (node === undefined || disruptionOf(gatewayId).isPaused) return null;
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
    await new Promise<void>((resolve) => {
      whenRunning(gatewayId, resolve);
    });
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
      noteListing();
    },
    disrupt,
    inStep: (gatewayId: string) => disrupt(gatewayId, IN_STEP),
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
