/**
 * Plans which adapters to load beside the resident copies before a request asks for them. While an upstream loads a
 * model it accepts no adapter loads, so a request for a missing adapter would be refused for seconds, although the
 * adapter itself loads in tens of milliseconds. Only free slots are filled: no adapter in use is evicted for a
 * speculative one.
 */
import type * as fleet from '../../types/fleet.js';

export type AdapterUpstream = {
  upstreamId: string;
  models: readonly { model: string; adapters: readonly string[] }[];
  freeSlots: number;
  isBlocked: boolean;
  has: (model: string, adapter: string) => boolean;
};

export type AdapterPlanInput = {
  engine: fleet.EngineSpec;
  upstreams: readonly AdapterUpstream[];
  /** When any gateway last received a request for the adapter; null if never. */
  lastRequestedMs: (model: string, adapter: string) => number | null;
  maxPerUpstream: number;
};

export type AdapterLoad = { upstreamId: string; model: string; adapter: string };

/** Adapters are named by their number. */
export function adapterName(index: number): string {
  return `a${index + 1}`;
}

type LoadOption = AdapterLoad & { upstreamCount: number; requestedMs: number };

/** Adapters that no upstream has come first, then the most recently requested, then those on the fewest upstreams. */
function compare(left: LoadOption, right: LoadOption): number {
  return (
    Number(left.upstreamCount > 0) - Number(right.upstreamCount > 0) ||
    right.requestedMs - left.requestedMs ||
    left.upstreamCount - right.upstreamCount
  );
}

type RequestedAdapter = { adapter: string; requestedMs: number };

/** The first `count` of `items` in the order of `compare`; of equal items the earlier one comes first. */
function takeFirst(items: readonly LoadOption[], count: number): LoadOption[] {
  const taken: LoadOption[] = [];
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
  const upstreamsByModel = new Map<string, AdapterUpstream[]>();
  input.upstreams.forEach((upstream) => {
    upstream.models.forEach(({ model }) => {
      const known = upstreamsByModel.get(model);
      if (known === undefined) upstreamsByModel.set(model, [upstream]);
      else known.push(upstream);
    });
  });
  const upstreamCounts = new Map<string, number>();
  const countOf = (model: string, adapter: string): number => {
    const key = `${model}/${adapter}`;
    const known = upstreamCounts.get(key);
    if (known !== undefined) return known;
    // Only upstreams with a copy of the model can have its adapters.
    const upstreams = upstreamsByModel.get(model) ?? [];
    const count = upstreams.filter((upstream) => upstream.has(model, adapter)).length;
    upstreamCounts.set(key, count);
    return count;
  };
  const requestedByModel = new Map<string, readonly RequestedAdapter[]>();
  const requestedOf = (model: string): readonly RequestedAdapter[] => {
    const known = requestedByModel.get(model);
    if (known !== undefined) return known;
    const count = specs.get(model)?.adapterCount ?? 0;
    const requested = Array.from({ length: count }, (_, index) => adapterName(index)).map(
      (adapter) => ({ adapter, requestedMs: input.lastRequestedMs(model, adapter) ?? -Infinity }),
    );
    requestedByModel.set(model, requested);
    return requested;
  };
  const loads: AdapterLoad[] = [];
  input.upstreams.forEach((upstream) => {
    if (upstream.isBlocked || upstream.freeSlots <= 0) return;
    const options = upstream.models.flatMap(({ model }): LoadOption[] =>
      requestedOf(model)
        .filter(({ adapter }) => !upstream.has(model, adapter))
        .map(({ adapter, requestedMs }) => ({
          upstreamId: upstream.upstreamId,
          model,
          adapter,
          upstreamCount: countOf(model, adapter),
          requestedMs,
        }))
        .filter(({ upstreamCount, requestedMs }) => upstreamCount === 0 || requestedMs > -Infinity),
    );
    const count = Math.min(input.maxPerUpstream, upstream.freeSlots);
    takeFirst(options, count).forEach(({ upstreamId, model, adapter }) => {
      loads.push({ upstreamId, model, adapter });
      upstreamCounts.set(`${model}/${adapter}`, countOf(model, adapter) + 1);
    });
  });
  return loads;
}
