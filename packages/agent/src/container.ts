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
import {
  clocks,
  daemonHolds,
  logs,
  logSinks,
  metrics as metricsModule,
  randoms,
  standardOutputs,
} from '@copperlever/runtime';
import * as awilix from 'awilix';

import * as engineParts from './engine-parts.js';
import * as attempts from './server/dispatch/attempts.js';
import * as lossJudges from './server/dispatch/loss-judge.js';
import * as runs from './server/dispatch/runs.js';
import * as demandBoards from './server/placing/demand-board.js';
import * as httpUpstream from './server/upstream/http-upstream.js';
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
  logSink: logSinks.LogSink;
  log: logs.LeveledLogger;
  metrics: metricsModule.Metrics;
  holds: daemonHolds.DaemonHolds;
  upstream: httpUpstream.HttpUpstream;
  rawStore: httpStore.HttpObjectStore;
  store: ReturnType<typeof resilientStore.createResilientStore>;
  transport: grpcTransport.GrpcTransport;
  control: controlNode.ControlNode<schema.Document>;
  journal: ReturnType<typeof journals.createJournal>;
  times: serviceTimes.ServiceTimeEstimator;
  queue: queues.WorkQueue;
  revoked: revocations.Revocations;
  document: () => schema.Document;
  copies: engineParts.AgentCopies;
  demandBoard: demandBoards.DemandBoard;
  lossJudge: lossJudges.LossJudge;
  runs: runs.Runs;
  attempts: attempts.Attempts;
};

export function encodeAttributes(
  upstreamId: string,
  readyTargets: readonly string[],
  handingOver: readonly string[] = [],
): Buffer {
  const said = attributes.DaemonAttributes.fromPartial({
    role: attributes.DaemonRole.DAEMON_ROLE_AGENT,
    upstreamId,
    readyTargets: [...readyTargets],
    handingOver: [...handingOver],
  });
  return Buffer.from(attributes.DaemonAttributes.encode(said).finish());
}

/** Tells the other daemons what is ready here, if that has changed. */
export function publishAttributes(parts: AgentParts): void {
  const { control, copies, settings } = parts;
  const handingOver = copies.handingOver?.() ?? [];
  const said = encodeAttributes(settings.upstreamId, copies.readyTargets(), handingOver);
  if (!said.equals(control.membership.self().attributes)) control.membership.setAttributes(said);
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
  const shareWeightOf = (group: string) =>
    control.follower.current()?.document.callerGroups[group]?.shareWeight ?? 1;
  const queue = queues.createWorkQueue(
    { slotCount: DEFAULT_SLOT_COUNT, maxWaiting: MAX_WAITING, shareWeightOf },
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
    logSink: awilix
      .asFunction(({ clock }: AgentParts) =>
        logSinks.createLogSink(standardOutputs.standardOutput, clock),
      )
      .singleton(),
    log: awilix
      .asFunction(({ logSink }: AgentParts) =>
        logs.createLogger({
          daemonId: settings.agentId,
          level: settings.logLevel,
          sink: logSink,
        }),
      )
      .singleton(),
    metrics: awilix.asFunction(createMetrics).singleton(),
    holds: awilix
      .asFunction(({ log, metrics }: AgentParts) =>
        daemonHolds.createDaemonHolds({
          daemonKind: 'agent',
          memoryMb: settings.memoryMb,
          log,
          metrics,
        }),
      )
      .singleton(),
    upstream: awilix
      .asFunction(({ clock, holds }: AgentParts) =>
        httpUpstream.createHttpUpstream({ baseUrl: settings.upstreamUrl, clock, holds }),
      )
      .singleton(),
    rawStore: awilix
      .asFunction(({ clock, holds }: AgentParts) =>
        httpStore.createHttpObjectStore({ baseUrl: settings.platformUrl, clock, reads: holds }),
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
      .asFunction(({ store, clock, random, log }: AgentParts) =>
        journals.createJournal({
          log,
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
        serviceTimes.createServiceTimeEstimator((target) => baseModelOf(document(), target)),
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
    demandBoard: awilix
      .asFunction(({ clock }: AgentParts) => demandBoards.createDemandBoard(clock))
      .singleton(),
    copies: awilix.asFunction(engineParts.createCopies).singleton(),
    lossJudge: awilix
      .asFunction(({ clock, upstream }: AgentParts) =>
        lossJudges.createLossJudge({ clock, upstream }),
      )
      .singleton(),
    runs: awilix
      .asFunction(({ clock, copies, holds, lossJudge, metrics, times, upstream }: AgentParts) =>
        runs.createRuns({ clock, copies, holds, lossJudge, metrics, times, upstream }),
      )
      .singleton(),
    attempts: awilix
      .asFunction((parts: AgentParts) =>
        attempts.createAttempts({
          clock: parts.clock,
          log: parts.log,
          metrics: parts.metrics,
          journal: parts.journal,
          queue: parts.queue,
          runs: parts.runs,
          onDemand: (item) => {
            const model = baseModelOf(parts.document(), item.target);
            parts.demandBoard.observe(model, parts.times.expectedMs(item));
          },
          revocations: parts.revoked,
          copies: parts.copies,
          holds: parts.holds,
          incarnation,
          configVersion: () => parts.control.follower.version(),
        }),
      )
      .singleton(),
  });
  return container;
}
