/**
 * The costs of a change at each upstream: which copies could be evicted there, and what else the upstream is needed
 * for.
 */
import type * as fleet from '../../types/fleet.js';
import * as copyNeeds from './copy-needs.js';
import type * as stagedCopies from './staged-copies.js';
import type * as stagedIndexes from './staged-index.js';

export type EvictableCopy = {
  copy: copyNeeds.CopyView;
  sizeMb: number;
  /** How long its unload waits for running requests. */
  drainMs: number;
  /** Cost of evicting the copy, in requests, for a load from staged weights and for one from the store. */
  stagedLoadCost: number;
  storeLoadCost: number;
};

export type Candidate = {
  upstream: copyNeeds.UpstreamView;
  /** Capacity of a copy there, relative to an average upstream. */
  capacity: number;
  residentMb: number;
  loadingCostPerSecond: number;
  /**
   * This is the only upstream with a copy of some model that accepts adapter loads, since the model's other copies are
   * at upstreams that are busy with changes. A load from the store there would cause requests for further adapters of
   * the model to be refused for seconds.
   */
  isLastAcceptingAdapters: boolean;
  requestsPerSecond: number;
  /** Value that is lost on its disk by a load from the store. */
  diskEvictionCost: number;
  evictableCopies: readonly EvictableCopy[];
};

export type CandidateInputs = {
  input: copyNeeds.PlanInput;
  index: stagedIndexes.StagedIndex;
  needs: ReadonlyMap<string, copyNeeds.Need>;
  copies: ReadonlyMap<string, copyNeeds.Copies>;
  capacities: ReadonlyMap<string, number>;
  staged: stagedCopies.StagedCopies;
  specs: ReadonlyMap<string, fleet.ModelSpec>;
  /** Memory for weights; also used as the size of a model whose size is not known. */
  roomMb: number;
};

export type CandidateBuilder = {
  toCandidate: (upstream: copyNeeds.UpstreamView) => Candidate;
  /** Adapters for its copies are still being loaded. */
  awaitsAdapters: (upstream: copyNeeds.UpstreamView) => boolean;
};

/** Time over which a change has to pay off: about the time between two shifts of demand. */
export const HORIZON_S = 15;
/** A request that is cut off or has to wait for the unload costs more than one that finds another copy. */
const DISTURBED_COST = 0.3;
/** Part of the requests for a model with adapters that need an adapter which is not loaded. */
const MISSING_ADAPTER_SHARE = 0.25;
/**
 * An upstream that loads a model accepts no adapter loads. Within this time a new copy gets the adapters that are
 * requested; a change at once would delay them for three seconds, which affects a third of the requests.
 */
const ADAPTER_SETTLE_MS = 800;
/** A copy that was loaded for a caller that retries must still be there for the retry. */
const MIN_RESIDENCY_MS = 4_000;

/** The upstream as it will be when its current change has ended. */
export function afterChange(
  upstream: copyNeeds.UpstreamView,
  nowMs: number,
): copyNeeds.UpstreamView {
  const kept = upstream.copies.filter((copy) => !copy.isClosing);
  const { loadingModel } = upstream;
  const isListed = loadingModel === null || kept.some(({ model }) => model === loadingModel);
  const loaded = isListed
    ? []
    : [{ model: loadingModel, inFlightCount: 0, isClosing: false, readyAtMs: nowMs }];
  return { ...upstream, isChanging: false, copies: [...kept, ...loaded] };
}

/** For each model, the number of upstreams with a copy that accept adapter loads. */
function countAcceptingAdapters(upstreams: readonly copyNeeds.UpstreamView[]): Map<string, number> {
  const counts = new Map<string, number>();
  upstreams
    .filter(({ isChanging }) => !isChanging)
    .flatMap(({ copies }) => copies.filter(({ isClosing }) => !isClosing))
    .forEach(({ model }) => counts.set(model, (counts.get(model) ?? 0) + 1));
  return counts;
}

/** For each upstream, the number of models without a copy that are staged only there. */
function countOnlyStagedHere(
  engine: fleet.EngineSpec,
  index: stagedIndexes.StagedIndex,
  copies: ReadonlyMap<string, copyNeeds.Copies>,
): Map<string, number> {
  const counts = new Map<string, number>();
  engine.models.forEach(({ name }) => {
    if (copies.has(name)) return;
    const [only, ...others] = index.usable(name);
    if (only === undefined || others.length > 0) return;
    counts.set(only.upstreamId, (counts.get(only.upstreamId) ?? 0) + 1);
  });
  return counts;
}

export function createCandidateBuilder(deps: CandidateInputs): CandidateBuilder {
  const { input, index, needs, copies, capacities, staged, specs, roomMb } = deps;
  const { nowMs } = input;
  const acceptingAdapters = countAcceptingAdapters(input.upstreams);
  const onlyStagedHere = countOnlyStagedHere(input.engine, index, copies);
  const sizeOf = (model: string): number => specs.get(model)?.sizeMb ?? roomMb;

  function capacityAt({ upstreamId }: copyNeeds.UpstreamView): number {
    return capacities.get(upstreamId) ?? 1;
  }

  /** Requests per second for the copy of the model there, in proportion to the capacities of its copies. */
  function requestsPerSecondAt(model: string, upstream: copyNeeds.UpstreamView): number {
    const expected = needs.get(model)?.expected ?? 0;
    const known = copies.get(model);
    return known === undefined ? expected : (expected * capacityAt(upstream)) / known.capacity;
  }

  function evictionCost(
    upstream: copyNeeds.UpstreamView,
    copy: copyNeeds.CopyView,
    level: copyNeeds.StorageLevel,
  ): number {
    const need = needs.get(copy.model) ?? copyNeeds.NO_NEED;
    const spec = specs.get(copy.model);
    const exceptId = level === 'store' ? upstream.upstreamId : null;
    const lastCopyValue =
      spec === undefined ? 0 : copyNeeds.valueOfLastCopy(input, index, spec, exceptId);
    const capacity = capacityAt(upstream);
    const others = copyNeeds.withoutCopy(copies.get(copy.model) ?? copyNeeds.NO_COPIES, capacity);
    const lostValue = copyNeeds.marginalValue({ ...need, lastCopyValue }, others, capacity);
    return lostValue * HORIZON_S + copy.inFlightCount * DISTURBED_COST;
  }

  /** Requests per second at the upstream's copies for models with adapters. */
  function adapterRate(
    upstream: copyNeeds.UpstreamView,
    copiesThere: readonly copyNeeds.CopyView[],
  ): number {
    return copiesThere
      .filter(({ model }) => (specs.get(model)?.adapterCount ?? 0) > 0)
      .reduce((sum, { model }) => sum + requestsPerSecondAt(model, upstream), 0);
  }

  /**
   * Cost of each second that the upstream is loading: meanwhile it accepts no adapters for its other models, and it
   * cannot load the models that are staged only there, one of which may be requested next.
   */
  function loadingCostPerSecond(upstream: copyNeeds.UpstreamView): number {
    if (!input.hasDemand) return 0;
    const onlyStagedCount = onlyStagedHere.get(upstream.upstreamId) ?? 0;
    return (
      MISSING_ADAPTER_SHARE * adapterRate(upstream, upstream.copies) +
      copyNeeds.LAST_COPY_VALUE * onlyStagedCount
    );
  }

  function isLastAcceptingAdapters(upstream: copyNeeds.UpstreamView): boolean {
    return upstream.copies.some(({ model, isClosing }) => {
      const hasAdapters = (specs.get(model)?.adapterCount ?? 0) > 0;
      const hasSeveralCopies = (copies.get(model)?.count ?? 0) > 1;
      return !isClosing && hasAdapters && hasSeveralCopies && acceptingAdapters.get(model) === 1;
    });
  }

  function toEvictableCopy(
    upstream: copyNeeds.UpstreamView,
    copy: copyNeeds.CopyView,
  ): EvictableCopy {
    return {
      copy,
      sizeMb: sizeOf(copy.model),
      drainMs: copy.inFlightCount > 0 ? input.holdMs(copy.model) : 0,
      stagedLoadCost: evictionCost(upstream, copy, 'disk'),
      storeLoadCost: evictionCost(upstream, copy, 'store'),
    };
  }

  return {
    toCandidate: (upstream) => ({
      upstream,
      capacity: capacityAt(upstream),
      residentMb: upstream.copies.reduce((sumMb, { model }) => sumMb + sizeOf(model), 0),
      loadingCostPerSecond: loadingCostPerSecond(upstream),
      isLastAcceptingAdapters: isLastAcceptingAdapters(upstream),
      requestsPerSecond: upstream.copies.reduce(
        (sum, { model }) => sum + requestsPerSecondAt(model, upstream),
        0,
      ),
      diskEvictionCost: staged.evictionCost(upstream),
      evictableCopies: upstream.copies
        .filter((copy) => !copy.isClosing && nowMs - copy.readyAtMs >= MIN_RESIDENCY_MS)
        .map((copy) => toEvictableCopy(upstream, copy)),
    }),
    awaitsAdapters: (upstream) => {
      // Before the first request there is time to wait: if the adapters are loaded first, no request for them is
      // refused during the change.
      if (!input.hasDemand && upstream.isLoadingAdapters) return true;
      const recent = upstream.copies.filter(
        ({ readyAtMs }) => nowMs - readyAtMs < ADAPTER_SETTLE_MS,
      );
      return adapterRate(upstream, recent) > 0;
    },
  };
}
