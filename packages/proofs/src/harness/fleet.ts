/**
 * A fleet in one process on a fake clock: entries and agents as their own containers build them,
 * over in-process transports, the memory object store and fake upstreams.
 */
import * as agentContainers from '@copperlever/agent/container';
import {
  faultyStore,
  journal as journals,
  type journalTypes,
  memoryStore,
  type objectStoreTypes,
  resilientStore,
} from '@copperlever/coordination';
import * as entryContainers from '@copperlever/entry/container';
import * as callsApp from '@copperlever/entry/server/calls/app';
import { logs, randoms } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import * as awilix from 'awilix';
import * as fastify from 'fastify';

import * as documents from './documents.js';
import * as links from './links.js';
import * as networks from './network.js';
import * as processes from './processes.js';
import * as stores from './stores.js';
import * as upstreams from './upstreams.js';

export type FleetEvent = {
  process: string;
  requestId: string;
  event: string;
  fields: journalTypes.JournalFields;
};

export type Entry = {
  process: processes.FakeProcess;
  parts: entryContainers.EntryParts;
  app: fastify.FastifyInstance;
  openCalls: { count: number };
  /** The balancer sends no more callers. */
  stopping: { isStopping: boolean };
  startedAtMs: number;
};

export type Agent = {
  process: processes.FakeProcess;
  parts: agentContainers.AgentParts;
  upstream: upstreams.FakeUpstream;
};

type ControlParts = Pick<entryContainers.EntryParts, 'control'>;

export type EntryOverrides = Partial<entryContainers.EntryParts>;
export type AgentOverrides = Partial<agentContainers.AgentParts>;

/** Replaces parts of each daemon that is built: how a test takes a safeguard away. */
export type Overrides = {
  entry?: (parts: entryContainers.EntryParts) => EntryOverrides;
  agent?: (parts: agentContainers.AgentParts) => AgentOverrides;
  /** The object API as operators' commands reach it. */
  operatorStore?: (store: objectStoreTypes.ObjectStore) => objectStoreTypes.ObjectStore;
  /** Agents take what was meant for an earlier process. */
  acceptsAnyIncarnation?: true;
  /** Planned stops end the process at once. */
  stopsAtOnce?: true;
  /** Leaving agents say nothing, and refuse nothing. */
  leavesInSilence?: true;
  /** Engines do not check what the configuration says that they check. */
  enginesIgnoreFencing?: true;
};

export type FleetOptions = { seed: number; overrides?: Overrides };

export type Fleet = Awaited<ReturnType<typeof createFleet>>;

const REGION = 'hanoi';
const DOMAIN = 'long-bien';
const PLATFORM_URL = 'http://127.0.0.1:1';
const JOURNAL_INTERVAL_MS = 10_000_000;
const STORE_RATES = { callsPerSecond: 50, burstCalls: 100 };
/** Time in which a new fleet has found itself and taken the first configuration. */
const START_MS = 8_000;
/** Work that takes longer than this has got stuck. */
const LIMIT_MS = 600_000;

function place(id: string, port: number, seedAddresses: string[]) {
  return {
    region: REGION,
    failureDomain: DOMAIN,
    listenHost: id,
    listenPort: port,
    seedAddresses,
    platformUrl: PLATFORM_URL,
    logLevel: 'error' as const,
    journalFlushIntervalMs: JOURNAL_INTERVAL_MS,
    drainTimeoutMs: 120_000,
  };
}

const PORT = 7000;
const addressOf = (id: string) => `${id}:${PORT}`;

export async function createFleet(options: FleetOptions) {
  const clock = fakeClocks.createFakeClock();
  const memory = memoryStore.createMemoryStore(clock);
  const writtenListeners: ((key: string) => void)[] = [];
  const versionListeners: ((process: processes.FakeProcess, version: number) => void)[] = [];
  const store = faultyStore.createFaultyStore({ ...memory, put }, clock);
  const network = networks.createNetwork(clock);
  const endpoints: links.Endpoints = new Map();
  const entries = new Map<string, Entry>();
  const agents = new Map<string, Agent>();
  const listeners: ((event: FleetEvent) => void)[] = [];
  const putListeners: stores.OnPut[] = [];
  const leavingSinceMs = new Map<string, number>();
  const upstreamsByName = new Map(
    Object.entries(documents.UPSTREAM_MEMORY_BYTES).map(([name, sizeBytes]) => [
      name,
      upstreams.createUpstream(name, clock, sizeBytes),
    ]),
  );
  const seedAddresses = documents.ENTRY_IDS.map(addressOf);
  let processCount = 0;
  /** Grows with each process, as the time of a start does. */
  const nextIncarnation = () => clock.wallMs() + processCount;

  async function put(...args: Parameters<typeof memory.put>) {
    const done = await memory.put(...args);
    if (done.ok) writtenListeners.forEach((listener) => listener(args[0]));
    return done;
  }

  function watchVersion({
    process,
    parts,
  }: Pick<Entry, 'process'> & { parts: ControlParts }): void {
    parts.control.follower.onChange(({ version }) =>
      versionListeners.forEach((listener) => listener(process, version)),
    );
  }

  function wrapJournal(process: processes.FakeProcess, inner: journalTypes.Journal) {
    return {
      ...inner,
      record: (requestId: string, event: string, fields: journalTypes.JournalFields = {}) => {
        if (process.isKilled()) return;
        inner.record(requestId, event, fields);
        listeners.forEach((tell) => tell({ process: process.name, requestId, event, fields }));
      },
    };
  }

  /** The parts that every daemon gets from the fleet instead of from its machine. */
  function sharedParts(process: processes.FakeProcess, memberId: string, incarnation: number) {
    const random = randoms.createRandom((options.seed * 1_000 + processCount) % 2 ** 31);
    const rawStore = stores.createProcessStore(process, store, clock, (from, key) =>
      putListeners.forEach((listener) => listener(from, key)),
    );
    const resilient = resilientStore.createResilientStore(rawStore, {
      clock: process.clock,
      random,
      ...STORE_RATES,
    });
    const journal = journals.createJournal({
      store: resilient,
      clock: process.clock,
      random,
      incarnation,
      memberId,
      flushIntervalMs: JOURNAL_INTERVAL_MS,
    });
    const ports = { self: process, network, endpoints };
    return {
      clock: process.clock,
      random,
      log: logs.createSilentLogger(),
      rawStore,
      store: resilient,
      journal: wrapJournal(process, journal),
      transport: links.createFakeTransport(ports),
      link: links.createFakeLink(ports),
    };
  }

  function asValues(parts: object): Record<string, awilix.Resolver<unknown>> {
    return Object.fromEntries(
      Object.entries(parts).map(([name, value]) => [name, awilix.asValue(value as unknown)]),
    );
  }

  function override<Parts extends object>(
    container: awilix.AwilixContainer<Parts>,
    parts: object = {},
  ): void {
    Object.keys(parts).forEach((name) => container.cache.delete(name));
    container.register(asValues(parts) as Parameters<typeof container.register>[0]);
  }

  function createProcess(id: string): processes.FakeProcess {
    processCount += 1;
    return processes.createProcess(`${id}#${processCount}`, clock);
  }

  async function startEntry(entryId: string): Promise<Entry> {
    const process = createProcess(entryId);
    const incarnation = nextIncarnation();
    const settings = {
      ...place(entryId, PORT, seedAddresses),
      entryId,
      callerHost: entryId,
      callerPort: 8000,
      maxBodyBytes: 4_000_000,
    };
    const container = entryContainers.createContainer(settings, incarnation);
    container.register(asValues(sharedParts(process, entryId, incarnation)));
    override(container, options.overrides?.entry?.(container.cradle));
    const parts = container.cradle;
    watchVersion({ process, parts });
    endpoints.set(process.name, { process, peers: parts.control.handlers, agent: null });
    network.listen(addressOf(entryId), process);
    await runHere(parts.control.start());
    const entry = {
      process,
      parts,
      ...createCallerSide(parts),
      startedAtMs: clock.nowMs(),
    };
    entries.set(entryId, entry);
    return entry;
  }

  /** The callers' side, as the entry's main module joins it. */
  function createCallerSide(parts: entryContainers.EntryParts) {
    const openCalls = { count: 0 };
    const stopping = { isStopping: false };
    const app = callsApp.createCallerApp(
      {
        clock: parts.clock,
        log: parts.log,
        metrics: parts.metrics,
        journal: parts.journal,
        serve: parts.serve,
        configuration: parts.control.follower.current,
        nextRequestId: parts.ids.next,
        openCalls,
        holds: parts.holds,
        calls: parts.calls,
        stop: parts.stop,
      },
      { maxBodyBytes: parts.settings.maxBodyBytes, isStopping: () => stopping.isStopping },
    );
    return { app, openCalls, stopping };
  }

  async function startAgent(upstreamId: string): Promise<Agent> {
    const agentId = `agent-${upstreamId}`;
    const upstream = upstreamsByName.get(upstreamId) as upstreams.FakeUpstream;
    const process = createProcess(agentId);
    const incarnation = nextIncarnation();
    const settings = {
      ...place(agentId, PORT, seedAddresses),
      agentId,
      upstreamId,
      upstreamUrl: PLATFORM_URL,
    };
    const container = agentContainers.createContainer(settings, incarnation);
    container.register(
      asValues({
        ...sharedParts(process, agentId, incarnation),
        upstream: upstream.portFor(process),
      }),
    );
    override(container, options.overrides?.agent?.(container.cradle));
    const parts = container.cradle;
    const isConfigured = () => parts.document().upstreams[upstreamId] !== undefined;
    endpoints.set(process.name, {
      process,
      peers: parts.control.handlers,
      acceptsAnyIncarnation: options.overrides?.acceptsAnyIncarnation,
      agent: {
        clock: process.clock,
        incarnation,
        attempts: () => (isConfigured() ? parts.attempts : null),
      },
    });
    network.listen(addressOf(agentId), process);
    const agent = { process, parts, upstream };
    watchVersion(agent);
    agents.set(upstreamId, agent);
    followUpstream(agent, isConfigured);
    await runHere(parts.control.start());
    return agent;
  }

  /** What the agent's main module does once a configuration names its upstream. */
  function followUpstream({ parts }: Agent, isConfigured: () => boolean): void {
    const publish = () => agentContainers.publishAttributes(parts);
    let isFollowing = false;
    parts.control.follower.onChange(() => {
      if (!isConfigured()) return;
      publish();
      if (isFollowing) return;
      isFollowing = true;
      parts.copies.onChange(publish);
      void parts.copies.run?.(new AbortController().signal);
    });
  }

  /** Lets time pass until `work` is done. */
  async function runHere<Value>(work: Promise<Value>, limitMs = LIMIT_MS): Promise<Value> {
    let isDone = false;
    const marked = work.finally(() => {
      isDone = true;
    });
    const untilMs = clock.nowMs() + limitMs;
    await clock.settle();
    while (!isDone && clock.nowMs() < untilMs) {
      const nextMs = clock.nextTimerMs();
      await clock.advance(Math.max(0, (nextMs ?? untilMs) - clock.nowMs()));
    }
    if (!isDone) throw new Error('the work did not end');
    return marked;
  }

  async function start(checksFencing = true): Promise<void> {
    const document = documents.firstDocument(checksFencing);
    upstreamsByName.forEach((upstream) => {
      const isChecked = checksFencing && options.overrides?.enginesIgnoreFencing !== true;
      upstream.setChecksFencing(isChecked);
    });
    for (const entryId of documents.ENTRY_IDS) await startEntry(entryId);
    for (const upstreamId of upstreamsByName.keys()) await startAgent(upstreamId);
    const { config } = (entries.get(documents.ENTRY_IDS[0]) as Entry).parts.control;
    const submission = { operator: 'test', patch: document, againstVersion: 0, document };
    await runHere(config.submit(submission, clock.nowMs() + 5_000));
    await clock.advance(START_MS);
  }

  function kill(process: processes.FakeProcess): void {
    process.kill();
    network.reset(process);
  }

  return {
    clock,
    overrides: options.overrides ?? {},
    memory,
    store,
    network,
    entries,
    agents,
    upstreams: upstreamsByName,
    start,
    startEntry,
    startAgent,
    kill,
    runHere,
    /** When each leaving upstream began to leave. */
    leavingSinceMs,
    noteLeaving: (upstreamId: string) => leavingSinceMs.set(upstreamId, clock.nowMs()),
    onEvent: (listener: (event: FleetEvent) => void) => {
      listeners.push(listener);
    },
    /** Told of each version that a process takes. */
    onVersion: (listener: (process: processes.FakeProcess, version: number) => void) => {
      versionListeners.push(listener);
    },
    /** Told of the key of each write that took effect. */
    onWritten: (listener: (key: string) => void) => {
      writtenListeners.push(listener);
    },
    onPut: (listener: stores.OnPut) => {
      putListeners.push(listener);
    },
  };
}
