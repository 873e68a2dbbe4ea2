/**
 * Finds the most valuable of many options without evaluating all of them. A plan covers hundreds of models, each of
 * which would have to be evaluated at every upstream, several times a second on the event loop that forwards requests.
 * An upper bound for the value of an option is cheap to compute; an option whose bound is below the best value found is
 * skipped. The result is the same as if every option were evaluated.
 */
export type Option<Item> = {
  item: Item;
  /** An upper bound for the value of the option. */
  boundValue: number;
};

type Evaluated<Result> = { result: Result; index: number };

/**
 * The most valuable option that `isAccepted` allows, the earliest of equals; null when none is left. `evaluate` returns
 * null for an option that is not feasible.
 */
export function pickBest<Item, Result extends { benefit: number }>(
  options: readonly Option<Item>[],
  evaluate: (item: Item) => Result | null,
  isAccepted: (found: Result) => boolean,
): Result | null {
  const queue = options
    .map(({ item, boundValue }, index) => ({ item, boundValue, index }))
    .sort((left, right) => right.boundValue - left.boundValue);
  const pending: Evaluated<Result>[] = [];
  let nextAt = 0;

  function isBetter(left: Evaluated<Result>, right: Evaluated<Result>): boolean {
    const difference = left.result.benefit - right.result.benefit;
    return difference > 0 || (difference === 0 && left.index < right.index);
  }

  function bestPending(): Evaluated<Result> | null {
    return pending.reduce<Evaluated<Result> | null>(
      (best, evaluated) => (best === null || isBetter(evaluated, best) ? evaluated : best),
      null,
    );
  }

  for (;;) {
    let best = bestPending();
    for (let next = queue[nextAt]; next !== undefined; next = queue[nextAt]) {
      if (best !== null && next.boundValue < best.result.benefit) break;
      nextAt += 1;
      const result = evaluate(next.item);
      if (result === null) continue;
      const evaluated = { result, index: next.index };
      pending.push(evaluated);
      if (best === null || isBetter(evaluated, best)) best = evaluated;
    }
    if (best === null) return null;
    if (isAccepted(best.result)) return best.result;
    pending.splice(pending.indexOf(best), 1);
  }
}
