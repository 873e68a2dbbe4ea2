/**
 * Finds the most valuable of many options without working all of them out. Load: a plan over hundreds of models, each
 * to be weighed at every upstream, several times a second on the loop that forwards requests. What an option is worth
 * at most is cheap to tell; those that cannot be the best are not looked at. The result is that of looking at all.
 */
export type Option<Item> = {
  item: Item;
  /** No less than what the option turns out to be worth. */
  boundValue: number;
};

type Weighed<Found> = { found: Found; index: number };

/**
 * The option of the largest value that `isAccepted` allows, the earliest of equals; null when none is left.
 * `weigh` returns null for an option that cannot be taken.
 */
export function pickBest<Item, Found extends { benefit: number }>(
  options: readonly Option<Item>[],
  weigh: (item: Item) => Found | null,
  isAccepted: (found: Found) => boolean,
): Found | null {
  const queue = options
    .map(({ item, boundValue }, index) => ({ item, boundValue, index }))
    .sort((left, right) => right.boundValue - left.boundValue);
  const open: Weighed<Found>[] = [];
  let nextAt = 0;

  function isBetter(left: Weighed<Found>, right: Weighed<Found>): boolean {
    const difference = left.found.benefit - right.found.benefit;
    return difference > 0 || (difference === 0 && left.index < right.index);
  }

  function bestOpen(): Weighed<Found> | null {
    return open.reduce<Weighed<Found> | null>(
      (best, weighed) => (best === null || isBetter(weighed, best) ? weighed : best),
      null,
    );
  }

  for (;;) {
    let best = bestOpen();
    for (let next = queue[nextAt]; next !== undefined; next = queue[nextAt]) {
      if (best !== null && next.boundValue < best.found.benefit) break;
      nextAt += 1;
      const found = weigh(next.item);
      if (found === null) continue;
      const weighed = { found, index: next.index };
      open.push(weighed);
      if (best === null || isBetter(weighed, best)) best = weighed;
    }
    if (best === null) return null;
    if (isAccepted(best.found)) return best.found;
    open.splice(open.indexOf(best), 1);
  }
}
