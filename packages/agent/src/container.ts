/** Joins the parts of an agent; each part gets only what it names. */
import { schema, targets } from '@copperlever/configuration';
import {
  controlNode,
  documentCodec,
  grpcTransport,
  httpStore,
  journal as journals,
  resilientStore,
} from '@copperlever/coordination';
import { queues, serviceTimes } from '@copperlever/decisions';
import { attributes } from '@copperlever/protocol';
import { clocks, logs, metrics as metricsModule, randoms } from '@copperlever/runtime';
import * as awilix from 'awilix';

import * as serviceCopies from './server/copies/service-copies.js';
import * as engineCopies from './server/copies/engine-copies.js';
import type * as copyTypes from './server/copies/types.js';
import * as attempts from './server/dispatch/attempts.js';
import * as intents from './server/orders/intents.js';
import * as orders from './server/orders/orders.js';
import type * as orderTypes from './server/orders/types.js';
import * as httpUpstream from './server/upstream/http-upstream.js';
import * as ledgers from './shared/memory-ledger.js';
import * as revocations from './shared/revocations.js';
import type * as settingsModule from './types/settings.js';

/** An agent's share of the platform's rates: journal batches, intents, floors and a watch. */
const STORE_CALLS_PER_SECOND = 5;
const STORE_BURST_CALLS = 20;
/** Until the configuration names the upstream, it runs one request at a time. */
const DEFAULT_SLOT_COUNT = 1;
const MAX_WAITING = 1_000;

type Settings = settingsModule.Settings;

export type AgentParts = {
  settings: Settings;
  incarnation: number;
  clock: clocks.Clock;
  random: randoms.Random;
  log: logs.Logger;
  metrics: metricsModule.Metrics;
  upstream: httpUpstream.HttpUpstream;
  rawStore: httpStore.HttpObjectStore;
  store: ReturnType<typeof resilientStore.createResilientStore>;
  transport: grpcTransport.GrpcTransport;
  control: controlNode.ControlNode<schema.Document>;
  journal: ReturnType<typeof journals.createJournal>;
  times: serviceTimes.ServiceTimes;
  queue: queues.WorkQueue;
  revoked: revocations.Revocations;
  document: () => schema.Document;
  copies: copyTypes.Copies & { run?: engineCopies.EngineCopies['run'] };
  attempts: attempts.Attempts;
};

export function encodeAttributes(upstreamId: string, readyTargets: readonly string[]): Buffer {
  const said = attributes.DaemonAttributes.fromPartial({
    role: attributes.DaemonRole.DAEMON_ROLE_AGENT,
    upstreamId,
    readyTargets: [...readyTargets],
  });
  return Buffer.from(attributes.DaemonAttributes.encode(said).finish());
}

function createMetrics({ settings }: AgentParts): metricsModule.Metrics {
  if (settings.statsd === undefined) return metricsModule.createSilentMetrics();
  return metricsModule.createMetrics({ ...settings.statsd, daemonId: settings.agentId });
}

function createControl(parts: AgentParts): AgentParts['control'] {
  const { settings } = parts;
  return controlNode.createControlNode<schema.Document>({
    self: {
      memberId: settings.agentId,
      incarnation: parts.incarnation,
      address: `${settings.listenHost}:${settings.listenPort}`,
      region: settings.region,
      failureDomain: settings.failureDomain,
      attributes: encodeAttributes(settings.upstreamId, []),
    },
    store: parts.store,
    transport: parts.transport,
    codec: documentCodec.createJsonCodec<schema.Document>(),
    clock: parts.clock,
    random: parts.random,
    seedAddresses: settings.seedAddresses,
    log: parts.log,
  });
}

function createQueue({ control, settings, times }: AgentParts): queues.WorkQueue {
  const queue = queues.createWorkQueue(
    { slotCount: DEFAULT_SLOT_COUNT, maxWaiting: MAX_WAITING },
    times,
  );
  const takeSlots = ({ document }: { document: schema.Document }) => {
    const upstream = document.upstreams[settings.upstreamId];
    if (upstream !== undefined) queue.setSlotCount(upstream.slotCount);
  };
  // The queue is made with the first request, after the first configuration.
  const present = control.follower.current();
  if (present !== null) takeSlots(present);
  control.follower.onChange(takeSlots);
  return queue;
}

function createOrders(parts: AgentParts, ledger: ledgers.MemoryLedger): orderTypes.Orders {
  const { clock, document, incarnation, log, metrics, random, store } = parts;
  const { upstreamId } = parts.settings;
  return orders.createOrders({
    clock,
    log,
    metrics,
    engine: parts.upstream,
    ledger,
    upstreamId,
    incarnation,
    intents: intents.createIntentsStore({ clock, random, store, upstreamId, incarnation }),
    checksFencing: () => {
      const upstream = document().upstreams[upstreamId];
      return upstream?.kind === 'engine' && upstream.checksFencing;
    },
  });
}

/** An engine's copies, or a plain service's, as the first configuration with the upstream says. */
function createCopies(parts: AgentParts): AgentParts['copies'] {
  const { settings, document } = parts;
  const upstream = document().upstreams[settings.upstreamId];
  if (upstream?.kind !== 'engine') {
    return serviceCopies.createServiceCopies(() =>
      Object.entries(document().services)
        .filter(([, service]) => service.pool === upstream?.pool)
        .map(([name]) => name),
    );
  }
  const ledger = ledgers.createMemoryLedger(upstream.memoryBytes);
  return engineCopies.createEngineCopies({
    clock: parts.clock,
    log: parts.log,
    metrics: parts.metrics,
    engine: parts.upstream,
    ledger,
    orders: createOrders(parts, ledger),
    upstreamId: settings.upstreamId,
    document,
    isFloorHere: () => false,
  });
}

/** An adapter runs as fast as its base model, so its first requests are judged by that. */
function baseModelOf(document: schema.Document, target: string): string {
  const found = targets.findModelTarget(document, target);
  return found === null || found.kind === 'service' ? target : found.model;
}

export function createContainer(settings: Settings, incarnation: number) {
  const container = awilix.createContainer<AgentParts>({ strict: true });
  container.register({
    settings: awilix.asValue(settings),
    incarnation: awilix.asValue(incarnation),
    clock: awilix.asFunction(clocks.createSystemClock).singleton(),
    random: awilix.asFunction(randoms.createSystemRandom).singleton(),
    log: awilix
      .asFunction(() => logs.createLogger({ daemonId: settings.agentId, level: settings.logLevel }))
      .singleton(),
    metrics: awilix.asFunction(createMetrics).singleton(),
    upstream: awilix
      .asFunction(({ clock }: AgentParts) =>
        httpUpstream.createHttpUpstream({ baseUrl: settings.upstreamUrl, clock }),
      )
      .singleton(),
    rawStore: awilix
      .asFunction(({ clock }: AgentParts) =>
        httpStore.createHttpObjectStore({ baseUrl: settings.platformUrl, clock }),
      )
      .singleton(),
    store: awilix
      .asFunction(({ rawStore, clock, random }: AgentParts) =>
        resilientStore.createResilientStore(rawStore, {
          clock,
          random,
          callsPerSecond: STORE_CALLS_PER_SECOND,
          burstCalls: STORE_BURST_CALLS,
        }),
      )
      .singleton(),
    transport: awilix
      .asFunction(({ clock }: AgentParts) => grpcTransport.createGrpcTransport({ clock }))
      .singleton(),
    control: awilix.asFunction(createControl).singleton(),
    journal: awilix
      .asFunction(({ store, clock, random }: AgentParts) =>
        journals.createJournal({
          store,
          clock,
          random,
          incarnation,
          memberId: settings.agentId,
          flushIntervalMs: settings.journalFlushIntervalMs,
        }),
      )
      .singleton(),
    times: awilix
      .asFunction(({ document }: AgentParts) =>
        serviceTimes.createServiceTimes((target) => baseModelOf(document(), target)),
      )
      .singleton(),
    queue: awilix.asFunction(createQueue).singleton(),
    revoked: awilix
      .asFunction(({ clock }: AgentParts) => revocations.createRevocations(clock.nowMs()))
      .singleton(),
    document: awilix
      .asFunction(
        ({ control }: AgentParts) =>
          () =>
            control.follower.current()?.document ?? schema.emptyDocument(),
      )
      .singleton(),
    copies: awilix.asFunction(createCopies).singleton(),
    attempts: awilix
      .asFunction((parts: AgentParts) =>
        attempts.createAttempts({
          clock: parts.clock,
          log: parts.log,
          journal: parts.journal,
          queue: parts.queue,
          times: parts.times,
          revocations: parts.revoked,
          copies: parts.copies,
          upstream: parts.upstream,
          incarnation,
          configVersion: () => parts.control.follower.version(),
        }),
      )
      .singleton(),
  });
  return container;
}
