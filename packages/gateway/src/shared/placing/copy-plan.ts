/**
 * Which copy to bring next, where, and which one gives way. Load: a few models take most requests and
 * change within seconds; many others are asked for now and then; there are fewer places than models.
 * Harm prevented: a hot model behind one copy, a model that nobody can reach, and churn that costs the
 * weight store and every request that meets a copy on its way out.
 */
import type * as fleet from '../../types/fleet.js';
import * as bestFirst from './best-first.js';
import * as copyNeeds from './copy-needs.js';
import * as nearCopies from './near-copies.js';
import * as nearIndexes from './near-index.js';
import * as planPlaces from './plan-places.js';
import * as upstreamCapacity from './upstream-capacity.js';

export type CopyChange = {
  upstreamId: string;
  load: string;
  unload: string | null;
  level: copyNeeds.LoadLevel;
  loadMs: number;
};

/** To bring a copy that nobody asks for is worth less than to keep one: the swap itself disturbs. */
const UNASKED_SHARE = 0.4;
/** Costs in requests: a load from the store takes bandwidth from others; any swap disturbs. */
const STORE_COST = 1.5;
const SWAP_COST = 0.2;
/** In requests: of two places alike, the one beside less work. */
const HOT_COST = 0.01;
/**
 * What a load from the store has to win against waiting for an upstream that has the model near and is busy
 * with another change.
 */
const NEAR_MARGIN_MS = 1_500;
/**
 * A copy that the store brings later than this does not keep a model from being brought from near meanwhile.
 * Failure: the first load of a rising model comes from the store. Symptom: it counts as a copy for nine seconds, and
 * upstreams that have the model on their disks idle.
 */
const SOON_MS = 3_500;
/**
 * Once there is demand, this part of the upstreams at most loads from the store what pays only by being near later:
 * one that does brings nothing else for seconds, nor adapters.
 */
const SPREADING_SHARE = 0.25;
/** What spreading has to win, in requests: below it is within what the guesses behind it are off. */
const SPREAD_BENEFIT_MIN = 1;
/** Sums of the same figures in another order differ by less. */
const ROUNDING = 1e-6;
const MS_PER_SECOND = 1_000;

/**
 * What is unloaded goes to host memory and pushes out what was there longest, mostly the model that is to be
 * loaded: of 54 loads from host memory behind an unload all took as long as from disk.
 */
export function loadBehindUnloadMs(spec: fleet.ModelSpec, level: copyNeeds.LoadLevel): number {
  return level === 'host' ? spec.diskLoadMs : copyNeeds.loadMsAt(spec, level);
}

function reservedMb(engine: fleet.EngineSpec): number {
  const largest = Math.max(0, ...engine.models.map(({ adapterSizeMb }) => adapterSizeMb));
  return engine.adaptersMax * largest;
}

type Scored = {
  change: CopyChange;
  benefit: number;
  /** It pays by having the model near from then on, not by the copy itself. */
  isSpread: boolean;
};

/** What one more copy adds, in requests a second: one that comes soon, and one that the store brings. */
type Gains = { soon: number; late: number };

/** `most`: at the upstream that carries most. */
type Wanted = { spec: fleet.ModelSpec; most: Gains };

type Found = Scored & { wanted: Wanted };

/** The least that a change costs at any place, in requests: from near and from the store. */
type LeastCosts = { near: number; store: number };

function leastCosts(places: readonly planPlaces.Place[]): LeastCosts {
  const least = (lossOf: (victim: planPlaces.Victim) => number) =>
    places.reduce((smallest, { victims, hotShare }) => {
      const losses = [0, ...victims.map(lossOf)];
      return Math.min(smallest, Math.min(...losses) + HOT_COST * hotShare);
    }, Infinity);
  return {
    near: least(({ nearLoss }) => nearLoss) + SWAP_COST - ROUNDING,
    store: least(({ storeLoss }) => storeLoss) + SWAP_COST + STORE_COST - ROUNDING,
  };
}

function better<Choice extends Scored>(left: Choice | null, right: Choice | null): Choice | null {
  if (left === null || right === null) return left ?? right;
  // What callers wait for now goes first.
  if (left.isSpread !== right.isSpread) return left.isSpread ? right : left;
  return right.benefit > left.benefit ? right : left;
}

/** The input with the figures of each model worked out once. */
function withKnownDemand(input: copyNeeds.PlanInput): copyNeeds.PlanInput {
  const figures = new Map(input.engine.models.map(({ name }) => [name, input.demand(name)]));
  return { ...input, demand: (model) => figures.get(model) ?? null };
}

/**
 * The change with the largest benefit, or null when none pays off. Load: hundreds of upstreams and models, planned
 * several times a second on the loop that forwards requests. Models that cannot have the largest benefit are not
 * weighed, which changes no choice: with 84 upstreams and 198 models a plan that weighs all takes 31 ms, this one 1.9 ms
 * (median of 12 random fleets). `onWeighed` is called for each change that is weighed.
 */
export function planNext(
  given: copyNeeds.PlanInput,
  onWeighed: () => void = () => {},
): CopyChange | null {
  const input = withKnownDemand(given);
  const { engine, upstreams, nowMs } = input;
  const index = nearIndexes.createNearIndex(upstreams);
  const needs = copyNeeds.needsOf(input, index);
  const upstreamIds = upstreams.map(({ upstreamId }) => upstreamId);
  const capacities = upstreamCapacity.capacitiesOf(upstreamIds, input.slowness);
  const mostCapacity = Math.max(...capacities.values());
  const copies = copyNeeds.copiesOf(upstreams, capacities, Infinity);
  const soonCopies = copyNeeds.copiesOf(upstreams, capacities, nowMs + SOON_MS);
  const near = nearCopies.createNearCopies(input, index, needs);
  const loadingCount = upstreams.filter(({ isLoadingFromStore }) => isLoadingFromStore).length;
  const maySpread = !input.hasDemand || loadingCount < upstreams.length * SPREADING_SHARE;
  // All adapters that may come have their room already.
  const roomMb = engine.weightsMb - reservedMb(engine);
  const specs = new Map(engine.models.map((spec) => [spec.name, spec]));
  const placing = planPlaces.createPlaces({
    input,
    index,
    needs,
    copies,
    capacities,
    near,
    specs,
    roomMb,
  });
  const places = upstreams
    .filter((upstream) => !upstream.isChanging && !placing.isSettling(upstream))
    .map(placing.toPlace);
  const least = leastCosts(places);

  const knownGains = new Map<number, Map<string, Gains>>();
  function gainsAt(model: string, capacity: number): Gains {
    const byModel = knownGains.get(capacity) ?? new Map<string, Gains>();
    knownGains.set(capacity, byModel);
    const before = byModel.get(model);
    if (before !== undefined) return before;
    const need = needs.get(model) ?? copyNeeds.NO_NEED;
    const asked = { ...need, lastWeight: UNASKED_SHARE * need.lastWeight };
    const gain = (held: ReadonlyMap<string, copyNeeds.Copies>) =>
      copyNeeds.marginal(asked, held.get(model) ?? copyNeeds.NO_COPIES, capacity);
    const gains = { soon: gain(soonCopies), late: gain(copies) };
    byModel.set(model, gains);
    return gains;
  }

  /** What the change brings if it starts after `delayMs`; null where it cannot be made. */
  function score(
    place: planPlaces.Place,
    { spec }: Wanted,
    victim: planPlaces.Victim | null,
    delayMs: number,
  ): Scored | null {
    onWeighed();
    const { upstream } = place;
    const level = copyNeeds.levelAt(upstream, spec.name);
    if (level === 'store' && (input.storeLoadsLeft < 1 || place.isLastForAdapters)) return null;
    if (place.residentMb - (victim?.sizeMb ?? 0) + spec.sizeMb > roomMb) return null;
    const gains = gainsAt(spec.name, place.capacity);
    const gain = level === 'store' ? gains.late : gains.soon;
    const unload = victim?.copy.model ?? null;
    const loadMs =
      unload === null ? copyNeeds.loadMsAt(spec, level) : loadBehindUnloadMs(spec, level);
    const loadS = loadMs / MS_PER_SECOND;
    const loss = level === 'store' ? victim?.storeLoss : victim?.nearLoss;
    const cost =
      (loss ?? 0) + (level === 'store' ? STORE_COST : 0) + place.blockedPerSecond * loadS;
    const startMs = delayMs + (victim?.drainMs ?? 0);
    const usedS = Math.max(0, planPlaces.HORIZON_S - loadS - startMs / MS_PER_SECOND);
    const served = gain * usedS - cost - SWAP_COST - HOT_COST * place.hotShare;
    const isSpread = served <= 0;
    if (isSpread && (level !== 'store' || !maySpread)) return null;
    const spread = isSpread ? near.worthOfNext(spec.name) - place.evictionLoss : 0;
    const benefit = served + spread;
    if (benefit <= (isSpread ? SPREAD_BENEFIT_MIN : 0)) return null;
    const change = { upstreamId: upstream.upstreamId, load: spec.name, unload, level, loadMs };
    return { benefit, isSpread, change };
  }

  function bestAt(place: planPlaces.Place, wanted: Wanted, delayMs: number): Scored | null {
    const { name } = wanted.spec;
    if (place.upstream.copies.some(({ model }) => model === name)) return null;
    return place.victims.reduce(
      (best, victim) => better(best, score(place, wanted, victim, delayMs)),
      score(place, wanted, null, delayMs),
    );
  }

  function bestOf(wanted: Wanted): Found | null {
    const best = places.reduce<Scored | null>(
      (found, place) => better(found, bestAt(place, wanted, 0)),
      null,
    );
    return best === null ? null : { ...best, wanted };
  }

  /** The most that callers who wait now can gain by a change for the model, in requests. */
  function servedBound({ spec, most }: Wanted): number {
    const boundOf = (gain: number, loadMs: number, cost: number) =>
      Math.max(0, gain) * Math.max(0, planPlaces.HORIZON_S - loadMs / MS_PER_SECOND) - cost;
    const fromStore = boundOf(most.late, spec.storeLoadMs, least.store);
    if (index.usable(spec.name).length === 0) return fromStore;
    const nearLoadMs = Math.min(spec.hostLoadMs, spec.diskLoadMs);
    return Math.max(fromStore, boundOf(most.soon, nearLoadMs, least.near));
  }

  /**
   * Load: a model rises whose only near copies are at upstreams that are busy with a change for a second or
   * two. Harm: a load from the store, begun at once, takes nine seconds; it counts as a copy all the while,
   * and keeps its upstream from all other changes.
   */
  function isSoonerNear(planned: Found): boolean {
    const { spec } = planned.wanted;
    if (planned.change.level !== 'store') return false;
    return index.changing(spec.name).some((upstream) => {
      const { freeAtMs } = upstream;
      if (freeAtMs === null) return false;
      const level = copyNeeds.levelAt(upstream, spec.name);
      const delayMs = Math.max(0, freeAtMs - nowMs);
      const readyMs = delayMs + copyNeeds.loadMsAt(spec, level) + NEAR_MARGIN_MS;
      if (readyMs > planned.change.loadMs) return false;
      const place = placing.toPlace(planPlaces.afterChange(upstream, nowMs));
      const later = bestAt(place, planned.wanted, delayMs);
      return later !== null && !later.isSpread && later.benefit > planned.benefit;
    });
  }

  const known = new Map<string, Found | null>();
  function weigh(wanted: Wanted): Found | null {
    const { name } = wanted.spec;
    if (!known.has(name)) known.set(name, bestOf(wanted));
    return known.get(name) ?? null;
  }

  const options = engine.models
    .map((spec) => ({ spec, most: gainsAt(spec.name, mostCapacity) }))
    .map((item) => ({ item, boundValue: servedBound(item) }));
  const served = bestFirst.pickBest(
    options.filter(
      ({ item, boundValue }) =>
        boundValue > 0 && (item.most.soon > 0 || near.worthOfNext(item.spec.name) > 0),
    ),
    (wanted) => {
      const found = weigh(wanted);
      return found === null || found.isSpread ? null : found;
    },
    (found) => !isSoonerNear(found),
  );
  if (served !== null) return served.change;
  if (!maySpread || input.storeLoadsLeft < 1) return null;
  const spread = bestFirst.pickBest(
    options
      .map(({ item, boundValue }) => ({
        item,
        boundValue: near.worthOfNext(item.spec.name) + Math.min(0, boundValue),
      }))
      .filter(({ boundValue }) => boundValue > SPREAD_BENEFIT_MIN),
    (wanted) => {
      const found = weigh(wanted);
      return found?.isSpread === true ? found : null;
    },
    () => true,
  );
  return spread?.change ?? null;
}
