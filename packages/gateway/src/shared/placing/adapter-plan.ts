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

export function planAdapters(input: AdapterPlanInput): AdapterLoad[] {
  const specs = new Map(input.engine.models.map((spec) => [spec.name, spec]));
  const holderCounts = new Map<string, number>();
  const countOf = (model: string, adapter: string): number => {
    const key = `${model}/${adapter}`;
    const known = holderCounts.get(key);
    if (known !== undefined) return known;
    const count = input.holders.filter((holder) => holder.has(model, adapter)).length;
    holderCounts.set(key, count);
    return count;
  };
  const loads: AdapterLoad[] = [];
  input.holders.forEach((holder) => {
    if (holder.isBlocked || holder.freePlaces <= 0) return;
    const wanted = holder.models.flatMap(({ model }): Wanted[] => {
      const count = specs.get(model)?.adapterCount ?? 0;
      return Array.from({ length: count }, (_, index) => adapterName(index))
        .filter((adapter) => !holder.has(model, adapter))
        .map((adapter) => ({
          upstreamId: holder.upstreamId,
          model,
          adapter,
          holderCount: countOf(model, adapter),
          askedMs: input.lastAskedMs(model, adapter) ?? -Infinity,
        }))
        .filter(({ holderCount, askedMs }) => holderCount === 0 || askedMs > -Infinity);
    });
    const taken = wanted.sort(compare).slice(0, Math.min(input.perUpstream, holder.freePlaces));
    taken.forEach(({ upstreamId, model, adapter }) => {
      loads.push({ upstreamId, model, adapter });
      holderCounts.set(`${model}/${adapter}`, countOf(model, adapter) + 1);
    });
  });
  return loads;
}
