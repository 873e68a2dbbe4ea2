/**
 * Exchanges news with other gateways: with the holder of the lease several times a second, with others
 * at random. So the cost of a gateway does not grow with their number, and one that the store turns away
 * still learns of configurations and of upstreams that leave.
 */
import type { quarantine } from '@copperlever/decisions';
import type { gatewayPeer } from '@copperlever/protocol';
import { clocks as clocksModule, randoms as randomsModule } from '@copperlever/runtime';
import type { clocks, randoms } from '@copperlever/runtime';

import type * as inFlightModule from '../../shared/in-flight.js';
import * as listLag from '../../shared/list-lag.js';
import type * as peerBooks from '../../shared/peer-book.js';
import type * as demandCounters from '../../shared/placing/demand-counters.js';
import type * as placementViews from '../../shared/placing/placement-view.js';
import type * as suspectsModule from '../../shared/suspects.js';
import type * as beliefsModule from '../../shared/upstream-beliefs.js';
import type * as directories from '../../shared/upstream-directory.js';
import type * as fleet from '../../types/fleet.js';
import type * as logEvents from '../../types/log-events.js';
import type * as stores from '../../types/stores.js';
import type * as configHolders from '../control/config-holder.js';
import type * as leaseKeepers from '../placing/lease-keeper.js';
import type * as placers from '../placing/placer.js';
import * as newsCodec from './news-codec.js';
import type * as peerLinks from './peer-link.js';

export type ExchangeDeps = {
  clock: clocks.Clock;
  random: randoms.Random;
  log: logEvents.GatewayLog;
  link: peerLinks.PeerLink;
  book: peerBooks.PeerBook;
  configuration: configHolders.ConfigHolder;
  directory: directories.UpstreamDirectory;
  inFlight: inFlightModule.InFlight;
  quarantine: quarantine.Quarantine;
  demand: demandCounters.DemandCounters;
  view: placementViews.PlacementView;
  lease: leaseKeepers.LeaseKeeper;
  beliefs: Pick<beliefsModule.UpstreamBeliefs, 'avoidedIds'>;
  suspects: suspectsModule.Suspects;
  placer: placers.Placer;
  gatewayId: string;
  incarnation: number;
  address: string;
  seedAddresses: readonly string[];
  isStopping: () => boolean;
  isStoreConnected: () => boolean;
  onUpstreamsLearned: () => void;
  /** The longest that this gateway's own watch pauses after changes. */
  watchPauseMs: number;
};

export type Exchange = {
  start: () => void;
  stop: () => void;
  handle: (request: gatewayPeer.ExchangeRequest) => gatewayPeer.ExchangeReply;
  /** Tells the holder at once, as when a request has found no copy. */
  hurry: () => void;
};

/** Loads and copies change within some hundred milliseconds. */
const HOLDER_PERIOD_MS = 250;
/** How often one other gateway, drawn at random, is asked. */
const PEER_PERIOD_MS = 1_000;
const CALL_TIMEOUT_MS = 600;
/** Misses come in groups; the first one's message tells of those that follow within this time. */
const HURRY_MS = 40;
/** What the answer to a watch may take beside its pause. */
const WATCH_ANSWER_MS = 300;
/** The source of what the holder tells of all others. */
const HOLDER_SOURCE = 'holder';

export function createExchange(deps: ExchangeDeps): Exchange {
  const { clock, book, configuration, directory, inFlight, view } = deps;
  const stopping = new AbortController();
  let wake: () => void = () => {};
  let isHurried = false;
  let lastPeerMs = -Infinity;
  const lag = listLag.createListLag(deps.watchPauseMs + WATCH_ANSWER_MS);

  /** Whether this gateway's own list lags behind what peers have, for longer than its watch pauses. */
  function wantsUpstreams(nowMs: number): boolean {
    if (!deps.isStoreConnected()) return true;
    return lag.isLagging(directory.revision(), nowMs);
  }

  function ownNews(): gatewayPeer.GatewayNews {
    const nowMs = clock.nowMs();
    const lease = book.lease();
    return {
      gatewayId: deps.gatewayId,
      address: deps.address,
      incarnation: deps.incarnation,
      configVersion: configuration.version(),
      upstreamsRevision: directory.revision(),
      wantsUpstreams: wantsUpstreams(nowMs),
      lease: lease === null ? undefined : lease,
      gateways: [...book.heard(nowMs)],
      quarantined: deps.quarantine.refused(nowMs).map(({ fingerprint, untilMs }) => ({
        fingerprint,
        remainingMs: Math.round(untilMs - nowMs),
      })),
      knownPlacementVersion: view.version().version,
      knownPlacementTerm: view.version().term,
      // A holder that stops is asked for copies until it has given its lease back.
      isStopping: deps.isStopping() && deps.lease.heldTerm() === null,
    };
  }

  function takeNews(news: gatewayPeer.GatewayNews | undefined): void {
    if (news === undefined) return;
    const nowMs = clock.nowMs();
    if (news.isStopping) book.left(news.gatewayId);
    else book.heardFrom(news, nowMs);
    book.learned(news.gateways, nowMs);
    lag.heard(news.upstreamsRevision, directory.revision(), nowMs);
    if (news.lease !== undefined) book.noteLease(news.lease);
    news.quarantined.forEach(({ fingerprint, remainingMs }) => {
      deps.quarantine.learned(fingerprint, nowMs + remainingMs);
    });
  }

  function takeDocuments(reply: gatewayPeer.ExchangeReply): void {
    const source = reply.news?.gatewayId ?? 'peer';
    if (reply.config.length > 0) {
      configuration.offer(JSON.parse(reply.config.toString('utf8')) as fleet.FleetConfig, source);
    }
    if (reply.upstreams.length > 0) {
      const listing = JSON.parse(
        reply.upstreams.toString('utf8'),
      ) as stores.Listing<fleet.UpstreamRecord>;
      directory.applyListing(listing, clock.nowMs());
      deps.log.info('upstreams-learned', { source, revision: listing.revision });
      deps.onUpstreamsLearned();
    }
  }

  function takePlacement(reply: gatewayPeer.ExchangeReply): void {
    const lease = book.lease();
    const isHolder = lease !== null && reply.news?.gatewayId === lease.holderId;
    if (!isHolder) return;
    const nowMs = clock.nowMs();
    if (reply.placement !== undefined) {
      view.apply(newsCodec.fromPlacementNews(reply.placement, nowMs));
    }
    view.confirm(nowMs);
    inFlight.heard(HOLDER_SOURCE, reply.loads, nowMs);
  }

  async function exchangeWith(address: string, isHolder: boolean): Promise<void> {
    const nowMs = clock.nowMs();
    const request: gatewayPeer.ExchangeRequest = {
      news: ownNews(),
      loads: isHolder ? newsCodec.toLoadNews(inFlight.ownLoads()) : [],
      demands: isHolder ? deps.demand.recent(nowMs).map(newsCodec.toDemandNews) : [],
      avoidedUpstreamIds: isHolder ? [...deps.beliefs.avoidedIds()] : [],
    };
    const reply = await deps.link.exchange(address, request, nowMs + CALL_TIMEOUT_MS);
    if (reply.err) {
      book.missed(address, nowMs);
      return;
    }
    takeNews(reply.val.news);
    takeDocuments(reply.val);
    takePlacement(reply.val);
  }

  /** The holder's own counts and copies need no message. */
  function exchangeWithSelf(): void {
    const nowMs = clock.nowMs();
    deps.placer.heardDemand(deps.gatewayId, deps.incarnation, deps.demand.recent(nowMs));
    deps.suspects.heard(deps.gatewayId, deps.beliefs.avoidedIds(), nowMs);
    const news = deps.placer.news();
    if (news !== null) view.apply(news);
    view.confirm(nowMs);
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
    const isHolder = deps.lease.heldTerm() !== null;
    const calls: Promise<void>[] = [];
    const holder = isHolder ? null : holderAddress();
    if (isHolder) exchangeWithSelf();
    else if (holder !== null) calls.push(exchangeWith(holder, true));
    const isPeerDue = nowMs - lastPeerMs >= PEER_PERIOD_MS || (!isHolder && holder === null);
    const peer = isPeerDue ? somePeerAddress() : null;
    if (peer !== null && peer !== holder) {
      lastPeerMs = nowMs;
      calls.push(exchangeWith(peer, false));
    }
    await Promise.all(calls);
  }

  async function nextRound(atMs: number): Promise<void> {
    const waitUntilMs = isHurried ? clock.nowMs() + HURRY_MS : atMs;
    const hurried = new Promise<void>((resolve) => {
      wake = resolve;
    });
    await Promise.race([clocksModule.sleepUntil(clock, waitUntilMs, stopping.signal), hurried]);
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      const nextMs = clock.nowMs() + HOLDER_PERIOD_MS;
      isHurried = false;
      await round();
      await nextRound(nextMs);
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
    handle: (request) => {
      const { news } = request;
      takeNews(news);
      const nowMs = clock.nowMs();
      const sourceId = news?.gatewayId ?? '';
      const isHolder = deps.lease.heldTerm() !== null;
      if (isHolder && news !== undefined) {
        inFlight.heard(sourceId, request.loads, nowMs);
        deps.suspects.heard(sourceId, request.avoidedUpstreamIds, nowMs);
        const counts = request.demands.map(newsCodec.fromDemandNews);
        deps.placer.heardDemand(sourceId, news.incarnation, counts);
      }
      const current = configuration.current();
      const hasNewerConfig =
        current !== null && current.config.version > (news?.configVersion ?? 0);
      const hasNewerList = directory.revision() > (news?.upstreamsRevision ?? 0);
      const mayWantList = news?.wantsUpstreams === true && hasNewerList;
      const placement = isHolder ? deps.placer.news() : null;
      const isPlacementNewer =
        placement !== null &&
        (placement.version !== news?.knownPlacementVersion ||
          placement.term !== news.knownPlacementTerm);
      return {
        news: ownNews(),
        config: hasNewerConfig ? Buffer.from(JSON.stringify(current.config)) : Buffer.alloc(0),
        upstreams: mayWantList ? Buffer.from(JSON.stringify(directory.listing())) : Buffer.alloc(0),
        loads: isHolder ? newsCodec.toLoadNews(inFlight.loadsWithout(sourceId, nowMs)) : [],
        placement:
          isPlacementNewer && placement !== null
            ? newsCodec.toPlacementNews(placement, nowMs)
            : undefined,
      };
    },
    hurry: () => {
      if (isHurried) return;
      isHurried = true;
      clock.schedule(clock.nowMs() + HURRY_MS, () => wake());
    },
  };
}
