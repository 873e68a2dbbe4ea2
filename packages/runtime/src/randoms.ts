/** Seeded pseudo-random numbers. Generators are passed as arguments, so that tests can fix the seed. */
import * as crypto from 'node:crypto';

import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus, xoroshiro128plusFromState } from 'pure-rand/generator/xoroshiro128plus';

/** The only source of randomness in daemon code. */
export type Random = {
  /** A number in [0, 1). */
  fraction: () => number;
  /** An integer in [0, limit). */
  below: (limit: number) => number;
};

const FRACTION_STEPS = 2 ** 31;
const STATE_WORDS = 4;

type Generator = ReturnType<typeof xoroshiro128plus>;

function fromGenerator(generator: Generator): Random {
  const below = (limit: number) => uniformInt(generator, 0, limit - 1);
  return { below, fraction: () => below(FRACTION_STEPS) / FRACTION_STEPS };
}

/** A generator that gives the same sequence for the same seed. */
export function createRandom(seed: number): Random {
  return fromGenerator(xoroshiro128plus(seed));
}

/**
 * A generator seeded with 128 bits from the operating system. Processes that took their seed from the clock or the
 * process id could draw the same nonces: each would then take the other's write for its own, and a claim or a patch
 * would be held twice.
 */
export function createSystemRandom(): Random {
  const state = [...crypto.getRandomValues(new Int32Array(STATE_WORDS))];
  return fromGenerator(xoroshiro128plusFromState(state));
}

/** A random item of `items`, or undefined if there are none. */
export function pick<Item>(random: Random, items: readonly Item[]): Item | undefined {
  return items.length === 0 ? undefined : items[random.below(items.length)];
}

/** Up to `count` items drawn from `items` without replacement, in random order. */
export function sample<Item>(random: Random, items: readonly Item[], count: number): Item[] {
  const remaining = [...items];
  const taken: Item[] = [];
  while (taken.length < count && remaining.length > 0) {
    taken.push(...remaining.splice(random.below(remaining.length), 1));
  }
  return taken;
}
