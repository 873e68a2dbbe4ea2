/** Joins the parts of a gateway; each part gets only what it names. */
import * as quarantineModule from '@copperlever/decisions/quarantine';
import { boundedLogs, clocks, logs, randoms } from '@copperlever/runtime';
import * as awilix from 'awilix';

import * as configHolder from './server/control/config-holder.js';
import * as connectionsModule from './server/forwarding/connections.js';
import * as loopLagModule from './server/forwarding/loop-lag.js';
import * as openCallsModule from './server/forwarding/open-calls.js';
import * as serving from './server/forwarding/serve.js';
import * as measuredStores from './server/metrics/measured-store.js';
import * as metricsModule from './server/metrics/metrics.js';
import * as exchanges from './server/peers/exchange.js';
import * as peerLinks from './server/peers/peer-link.js';
import * as leaseKeepers from './server/placing/lease-keeper.js';
import * as placementClients from './server/placing/placement-client.js';
import * as placers from './server/placing/placer.js';
import * as quotasModule from './server/quotas/quotas.js';
import * as exchangePace from './shared/exchange-pace.js';
import * as inFlightModule from './shared/in-flight.js';
import * as peerBooks from './shared/peer-book.js';
import * as demandCounters from './shared/placing/demand-counters.js';
import * as placementViews from './shared/placing/placement-view.js';
import * as listFeeds from './shared/list-feed.js';
import * as pacesModule from './shared/paces.js';
import * as promptCaches from './shared/prompt-caches.js';
import * as retryShares from './shared/retry-share.js';
import * as watchPauses from './shared/watch-pauses.js';
import * as suspectsModule from './shared/suspects.js';
import * as beliefsModule from './shared/upstream-beliefs.js';
import * as directories from './shared/upstream-directory.js';
import type * as dialects from './types/dialects.js';
import type * as logEvents from './types/log-events.js';
import type * as placementTypes from './types/placement.js';
import type * as settingsModule from './types/settings.js';
import type * as stores from './types/stores.js';

const MS_PER_SECOND = 1_000;
const MILLICORES = 1_000;

/** At some tens of microseconds a line, the two lines of a request take about a hundredth of a core. */
const LOG_BOUNDS: boundedLogs.LogBounds = { infoPerSecond: 150, warnPerSecond: 300 };

/** What the platform that the gateway runs on brings along. */
export type PlatformParts = {
  dialect: dialects.Dialect;
  store: stores.RecordStore;
  upstreamControl: dialects.UpstreamControl;
};

/** What the running daemon knows of itself. */
export type GatewayStatus = {
  isStopping: () => boolean;
  isStoreConnected: () => boolean;
  /** This gateway's own watch of the upstreams is answered. */
  isListLive: () => boolean;
  hasListing: () => boolean;
  onUpstreamsLearned: () => void;
};

export type GatewayParts = PlatformParts & {
  settings: settingsModule.Settings;
  metrics: metricsModule.GatewayMetrics;
  clock: clocks.Clock;
  random: randoms.Random;
  log: logEvents.GatewayLog;
  /** For parts of the runtime, whose lines are their own. */
  runtimeLog: logs.Logger;
  directory: directories.UpstreamDirectory;
  beliefs: beliefsModule.UpstreamBeliefs;
  suspects: suspectsModule.Suspects;
  inFlight: inFlightModule.InFlight;
  caches: promptCaches.PromptCaches;
  paces: pacesModule.Paces;
  retryShare: retryShares.RetryShare;
  quarantine: quarantineModule.Quarantine;
  connections: connectionsModule.Connections;
  configuration: configHolder.ConfigHolder;
  placement: placementTypes.Placement;
  openCalls: openCallsModule.OpenCalls;
  quotas: quotasModule.Quotas;
  loopLag: loopLagModule.LoopLag;
  book: peerBooks.PeerBook;
  listFeed: listFeeds.ListFeed;
  demand: demandCounters.DemandCounters;
  view: placementViews.PlacementView;
  link: peerLinks.PeerLink;
  lease: leaseKeepers.LeaseKeeper;
  placer: placers.Placer;
  exchange: exchanges.Exchange;
  status: GatewayStatus;
  serve: serving.Serve;
};

function createMetrics(parts: GatewayParts): metricsModule.GatewayMetrics {
  const { clock, configuration, directory, beliefs } = parts;
  return metricsModule.createGatewayMetrics(() => {
    const nowMs = clock.nowMs();
    const upstreams = directory.all();
    const avoided = upstreams.filter(({ upstreamId }) =>
      beliefsModule.isAvoided(beliefs.belief(upstreamId, nowMs)),
    );
    return {
      openCallCount: parts.openCalls.count(),
      configVersion: configuration.version(),
      configAgeMs: configuration.ageMs(),
      upstreamsRevision: directory.revision(),
      upstreamCount: upstreams.length,
      avoidedCount: avoided.length,
      placementAgeMs: parts.view.ageMs(nowMs),
      heldTerm: parts.lease.heldTerm(),
    };
  });
}

function millicoresOf({ processorShare, processorCores }: settingsModule.Settings): number {
  return Math.round(processorShare * processorCores * MILLICORES);
}

function createLease(parts: GatewayParts): leaseKeepers.LeaseKeeper {
  const { settings, status, configuration } = parts;
  return leaseKeepers.createLeaseKeeper({
    clock: parts.clock,
    log: parts.log,
    random: parts.random,
    store: parts.store,
    book: parts.book,
    quotas: parts.quotas,
    gatewayId: settings.gatewayId,
    address: settings.peerAddress,
    leaseMs: settings.leaseMs,
    upstreamsCheckFences: settings.upstreamsCheckFences,
    millicores: millicoresOf(settings),
    isEligible: () => status.hasListing() && configuration.current() !== null,
  });
}

function createPlacer(parts: GatewayParts): placers.Placer {
  const { settings, configuration, inFlight, clock } = parts;
  return placers.createPlacer({
    clock,
    log: parts.log,
    control: parts.upstreamControl,
    lease: parts.lease,
    directory: parts.directory,
    paces: parts.paces,
    config: () => configuration.current()?.config ?? null,
    gatewayId: settings.gatewayId,
    storeLoadLimits: {
      windowMs: settings.loadWindowS * MS_PER_SECOND,
      overage: settings.loadOverage,
    },
    inFlight: (upstreamId, model) => inFlight.modelCount(upstreamId, model, clock.nowMs()),
    isSuspect: (upstreamId) => {
      const gatewayCount = parts.book.live(clock.nowMs()).length + 1;
      return parts.suspects.isSuspect(upstreamId, gatewayCount, clock.nowMs());
    },
    ownView: parts.view,
    closeNoticeMs: () => exchangePace.noticeMs(parts.book.live(clock.nowMs()).length + 1),
    metrics: parts.metrics,
  });
}

function createQuotas(parts: GatewayParts): quotasModule.Quotas {
  return quotasModule.createQuotas({
    clock: parts.clock,
    random: parts.random,
    organisations: () => parts.configuration.current()?.config.organisations ?? [],
    gatewayCount: () => parts.book.fleetSize(parts.clock.nowMs()),
    slack: parts.settings.quotaSlack,
    hurry: () => parts.exchange.hurry(),
  });
}

function createExchange(parts: GatewayParts): exchanges.Exchange {
  const { settings, status } = parts;
  return exchanges.createExchange({
    clock: parts.clock,
    random: parts.random,
    log: parts.log,
    link: parts.link,
    book: parts.book,
    configuration: parts.configuration,
    directory: parts.directory,
    inFlight: parts.inFlight,
    quarantine: parts.quarantine,
    demand: parts.demand,
    view: parts.view,
    lease: parts.lease,
    beliefs: parts.beliefs,
    suspects: parts.suspects,
    placer: parts.placer,
    quotas: parts.quotas,
    gatewayId: settings.gatewayId,
    millicores: millicoresOf(settings),
    incarnation: Math.trunc(parts.random.fraction() * Number.MAX_SAFE_INTEGER),
    address: settings.peerAddress,
    seedAddresses: settings.seedAddresses,
    isStopping: status.isStopping,
    isStoreConnected: status.isStoreConnected,
    isListLive: status.isListLive,
    listFeed: parts.listFeed,
    onUpstreamsLearned: status.onUpstreamsLearned,
    watchPauseMs: watchPauses.followerPauseMs(settings.drainTimeoutMs),
  });
}

export function createContainer(
  settings: settingsModule.Settings,
  createPlatform: (clock: clocks.Clock, log: logEvents.GatewayLog) => PlatformParts,
  status: GatewayStatus,
) {
  const container = awilix.createContainer<GatewayParts>({ strict: true });
  const clock = clocks.createSystemClock();
  const log = boundedLogs.createBoundedLogger(
    logs.createLogger({ daemonId: settings.gatewayId, level: settings.logLevel }),
    clock,
    LOG_BOUNDS,
  );
  const platform = createPlatform(clock, log);
  container.register({
    settings: awilix.asValue(settings),
    clock: awilix.asValue(clock),
    log: awilix.asValue(log),
    runtimeLog: awilix.asValue(log),
    dialect: awilix.asValue(platform.dialect),
    metrics: awilix.asFunction(createMetrics).singleton(),
    store: awilix
      .asFunction((parts: GatewayParts) =>
        measuredStores.createMeasuredStore(platform.store, parts.metrics),
      )
      .singleton(),
    upstreamControl: awilix.asValue(platform.upstreamControl),
    random: awilix.asFunction(randoms.createSystemRandom).singleton(),
    directory: awilix
      .asFunction((parts: GatewayParts) =>
        directories.createUpstreamDirectory((beforeId, { upstreamId, address }) => {
          parts.log.info('upstream-restarted', { beforeId, upstreamId, address });
        }),
      )
      .singleton(),
    beliefs: awilix.asFunction(beliefsModule.createUpstreamBeliefs).singleton(),
    suspects: awilix.asFunction(suspectsModule.createSuspects).singleton(),
    inFlight: awilix.asFunction(inFlightModule.createInFlight).singleton(),
    paces: awilix.asFunction(pacesModule.createPaces).singleton(),
    caches: awilix.asFunction(promptCaches.createPromptCaches).singleton(),
    quarantine: awilix.asFunction(quarantineModule.createQuarantine).singleton(),
    connections: awilix.asFunction(connectionsModule.createConnections).singleton(),
    configuration: awilix
      .asFunction((parts: GatewayParts) => configHolder.createConfigHolder(parts.log, parts.clock))
      .singleton(),
    loopLag: awilix
      .asFunction((parts: GatewayParts) => loopLagModule.createLoopLag(parts.clock))
      .singleton(),
    openCalls: awilix
      .asFunction((parts: GatewayParts) => openCallsModule.createOpenCalls(parts.clock, parts.log))
      .singleton(),
    retryShare: awilix
      .asFunction(() =>
        retryShares.createRetryShare({
          ratio: settings.retryRatio,
          slack: settings.retrySlack,
          windowMs: settings.retryWindowS * MS_PER_SECOND,
        }),
      )
      .singleton(),
    status: awilix.asValue(status),
    book: awilix.asFunction(() => peerBooks.createPeerBook(settings.gatewayId)).singleton(),
    listFeed: awilix
      .asFunction(() => listFeeds.createListFeed(settings.drainTimeoutMs))
      .singleton(),
    demand: awilix.asFunction(demandCounters.createDemandCounters).singleton(),
    view: awilix.asFunction(placementViews.createPlacementView).singleton(),
    link: awilix
      .asFunction((parts: GatewayParts) => peerLinks.createPeerLink(parts.clock))
      .singleton(),
    lease: awilix.asFunction(createLease).singleton(),
    placer: awilix.asFunction(createPlacer).singleton(),
    quotas: awilix.asFunction(createQuotas).singleton(),
    exchange: awilix.asFunction(createExchange).singleton(),
    placement: awilix
      .asFunction((parts: GatewayParts) =>
        placementClients.createPlacementClient({
          clock: parts.clock,
          view: parts.view,
          demand: parts.demand,
          book: parts.book,
          link: parts.link,
          lease: parts.lease,
          placer: parts.placer,
          directory: parts.directory,
          serviceOf: parts.configuration.serviceOf,
          hurry: () => parts.exchange.hurry(),
        }),
      )
      .singleton(),
    serve: awilix
      .asFunction((parts: GatewayParts) =>
        serving.createServe({
          clock: parts.clock,
          log: parts.log,
          random: parts.random,
          dialect: parts.dialect,
          directory: parts.directory,
          beliefs: parts.beliefs,
          inFlight: parts.inFlight,
          caches: parts.caches,
          paces: parts.paces,
          retryShare: parts.retryShare,
          quarantine: parts.quarantine,
          connections: parts.connections,
          placement: parts.placement,
          metrics: parts.metrics,
          serviceOf: parts.configuration.serviceOf,
          gatewayCount: () => parts.book.live(parts.clock.nowMs()).length + 1,
          failureDomain: settings.failureDomain,
          isStopping: status.isStopping,
        }),
      )
      .singleton(),
  });
  return container;
}
