/**
 * Exchanges news with other gateways: with the holder of the lease several times a second, with others
 * at random. So the cost of a gateway does not grow with their number, and one that the store turns away
 * still learns of configurations and of upstreams that leave.
 */
import type { gatewayPeer } from '@copperlever/protocol';
import { clocks as clocksModule, randoms as randomsModule } from '@copperlever/runtime';
import type { clocks, randoms } from '@copperlever/runtime';
import * as steps from '@copperlever/runtime/steps';

import * as exchangeIntervals from '../../shared/exchange-interval.js';
import * as inFlightModule from '../../shared/in-flight.js';
import type * as listBudgets from '../../shared/list-budget.js';
import type * as relayedLists from '../../shared/relayed-list.js';
import * as storePositions from '../../shared/store-positions.js';
import * as listLag from '../../shared/list-lag.js';
import type * as peerRegistries from '../../shared/peer-registry.js';
import type * as demandCounters from '../../shared/placement/demand-counters.js';
import type * as placementViews from '../../shared/placement/placement-view.js';
import type * as speedSharing from '../../shared/speed-sharing.js';
import type * as upstreamLimitsModule from '../../shared/upstream-limits.js';
import type * as sharedEjectionsModule from '../../shared/shared-ejections.js';
import type * as upstreamHealthModule from '../../shared/upstream-health.js';
import type * as storeContacts from '../../shared/store-contact.js';
import type * as directories from '../../shared/upstream-directory.js';
import type * as logEvents from '../../types/log-events.js';
import type * as configHolders from '../control/config-holder.js';
import type * as upstreamSignals from '../forwarding/upstream-signals.js';
import type * as leaseManagers from '../placement/lease-manager.js';
import type * as placementControllers from '../placement/placement-controller.js';
import type * as retriesModule from '../retries/retries.js';
import type * as quotasModule from '../quotas/quotas.js';
import * as exchangeReplies from './exchange-replies.js';
import * as crashCodec from '../crashes/crash-codec.js';
import type * as crashTrackers from '../crashes/crash-tracker.js';
import type * as quarantines from '../../shared/crashes/quarantine.js';
import * as holderLists from './holder-list.js';
import * as messageCodec from './message-codec.js';
import * as peerDocuments from './peer-documents.js';
import type * as peerLinks from './peer-link.js';

export type ExchangeDeps = {
  clock: clocks.Clock;
  random: randoms.Random;
  log: logEvents.GatewayLog;
  link: peerLinks.PeerLink;
  book: peerRegistries.PeerRegistry;
  configuration: configHolders.ConfigHolder;
  directory: directories.UpstreamDirectory;
  inFlight: inFlightModule.InFlight;
  quarantine: Pick<quarantines.Quarantine, 'entries' | 'digest'>;
  crashes: Pick<crashTrackers.CrashTracker, 'applyEntries' | 'tellEntries'>;
  /** Whether this gateway has heard of all entries of the quarantine since its start. */
  isQuarantineKnown: () => boolean;
  /** Another gateway, which had heard of all, has told them. */
  onQuarantineKnown: () => void;
  demand: demandCounters.DemandCounters;
  view: placementViews.PlacementView;
  lease: leaseManagers.LeaseManager;
  beliefs: Pick<upstreamHealthModule.UpstreamHealthTracker, 'ejectedIds'>;
  suspects: sharedEjectionsModule.SharedEjections;
  placer: placementControllers.PlacementController;
  quotas: Pick<quotasModule.Quotas, 'report' | 'heard' | 'lend'>;
  retries: Pick<retriesModule.Retries, 'passOn' | 'receive'>;
  /** What upstreams have said of their limits. */
  upstreamLimits: Pick<upstreamLimitsModule.UpstreamLimits, 'reportedLimits'>;
  words: Pick<upstreamSignals.UpstreamSignals, 'applyRemoteLimits' | 'applyRemoteLeaving'>;
  /** Null where gateways tell each other nothing of the speed of upstreams. */
  speeds: { teller: speedSharing.SpeedReporter; pool: speedSharing.SpeedAggregator } | null;
  gatewayId: string;
  millicores: number;
  incarnation: number;
  address: string;
  seedAddresses: readonly string[];
  isStopping: () => boolean;
  isStoreConnected: () => boolean;
  listFeed: Omit<relayedLists.RelayedList, 'noteConfirmed'>;
  contact: storeContacts.StoreContact;
  onUpstreamsLearned: () => void;
  /** The latest era that the store itself has named to this gateway. */
  storeEra: () => number;
  /** Another gateway has heard of a later one. */
  onLaterEra: () => void;
  listBudget: Pick<listBudgets.ListBudget, 'pauseMs' | 'maxRelayedAgeMs'>;
};

export type Exchange = {
  start: () => void;
  stop: () => void;
  handle: (request: gatewayPeer.ExchangeRequest) => gatewayPeer.ExchangeReply;
  /** Tells the holder at once, as when a request has found no copy. */
  hurry: () => void;
};

/** This gateway's loads as the holder was told them with a question, and with the one before. */
type ReportedLoads = {
  now: readonly inFlightModule.ModelLoad[];
  before: readonly inFlightModule.ModelLoad[];
};

/** How often one other gateway, drawn at random, is asked. */
const PEER_PERIOD_MS = 1_000;
const CALL_TIMEOUT_MS = 600;
/** Misses come in groups; the first one's message tells of those that follow within this time. */
const HURRY_MS = 40;
/** How often the gateways that others know of are told again: well before they are taken for gone. */
const GATEWAYS_PERIOD_MS = 2_000;
/** How often the store is asked because of a later era: one that a peer only believes in must cost little. */
const LATER_ERA_PERIOD_MS = 1_000;
/** What the answer to a watch may take beside its pause. */
const WATCH_ANSWER_MS = 300;
/** The source of what the holder tells of all others. */
const HOLDER_SOURCE = 'holder';

export function createExchange(deps: ExchangeDeps): Exchange {
  const { clock, book, configuration, directory, inFlight, view } = deps;
  const stopping = new AbortController();
  let wake: () => void = () => {};
  let isHurried = false;
  let roundStartedMs = -Infinity;
  let lastPeerMs = -Infinity;
  let lastGatewaysMs = -Infinity;
  /** The loads that the holder was told with the question before. */
  let reportedBefore: readonly inFlightModule.ModelLoad[] = [];
  /** Since when the holder has not answered; null while it does. */
  let holderSilentMs: number | null = null;
  let laterEraReceivedMs = -Infinity;
  const holderList = holderLists.createHolderList(deps);
  const lag = listLag.createListLag(deps.listBudget.pauseMs + WATCH_ANSWER_MS);

  /** Whether this gateway's own list lags behind what peers have, for longer than its watch pauses. */
  function wantsUpstreams(nowMs: number): boolean {
    if (!deps.isStoreConnected()) return true;
    return lag.isLagging(directory.position(), nowMs);
  }

  function gatewayCount(nowMs: number): number {
    return book.live(nowMs).length + 1;
  }

  /** `knownDigest`: of the quarantine of the gateway that gets this. */
  function localUpdates(tellsGateways: boolean, knownDigest: string): gatewayPeer.GatewayNews {
    const nowMs = clock.nowMs();
    const lease = book.lease();
    const digest = deps.quarantine.digest();
    const entries = digest === knownDigest ? [] : deps.quarantine.entries(nowMs);
    const basis = deps.listFeed.version();
    const position = directory.position();
    const listAgeMs = deps.listFeed.directAgeMs(nowMs);
    return {
      gatewayId: deps.gatewayId,
      address: deps.address,
      incarnation: deps.incarnation,
      configVersion: configuration.version(),
      upstreamsRevision: position.revision,
      storeEra: position.era,
      wantsUpstreams: wantsUpstreams(nowMs),
      lease: lease === null ? undefined : lease,
      gateways: tellsGateways ? [...book.recentContacts(nowMs)] : [],
      wantsGateways: false,
      isListLive: listAgeMs !== null && listAgeMs < deps.listBudget.maxRelayedAgeMs,
      listAgeMs: Math.round(listAgeMs ?? 0),
      storeContact: messageCodec.toContactMessage(deps.contact.latest(), nowMs),
      knownMembersIncarnation: basis.incarnation,
      knownMembersVersion: basis.version,
      millicores: deps.millicores,
      quarantined: crashCodec.toEarlierMessages(deps.quarantine.entries(nowMs), nowMs),
      ...crashCodec.toEntryLists(entries, nowMs),
      quarantineDigest: digest,
      isQuarantineKnown: deps.isQuarantineKnown(),
      limits: deps.upstreamLimits.reportedLimits(nowMs).map(messageCodec.toLimitMessage),
      leavingUpstreamIds: [...directory.newlyLeavingIds(nowMs)],
      knownPlacementVersion: view.version().version,
      knownPlacementTerm: view.version().term,
      // A holder that stops is asked for copies until it has given its lease back.
      isStopping: deps.isStopping() && deps.lease.heldTerm() === null,
    };
  }

  function applyUpdates(news: gatewayPeer.GatewayNews | undefined): void {
    if (news === undefined) return;
    const nowMs = clock.nowMs();
    if (news.isStopping) book.noteLeft(news.gatewayId);
    else book.noteContact(news, nowMs);
    book.applyPeers(news.gateways, nowMs);
    noteEra(news, nowMs);
    lag.applyPeerPosition(messageCodec.positionOf(news), directory.position(), nowMs);
    if (news.lease !== undefined) book.applyLease(news.lease);
    deps.words.applyRemoteLeaving(news.leavingUpstreamIds, news.gatewayId);
    deps.words.applyRemoteLimits(news.limits.map(messageCodec.fromLimitMessage), news.gatewayId);
    deps.crashes.applyEntries(crashCodec.fromNews(news, nowMs), news.gatewayId);
    if (news.isQuarantineKnown) deps.onQuarantineKnown();
  }

  function noteContact(span: storeContacts.ContactSpan | null): void {
    if (span !== null) deps.contact.noteSpan(span);
    directory.noteStoreReturn(deps.contact.returnedMs());
  }

  /** The other gateway lacks entries that this one has. Gateways of the build before take none. */
  function tellQuarantine(news: gatewayPeer.GatewayNews | undefined, address: string): void {
    if (news === undefined || !news.isQuarantineKnown) return;
    if (news.quarantineDigest !== deps.quarantine.digest()) deps.crashes.tellEntries(address);
  }

  /** A watch may wait at a store that has come back from a copy without a word to it. */
  function noteEra({ storeEra, gatewayId }: gatewayPeer.GatewayNews, nowMs: number): void {
    if (storeEra <= deps.storeEra() || nowMs - laterEraReceivedMs < LATER_ERA_PERIOD_MS) return;
    laterEraReceivedMs = nowMs;
    deps.log.info('store-era-heard', { era: storeEra, before: deps.storeEra(), source: gatewayId });
    deps.onLaterEra();
  }

  const replies = exchangeReplies.createReplies({
    ...deps,
    applyUpdates,
    localUpdates,
  });

  function takeDocuments(reply: gatewayPeer.ExchangeReply): void {
    const source = reply.news?.gatewayId ?? 'peer';
    if (reply.config.length > 0) {
      configuration.offer(peerDocuments.decodeConfig(reply.config), source);
    }
    if (reply.upstreams.length > 0) {
      const listing = peerDocuments.decodeListing(reply.upstreams);
      const before = storePositions.format(directory.position());
      const isTaken = directory.applyListing(listing, clock.nowMs());
      const position = storePositions.format(listing);
      deps.log.info('upstreams-learned', { source, position, before, isTaken });
      deps.onUpstreamsLearned();
    }
  }

  function takeFromHolder(
    reply: gatewayPeer.ExchangeReply,
    { told, askedAtMs }: { told: ReportedLoads; askedAtMs: number },
  ): void {
    const lease = book.lease();
    const isHolder = lease !== null && reply.news?.gatewayId === lease.holderId;
    if (!isHolder) return;
    const nowMs = clock.nowMs();
    holderList.apply(reply, askedAtMs);
    if (reply.placement !== undefined) {
      view.apply(messageCodec.fromPlacementMessage(reply.placement, nowMs));
    }
    view.confirm(nowMs);
    if (reply.quotas !== undefined) deps.quotas.heard(reply.quotas);
    if (reply.speeds !== undefined && deps.speeds !== null) {
      deps.speeds.teller.applyReply(messageCodec.fromSpeedsReply(reply.speeds), nowMs);
    }
    const loads = messageCodec.fromLoadTable(reply.loads);
    const own = reply.loadsIncludeQuestion ? told.now : told.before;
    inFlight.applyRemoteLoads(HOLDER_SOURCE, inFlightModule.withoutLoads(loads, own), nowMs);
  }

  function noteHolder(reason: string | null): void {
    const nowMs = clock.nowMs();
    const holderId = book.lease()?.holderId ?? '';
    if (reason !== null && holderSilentMs === null) {
      holderSilentMs = nowMs;
      deps.log.warn('holder-lost', { holderId, reason });
    }
    if (reason === null && holderSilentMs !== null) {
      const awayMs = Math.round(nowMs - holderSilentMs);
      holderSilentMs = null;
      deps.log.info('holder-regained', { holderId, awayMs });
    }
  }

  function speedsQuestion(nowMs: number): gatewayPeer.SpeedsQuestion | undefined {
    if (deps.speeds === null) return undefined;
    const periodMs = exchangeIntervals.regularIntervalMs(gatewayCount(nowMs));
    return messageCodec.toSpeedsQuestion(deps.speeds.teller.createRequest(periodMs, nowMs));
  }

  async function exchangeWith(address: string, isHolder: boolean): Promise<void> {
    const nowMs = clock.nowMs();
    const wantsGateways = !isHolder || nowMs - lastGatewaysMs >= GATEWAYS_PERIOD_MS;
    const loads = isHolder ? messageCodec.toLoadMessages(inFlight.localLoads()) : [];
    const request: gatewayPeer.ExchangeRequest = {
      news: { ...localUpdates(!isHolder, deps.quarantine.digest()), wantsGateways },
      loads,
      demands: isHolder ? deps.demand.recent(nowMs).map(messageCodec.toDemandMessage) : [],
      avoidedUpstreamIds: isHolder ? [...deps.beliefs.ejectedIds()] : [],
      quotas: isHolder ? messageCodec.toQuotaReportMessage(deps.quotas.report()) : undefined,
      speeds: isHolder ? speedsQuestion(nowMs) : undefined,
      retryTokens: isHolder ? [...deps.retries.passOn()] : [],
    };
    const told = { now: loads, before: reportedBefore };
    if (isHolder) reportedBefore = loads;
    const reply = await deps.link.exchange(address, request, nowMs + CALL_TIMEOUT_MS);
    if (isHolder) noteHolder(reply.ok ? null : reply.val.kind);
    if (reply.err) {
      book.missed(address, nowMs);
      return;
    }
    if (isHolder && wantsGateways) lastGatewaysMs = nowMs;
    try {
      applyReply(reply.val, address, { told, askedAtMs: nowMs });
    } catch (cause) {
      deps.log.error('answer-not-applied', { address, reason: String(cause) });
    }
  }

  function applyReply(
    reply: gatewayPeer.ExchangeReply,
    address: string,
    asked: { told: ReportedLoads; askedAtMs: number },
  ): void {
    // It answered after it was asked, so what it tells was no earlier on this gateway's clock.
    noteContact(messageCodec.fromContactMessage(reply.news?.storeContact, asked.askedAtMs));
    applyUpdates(reply.news);
    tellQuarantine(reply.news, address);
    takeDocuments(reply);
    takeFromHolder(reply, asked);
  }

  /** The holder's own counts and copies need no message. */
  function exchangeWithSelf(term: number): void {
    const nowMs = clock.nowMs();
    deps.placer.applyDemand(deps.gatewayId, deps.incarnation, deps.demand.recent(nowMs));
    deps.retries.receive(deps, deps.retries.passOn());
    deps.suspects.applyReport(deps.gatewayId, deps.beliefs.ejectedIds(), nowMs);
    deps.quotas.heard(deps.quotas.lend(term, deps, deps.quotas.report()));
    if (deps.speeds !== null) shareSpeedsWithSelf(deps.speeds, nowMs);
    view.confirm(nowMs);
  }

  /** The holder is one of the gateways that the pool hears and tells. */
  function shareSpeedsWithSelf(
    { teller, pool }: NonNullable<ExchangeDeps['speeds']>,
    nowMs: number,
  ): void {
    const periodMs = exchangeIntervals.regularIntervalMs(gatewayCount(nowMs));
    const { speeds, known } = teller.createRequest(periodMs, nowMs);
    pool.applySpeeds(deps.gatewayId, speeds, nowMs);
    teller.applyReply(pool.updatesFor(deps.gatewayId, known, periodMs, nowMs), nowMs);
  }

  function holderAddress(): string | null {
    const lease = book.lease();
    return lease === null ? null : book.addressOf(lease.holderId);
  }

  function somePeerAddress(): string | null {
    const known = book.live(clock.nowMs()).map(({ address }) => address);
    const seeds = deps.seedAddresses.filter((address) => address !== deps.address);
    const addresses = known.length > 0 && deps.random.below(8) > 0 ? known : seeds;
    return randomsModule.pick(deps.random, addresses) ?? null;
  }

  async function round(): Promise<void> {
    const nowMs = clock.nowMs();
    const heldTerm = deps.lease.heldTerm();
    const isHolder = heldTerm !== null;
    const calls: Promise<void>[] = [];
    const holder = isHolder ? null : holderAddress();
    if (isHolder) exchangeWithSelf(heldTerm);
    else if (holder !== null) calls.push(exchangeWith(holder, true));
    const isPeerDue = nowMs - lastPeerMs >= PEER_PERIOD_MS || (!isHolder && holder === null);
    const peer = isPeerDue ? somePeerAddress() : null;
    if (peer !== null && peer !== holder) {
      lastPeerMs = nowMs;
      calls.push(exchangeWith(peer, false));
    }
    await Promise.all(calls);
  }

  async function nextRound(startedMs: number): Promise<void> {
    const nowMs = clock.nowMs();
    const count = gatewayCount(nowMs);
    const pauseMs = isHurried
      ? exchangeIntervals.urgentIntervalMs(count)
      : exchangeIntervals.regularIntervalMs(count);
    const waitUntilMs = startedMs + pauseMs;
    const hurried = new Promise<void>((resolve) => {
      wake = resolve;
    });
    await Promise.race([clocksModule.sleepUntil(clock, waitUntilMs, stopping.signal), hurried]);
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      roundStartedMs = clock.nowMs();
      isHurried = false;
      await steps.guard(deps.log, 'exchange', round);
      await nextRound(roundStartedMs);
    }
  }

  return {
    start: () => {
      void run();
    },
    stop: () => {
      stopping.abort();
      wake();
    },
    handle: replies.replyTo,
    hurry: () => {
      if (isHurried) return;
      isHurried = true;
      const nowMs = clock.nowMs();
      const pauseMs = exchangeIntervals.urgentIntervalMs(gatewayCount(nowMs));
      clock.schedule(Math.max(nowMs + HURRY_MS, roundStartedMs + pauseMs), () => wake());
    },
  };
}
