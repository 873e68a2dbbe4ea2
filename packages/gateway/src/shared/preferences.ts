/**
 * Determines which of several equal upstreams a gateway prefers: different ones than most other gateways, and always
 * the same ones.
 */
import * as rendezvous from './rendezvous.js';

const MAX_CACHED = 10_000;
const HEX_DIGITS = 8;
const HEX_RANGE = 16 ** HEX_DIGITS;

/** From 0 to 1, evenly distributed over gateways and over upstreams. */
export function preference(gatewayId: string, upstreamId: string): number {
  const digest = rendezvous.scoreOf(gatewayId, upstreamId);
  return Number.parseInt(digest.slice(0, HEX_DIGITS), 16) / HEX_RANGE;
}

/** Caches the preference for each upstream, since every choice reads those of all upstreams. */
export function createPreferences(gatewayId: string): (upstreamId: string) => number {
  const cache = new Map<string, number>();
  return (upstreamId) => {
    const cached = cache.get(upstreamId);
    if (cached !== undefined) return cached;
    // The cache also holds upstreams that are gone: a fleet of some hundred changes for weeks before this limit is
    // reached.
    if (cache.size >= MAX_CACHED) cache.clear();
    const value = preference(gatewayId, upstreamId);
    cache.set(upstreamId, value);
    return value;
  };
}
