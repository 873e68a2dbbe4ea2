/** The gateways' messages and the types that the rest of the gateway works with. */
import type { gatewayPeer } from '@copperlever/protocol';

import type * as inFlightModule from '../../shared/in-flight.js';
import type * as demandCounters from '../../shared/placing/demand-counters.js';
import type * as placementViews from '../../shared/placing/placement-view.js';

export function toDemandNews(count: demandCounters.DemandCount): gatewayPeer.DemandNews {
  return { ...count, adapter: count.adapter ?? '' };
}

export function fromDemandNews(news: gatewayPeer.DemandNews): demandCounters.DemandCount {
  return { ...news, adapter: news.adapter === '' ? null : news.adapter };
}

export function toLoadNews(loads: readonly inFlightModule.ModelLoad[]): gatewayPeer.LoadNews[] {
  return loads.map((load) => ({
    ...load,
    unreadPromptTokens: Math.round(load.unreadPromptTokens),
  }));
}

export function toPlacementNews(
  news: placementViews.PlacementNews,
  nowMs: number,
): gatewayPeer.PlacementNews {
  return {
    term: news.term,
    version: news.version,
    upstreams: [...news.upstreams].map(([upstreamId, { copies, blockedUntilMs }]) => ({
      upstreamId,
      blockedForMs: Math.max(0, Math.round(blockedUntilMs - nowMs)),
      copies: copies.map(({ model, adapters, isClosing }) => ({
        model,
        adapters: [...adapters],
        isClosing,
      })),
    })),
    arrivals: news.arrivals.map(({ service, model, readyAtMs }) => ({
      service,
      model,
      readyInMs: Math.max(0, Math.round(readyAtMs - nowMs)),
    })),
  };
}

export function fromPlacementNews(
  news: gatewayPeer.PlacementNews,
  nowMs: number,
): placementViews.PlacementNews {
  return {
    term: news.term,
    version: news.version,
    upstreams: new Map(
      news.upstreams.map(({ upstreamId, copies, blockedForMs }) => [
        upstreamId,
        { copies, blockedUntilMs: nowMs + blockedForMs },
      ]),
    ),
    arrivals: news.arrivals.map(({ service, model, readyInMs }) => ({
      service,
      model,
      readyAtMs: nowMs + readyInMs,
    })),
  };
}
