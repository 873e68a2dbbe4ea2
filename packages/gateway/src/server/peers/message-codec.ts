/** The gateways' messages and the types that the rest of the gateway works with. */
import { gatewayPeer } from '@copperlever/protocol';

import type * as inFlightModule from '../../shared/in-flight.js';
import type * as demandCounters from '../../shared/placement/demand-counters.js';
import type * as placementViews from '../../shared/placement/placement-view.js';
import type * as speedSharing from '../../shared/speed-sharing.js';
import type * as permitLedgers from '../../shared/permit-ledger.js';
import type * as upstreamLimits from '../../shared/upstream-limits.js';
import type * as quotaCredits from '../../shared/quota-credits.js';
import type * as directories from '../../shared/upstream-directory.js';
import type * as storeContacts from '../../shared/store-contact.js';
import type * as storePositions from '../../shared/store-positions.js';
import * as peerDocuments from './peer-documents.js';

export function toDemandMessage(count: demandCounters.DemandCount): gatewayPeer.DemandNews {
  const softwareVersion = count.softwareVersion ?? undefined;
  return { ...count, adapter: count.adapter ?? '', softwareVersion };
}

export function fromDemandMessage(news: gatewayPeer.DemandNews): demandCounters.DemandCount {
  const adapter = news.adapter === '' ? null : news.adapter;
  return { ...news, adapter, softwareVersion: news.softwareVersion ?? null };
}

export function toLoadMessages(loads: readonly inFlightModule.ModelLoad[]): gatewayPeer.LoadNews[] {
  return loads.map((load) => ({
    ...load,
    unreadPromptTokens: Math.round(load.unreadPromptTokens),
  }));
}

export function toQuotaReportMessage({
  term,
  uses,
}: quotaCredits.QuotaReport): gatewayPeer.QuotaReportNews {
  return { term, uses: [...uses] };
}

export function toQuotaLoanMessage({
  term,
  grants,
  scarce,
}: quotaCredits.QuotaLoan): gatewayPeer.QuotaLoanNews {
  return { term, grants: [...grants], scarce: [...scarce] };
}

export const NO_PERMIT: gatewayPeer.TakePermitReply = { isTaken: false, retryAfterMs: 0 };

export function toPermitReply(reply: permitLedgers.PermitReply): gatewayPeer.TakePermitReply {
  const isTaken = reply.kind === 'taken';
  return { isTaken, retryAfterMs: isTaken ? 0 : Math.round(reply.retryAfterMs) };
}

export function fromPermitReply(reply: gatewayPeer.TakePermitReply): permitLedgers.PermitReply {
  const { isTaken, retryAfterMs } = reply;
  return isTaken ? { kind: 'taken' } : { kind: 'denied', retryAfterMs };
}

export function toLimitMessage(limit: upstreamLimits.ReportedLimit): gatewayPeer.LimitNews {
  const { upstreamId, perSecond, ageMs } = limit;
  const hasEnded = perSecond === null;
  return { upstreamId, perSecond: perSecond ?? 0, hasEnded, ageMs: Math.round(ageMs) };
}

export function fromLimitMessage(news: gatewayPeer.LimitNews): upstreamLimits.ReportedLimit {
  const { upstreamId, perSecond, hasEnded, ageMs } = news;
  return { upstreamId, perSecond: hasEnded ? null : perSecond, ageMs };
}

const PERMILLE = 1_000;
const PERCENT = 100;

function toSpeed({
  upstreamId,
  learned: learnt,
  slowdown: moment,
}: speedSharing.ReportedSpeed): gatewayPeer.SpeedNews {
  return {
    upstreamId,
    slownessLogPermille: Math.round((learnt?.latencyRatioLog ?? 0) * PERMILLE),
    answerCount: learnt === null ? 0 : Math.max(1, Math.round(learnt.answerCount)),
    momentPercent: Math.round((moment?.factor ?? 0) * PERCENT),
    momentAgeMs: Math.max(0, Math.round(moment?.ageMs ?? 0)),
  };
}

function fromSpeed(news: gatewayPeer.SpeedNews): speedSharing.ReportedSpeed {
  const { upstreamId, slownessLogPermille, answerCount, momentPercent, momentAgeMs } = news;
  const slownessLog = slownessLogPermille / PERMILLE;
  return {
    upstreamId,
    learned: answerCount === 0 ? null : { latencyRatioLog: slownessLog, answerCount },
    slowdown: momentPercent === 0 ? null : { factor: momentPercent / PERCENT, ageMs: momentAgeMs },
  };
}

export function toSpeedsQuestion(question: speedSharing.SpeedRequest): gatewayPeer.SpeedsQuestion {
  return {
    speeds: question.speeds.map(toSpeed),
    knownIncarnation: question.known.incarnation,
    knownVersion: question.known.version,
  };
}

export function fromSpeedsQuestion(news: gatewayPeer.SpeedsQuestion): speedSharing.SpeedRequest {
  return {
    speeds: news.speeds.map(fromSpeed),
    known: { incarnation: news.knownIncarnation, version: news.knownVersion },
  };
}

export function toSpeedsReply(news: speedSharing.SpeedUpdates): gatewayPeer.SpeedsReply {
  const { incarnation, version } = news;
  return { speeds: news.speeds.map(toSpeed), incarnation, version };
}

export function fromSpeedsReply(news: gatewayPeer.SpeedsReply): speedSharing.SpeedUpdates {
  const { incarnation, version } = news;
  return { speeds: news.speeds.map(fromSpeed), incarnation, version };
}

/** Numbers for each model and priority in a table of loads. */
const CELL_SIZE = 4;

export function toLoadTable(loads: readonly inFlightModule.ModelLoad[]): Buffer {
  const indexes = new Map<string, number>();
  const cells = new Map<string, number[]>();
  loads.forEach(({ upstreamId, model, priority, inFlightCount, unreadPromptTokens }) => {
    const index = indexes.get(model) ?? indexes.size;
    indexes.set(model, index);
    const cell = [index, priority, inFlightCount, Math.max(0, Math.round(unreadPromptTokens))];
    const known = cells.get(upstreamId);
    if (known === undefined) cells.set(upstreamId, cell);
    else known.push(...cell);
  });
  const table = {
    models: [...indexes.keys()],
    upstreams: [...cells].map(([upstreamId, numbers]) => ({ upstreamId, cells: numbers })),
  };
  return Buffer.from(gatewayPeer.LoadTable.encode(table).finish());
}

export function fromLoadTable(encoded: Uint8Array): inFlightModule.ModelLoad[] {
  const table = gatewayPeer.LoadTable.decode(encoded);
  return table.upstreams.flatMap(({ upstreamId, cells }) =>
    Array.from({ length: Math.floor(cells.length / CELL_SIZE) }, (_, at) => {
      const [index = 0, priority = 0, inFlightCount = 0, unreadPromptTokens = 0] = cells.slice(
        at * CELL_SIZE,
        (at + 1) * CELL_SIZE,
      );
      const model = table.models[index] ?? '';
      return { upstreamId, model, priority, inFlightCount, unreadPromptTokens };
    }),
  );
}

function toArrivalMessage(
  arrival: placementViews.LoadingCopy | null,
  nowMs: number,
): gatewayPeer.ArrivalNews | undefined {
  if (arrival === null) return undefined;
  const { service, model, readyAtMs } = arrival;
  return { service, model, readyInMs: Math.max(0, Math.round(readyAtMs - nowMs)) };
}

function fromArrivalMessage(
  news: gatewayPeer.ArrivalNews | undefined,
  nowMs: number,
): placementViews.LoadingCopy | null {
  if (news === undefined) return null;
  return { service: news.service, model: news.model, readyAtMs: nowMs + news.readyInMs };
}

export function toPlacementMessage(
  news: placementViews.PlacementUpdate,
  nowMs: number,
): gatewayPeer.PlacementNews {
  return {
    term: news.term,
    version: news.version,
    isWhole: news.isWhole,
    removedUpstreamIds: [...news.removedIds],
    upstreams: [...news.upstreams].map(([upstreamId, { copies, blockedUntilMs, arrival }]) => ({
      upstreamId,
      blockedForMs: Math.max(0, Math.round(blockedUntilMs - nowMs)),
      arrival: toArrivalMessage(arrival, nowMs),
      copies: copies.map(({ model, adapters, isClosing }) => ({
        model,
        adapters: [...adapters],
        isClosing,
      })),
    })),
  };
}

export function fromPlacementMessage(
  news: gatewayPeer.PlacementNews,
  nowMs: number,
): placementViews.PlacementUpdate {
  return {
    term: news.term,
    version: news.version,
    isWhole: news.isWhole,
    removedIds: news.removedUpstreamIds,
    upstreams: new Map(
      news.upstreams.map(({ upstreamId, copies, blockedForMs, arrival }) => [
        upstreamId,
        {
          copies,
          blockedUntilMs: nowMs + blockedForMs,
          arrival: fromArrivalMessage(arrival, nowMs),
        },
      ]),
    ),
  };
}

/** Where the store stood with the sender's list of upstreams. */
export function positionOf({
  storeEra,
  upstreamsRevision,
}: gatewayPeer.GatewayNews): storePositions.Position {
  return { era: storeEra, revision: upstreamsRevision };
}

export function toContactMessage(
  span: storeContacts.ContactSpan | null,
  nowMs: number,
): gatewayPeer.StoreContactNews | undefined {
  if (span === null) return undefined;
  const ageMs = Math.max(0, Math.round(nowMs - span.toMs));
  return { ageMs, lengthMs: Math.round(span.toMs - span.fromMs) };
}

export function fromContactMessage(
  news: gatewayPeer.StoreContactNews | undefined,
  nowMs: number,
): storeContacts.ContactSpan | null {
  if (news === undefined) return null;
  const toMs = nowMs - news.ageMs;
  return { fromMs: toMs - news.lengthMs, toMs };
}

export function toMembersMessage(
  members: directories.MemberChanges,
  incarnation: number,
): gatewayPeer.MembersNews {
  const { version, era, revision, isWhole, written, removed, digest } = members;
  return {
    incarnation,
    version,
    storeEra: era,
    revision,
    isWhole,
    digest,
    written: written.length === 0 ? Buffer.alloc(0) : Buffer.from(JSON.stringify(written)),
    removed: removed.map(({ name, era: storeEra, revision: at }) => ({
      name,
      storeEra,
      revision: at,
    })),
  };
}

export function fromMembersMessage(news: gatewayPeer.MembersNews): directories.MemberChanges {
  const { version, storeEra, revision, isWhole, digest } = news;
  const written = news.written.length === 0 ? [] : peerDocuments.decodeRecords(news.written);
  const removed = news.removed.map((gone) => ({
    name: gone.name,
    era: gone.storeEra,
    revision: gone.revision,
  }));
  return { version, era: storeEra, revision, isWhole, written, removed, digest };
}
