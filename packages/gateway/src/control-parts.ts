/** Makes the parts that place, lend and tell others, which take their settings apart. */

import * as limitsModule from './server/limits/limits.js';
import * as metricsModule from './server/metrics/metrics.js';
import * as exchanges from './server/peers/exchange.js';
import * as messageCodec from './server/peers/message-codec.js';
import * as leaseManagers from './server/placement/lease-manager.js';
import * as placementControllers from './server/placement/placement-controller.js';
import * as retriesModule from './server/retries/retries.js';
import * as quotasModule from './server/quotas/quotas.js';
import * as turnCodec from './server/turns/turn-codec.js';
import * as turnsModule from './server/turns/turns.js';
import * as exchangeIntervals from './shared/exchange-interval.js';
import * as listBudgets from './shared/list-budget.js';
import * as upstreamHealthModule from './shared/upstream-health.js';
import type * as settingsModule from './types/settings.js';
import * as processorShares from './shared/processor-shares.js';
import * as sheddings from './server/health/shedding.js';
import type * as partTypes from './types/parts.js';

const MS_PER_SECOND = 1_000;
const MILLICORES = 1_000;
/** Many times what the holder's answer takes; a request that waits longer is better off elsewhere. */
const HOLDER_PATIENCE_MS = 100;
/** An end that is told later is of no use: its turn has expired. */
const ENDS_TOLD_MS = 1_000;
/** Until the lease or a peer has told: with too few each gateway would take too large a part of a quota for its own. */
const UNKNOWN_FLEET_SIZE = 32;

export function createMetrics(parts: partTypes.GatewayParts): metricsModule.GatewayMetrics {
  const { clock, configuration, directory, beliefs } = parts;
  return metricsModule.createGatewayMetrics(() => {
    const nowMs = clock.nowMs();
    const upstreams = directory.all();
    const avoided = upstreams.filter(({ upstreamId }) =>
      upstreamHealthModule.isEjected(beliefs.health(upstreamId, nowMs)),
    );
    const leavingIds = directory.leavingIds();
    const leaving = upstreams.filter(({ upstreamId }) => leavingIds.includes(upstreamId));
    const kept = upstreams.filter(
      ({ upstreamId }) => directory.keptForMs(upstreamId, nowMs) !== undefined,
    );
    return {
      openCallCount: parts.openCalls.count(),
      unstartedCount: parts.intake.waitingCount(),
      acceptWaitMs: parts.loopAges.acceptWaitMs(),
      bodyBytes: parts.bodyBudget.heldBytes(),
      answerBytes: parts.heldAnswers.heldBytes(),
      configVersion: configuration.version(),
      configAgeMs: configuration.ageMs(),
      storePosition: directory.position(),
      listAgeMs: parts.listFeed.ageMs(nowMs),
      upstreamCount: upstreams.length,
      avoidedCount: avoided.length,
      speeds: parts.states.counts(nowMs),
      leavingCount: leaving.length,
      keptCount: kept.length,
      limitedCount: parts.upstreamLimits.limitedIds().length,
      placementAgeMs: parts.view.ageMs(nowMs),
      plainWaitingCount: parts.plainGate.waitingCount(),
      heldTerm: parts.lease.heldTerm(),
      descriptors: parts.status.descriptors(),
      startWaitingCount: parts.status.startWaitingCount(),
      logLines: {
        lostCount: parts.logSink.lostLineCount(),
        pendingCharacters: parts.logSink.pendingCharacters(),
        isFailing: parts.logSink.state() === 'failed',
      },
    };
  });
}

function millicoresOf({ processorShare, processorCores }: settingsModule.Settings): number {
  return Math.round(processorShare * processorCores * MILLICORES);
}

export function createLease(parts: partTypes.GatewayParts): leaseManagers.LeaseManager {
  const { settings, status, configuration } = parts;
  return leaseManagers.createLeaseManager({
    clock: parts.clock,
    log: parts.log,
    random: parts.random,
    store: parts.store,
    peerRegistry: parts.book,
    quotas: parts.quotas,
    gatewayId: settings.gatewayId,
    address: settings.peerAddress,
    leaseMs: settings.leaseMs,
    upstreamsCheckFences: settings.upstreamsCheckFences,
    millicores: millicoresOf(settings),
    isEligible: () => status.hasListing() && configuration.current() !== null,
  });
}

export function createPlacer(
  parts: partTypes.GatewayParts,
): placementControllers.PlacementController {
  const { settings, configuration, inFlight, clock } = parts;
  return placementControllers.createPlacementController({
    clock,
    log: parts.log,
    control: parts.upstreamControl,
    signals: parts.words,
    lease: parts.lease,
    directory: parts.directory,
    serviceTimes: parts.paces,
    states: parts.states,
    config: () => configuration.current()?.config ?? null,
    gatewayId: settings.gatewayId,
    storeLoadLimits: {
      windowMs: settings.loadWindowS * MS_PER_SECOND,
      overage: settings.loadOverage,
    },
    inFlight: (upstreamId, model) => inFlight.modelCount(upstreamId, model, clock.nowMs()),
    isUnreliable: (upstreamId) => {
      const gatewayCount = parts.book.live(clock.nowMs()).length + 1;
      const isSuspect = parts.suspects.isEjectedBySeveral(upstreamId, gatewayCount, clock.nowMs());
      const isPaused = parts.pauses.leftMs(upstreamId, clock.nowMs()) > 0;
      return isSuspect || isPaused || parts.limits.isStarved(upstreamId);
    },
    localView: parts.view,
    drainNoticeMs: () => exchangeIntervals.propagationMs(parts.book.live(clock.nowMs()).length + 1),
    metrics: parts.metrics,
  });
}

function fleetSize({ book, clock }: partTypes.GatewayParts): number {
  const known = book.fleetSize(clock.nowMs());
  return book.lease() === null ? Math.max(UNKNOWN_FLEET_SIZE, known) : known;
}

/** Of the gateways that live, this one among them. */
function liveIds({ book, settings }: partTypes.GatewayParts, nowMs: number): readonly string[] {
  return [settings.gatewayId, ...book.live(nowMs).map(({ gatewayId }) => gatewayId)];
}

function holderAddress({ book }: partTypes.GatewayParts): string | null {
  const holderId = book.lease()?.holderId;
  return holderId === undefined ? null : book.addressOf(holderId);
}

export function createLimits(parts: partTypes.GatewayParts): limitsModule.Limits {
  const { clock, settings } = parts;
  return limitsModule.createLimits({
    clock,
    upstreamLimits: parts.upstreamLimits,
    gatewayId: settings.gatewayId,
    fleet: (nowMs) => ({
      knownIds: liveIds(parts, nowMs),
      size: fleetSize(parts),
    }),
    heldTerm: parts.lease.heldTerm,
    holderAgeMs: parts.view.ageMs,
    told: (limit, source) => parts.words.applyRemoteLimits([limit], source),
    ask: async (asked) => {
      const address = holderAddress(parts);
      if (address === null) return null;
      const deadlineMs = clock.nowMs() + HOLDER_PATIENCE_MS;
      const request = { ...asked, limit: messageCodec.toLimitMessage(asked.limit) };
      const reply = await parts.link.takePermit(address, request, deadlineMs);
      return reply.ok ? messageCodec.fromPermitReply(reply.val) : null;
    },
  });
}

/** The live gateways that have processor time to spare for others, by what is known of all. */
function ampleIds({ book, settings }: partTypes.GatewayParts, nowMs: number): readonly string[] {
  const self = { gatewayId: settings.gatewayId, millicores: millicoresOf(settings) };
  return processorShares.withSufficientProcessor([self, ...book.live(nowMs)]);
}

export function createShedding(parts: partTypes.GatewayParts): sheddings.Shedding {
  return sheddings.createShedding({
    log: parts.log,
    hasLarger: () => !ampleIds(parts, parts.clock.nowMs()).includes(parts.settings.gatewayId),
  });
}

export function createTurns(parts: partTypes.GatewayParts): turnsModule.Turns {
  const { book, clock, inFlight, settings } = parts;
  return turnsModule.createTurns({
    clock,
    random: parts.random,
    log: parts.log,
    metrics: parts.metrics,
    states: parts.states,
    mode: settings.promptTurns,
    loopTurnMs: parts.loopAges.turnMs,
    gatewayId: settings.gatewayId,
    ownerIds: (nowMs) => ampleIds(parts, nowMs),
    unreadTokens: (upstreamId, nowMs) =>
      inFlight.loadAhead(upstreamId, Infinity, nowMs, (_model, tokens) => tokens).prefillMs,
    takeFrom: async (ownerId, asked, deadlineMs) => {
      const address = book.addressOf(ownerId);
      if (address === null) return null;
      const request = turnCodec.toTakeTurnRequest(asked);
      const reply = await parts.link.takeTurn(address, request, deadlineMs);
      return reply.ok ? turnCodec.fromTakeTurnReply(reply.val) : null;
    },
    tellEnded: (ownerId, ended) => {
      const address = book.addressOf(ownerId);
      if (address === null) return;
      const request = turnCodec.toEndTurnsRequest(settings.gatewayId, ended);
      // Lost, the turns expire at their owner.
      void parts.link.endTurns(address, request, clock.nowMs() + ENDS_TOLD_MS);
    },
  });
}

export function createQuotas(parts: partTypes.GatewayParts): quotasModule.Quotas {
  return quotasModule.createQuotas({
    clock: parts.clock,
    log: parts.log,
    random: parts.random,
    organisations: () => parts.configuration.current()?.config.organisations ?? [],
    gatewayCount: () => fleetSize(parts),
    slack: parts.settings.quotaSlack,
    ask: async (report) => {
      const self = { gatewayId: parts.settings.gatewayId, incarnation: parts.incarnation };
      const heldTerm = parts.lease.heldTerm();
      if (heldTerm !== null) return parts.quotas.lend(heldTerm, self, report);
      const address = holderAddress(parts);
      if (address === null) return null;
      const deadlineMs = parts.clock.nowMs() + HOLDER_PATIENCE_MS;
      const request = { ...self, report: messageCodec.toQuotaReportMessage(report) };
      const reply = await parts.link.lendCredits(address, request, deadlineMs);
      return reply.ok ? (reply.val.loan ?? null) : null;
    },
  });
}

export function createRetries(parts: partTypes.GatewayParts): retriesModule.Retries {
  const { clock, settings, lease } = parts;
  return retriesModule.createRetries({
    clock,
    log: parts.log,
    limits: {
      ratio: settings.retryRatio,
      slack: settings.retrySlack,
      windowMs: settings.retryWindowS * MS_PER_SECOND,
    },
    gatewayId: settings.gatewayId,
    incarnation: parts.incarnation,
    heldTerm: lease.heldTerm,
    secureLease: lease.secureLease,
    holderAgeMs: parts.view.ageMs,
    ask: async (asked) => {
      const address = holderAddress(parts);
      if (address === null) return null;
      const request = { ...asked, passed: [...asked.passed] };
      const reply = await parts.link.takeRetry(
        address,
        request,
        clock.nowMs() + HOLDER_PATIENCE_MS,
      );
      return reply.ok ? reply.val : null;
    },
  });
}

export function createExchange(parts: partTypes.GatewayParts): exchanges.Exchange {
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
    crashes: parts.crashes,
    isQuarantineKnown: () => parts.quarantineKeeper.isKnown(),
    onQuarantineKnown: () => parts.quarantineKeeper.noteKnown(),
    demand: parts.demand,
    view: parts.view,
    lease: parts.lease,
    beliefs: parts.beliefs,
    suspects: parts.suspects,
    placer: parts.placer,
    quotas: parts.quotas,
    retries: parts.retries,
    upstreamLimits: parts.upstreamLimits,
    words: parts.words,
    gatewayId: settings.gatewayId,
    millicores: millicoresOf(settings),
    speeds:
      settings.upstreamStates !== 'off'
        ? { teller: parts.speedTeller, pool: parts.speedPool }
        : null,
    incarnation: parts.incarnation,
    address: settings.peerAddress,
    seedAddresses: settings.seedAddresses,
    isStopping: status.isStopping,
    isStoreConnected: status.isStoreConnected,
    listFeed: parts.listFeed,
    contact: parts.storeContact,
    onUpstreamsLearned: status.onUpstreamsLearned,
    storeEra: parts.store.era,
    onLaterEra: status.onLaterEra,
    listBudget: listBudgets.listBudget(settings.drainTimeoutMs),
  });
}
