/** Joins the parts of an entry; each part gets only what it names. */
import type { schema } from '@copperlever/configuration';
import {
  claims as claimsModule,
  type claimTypes,
  controlNode,
  documentCodec,
  grpcTransport,
  httpStore,
  journal as journals,
  requestIds,
  resilientStore,
} from '@copperlever/coordination';
import { longestTimes } from '@copperlever/decisions';
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

import * as grpcLink from './server/links/grpc-link.js';
import * as openCalls from './server/requests/open-calls.js';
import * as plannedStops from './server/requests/planned-stop.js';
import * as settlementsModule from './server/requests/settlements.js';
import * as serving from './server/requests/serve.js';
import * as directories from './shared/agent-directory.js';
import * as retryBudgets from './shared/retry-budget.js';
import * as suspectsModule from './shared/suspects.js';
import type * as settingsModule from './types/settings.js';

/** An entry's share of the platform's rates: claims, journal batches and a watch. */
const STORE_CALLS_PER_SECOND = 20;
const STORE_BURST_CALLS = 40;

type Settings = settingsModule.Settings;

export type EntryParts = {
  settings: Settings;
  incarnation: number;
  clock: clocks.Clock;
  random: randoms.Random;
  logSink: logSinks.LogSink;
  log: logs.LeveledLogger;
  metrics: metricsModule.Metrics;
  holds: daemonHolds.DaemonHolds;
  rawStore: httpStore.HttpObjectStore;
  store: ReturnType<typeof resilientStore.createResilientStore>;
  transport: grpcTransport.GrpcTransport;
  control: controlNode.ControlNode<schema.Document>;
  journal: ReturnType<typeof journals.createJournal>;
  claims: claimTypes.Claims;
  link: grpcLink.GrpcLink;
  directory: directories.AgentDirectory;
  settlements: settlementsModule.Settlements;
  suspects: suspectsModule.Suspects;
  retryBudget: retryBudgets.RetryBudget;
  calls: openCalls.OpenCalls;
  stop: plannedStops.PlannedStop;
  serve: serving.Serve;
  ids: ReturnType<typeof requestIds.createRequestIds>;
};

function encodeAttributes(): Buffer {
  const said = attributes.DaemonAttributes.fromPartial({
    role: attributes.DaemonRole.DAEMON_ROLE_ENTRY,
  });
  return Buffer.from(attributes.DaemonAttributes.encode(said).finish());
}

function createMetrics({ settings }: EntryParts): metricsModule.Metrics {
  if (settings.statsd === undefined) return metricsModule.createSilentMetrics();
  return metricsModule.createMetrics({ ...settings.statsd, daemonId: settings.entryId });
}

function createControl(parts: EntryParts): EntryParts['control'] {
  const { settings } = parts;
  return controlNode.createControlNode<schema.Document>({
    self: {
      memberId: settings.entryId,
      incarnation: parts.incarnation,
      address: `${settings.listenHost}:${settings.listenPort}`,
      region: settings.region,
      failureDomain: settings.failureDomain,
      attributes: encodeAttributes(),
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

function createServe(parts: EntryParts): serving.Serve {
  return serving.createServe({
    clock: parts.clock,
    random: parts.random,
    log: parts.log,
    journal: parts.journal,
    link: parts.link,
    directory: parts.directory,
    claims: parts.claims,
    metrics: parts.metrics,
    settlements: parts.settlements,
    suspects: parts.suspects,
    calls: parts.calls,
    stop: parts.stop,
    retryBudget: parts.retryBudget,
    reportUnreachable: parts.control.membership.reportUnreachable,
    configuration: parts.control.follower.current,
    entryId: parts.settings.entryId,
    region: parts.settings.region,
  });
}

export function createContainer(settings: Settings, incarnation: number) {
  const container = awilix.createContainer<EntryParts>({ strict: true });
  const memberId = settings.entryId;
  container.register({
    settings: awilix.asValue(settings),
    incarnation: awilix.asValue(incarnation),
    clock: awilix.asFunction(clocks.createSystemClock).singleton(),
    random: awilix.asFunction(randoms.createSystemRandom).singleton(),
    logSink: awilix
      .asFunction(({ clock }: EntryParts) =>
        logSinks.createLogSink(standardOutputs.standardOutput, clock),
      )
      .singleton(),
    log: awilix
      .asFunction(({ logSink }: EntryParts) =>
        logs.createLogger({
          daemonId: memberId,
          level: settings.logLevel,
          sink: logSink,
        }),
      )
      .singleton(),
    metrics: awilix.asFunction(createMetrics).singleton(),
    holds: awilix
      .asFunction(({ log, metrics }: EntryParts) =>
        daemonHolds.createDaemonHolds({
          daemonKind: 'entry',
          memoryMb: settings.memoryMb,
          log,
          metrics,
        }),
      )
      .singleton(),
    rawStore: awilix
      .asFunction(({ clock, holds }: EntryParts) =>
        httpStore.createHttpObjectStore({ baseUrl: settings.platformUrl, clock, reads: holds }),
      )
      .singleton(),
    store: awilix
      .asFunction(({ rawStore, clock, random }: EntryParts) =>
        resilientStore.createResilientStore(rawStore, {
          clock,
          random,
          callsPerSecond: STORE_CALLS_PER_SECOND,
          burstCalls: STORE_BURST_CALLS,
        }),
      )
      .singleton(),
    transport: awilix
      .asFunction(({ clock }: EntryParts) => grpcTransport.createGrpcTransport({ clock }))
      .singleton(),
    control: awilix.asFunction(createControl).singleton(),
    journal: awilix
      .asFunction(({ store, clock, random, log }: EntryParts) =>
        journals.createJournal({
          store,
          log,
          clock,
          random,
          incarnation,
          memberId,
          flushIntervalMs: settings.journalFlushIntervalMs,
        }),
      )
      .singleton(),
    claims: awilix
      .asFunction(({ store, clock, random }: EntryParts) =>
        claimsModule.createClaims({ store, clock, random }),
      )
      .singleton(),
    link: awilix.asFunction(({ clock }: EntryParts) => grpcLink.createGrpcLink(clock)).singleton(),
    directory: awilix
      .asFunction(({ control, clock, log }: EntryParts) =>
        directories.createAgentDirectory({
          members: control.membership.members,
          nowMs: clock.nowMs,
          onUnreadable: (unreadableId) =>
            log.error('member-unreadable', { memberId: unreadableId }),
        }),
      )
      .singleton(),
    settlements: awilix
      .asFunction(({ clock, claims, log, metrics }: EntryParts) =>
        settlementsModule.createSettlements({ clock, claims, log, metrics }),
      )
      .singleton(),
    suspects: awilix
      .asFunction(({ clock, control }: EntryParts) =>
        suspectsModule.createSuspects({ clock, notices: control.membership.notices }),
      )
      .singleton(),
    retryBudget: awilix
      .asFunction(({ clock }: EntryParts) => retryBudgets.createRetryBudget(clock.nowMs()))
      .singleton(),
    calls: awilix
      .asFunction(({ clock, log }: EntryParts) => openCalls.createOpenCalls(clock, log))
      .singleton(),
    stop: awilix
      .asFunction(({ clock }: EntryParts) =>
        plannedStops.createPlannedStop(clock, longestTimes.createLongestTimes()),
      )
      .singleton(),
    serve: awilix.asFunction(createServe).singleton(),
    ids: awilix
      .asFunction(({ clock }: EntryParts) =>
        requestIds.createRequestIds(memberId, incarnation, clock.wallMs),
      )
      .singleton(),
  });
  return container;
}
