/** Which of several equal upstreams a gateway prefers: others than most other gateways do, and always the same. */
import * as rendezvous from './rendezvous.js';

const KEPT_MAX = 10_000;
const HEX_DIGITS = 8;
const HEX_RANGE = 16 ** HEX_DIGITS;

/** From 0 to 1, evenly spread over gateways and over upstreams. */
export function preference(gatewayId: string, upstreamId: string): number {
  const digest = rendezvous.scoreOf(gatewayId, upstreamId);
  return Number.parseInt(digest.slice(0, HEX_DIGITS), 16) / HEX_RANGE;
}

/** Kept for each upstream, since every choice asks for those of all. */
export function createPreferences(gatewayId: string): (upstreamId: string) => number {
  const known = new Map<string, number>();
  return (upstreamId) => {
    const before = known.get(upstreamId);
    if (before !== undefined) return before;
    // Upstreams that have gone: a fleet of some hundred changes for weeks before this is reached.
    if (known.size >= KEPT_MAX) known.clear();
    const value = preference(gatewayId, upstreamId);
    known.set(upstreamId, value);
    return value;
  };
}
