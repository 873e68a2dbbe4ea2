/** Makes the parts that place, lend and tell others, which take their settings apart. */

import * as limitsModule from './server/limits/limits.js';
import * as metricsModule from './server/metrics/metrics.js';
import * as exchanges from './server/peers/exchange.js';
import * as newsCodec from './server/peers/news-codec.js';
import * as leaseKeepers from './server/placing/lease-keeper.js';
import * as placers from './server/placing/placer.js';
import * as quotasModule from './server/quotas/quotas.js';
import * as exchangePace from './shared/exchange-pace.js';
import * as watchPauses from './shared/watch-pauses.js';
import * as beliefsModule from './shared/upstream-beliefs.js';
import type * as settingsModule from './types/settings.js';
import type * as partTypes from './types/parts.js';

const MS_PER_SECOND = 1_000;
const MILLICORES = 1_000;
/** Many times what the holder's answer takes; a request that waits longer is better off elsewhere. */
const PERMIT_PATIENCE_MS = 100;
/** Until the lease or a peer has told: with too few each gateway would take too large a part of a quota for its own. */
const UNKNOWN_FLEET_SIZE = 32;

export function createMetrics(parts: partTypes.GatewayParts): metricsModule.GatewayMetrics {
  const { clock, configuration, directory, beliefs } = parts;
  return metricsModule.createGatewayMetrics(() => {
    const nowMs = clock.nowMs();
    const upstreams = directory.all();
    const avoided = upstreams.filter(({ upstreamId }) =>
      beliefsModule.isAvoided(beliefs.belief(upstreamId, nowMs)),
    );
    const leavingIds = directory.leavingIds();
    const leaving = upstreams.filter(({ upstreamId }) => leavingIds.includes(upstreamId));
    return {
      openCallCount: parts.openCalls.count(),
      configVersion: configuration.version(),
      configAgeMs: configuration.ageMs(),
      upstreamsRevision: directory.revision(),
      upstreamCount: upstreams.length,
      avoidedCount: avoided.length,
      speeds: parts.states.counts(nowMs),
      leavingCount: leaving.length,
      limitedCount: parts.upstreamLimits.limitedIds().length,
      placementAgeMs: parts.view.ageMs(nowMs),
      heldTerm: parts.lease.heldTerm(),
    };
  });
}

function millicoresOf({ processorShare, processorCores }: settingsModule.Settings): number {
  return Math.round(processorShare * processorCores * MILLICORES);
}

export function createLease(parts: partTypes.GatewayParts): leaseKeepers.LeaseKeeper {
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

export function createPlacer(parts: partTypes.GatewayParts): placers.Placer {
  const { settings, configuration, inFlight, clock } = parts;
  return placers.createPlacer({
    clock,
    log: parts.log,
    control: parts.upstreamControl,
    words: parts.words,
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
    isUnreliable: (upstreamId) => {
      const gatewayCount = parts.book.live(clock.nowMs()).length + 1;
      const isSuspect = parts.suspects.isSuspect(upstreamId, gatewayCount, clock.nowMs());
      const isPaused = parts.pauses.leftMs(upstreamId, clock.nowMs()) > 0;
      return isSuspect || isPaused || parts.limits.isStarved(upstreamId);
    },
    ownView: parts.view,
    closeNoticeMs: () => exchangePace.noticeMs(parts.book.live(clock.nowMs()).length + 1),
    metrics: parts.metrics,
  });
}

function fleetSize({ book, clock }: partTypes.GatewayParts): number {
  const known = book.fleetSize(clock.nowMs());
  return book.lease() === null ? Math.max(UNKNOWN_FLEET_SIZE, known) : known;
}

export function createLimits(parts: partTypes.GatewayParts): limitsModule.Limits {
  const { book, clock, settings } = parts;
  return limitsModule.createLimits({
    clock,
    upstreamLimits: parts.upstreamLimits,
    gatewayId: settings.gatewayId,
    fleet: (nowMs) => ({
      knownIds: [settings.gatewayId, ...book.live(nowMs).map(({ gatewayId }) => gatewayId)],
      size: fleetSize(parts),
    }),
    heldTerm: parts.lease.heldTerm,
    holderAgeMs: parts.view.ageMs,
    told: (limit, source) => parts.words.toldLimits([limit], source),
    ask: async (asked) => {
      const holderId = book.lease()?.holderId;
      const address = holderId === undefined ? null : book.addressOf(holderId);
      if (address === null) return null;
      const deadlineMs = clock.nowMs() + PERMIT_PATIENCE_MS;
      const request = { ...asked, limit: newsCodec.toLimitNews(asked.limit) };
      const reply = await parts.link.takePermit(address, request, deadlineMs);
      return reply.ok ? newsCodec.fromPermitReply(reply.val) : null;
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
    hurry: () => parts.exchange.hurry(),
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
    demand: parts.demand,
    view: parts.view,
    lease: parts.lease,
    beliefs: parts.beliefs,
    suspects: parts.suspects,
    placer: parts.placer,
    quotas: parts.quotas,
    upstreamLimits: parts.upstreamLimits,
    words: parts.words,
    gatewayId: settings.gatewayId,
    millicores: millicoresOf(settings),
    speeds:
      settings.upstreamStates === 'on'
        ? { teller: parts.speedTeller, pool: parts.speedPool }
        : null,
    incarnation: parts.incarnation,
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
