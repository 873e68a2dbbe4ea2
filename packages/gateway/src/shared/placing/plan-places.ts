/** What a change at an upstream would cost: the copies that may make way there, and what else the upstream does. */
import type * as fleet from '../../types/fleet.js';
import * as copyNeeds from './copy-needs.js';
import type * as nearCopies from './near-copies.js';
import type * as nearIndexes from './near-index.js';

export type Victim = {
  copy: copyNeeds.CopyView;
  sizeMb: number;
  /** How long its unload waits for what runs. */
  drainMs: number;
  /** What is lost with it when it makes way for a load from near, and for one from the store, in requests. */
  nearLoss: number;
  storeLoss: number;
};

export type Place = {
  upstream: copyNeeds.UpstreamView;
  /** What a copy counts for there. */
  capacity: number;
  residentMb: number;
  blockedPerSecond: number;
  /**
   * It is the only one that takes adapters for a model of several copies: the others are busy with changes. A load from
   * the store there would have all requests for adapters of the model refused for seconds.
   */
  isLastForAdapters: boolean;
  hotShare: number;
  /** What its disk loses by a load from the store. */
  evictionLoss: number;
  victims: readonly Victim[];
};

export type PlaceInput = {
  input: copyNeeds.PlanInput;
  index: nearIndexes.NearIndex;
  needs: ReadonlyMap<string, copyNeeds.Need>;
  copies: ReadonlyMap<string, copyNeeds.Copies>;
  capacities: ReadonlyMap<string, number>;
  near: nearCopies.NearCopies;
  specs: ReadonlyMap<string, fleet.ModelSpec>;
  /** Room for weights: it stands for a model whose size nobody knows. */
  roomMb: number;
};

export type Places = {
  toPlace: (upstream: copyNeeds.UpstreamView) => Place;
  /** Adapters for its copies are on their way. */
  isSettling: (upstream: copyNeeds.UpstreamView) => boolean;
};

/** What a plan has to pay off in: about the time between two moves of demand. */
export const HORIZON_S = 15;
/** A request that is cut short or waits for the unload costs more than one that finds another copy. */
const DISTURBED_COST = 0.3;
/** Requests for a model with adapters that need one which is not there. */
const BLOCKED_SHARE = 0.25;
/**
 * An upstream that loads a model takes no orders for adapters. A copy that has just come gets those that are
 * asked for within this time; a change at once kept them away for three seconds, at a third of its requests.
 */
const ADAPTER_SETTLE_MS = 800;
/** A copy that was brought for a caller who comes back must still be there then. */
const LEAST_STAY_MS = 4_000;

/** An upstream as it will be once its change has ended. */
export function afterChange(
  upstream: copyNeeds.UpstreamView,
  nowMs: number,
): copyNeeds.UpstreamView {
  const kept = upstream.copies.filter((copy) => !copy.isClosing);
  const { arriving } = upstream;
  const isListed = arriving === null || kept.some(({ model }) => model === arriving);
  const come = isListed
    ? []
    : [{ model: arriving, inFlightCount: 0, isClosing: false, readyAtMs: nowMs }];
  return { ...upstream, isChanging: false, copies: [...kept, ...come] };
}

/** How many upstreams take adapters for each model. */
function countAdapterTakers(upstreams: readonly copyNeeds.UpstreamView[]): Map<string, number> {
  const takers = new Map<string, number>();
  upstreams
    .filter(({ isChanging }) => !isChanging)
    .flatMap(({ copies }) => copies.filter(({ isClosing }) => !isClosing))
    .forEach(({ model }) => takers.set(model, (takers.get(model) ?? 0) + 1));
  return takers;
}

/** Upstreams by the one model without a copy that only they have near, counted. */
function countNearOnly(
  engine: fleet.EngineSpec,
  index: nearIndexes.NearIndex,
  copies: ReadonlyMap<string, copyNeeds.Copies>,
): Map<string, number> {
  const nearOnly = new Map<string, number>();
  engine.models.forEach(({ name }) => {
    if (copies.has(name)) return;
    const [only, ...others] = index.usable(name);
    if (only === undefined || others.length > 0) return;
    nearOnly.set(only.upstreamId, (nearOnly.get(only.upstreamId) ?? 0) + 1);
  });
  return nearOnly;
}

export function createPlaces(deps: PlaceInput): Places {
  const { input, index, needs, copies, capacities, near, specs, roomMb } = deps;
  const { nowMs } = input;
  const adapterTakers = countAdapterTakers(input.upstreams);
  const nearOnly = countNearOnly(input.engine, index, copies);
  const sizeOf = (model: string): number => specs.get(model)?.sizeMb ?? roomMb;

  function capacityAt({ upstreamId }: copyNeeds.UpstreamView): number {
    return capacities.get(upstreamId) ?? 1;
  }

  /** Requests a second that the copy of the model there gets: its part by what the copies carry. */
  function perCopy(model: string, upstream: copyNeeds.UpstreamView): number {
    const expected = needs.get(model)?.expected ?? 0;
    const known = copies.get(model);
    return known === undefined ? expected : (expected * capacityAt(upstream)) / known.capacity;
  }

  function lossOf(
    upstream: copyNeeds.UpstreamView,
    copy: copyNeeds.CopyView,
    level: copyNeeds.LoadLevel,
  ): number {
    const need = needs.get(copy.model) ?? copyNeeds.NO_NEED;
    const spec = specs.get(copy.model);
    const exceptId = level === 'store' ? upstream.upstreamId : null;
    const lastWeight =
      spec === undefined ? 0 : copyNeeds.lastCopyWeight(input, index, spec, exceptId);
    const capacity = capacityAt(upstream);
    const others = copyNeeds.withoutCopy(copies.get(copy.model) ?? copyNeeds.NO_COPIES, capacity);
    const loss = copyNeeds.marginal({ ...need, lastWeight }, others, capacity);
    return loss * HORIZON_S + copy.inFlightCount * DISTURBED_COST;
  }

  /** Requests a second for models with adapters that the upstream's copies get. */
  function adapterRate(
    upstream: copyNeeds.UpstreamView,
    those: readonly copyNeeds.CopyView[],
  ): number {
    return those
      .filter(({ model }) => (specs.get(model)?.adapterCount ?? 0) > 0)
      .reduce((sum, { model }) => sum + perCopy(model, upstream), 0);
  }

  /**
   * What an upstream loses for each second that it loads: it takes no adapters for its other models
   * meanwhile, nor brings what only it has near, should that be the next to be asked for.
   */
  function blockedPerSecond(upstream: copyNeeds.UpstreamView): number {
    if (!input.hasDemand) return 0;
    const nearOnlyHere = nearOnly.get(upstream.upstreamId) ?? 0;
    return (
      BLOCKED_SHARE * adapterRate(upstream, upstream.copies) +
      copyNeeds.LAST_COPY_WEIGHT * nearOnlyHere
    );
  }

  function isLastForAdapters(upstream: copyNeeds.UpstreamView): boolean {
    return upstream.copies.some(({ model, isClosing }) => {
      const hasAdapters = (specs.get(model)?.adapterCount ?? 0) > 0;
      const isSpread = (copies.get(model)?.count ?? 0) > 1;
      return !isClosing && hasAdapters && isSpread && adapterTakers.get(model) === 1;
    });
  }

  function toVictim(upstream: copyNeeds.UpstreamView, copy: copyNeeds.CopyView): Victim {
    return {
      copy,
      sizeMb: sizeOf(copy.model),
      drainMs: copy.inFlightCount > 0 ? input.holdMs(copy.model) : 0,
      nearLoss: lossOf(upstream, copy, 'disk'),
      storeLoss: lossOf(upstream, copy, 'store'),
    };
  }

  return {
    toPlace: (upstream) => ({
      upstream,
      capacity: capacityAt(upstream),
      residentMb: upstream.copies.reduce((sumMb, { model }) => sumMb + sizeOf(model), 0),
      blockedPerSecond: blockedPerSecond(upstream),
      isLastForAdapters: isLastForAdapters(upstream),
      hotShare: upstream.copies.reduce((sum, { model }) => sum + perCopy(model, upstream), 0),
      evictionLoss: near.evictionLoss(upstream),
      victims: upstream.copies
        .filter((copy) => !copy.isClosing && nowMs - copy.readyAtMs >= LEAST_STAY_MS)
        .map((copy) => toVictim(upstream, copy)),
    }),
    isSettling: (upstream) => {
      // Before demand there is time: what starts with adapters in place refuses nobody while it loads.
      if (!input.hasDemand && upstream.isLoadingAdapters) return true;
      const young = upstream.copies.filter(
        ({ readyAtMs }) => nowMs - readyAtMs < ADAPTER_SETTLE_MS,
      );
      return adapterRate(upstream, young) > 0;
    },
  };
}
