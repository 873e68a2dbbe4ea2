/** Seeded randomness, passed in as an argument wherever it is needed. */
import * as crypto from 'node:crypto';

import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus, xoroshiro128plusFromState } from 'pure-rand/generator/xoroshiro128plus';

/** The only source of randomness in daemon code. */
export type Random = {
  /** A number of at least 0 and below 1. */
  fraction: () => number;
  /** A whole number of at least 0 and below `limit`. */
  below: (limit: number) => number;
};

const FRACTION_STEPS = 2 ** 31;
const STATE_WORDS = 4;

type Generator = ReturnType<typeof xoroshiro128plus>;

function drawFrom(generator: Generator): Random {
  const below = (limit: number) => uniformInt(generator, 0, limit - 1);
  return { below, fraction: () => below(FRACTION_STEPS) / FRACTION_STEPS };
}

/** The same numbers for the same seed. */
export function createRandom(seed: number): Random {
  return drawFrom(xoroshiro128plus(seed));
}

/**
 * Randomness of one process. Failure: two processes take their seed from the clock or from their
 * process id, and draw the same nonces. Symptom: each takes the other's write for its own, and a claim
 * or a patch is held twice. The operating system's 128 bits are never the same twice.
 */
export function createSystemRandom(): Random {
  const state = [...crypto.getRandomValues(new Int32Array(STATE_WORDS))];
  return drawFrom(xoroshiro128plusFromState(state));
}

/** One of `items`, or undefined when there are none. */
export function pick<Item>(random: Random, items: readonly Item[]): Item | undefined {
  return items.length === 0 ? undefined : items[random.below(items.length)];
}

/** Up to `count` different items of `items`, in random order. */
export function sample<Item>(random: Random, items: readonly Item[], count: number): Item[] {
  const rest = [...items];
  const taken: Item[] = [];
  while (taken.length < count && rest.length > 0) {
    taken.push(...rest.splice(random.below(rest.length), 1));
  }
  return taken;
}
