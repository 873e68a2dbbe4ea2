/**
 * Which of several equal upstreams a gateway prefers: others than most other gateways do, and always the same. The
 * runtime's hashes are loaded asynchronously, which the bundled program cannot wait for at its first line.
 */
import { randoms } from '@copperlever/runtime';

/** A Lehmer generator: ids that differ in their last digit only get seeds far apart. */
const MULTIPLIER = 48_271;
const MODULUS = 2 ** 31 - 1;
/** The first draws of the runtime's generator are alike for all seeds. */
const SKIPPED = 20;
const KEPT_MAX = 10_000;

/** From 0 to 1, evenly spread over gateways and over upstreams. */
export function preference(gatewayId: string, upstreamId: string): number {
  let seed = 1;
  for (const letter of `${gatewayId} ${upstreamId}`) {
    seed = ((seed + (letter.codePointAt(0) ?? 0)) * MULTIPLIER) % MODULUS;
  }
  const random = randoms.createRandom(seed);
  for (let count = 0; count < SKIPPED; count += 1) random.fraction();
  return random.fraction();
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
