/** Runs a gateway: its parts in a supervisor tree, and its planned stop. */
import * as timers from 'node:timers/promises';

import { descriptors, listenRetry, supervisor } from '@copperlever/runtime';
import type { clocks, logs } from '@copperlever/runtime';
import * as hashers from '@copperlever/runtime/hasher';
import * as openConnections from '@copperlever/runtime/open-connections';
import * as stopTimes from '@copperlever/runtime/stop-times';
import type * as fastify from 'fastify';

import * as containers from './container.js';
import * as followers from './server/control/follower.js';
import * as upstreamLists from './server/control/upstream-list.js';
import * as forwarding from './server/forwarding/app.js';
import * as readDelays from './server/forwarding/read-delay.js';
import * as acceptWatches from './server/health/accept-watch.js';
import * as callerBounds from './server/health/caller-bound.js';
import * as healthApp from './server/health/app.js';
import * as metricsApp from './server/metrics/app.js';
import * as peers from './server/peers/server.js';
import * as peerParts from './peer-parts.js';
import * as stops from './server/health/stop.js';
import type * as logEvents from './types/log-events.js';
import * as descriptorBounds from './shared/descriptor-bounds.js';
import * as deadlineBaselines from './shared/deadline-baselines.js';
import type * as partTypes from './types/parts.js';
import type * as settingsModule from './types/settings.js';

/** Watches of the configuration: of a gateway that hears the holder, and of others. */
const CONFIG_FOLLOWER_WAIT_MS = 15_000;
const CONFIG_WAIT_MAX_MS = 2_000;
const CONFIG_WAIT_SHARE = 0.25;
const CONFIG_GRACE_MS = 400;
const CONFIG_LIST_TIMEOUT_MS = 2_000;
const HOLDER_HEARD_MS = 1_000;
/** A new fleet takes its lease within this time; where it is not known by then, the gateway serves without. */
const LEASE_WAIT_MS = 3_000;
/** Gateways come and go over seconds, and counting hundreds of them takes time. */
const FLEET_SIZE_AGE_MS = 1_000;
/** The record of the configuration within its kind. */
const CONFIG_RECORD = 'main';

export type CreatePlatform = (
  clock: clocks.Clock,
  log: logEvents.GatewayLog,
  settings: settingsModule.Settings,
) => partTypes.PlatformParts;

function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

function listen(app: fastify.FastifyInstance, address: string): Promise<string> {
  return app.listen({ ...splitAddress(address), backlog: readDelays.ACCEPT_QUEUE_MAX });
}

export type RunningGateway = {
  /**
   * A planned stop, whose time counts from `sinceMs` or from now; resolves when all that was taken has been answered or its time is
   * up.
   */
  stop: (sinceMs?: number) => Promise<void>;
  log: logs.Logger;
  setLogLevel: logs.LeveledLogger['setLevel'];
};

export async function startGateway(
  settings: settingsModule.Settings,
  createPlatform: CreatePlatform,
  onGiveUp: (partName: string) => void,
  startEnd?: listenRetry.StartEnd,
): Promise<RunningGateway> {
  let stopping: stopTimes.StopTimes | null = null;
  const isStopping = () => stopping !== null;
  let hasStarted = false;
  let hasListing = false;
  const { cradle } = containers.createContainer(
    settings,
    (clock, log) => createPlatform(clock, log, settings),
    {
      isStopping,
      stopTimes: () => stopping,
      startWaitingCount: () => listeners.waitingCount(),
      hasListing: () => hasListing,
      isStoreConnected: () => upstreamFollower.isConnected(),
      onUpstreamsLearned: () => {
        hasListing = true;
        afterDirectoryChange();
      },
      upstreamConnectionsMax: () => (bounds()?.sharedMax ?? Infinity) - connections.count(),
      isOutOfDescriptors: () => descriptorWatch.isExhausted(),
      descriptors: () => ({
        callerCount: connections.count(),
        callersMax: bounds()?.callersMax ?? null,
        exhaustedCount: descriptorWatch.exhaustedCount(),
        failedConnectCount: descriptorWatch.failedConnectCount(),
      }),
      onLaterEra: () => {
        upstreamFollower.relist();
        configFollower.relist();
      },
    },
  );
  const { clock, log, directory, configuration, openCalls } = cradle;
  const listeners = listenRetry.createListenRetry({ clock, log: cradle.runtimeLog, startEnd });
  const { descriptorsMax } = settings;
  const descriptorLimit = descriptorBounds.knownLimit(descriptorsMax, descriptors.readLimit());
  const descriptorWatch = descriptors.watchDescriptors({
    clock,
    onExhausted: () => {
      log.error('descriptors-exhausted', { callerCount: connections.count() });
    },
    onAvailable: (exhaustedMs, failedConnectCount) => {
      log.info('descriptors-available', {
        exhaustedMs: Math.round(exhaustedMs),
        failedConnectCount,
      });
    },
  });

  let fleetSize = { atMs: -Infinity, liveCount: 0 };
  /** Asked at each request; null without a known limit. */
  function bounds(): descriptorBounds.DescriptorBounds | null {
    if (descriptorLimit === null) return null;
    const nowMs = clock.nowMs();
    if (nowMs - fleetSize.atMs > FLEET_SIZE_AGE_MS) {
      fleetSize = { atMs: nowMs, liveCount: cradle.book.live(nowMs).length };
    }
    return descriptorBounds.descriptorBounds(descriptorLimit, fleetSize.liveCount);
  }

  const leaseKnownByMs = clock.nowMs() + LEASE_WAIT_MS;

  function afterDirectoryChange(): void {
    const records = directory.all();
    const ids = new Set(records.map((record) => record.upstreamId));
    cradle.streams.noteListed(records);
    cradle.versionRecorder.noteListed();
    cradle.connections.retain(ids);
    cradle.beliefs.retain(ids);
    cradle.caches.retain(ids);
    cradle.states.retain(ids);
    cradle.speedPool.retain(ids);
    cradle.doubts.retain(ids);
    cradle.crashes.watch.retain(ids);
    cradle.upstreamLimits.retain(ids, clock.nowMs());
  }

  const upstreamFollower = upstreamLists.createUpstreamList({
    store: cradle.store,
    clock,
    random: cradle.random,
    log,
    directory,
    listFeed: cradle.listFeed,
    contact: cradle.storeContact,
    isHolder: () => cradle.lease.heldTerm() !== null,
    drainTimeoutMs: settings.drainTimeoutMs,
    onListed: () => {
      hasListing = true;
    },
    onChanged: afterDirectoryChange,
  });

  /** One gateway has to notice a silent connection in time; the others learn of configurations from it. */
  function configWaitMs(): number {
    const lease = cradle.book.lease();
    const receivedMs = lease === null ? null : cradle.book.lastReceivedMs(lease.holderId);
    const hearsHolder = receivedMs !== null && clock.nowMs() - receivedMs < HOLDER_HEARD_MS;
    const ownWaitMs = Math.min(CONFIG_WAIT_MAX_MS, settings.drainTimeoutMs * CONFIG_WAIT_SHARE);
    return hearsHolder ? CONFIG_FOLLOWER_WAIT_MS : ownWaitMs;
  }

  const configFollower = followers.createFollower({
    kind: 'configuration',
    store: cradle.store,
    clock,
    random: cradle.random,
    log,
    waitMs: configWaitMs,
    graceMs: CONFIG_GRACE_MS,
    listTimeoutMs: CONFIG_LIST_TIMEOUT_MS,
    // Its watches wait for long: what trails them is gone from the store's history.
    trailMs: 0,
    onConfirmed: () => {},
    pauseMs: () => 0,
    // Rare, and wanted at once by each: the store itself is asked, by few calls that wait long.
    isRelayed: () => false,
    onRelayed: () => {},
    onListing: (listing) => {
      const main = listing.records.find((record) => record.name === CONFIG_RECORD);
      if (main !== undefined) configuration.offer(main.value, 'store');
    },
    onChange: (change) => {
      if (change.kind !== 'written' || change.record.name !== CONFIG_RECORD) return;
      configuration.offer(change.record.value, 'store');
    },
    onFailed: () => {},
  });

  /** None is served before this gateway knows what all others refuse. */
  function servedConfiguration(): forwarding.ActiveConfiguration | null {
    return cradle.quarantineKeeper.isKnown() ? configuration.current() : null;
  }

  const callers = forwarding.createCallersApp({
    clock,
    log,
    dialect: cradle.dialect,
    serve: cradle.serve,
    configuration: servedConfiguration,
    metrics: cradle.metrics,
    closesConnections: () => isStopping() || cradle.shedding.isShedding() || callerBound.isFull(),
    isBeyondBound: (socket) => callerBound.isBeyond(socket),
    openCalls,
    unsent: cradle.unsent,
    stopAdmission: cradle.stopAdmission,
    quotas: cradle.quotas,
    bodyBudget: cradle.bodyBudget,
    loopAges: cradle.loopAges,
    requestQueue: cradle.intake,
    hasher: await hashers.createHasher(),
    norms: deadlineBaselines.createDeadlineBaselines(),
  });
  const connections = openConnections.trackConnections(
    callers.server,
    cradle.loopAges,
    clock,
    descriptorWatch.look,
  );
  const callerBound = callerBounds.createCallerBound({
    clock,
    log,
    server: callers.server,
    connections,
    loopAges: cradle.loopAges,
    upstreamSocketCount: () => cradle.connections.socketCount(),
    bounds,
  });
  acceptWatches.watchAccepts({
    clock,
    log,
    server: callers.server,
    loopAges: cradle.loopAges,
    callerCount: connections.count,
  });
  configuration.onChange((config) => forwarding.applyLimits(callers, config.limits));

  /** Without a holder no request is sent once more after a failure, beyond what the requests here have made tokens for. */
  function knowsLease(): boolean {
    return cradle.book.lease() !== null || clock.nowMs() >= leaseKnownByMs;
  }

  function isReady(): boolean {
    const isServing = hasStarted && !isStopping() && hasListing && servedConfiguration() !== null;
    const isKnowing = knowsLease() && cradle.versionRecorder.isSettled();
    return isServing && isKnowing && !cradle.shedding.isShedding() && !callerBound.isFull();
  }
  const readiness = healthApp.createReadinessApp(cradle.dialect.readinessPath, isReady);

  const tree = supervisor.createSupervisor(
    [
      // First, so that a start that waits can be seen from outside; in the background, since requests need neither.
      {
        name: 'readiness',
        start: async () => {
          const address = settings.readinessAddress;
          const target = { what: 'readiness', address, onMistake: 'reject' } as const;
          await listeners.inBackground(target, () => listen(readiness, address));
          return { failed: supervisor.neverFails(), stop: () => readiness.close() };
        },
      },
      {
        name: 'metrics',
        start: async () => {
          const app = metricsApp.createMetricsApp(cradle.metrics);
          const address = settings.metricsAddress;
          const target = { what: 'metrics', address: address ?? '', onMistake: 'retry' } as const;
          if (address !== undefined) {
            await listeners.inBackground(target, () => listen(app, address));
          }
          return { failed: supervisor.neverFails(), stop: () => app.close() };
        },
      },
      {
        name: 'control',
        start: async () => {
          configFollower.start();
          upstreamFollower.start();
          return {
            failed: supervisor.neverFails(),
            stop: async () => {
              configFollower.stop();
              upstreamFollower.stop();
            },
          };
        },
      },
      {
        name: 'peers',
        start: async () => {
          const handlers = peerParts.createPeerHandlers(cradle);
          const address = settings.peerAddress;
          const server = await listeners.untilListening({ what: 'peers', address }, () =>
            peers.listen(address, handlers),
          );
          cradle.exchange.start();
          cradle.quarantineKeeper.start();
          cradle.streams.start();
          cradle.versionRecorder.start();
          cradle.originArchive.start();
          return {
            failed: supervisor.neverFails(),
            stop: async () => {
              cradle.exchange.stop();
              cradle.quarantineKeeper.stop();
              cradle.streams.stop();
              cradle.versionRecorder.stop();
              cradle.originArchive.stop();
              cradle.link.close();
              server.forceShutdown();
            },
          };
        },
      },
      {
        name: 'placing',
        start: async () => {
          cradle.lease.start();
          cradle.placer.start();
          return {
            failed: supervisor.neverFails(),
            stop: async () => {
              cradle.placer.stop();
              await cradle.lease.release(clock.nowMs());
            },
          };
        },
      },
      {
        name: 'callers',
        start: async () => {
          const address = settings.callerAddress;
          await listeners.untilListening({ what: 'callers', address }, () =>
            listen(callers, address),
          );
          const stopCallers = async () => {
            cradle.loopAges.stop();
            descriptorWatch.stop();
            stops.cutOff(callers.server, connections);
            await callers.close();
            await cradle.connections.close();
          };
          return { failed: supervisor.neverFails(), stop: stopCallers };
        },
      },
    ],
    { clock, log: cradle.runtimeLog, onGiveUp },
  );

  async function stop(sinceMs = clock.nowMs()): Promise<void> {
    const times = stopTimes.stopTimes(sinceMs, settings.stopTimeoutS * 1_000);
    const { endMs } = times;
    stopping = times;
    listeners.stop();
    log.info('stopping', { openCallCount: openCalls.count() });
    const cancelRefusal = stops.refuseWaiting({ clock, unsent: cradle.unsent, times });
    const drained = stops.drain({
      clock,
      log,
      loopAges: cradle.loopAges,
      connections,
      openCallCount: () => openCalls.count() + cradle.intake.waitingCount(),
      cutOpen: async () => {
        cradle.unsent.endAll();
        // By then the answers are written, and only those that began before are open.
        await timers.setImmediate();
        openCalls.logCut();
        connections.cutUnended();
      },
      endMs,
    });
    await stops.releaseLeaseLast({ clock, drained, releaseLease: cradle.lease.release, endMs });
    cancelRefusal();
    await tree.stop();
    log.info('stopped', { openCallCount: openCalls.count() });
  }

  await tree.start();
  hasStarted = true;
  const { callerAddress, isFirstStart } = settings;
  if (descriptorLimit === null) {
    log.warn('descriptors-unbounded', { reason: 'the limit of open files is not known' });
  } else {
    const callersMax = bounds()?.callersMax ?? 0;
    log.info('descriptors-known', { limit: descriptorLimit, callersMax });
  }
  log.info('started', { callerAddress, isFirstStart });
  return {
    stop,
    log: cradle.runtimeLog,
    setLogLevel: cradle.setLogLevel,
  };
}
