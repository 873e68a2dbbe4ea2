/**
 * Which adapters to bring to copies before anyone waits for them. Load: requests that name one of a
 * model's adapters, at a copy that has just come or whose upstream is about to load a model and takes no
 * orders for adapters meanwhile. Harm prevented: refusals for seconds for want of a load of some tens of
 * milliseconds. Only free places are filled, so nothing in use gives way to a guess.
 */
import type * as fleet from '../../types/fleet.js';

export type AdapterHolder = {
  upstreamId: string;
  models: readonly { model: string; adapters: readonly string[] }[];
  freePlaces: number;
  isBlocked: boolean;
  has: (model: string, adapter: string) => boolean;
};

export type AdapterPlanInput = {
  engine: fleet.EngineSpec;
  holders: readonly AdapterHolder[];
  /** When the adapter was last asked for anywhere; null if never. */
  lastAskedMs: (model: string, adapter: string) => number | null;
  perUpstream: number;
};

export type AdapterLoad = { upstreamId: string; model: string; adapter: string };

/** Adapters are named by their number. */
export function adapterName(index: number): string {
  return `a${index + 1}`;
}

type Wanted = AdapterLoad & { holderCount: number; askedMs: number };

/** Asked-for adapters first, the latest first; then those that fewest upstreams hold. */
function compare(left: Wanted, right: Wanted): number {
  return (
    Number(left.holderCount > 0) - Number(right.holderCount > 0) ||
    right.askedMs - left.askedMs ||
    left.holderCount - right.holderCount
  );
}

type Asked = { adapter: string; askedMs: number };

/** The first `count` of `items` in the order of `compare`, the earlier of equals first. */
function takeFirst(items: readonly Wanted[], count: number): Wanted[] {
  const taken: Wanted[] = [];
  items.forEach((item) => {
    const at = taken.findIndex((other) => compare(item, other) < 0);
    if (at >= 0) taken.splice(at, 0, item);
    else if (taken.length < count) taken.push(item);
    if (taken.length > count) taken.pop();
  });
  return taken;
}

export function planAdapters(input: AdapterPlanInput): AdapterLoad[] {
  const specs = new Map(input.engine.models.map((spec) => [spec.name, spec]));
  const holdersOf = new Map<string, AdapterHolder[]>();
  input.holders.forEach((holder) => {
    holder.models.forEach(({ model }) => {
      const known = holdersOf.get(model);
      if (known === undefined) holdersOf.set(model, [holder]);
      else known.push(holder);
    });
  });
  const holderCounts = new Map<string, number>();
  const countOf = (model: string, adapter: string): number => {
    const key = `${model}/${adapter}`;
    const known = holderCounts.get(key);
    if (known !== undefined) return known;
    // Without the model nobody holds an adapter of it.
    const holders = holdersOf.get(model) ?? [];
    const count = holders.filter((holder) => holder.has(model, adapter)).length;
    holderCounts.set(key, count);
    return count;
  };
  const askedByModel = new Map<string, readonly Asked[]>();
  const askedOf = (model: string): readonly Asked[] => {
    const known = askedByModel.get(model);
    if (known !== undefined) return known;
    const count = specs.get(model)?.adapterCount ?? 0;
    const asked = Array.from({ length: count }, (_, index) => adapterName(index)).map(
      (adapter) => ({ adapter, askedMs: input.lastAskedMs(model, adapter) ?? -Infinity }),
    );
    askedByModel.set(model, asked);
    return asked;
  };
  const loads: AdapterLoad[] = [];
  input.holders.forEach((holder) => {
    if (holder.isBlocked || holder.freePlaces <= 0) return;
    const wanted = holder.models.flatMap(({ model }): Wanted[] =>
      askedOf(model)
        .filter(({ adapter }) => !holder.has(model, adapter))
        .map(({ adapter, askedMs }) => ({
          upstreamId: holder.upstreamId,
          model,
          adapter,
          holderCount: countOf(model, adapter),
          askedMs,
        }))
        .filter(({ holderCount, askedMs }) => holderCount === 0 || askedMs > -Infinity),
    );
    const count = Math.min(input.perUpstream, holder.freePlaces);
    takeFirst(wanted, count).forEach(({ upstreamId, model, adapter }) => {
      loads.push({ upstreamId, model, adapter });
      holderCounts.set(`${model}/${adapter}`, countOf(model, adapter) + 1);
    });
  });
  return loads;
}
