/** Joins the parts of a gateway; each part gets only what it names. */
import {
  boundedLogs,
  clocks,
  logs,
  logSinks,
  randoms,
  standardOutputs,
} from '@copperlever/runtime';
import * as awilix from 'awilix';

import * as byteBudgets from '@copperlever/runtime/byte-budget';
import * as configHolder from './server/control/config-holder.js';
import * as connectionsModule from './server/forwarding/connections.js';
import * as heldAnswersModule from './server/forwarding/held-answers.js';
import * as requestQueues from './server/forwarding/request-queue.js';
import * as preSendChecks from './server/forwarding/pre-send-check.js';
import * as readDelays from './server/forwarding/read-delay.js';
import * as openCallsModule from './server/forwarding/open-calls.js';
import * as plainAdmissions from './server/forwarding/plain-admission.js';
import * as serving from './server/forwarding/serve.js';
import * as stopAdmissions from './server/forwarding/stop-admission.js';
import * as unsentRequests from './server/forwarding/unsent-requests.js';
import * as upstreamSignals from './server/forwarding/upstream-signals.js';
import * as measuredStores from './server/metrics/measured-store.js';
import * as peerLinks from './server/peers/peer-link.js';
import * as placementClients from './server/placement/placement-client.js';
import * as answerTimes from './shared/answer-times.js';
import * as inFlightModule from './shared/in-flight.js';
import * as peerRegistries from './shared/peer-registry.js';
import * as demandCounters from './shared/placement/demand-counters.js';
import * as placementViews from './shared/placement/placement-view.js';
import * as quarantines from './shared/crashes/quarantine.js';
import * as storePositions from './shared/store-positions.js';
import * as listBudgets from './shared/list-budget.js';
import * as storeContacts from './shared/store-contact.js';
import * as relayedLists from './shared/relayed-list.js';
import * as serviceTimesModule from './shared/service-times.js';
import * as plainCapacity from './shared/plain-capacity.js';
import * as plainServiceTimesModule from './shared/plain-service-times.js';
import * as promptCaches from './shared/prompt-caches.js';
import * as speedSharing from './shared/speed-sharing.js';
import * as restartDoubts from './shared/restart-doubts.js';
import * as tokenShares from './shared/token-shares.js';
import * as sharedEjectionsModule from './shared/shared-ejections.js';
import * as upstreamHealthModule from './shared/upstream-health.js';
import * as upstreamPauses from './shared/upstream-pauses.js';
import * as upstreamStates from './shared/upstream-states.js';
import * as upstreamLimits from './shared/upstream-limits.js';
import * as directories from './shared/upstream-directory.js';
import type * as logEvents from './types/log-events.js';
import * as memory from './memory.js';
import * as settingsModule from './types/settings.js';
import * as crashParts from './crash-parts.js';
import * as controlParts from './control-parts.js';
import * as streamParts from './stream-parts.js';
import type * as partTypes from './types/parts.js';

/** At some tens of microseconds a line, the two lines of a request take about a hundredth of a core. */
const LOG_BOUNDS: boundedLogs.LogBounds = {
  infoPerSecond: 150,
  warnPerSecond: 300,
  errorPerSecond: 300,
};

function isOn(
  { configuration }: Pick<partTypes.GatewayParts, 'configuration'>,
  value: settingsModule.FeatureSwitch,
): boolean {
  const organisations = configuration.current()?.config.organisations ?? null;
  return settingsModule.isSwitchedOn(value, organisations !== null);
}

export function createContainer(
  settings: settingsModule.Settings,
  createPlatform: (clock: clocks.Clock, log: logEvents.GatewayLog) => partTypes.PlatformParts,
  status: partTypes.GatewayStatus,
) {
  const container = awilix.createContainer<partTypes.GatewayParts>({ strict: true });
  const clock = clocks.createSystemClock();
  const logSink = logSinks.createLogSink(standardOutputs.standardOutput, clock);
  const unboundedLog = logs.createLogger({
    daemonId: settings.gatewayId,
    level: settings.logLevel,
    sink: logSink,
  });
  const log = boundedLogs.createBoundedLogger(unboundedLog, clock, LOG_BOUNDS);
  const platform = createPlatform(clock, log);
  container.register({
    settings: awilix.asValue(settings),
    clock: awilix.asValue(clock),
    log: awilix.asValue(log),
    logSink: awilix.asValue(logSink),
    runtimeLog: awilix.asValue(log),
    setLogLevel: awilix.asValue(unboundedLog.setLevel),
    dialect: awilix.asValue(platform.dialect),
    metrics: awilix.asFunction(controlParts.createMetrics).singleton(),
    store: awilix
      .asFunction((parts: partTypes.GatewayParts) =>
        measuredStores.createMeasuredStore(platform.store, parts.metrics),
      )
      .singleton(),
    upstreamControl: awilix.asValue(platform.upstreamControl),
    random: awilix.asFunction(randoms.createSystemRandom).singleton(),
    directory: awilix
      .asFunction((parts: partTypes.GatewayParts) =>
        directories.createUpstreamDirectory(
          (beforeId, { upstreamId, address }) => {
            parts.log.info('upstream-restarted', { beforeId, upstreamId, address });
          },
          (upstreamId) => {
            const upstreamsPosition = storePositions.format(parts.directory.position());
            parts.log.info('upstream-leaving', { upstreamId, source: 'store', upstreamsPosition });
          },
        ),
      )
      .singleton(),
    beliefs: awilix.asFunction(upstreamHealthModule.createUpstreamHealthTracker).singleton(),
    suspects: awilix.asFunction(sharedEjectionsModule.createSharedEjections).singleton(),
    upstreamLimits: awilix.asFunction(upstreamLimits.createUpstreamLimits).singleton(),
    pauses: awilix.asFunction(upstreamPauses.createUpstreamPauses).singleton(),
    states: awilix
      .asFunction((parts: partTypes.GatewayParts) =>
        upstreamStates.createUpstreamStates({
          serviceOf: (upstreamId) => parts.directory.find(upstreamId)?.service ?? null,
        }),
      )
      .singleton(),
    speedTeller: awilix
      .asFunction((parts: partTypes.GatewayParts) => speedSharing.createSpeedReporter(parts.states))
      .singleton(),
    speedPool: awilix
      .asFunction((parts: partTypes.GatewayParts) =>
        speedSharing.createSpeedAggregator(parts.states, parts.incarnation),
      )
      .singleton(),
    limits: awilix.asFunction(controlParts.createLimits).singleton(),
    turns: awilix.asFunction(controlParts.createTurns).singleton(),
    words: awilix
      .asFunction((parts: partTypes.GatewayParts) => upstreamSignals.createUpstreamSignals(parts))
      .singleton(),
    inFlight: awilix.asFunction(inFlightModule.createInFlight).singleton(),
    paces: awilix.asFunction(serviceTimesModule.createServiceTimeEstimator).singleton(),
    plainTimes: awilix
      .asFunction(() =>
        plainServiceTimesModule.createPlainServiceTimes(settings.plainQueues !== 'off'),
      )
      .singleton(),
    plainPlaces: awilix.asFunction(plainCapacity.createPlainCapacity).singleton(),
    plainGate: awilix
      .asFunction((parts: partTypes.GatewayParts) =>
        plainAdmissions.createPlainAdmission({ clock: parts.clock }),
      )
      .singleton(),
    caches: awilix.asFunction(promptCaches.createPromptCaches).singleton(),
    quarantine: awilix.asFunction(quarantines.createQuarantine).singleton(),
    connections: awilix
      .asFunction((parts: partTypes.GatewayParts) =>
        connectionsModule.createConnections(parts.clock, parts.status.upstreamConnectionsMax),
      )
      .singleton(),
    configuration: awilix
      .asFunction((parts: partTypes.GatewayParts) =>
        configHolder.createConfigHolder(parts.log, parts.clock),
      )
      .singleton(),
    loopAges: awilix
      .asFunction((parts: partTypes.GatewayParts) =>
        readDelays.createReadDelay(
          parts.clock,
          ({ turnMs, busyShare, elapsedMs }) => {
            parts.metrics.loopTurn(turnMs);
            parts.shedding.noteBusy(busyShare, elapsedMs);
          },
          undefined,
          parts.status.isOutOfDescriptors,
        ),
      )
      .singleton(),
    shedding: awilix.asFunction(controlParts.createShedding).singleton(),
    intake: awilix
      .asFunction(({ clock: time, loopAges }: partTypes.GatewayParts) =>
        requestQueues.createRequestQueue({ clock: time, loopAges }),
      )
      .singleton(),
    bodyBudget: awilix
      .asFunction(() => byteBudgets.createByteBudget(memory.bodyBytes(settings)))
      .singleton(),
    heldAnswers: awilix
      .asFunction((parts: partTypes.GatewayParts) =>
        heldAnswersModule.createHeldAnswers({
          log: parts.log,
          maxBytes: memory.answerBytes(settings),
          onLetGo: parts.metrics.answerLetGo,
        }),
      )
      .singleton(),
    openCalls: awilix
      .asFunction((parts: partTypes.GatewayParts) =>
        openCallsModule.createOpenCalls(parts.clock, parts.log),
      )
      .singleton(),
    unsent: awilix.asFunction(unsentRequests.createUnsentRequests).singleton(),
    stopAdmission: awilix
      .asFunction((parts: partTypes.GatewayParts) =>
        stopAdmissions.createStopAdmission({
          clock: parts.clock,
          log: parts.log,
          stopTimes: status.stopTimes,
          answerTimes: answerTimes.createAnswerTimes(),
        }),
      )
      .singleton(),
    retries: awilix.asFunction(controlParts.createRetries).singleton(),
    incarnation: awilix
      .asFunction((parts: partTypes.GatewayParts) =>
        Math.trunc(parts.random.fraction() * Number.MAX_SAFE_INTEGER),
      )
      .singleton(),
    status: awilix.asValue(status),
    book: awilix
      .asFunction(() => peerRegistries.createPeerRegistry(settings.gatewayId))
      .singleton(),
    storeContact: awilix
      .asFunction(() => storeContacts.createStoreContact(settings.drainTimeoutMs))
      .singleton(),
    listFeed: awilix
      .asFunction(() =>
        relayedLists.createRelayedList(listBudgets.listBudget(settings.drainTimeoutMs)),
      )
      .singleton(),
    demand: awilix.asFunction(demandCounters.createDemandCounters).singleton(),
    view: awilix.asFunction(placementViews.createPlacementView).singleton(),
    link: awilix
      .asFunction((parts: partTypes.GatewayParts) => peerLinks.createPeerLink(parts.clock))
      .singleton(),
    lease: awilix.asFunction(controlParts.createLease).singleton(),
    placer: awilix.asFunction(controlParts.createPlacer).singleton(),
    quotas: awilix.asFunction(controlParts.createQuotas).singleton(),
    exchange: awilix.asFunction(controlParts.createExchange).singleton(),
    placement: awilix
      .asFunction((parts: partTypes.GatewayParts) =>
        placementClients.createPlacementClient({
          clock: parts.clock,
          view: parts.view,
          demand: parts.demand,
          peerRegistry: parts.book,
          link: parts.link,
          lease: parts.lease,
          placementController: parts.placer,
          directory: parts.directory,
          serviceOf: parts.configuration.serviceOf,
          expediteExchange: () => parts.exchange.hurry(),
        }),
      )
      .singleton(),
    crashes: awilix.asFunction(crashParts.createCrashes).singleton(),
    quarantineKeeper: awilix.asFunction(crashParts.createQuarantineKeeper).singleton(),
    origins: awilix.asFunction(streamParts.createOrigins).singleton(),
    doubts: awilix.asFunction(restartDoubts.createRestartDoubts).singleton(),
    versions: awilix.asFunction(streamParts.createVersionHistory).singleton(),
    originArchive: awilix.asFunction(streamParts.createOriginArchive).singleton(),
    versionRecorder: awilix.asFunction(streamParts.createVersionRecorder).singleton(),
    originPeers: awilix.asFunction(streamParts.createOriginPeers).singleton(),
    streams: awilix.asFunction(streamParts.createStreams).singleton(),
    serve: awilix
      .asFunction((parts: partTypes.GatewayParts) =>
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
          plainTimes: parts.plainTimes,
          plainPlaces: parts.plainPlaces,
          plainAdmission: parts.plainGate,
          plainQueues: settings.plainQueues,
          retries: parts.retries,
          quarantine: parts.quarantine,
          connections: parts.connections,
          words: parts.words,
          limits: parts.limits,
          turns: parts.turns,
          pauses: parts.pauses,
          states: upstreamStates.forChoice(settings.upstreamStates, parts.states),
          placement: parts.placement,
          metrics: parts.metrics,
          streams: parts.streams,
          crashWatch: parts.crashes.watch,
          crashTrials: parts.crashes.trials,
          doubts: parts.doubts,
          preSendCheck: preSendChecks.createPreSendCheck(parts),
          loopAges: parts.loopAges,
          serviceOf: parts.configuration.serviceOf,
          listAgeMs: () => parts.listFeed.ageMs(parts.clock.nowMs()),
          gatewayCount: () => parts.book.live(parts.clock.nowMs()).length + 1,
          gatewayId: settings.gatewayId,
          eventBytesMax: settings.eventBytesMax,
          heldAnswers: parts.heldAnswers,
          failureDomain: settings.failureDomain,
          holdsBatch: () => isOn(parts, settings.batchHolding),
          ordersAdmission: () =>
            isOn(parts, settings.batchHolding) || isOn(parts, settings.fairShares),
          sharesFairly: () => isOn(parts, settings.fairShares),
          weightOf: (organisation) =>
            tokenShares.weightOf(
              organisation,
              parts.configuration.current()?.config.organisations ?? [],
              settings.shareWeights,
            ),
          isStopping: status.isStopping,
          unsent: parts.unsent,
          stopAdmission: parts.stopAdmission,
        }),
      )
      .singleton(),
  });
  return container;
}
