/**
 * Answers other gateways. The holder answers all of them several times a second, on the loop that forwards requests: what
 * it tells all alike is encoded once for many answers, and what an asker has already is left out.
 */
import type { gatewayPeer } from '@copperlever/protocol';

import * as exchangeIntervals from '../../shared/exchange-interval.js';
import * as storePositions from '../../shared/store-positions.js';
import * as messageCodec from './message-codec.js';
import type * as exchanges from './exchange.js';

export type RepliesDeps = Pick<
  exchanges.ExchangeDeps,
  | 'book'
  | 'clock'
  | 'configuration'
  | 'directory'
  | 'inFlight'
  | 'incarnation'
  | 'lease'
  | 'placer'
  | 'quotas'
  | 'retries'
  | 'speeds'
  | 'suspects'
> & {
  applyUpdates: (news: gatewayPeer.GatewayNews | undefined) => void;
  localUpdates: (tellsGateways: boolean, knownDigest: string) => gatewayPeer.GatewayNews;
};

export type Replies = {
  replyTo: (request: gatewayPeer.ExchangeRequest) => gatewayPeer.ExchangeReply;
};

type SharedLoads = { encoded: Buffer; atMs: number };

/** Loads are summed and encoded once for all that ask within this time. */
const LOADS_SHARED_MS = 100;

export function createReplies(deps: RepliesDeps): Replies {
  const { clock, configuration, directory, inFlight } = deps;
  let shared: SharedLoads = { encoded: Buffer.alloc(0), atMs: -Infinity };

  function applyReport(
    request: gatewayPeer.ExchangeRequest,
    { gatewayId, incarnation }: gatewayPeer.GatewayNews,
    nowMs: number,
  ): void {
    inFlight.applyRemoteLoads(gatewayId, request.loads, nowMs);
    deps.suspects.applyReport(gatewayId, request.avoidedUpstreamIds, nowMs);
    const counts = request.demands.map(messageCodec.fromDemandMessage);
    deps.placer.applyDemand(gatewayId, incarnation, counts);
    deps.retries.receive({ gatewayId, incarnation }, request.retryTokens);
  }

  /** The sum of all loads, and whether it was made for this question. */
  function sharedLoads(nowMs: number): { encoded: Buffer; isNew: boolean } {
    const isNew = nowMs - shared.atMs >= LOADS_SHARED_MS;
    if (isNew)
      shared = { encoded: messageCodec.toLoadTable(inFlight.allLoads(nowMs)), atMs: nowMs };
    return { encoded: shared.encoded, isNew };
  }

  function membersFor(news: gatewayPeer.GatewayNews, nowMs: number): gatewayPeer.MembersNews {
    const isKnown = news.knownMembersIncarnation === deps.incarnation;
    const members = isKnown
      ? directory.membersAfter(news.knownMembersVersion, nowMs)
      : directory.membersAfterPosition(messageCodec.positionOf(news), nowMs);
    return messageCodec.toMembersMessage(members, deps.incarnation);
  }

  function speedsFor(
    { speeds }: gatewayPeer.ExchangeRequest,
    { gatewayId }: gatewayPeer.GatewayNews,
    nowMs: number,
  ): gatewayPeer.SpeedsReply | undefined {
    if (speeds === undefined || deps.speeds === null) return undefined;
    const question = messageCodec.fromSpeedsQuestion(speeds);
    deps.speeds.pool.applySpeeds(gatewayId, question.speeds, nowMs);
    const periodMs = exchangeIntervals.regularIntervalMs(deps.book.live(nowMs).length + 1);
    const news = deps.speeds.pool.updatesFor(gatewayId, question.known, periodMs, nowMs);
    return messageCodec.toSpeedsReply(news);
  }

  function replyTo(request: gatewayPeer.ExchangeRequest): gatewayPeer.ExchangeReply {
    const { news } = request;
    deps.applyUpdates(news);
    const nowMs = clock.nowMs();
    const heldTerm = deps.lease.heldTerm();
    const isHolder = heldTerm !== null;
    if (isHolder && news !== undefined) applyReport(request, news, nowMs);
    const current = configuration.current();
    const hasNewerConfig = current !== null && current.config.version > (news?.configVersion ?? 0);
    const knownAt = news === undefined ? storePositions.ORIGIN : messageCodec.positionOf(news);
    const hasNewerList = storePositions.isAfter(directory.position(), knownAt);
    const mayWantList = news?.wantsUpstreams === true && hasNewerList;
    const placement = isHolder
      ? deps.placer.updatesSince(news?.knownPlacementTerm ?? 0, news?.knownPlacementVersion ?? 0)
      : null;
    const loads = isHolder ? sharedLoads(nowMs) : null;
    const speeds = isHolder && news !== undefined ? speedsFor(request, news, nowMs) : undefined;
    const { quotas } = request;
    const mayLend = isHolder && news !== undefined && quotas !== undefined;
    const loan = mayLend ? deps.quotas.lend(heldTerm, news, quotas) : null;
    return {
      news: deps.localUpdates(news?.wantsGateways === true, news?.quarantineDigest ?? ''),
      config: hasNewerConfig ? Buffer.from(JSON.stringify(current.config)) : Buffer.alloc(0),
      upstreams: mayWantList ? Buffer.from(JSON.stringify(directory.listing())) : Buffer.alloc(0),
      loads: loads?.encoded ?? Buffer.alloc(0),
      loadsIncludeQuestion: loads?.isNew ?? false,
      placement: placement === null ? undefined : messageCodec.toPlacementMessage(placement, nowMs),
      quotas: loan === null ? undefined : messageCodec.toQuotaLoanMessage(loan),
      speeds,
      members: isHolder && news !== undefined ? membersFor(news, nowMs) : undefined,
    };
  }

  return { replyTo };
}
