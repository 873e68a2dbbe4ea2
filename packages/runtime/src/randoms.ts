/** Seeded randomness, passed in as an argument wherever it is needed. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** The only source of randomness in daemon code. */
export type Random = {
  /** A number of at least 0 and below 1. */
  fraction: () => number;
  /** A whole number of at least 0 and below `limit`. */
  below: (limit: number) => number;
};

const FRACTION_STEPS = 2 ** 31;

export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const below = (limit: number) => uniformInt(generator, 0, limit - 1);
  return { below, fraction: () => below(FRACTION_STEPS) / FRACTION_STEPS };
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
