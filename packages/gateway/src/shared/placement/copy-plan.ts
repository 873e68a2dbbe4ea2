/**
 * Plans which copy to load next, on which upstream, and which copy to evict for it. A few models take most of the
 * requests, and which ones changes within seconds; many others are requested occasionally; and there is less memory
 * than models. A bad plan leaves a busy model with one copy or a requested model with none, or swaps copies so often
 * that the weight store is overloaded and requests meet copies that are being unloaded.
 */
import type * as fleet from '../../types/fleet.js';
import * as bestFirst from './best-first.js';
import * as copyNeeds from './copy-needs.js';
import * as stagedCopies from './staged-copies.js';
import * as stagedIndexes from './staged-index.js';
import * as planCandidates from './plan-candidates.js';
import * as upstreamCapacity from './upstream-capacity.js';

export type CopyChange = {
  upstreamId: string;
  load: string;
  unload: string | null;
  level: copyNeeds.StorageLevel;
  loadMs: number;
};

/**
 * Loading a copy of a model without requests is worth less than keeping one, since the swap itself disturbs requests.
 */
const UNREQUESTED_SHARE = 0.4;
/** Costs in requests: a load from the store uses bandwidth that other loads need, and every swap disturbs requests. */
const STORE_LOAD_COST = 1.5;
const SWAP_COST = 0.2;
/** In requests, per request a second: of two otherwise equal candidates, the one with less traffic is chosen. */
const TRAFFIC_COST = 0.01;
/**
 * A load from the store must be ready this much earlier than waiting for an upstream that has the model staged and is
 * busy with another change.
 */
const STAGED_LOAD_MARGIN_MS = 1_500;
/**
 * A copy whose load from the store ends later than this does not keep the model from being loaded elsewhere from staged
 * weights. Otherwise the first load of a model with rising demand, which takes nine seconds from the store, counts as
 * its copy, and upstreams that have the model on disk are not used.
 */
const SOON_READY_MS = 3_500;
/**
 * Once there is demand, at most this part of the upstreams may load from the store at once for a change that only pays
 * off by staging the model: during such a load, which takes seconds, an upstream loads no other model and no adapters.
 */
const STAGING_SHARE_MAX = 0.25;
/** Least benefit of staging, in requests; smaller values are within the error of the estimates behind them. */
const STAGING_BENEFIT_MIN = 1;
/** Sums of the same numbers in a different order differ by less than this. */
const ROUNDING_ERROR = 1e-6;
const MS_PER_SECOND = 1_000;

/**
 * Unloaded weights go to host memory and push out what was there longest, which is mostly the model that is about to be
 * loaded: all of 54 loads from host memory after an unload took as long as loads from disk.
 */
export function loadAfterUnloadMs(spec: fleet.ModelSpec, level: copyNeeds.StorageLevel): number {
  return level === 'host' ? spec.diskLoadMs : copyNeeds.loadMsAt(spec, level);
}

function reservedMb(engine: fleet.EngineSpec): number {
  const largest = Math.max(0, ...engine.models.map(({ adapterSizeMb }) => adapterSizeMb));
  return engine.adaptersMax * largest;
}

type ScoredChange = {
  change: CopyChange;
  benefit: number;
  /** The change pays off only by staging the model for later loads, not by the copy itself. */
  isForStaging: boolean;
};

/** Value of one more copy in requests per second: one that is ready soon, and one that is loaded from the store. */
type Gains = { soon: number; eventual: number };

/** `most` are the gains at the upstream with the largest capacity. */
type LoadOption = { spec: fleet.ModelSpec; most: Gains };

type BestChange = ScoredChange & { option: LoadOption };

/**
 * The least that a change costs at any candidate, in requests, for a load from staged weights and one from the store.
 */
type MinCosts = { staged: number; store: number };

function minCosts(candidates: readonly planCandidates.Candidate[]): MinCosts {
  const lowest = (costOf: (evicted: planCandidates.EvictableCopy) => number) =>
    candidates.reduce((lowestCost, { evictableCopies, requestsPerSecond }) => {
      const costs = [0, ...evictableCopies.map(costOf)];
      return Math.min(lowestCost, Math.min(...costs) + TRAFFIC_COST * requestsPerSecond);
    }, Infinity);
  return {
    staged: lowest(({ stagedLoadCost }) => stagedLoadCost) + SWAP_COST - ROUNDING_ERROR,
    store:
      lowest(({ storeLoadCost }) => storeLoadCost) + SWAP_COST + STORE_LOAD_COST - ROUNDING_ERROR,
  };
}

function better<Choice extends ScoredChange>(
  left: Choice | null,
  right: Choice | null,
): Choice | null {
  if (left === null || right === null) return left ?? right;
  // Changes for requests that are made now go before staging.
  if (left.isForStaging !== right.isForStaging) return left.isForStaging ? right : left;
  return right.benefit > left.benefit ? right : left;
}

/** The input with the demand figures of each model computed only once. */
function withCachedDemand(input: copyNeeds.PlanInput): copyNeeds.PlanInput {
  const figures = new Map(input.engine.models.map(({ name }) => [name, input.demand(name)]));
  return { ...input, demand: (model) => figures.get(model) ?? null };
}

/**
 * Returns the change with the largest benefit, or null when none pays off. With hundreds of upstreams and models it
 * runs several times a second on the event loop that forwards requests, so models that cannot have the largest benefit
 * are skipped, which does not change the result: with 84 upstreams and 198 models, evaluating all takes 31 ms, and this
 * takes 1.9 ms (median of 12 random fleets). `onEvaluated` is called for each change that is evaluated.
 */
export function planNext(
  uncachedInput: copyNeeds.PlanInput,
  onEvaluated: () => void = () => {},
): CopyChange | null {
  const input = withCachedDemand(uncachedInput);
  const { engine, upstreams, nowMs } = input;
  const index = stagedIndexes.createStagedIndex(upstreams);
  const needs = copyNeeds.needsOf(input, index);
  const upstreamIds = upstreams.map(({ upstreamId }) => upstreamId);
  const capacities = upstreamCapacity.capacitiesOf(upstreamIds, input.latencyRatio);
  const maxCapacity = Math.max(...capacities.values());
  const copies = copyNeeds.copiesOf(upstreams, capacities, Infinity);
  const soonCopies = copyNeeds.copiesOf(upstreams, capacities, nowMs + SOON_READY_MS);
  const staged = stagedCopies.createStagedCopies(input, index, needs);
  const loadingCount = upstreams.filter(({ isLoadingFromStore }) => isLoadingFromStore).length;
  const mayStage = !input.hasDemand || loadingCount < upstreams.length * STAGING_SHARE_MAX;
  // Memory for the maximum number of adapters is reserved.
  const roomMb = engine.weightsMb - reservedMb(engine);
  const specs = new Map(engine.models.map((spec) => [spec.name, spec]));
  const candidateBuilder = planCandidates.createCandidateBuilder({
    input,
    index,
    needs,
    copies,
    capacities,
    staged,
    specs,
    roomMb,
  });
  const only = input.only ?? null;
  const allowed =
    only === null
      ? upstreams
      : upstreams.filter(({ upstreamId }) => only.upstreamIds.has(upstreamId));
  const ownCopies = only === null ? copies : copyNeeds.copiesOf(allowed, capacities, Infinity);
  const ownSoonCopies =
    only === null ? soonCopies : copyNeeds.copiesOf(allowed, capacities, nowMs + SOON_READY_MS);
  const candidates = allowed
    .filter((upstream) => !upstream.isChanging && !candidateBuilder.awaitsAdapters(upstream))
    .map(candidateBuilder.toCandidate);
  const lowestCosts = minCosts(candidates);

  const gainsByCapacity = new Map<number, Map<string, Gains>>();
  function gainsAt(model: string, capacity: number): Gains {
    const byModel = gainsByCapacity.get(capacity) ?? new Map<string, Gains>();
    gainsByCapacity.set(capacity, byModel);
    const before = byModel.get(model);
    if (before !== undefined) return before;
    const need = needs.get(model) ?? copyNeeds.NO_NEED;
    const discounted = { ...need, lastCopyValue: UNREQUESTED_SHARE * need.lastCopyValue };
    const gain = (held: ReadonlyMap<string, copyNeeds.Copies>) =>
      copyNeeds.marginalValue(discounted, held.get(model) ?? copyNeeds.NO_COPIES, capacity);
    const gains = { soon: gain(ownSoonCopies), eventual: gain(ownCopies) };
    byModel.set(model, gains);
    return gains;
  }

  /** The benefit of the change if it starts after `delayMs`; null if it is not feasible. */
  function score(
    candidate: planCandidates.Candidate,
    { spec }: LoadOption,
    evicted: planCandidates.EvictableCopy | null,
    delayMs: number,
  ): ScoredChange | null {
    onEvaluated();
    const { upstream } = candidate;
    const level = copyNeeds.storageLevelAt(upstream, spec.name);
    if (level === 'store' && (input.storeLoadsLeft < 1 || candidate.isLastAcceptingAdapters))
      return null;
    if (candidate.residentMb - (evicted?.sizeMb ?? 0) + spec.sizeMb > roomMb) return null;
    const gains = gainsAt(spec.name, candidate.capacity);
    const gain = level === 'store' ? gains.eventual : gains.soon;
    const unload = evicted?.copy.model ?? null;
    const loadMs =
      unload === null ? copyNeeds.loadMsAt(spec, level) : loadAfterUnloadMs(spec, level);
    const loadS = loadMs / MS_PER_SECOND;
    const evictionCost = level === 'store' ? evicted?.storeLoadCost : evicted?.stagedLoadCost;
    const cost =
      (evictionCost ?? 0) +
      (level === 'store' ? STORE_LOAD_COST : 0) +
      candidate.loadingCostPerSecond * loadS;
    const startMs = delayMs + (evicted?.drainMs ?? 0);
    const usedS = Math.max(0, planCandidates.HORIZON_S - loadS - startMs / MS_PER_SECOND);
    const servedBenefit =
      gain * usedS - cost - SWAP_COST - TRAFFIC_COST * candidate.requestsPerSecond;
    const isForStaging = servedBenefit <= 0;
    if (isForStaging && (level !== 'store' || !mayStage)) return null;
    const stagingValue = isForStaging
      ? staged.valueOfNext(spec.name) - candidate.diskEvictionCost
      : 0;
    const benefit = servedBenefit + stagingValue;
    if (benefit <= (isForStaging ? STAGING_BENEFIT_MIN : 0)) return null;
    const change = { upstreamId: upstream.upstreamId, load: spec.name, unload, level, loadMs };
    return { benefit, isForStaging, change };
  }

  function bestChangeAt(
    candidate: planCandidates.Candidate,
    option: LoadOption,
    delayMs: number,
  ): ScoredChange | null {
    const { name } = option.spec;
    if (candidate.upstream.copies.some(({ model }) => model === name)) return null;
    return candidate.evictableCopies.reduce(
      (best, evicted) => better(best, score(candidate, option, evicted, delayMs)),
      score(candidate, option, null, delayMs),
    );
  }

  function bestChangeOf(option: LoadOption): BestChange | null {
    const best = candidates.reduce<ScoredChange | null>(
      (found, candidate) => better(found, bestChangeAt(candidate, option, 0)),
      null,
    );
    return best === null ? null : { ...best, option };
  }

  /** An upper bound, in requests, for what a change for the model gains for requests that are made now. */
  function servedUpperBound({ spec, most }: LoadOption): number {
    const boundOf = (gain: number, loadMs: number, cost: number) =>
      Math.max(0, gain) * Math.max(0, planCandidates.HORIZON_S - loadMs / MS_PER_SECOND) - cost;
    const fromStore = boundOf(most.eventual, spec.storeLoadMs, lowestCosts.store);
    if (index.usable(spec.name).length === 0) return fromStore;
    const stagedLoadMs = Math.min(spec.hostLoadMs, spec.diskLoadMs);
    return Math.max(fromStore, boundOf(most.soon, stagedLoadMs, lowestCosts.staged));
  }

  /**
   * Whether it is better to wait until an upstream that has the model staged ends its current change, which takes a
   * second or two, than to load from the store at once. A load from the store takes nine seconds, counts as a copy all
   * that time and prevents all other changes at its upstream.
   */
  function isStagedLoadBetter(planned: BestChange): boolean {
    const { spec } = planned.option;
    if (planned.change.level !== 'store') return false;
    return index.changing(spec.name).some((upstream) => {
      const { freeAtMs } = upstream;
      if (freeAtMs === null) return false;
      const level = copyNeeds.storageLevelAt(upstream, spec.name);
      const delayMs = Math.max(0, freeAtMs - nowMs);
      const readyMs = delayMs + copyNeeds.loadMsAt(spec, level) + STAGED_LOAD_MARGIN_MS;
      if (readyMs > planned.change.loadMs) return false;
      const candidate = candidateBuilder.toCandidate(planCandidates.afterChange(upstream, nowMs));
      const later = bestChangeAt(candidate, planned.option, delayMs);
      return later !== null && !later.isForStaging && later.benefit > planned.benefit;
    });
  }

  const known = new Map<string, BestChange | null>();
  function evaluate(option: LoadOption): BestChange | null {
    const { name } = option.spec;
    if (!known.has(name)) known.set(name, bestChangeOf(option));
    return known.get(name) ?? null;
  }

  const options = engine.models
    .filter(({ name }) => only === null || name === only.model)
    .map((spec) => ({ spec, most: gainsAt(spec.name, maxCapacity) }))
    .map((item) => ({ item, boundValue: servedUpperBound(item) }));
  const best = bestFirst.pickBest(
    options.filter(
      ({ item, boundValue }) =>
        boundValue > 0 && (item.most.soon > 0 || staged.valueOfNext(item.spec.name) > 0),
    ),
    (option) => {
      const found = evaluate(option);
      return found === null || found.isForStaging ? null : found;
    },
    (found) => !isStagedLoadBetter(found),
  );
  if (best !== null) return best.change;
  if (!mayStage || input.storeLoadsLeft < 1) return null;
  const staging = bestFirst.pickBest(
    options
      .map(({ item, boundValue }) => ({
        item,
        boundValue: staged.valueOfNext(item.spec.name) + Math.min(0, boundValue),
      }))
      .filter(({ boundValue }) => boundValue > STAGING_BENEFIT_MIN),
    (option) => {
      const found = evaluate(option);
      return found?.isForStaging === true ? found : null;
    },
    () => true,
  );
  return staging?.change ?? null;
}
