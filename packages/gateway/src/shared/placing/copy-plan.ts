/**
 * Which copy to bring next, where, and which one gives way. Load: a few models take most requests and
 * change within seconds; many others are asked for now and then; there are fewer places than models.
 * Harm prevented: a hot model behind one copy, a model that nobody can reach, and churn that costs the
 * weight store and every request that meets a copy on its way out.
 */
import type * as fleet from '../../types/fleet.js';
import * as copyNeeds from './copy-needs.js';
import * as nearCopies from './near-copies.js';

export type CopyChange = {
  upstreamId: string;
  load: string;
  unload: string | null;
  level: copyNeeds.LoadLevel;
  loadMs: number;
};

/** What a plan has to pay off in: about the time between two moves of demand. */
const HORIZON_S = 15;
/** To bring a copy that nobody asks for is worth less than to keep one: the swap itself disturbs. */
const UNASKED_SHARE = 0.4;
/** Costs in requests: a load from the store takes bandwidth from others; any swap disturbs. */
const STORE_COST = 1.5;
const SWAP_COST = 0.2;
/**
 * An upstream that loads a model takes no orders for adapters. A copy that has just come gets those that are
 * asked for within this time; a change at once kept them away for three seconds, at a third of its requests.
 */
const ADAPTER_SETTLE_MS = 800;
/**
 * What a load from the store has to win against waiting for an upstream that has the model near and is busy
 * with another change.
 */
const NEAR_MARGIN_MS = 1_500;
/** A copy that was brought for a caller who comes back must still be there then. */
const LEAST_STAY_MS = 4_000;
/** A request that is cut short or waits for the unload costs more than one that finds another copy. */
const DISTURBED_COST = 0.3;
/** Requests for a model with adapters that need one which is not there. */
const BLOCKED_SHARE = 0.25;
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

/** Whether `load` fits into `roomMb` once `unload` is gone. */
function fits(
  specs: ReadonlyMap<string, fleet.ModelSpec>,
  roomMb: number,
  upstream: copyNeeds.UpstreamView,
  load: string,
  unload: string | null,
): boolean {
  const sizeOf = (name: string) => specs.get(name)?.sizeMb ?? roomMb;
  const residentMb = upstream.copies
    .filter(({ model }) => model !== unload)
    .reduce((sumMb, { model }) => sumMb + sizeOf(model), 0);
  return residentMb + sizeOf(load) <= roomMb;
}

type Scored = {
  change: CopyChange;
  benefit: number;
  /** It pays by having the model near from then on, not by the copy itself. */
  isSpread: boolean;
};

/** What one more copy adds, in requests a second: one that comes soon, and one that the store brings. */
type Gains = { soon: number; late: number };

type Victim = {
  copy: copyNeeds.CopyView;
  /** How long its unload waits for what runs. */
  drainMs: number;
  /** What is lost with it when it makes way for a load from near, and for one from the store. */
  nearLoss: number;
  storeLoss: number;
};

type Place = {
  upstream: copyNeeds.UpstreamView;
  blockedPerSecond: number;
  hotShare: number;
  /** What its disk loses by a load from the store. */
  evictionLoss: number;
  victims: readonly Victim[];
};

/** An upstream as it will be once its change has ended. */
function afterChange(upstream: copyNeeds.UpstreamView, nowMs: number): copyNeeds.UpstreamView {
  const kept = upstream.copies.filter((copy) => !copy.isClosing);
  const { arriving } = upstream;
  const isListed = arriving === null || kept.some(({ model }) => model === arriving);
  const come = isListed
    ? []
    : [{ model: arriving, inFlightCount: 0, isClosing: false, readyAtMs: nowMs }];
  return { ...upstream, isChanging: false, copies: [...kept, ...come] };
}

/** The change with the largest benefit, or null when none pays off. */
export function planNext(input: copyNeeds.PlanInput): CopyChange | null {
  const { engine, upstreams, nowMs } = input;
  const needs = copyNeeds.needsOf(input);
  const counts = copyNeeds.copyCounts(upstreams, Infinity);
  const soonCounts = copyNeeds.copyCounts(upstreams, nowMs + SOON_MS);
  const near = nearCopies.createNearCopies(input, needs);
  const loadingCount = upstreams.filter(({ isLoadingFromStore }) => isLoadingFromStore).length;
  const maySpread = !input.hasDemand || loadingCount < upstreams.length * SPREADING_SHARE;
  const needOf = (model: string): copyNeeds.Need => needs.get(model) ?? copyNeeds.NO_NEED;
  const hotShare = (upstream: copyNeeds.UpstreamView): number =>
    upstream.copies.reduce(
      (sum, { model }) => sum + needOf(model).expected / Math.max(1, counts.get(model) ?? 1),
      0,
    );
  // All adapters that may come have their room already.
  const roomMb = engine.weightsMb - reservedMb(engine);
  const specs = new Map(engine.models.map((spec) => [spec.name, spec]));

  function lossOf(
    upstream: copyNeeds.UpstreamView,
    copy: copyNeeds.CopyView,
    level: copyNeeds.LoadLevel,
  ): number {
    const need = needOf(copy.model);
    const spec = specs.get(copy.model);
    const exceptId = level === 'store' ? upstream.upstreamId : null;
    const lastWeight = spec === undefined ? 0 : copyNeeds.lastCopyWeight(input, spec, exceptId);
    const loss = copyNeeds.marginal({ ...need, lastWeight }, counts.get(copy.model) ?? 1);
    return loss * HORIZON_S + copy.inFlightCount * DISTURBED_COST;
  }

  /** Models without a copy that only one usable upstream has near, by that upstream. */
  const nearOnly = new Map<string, number>();
  engine.models.forEach(({ name }) => {
    if ((counts.get(name) ?? 0) > 0) return;
    const havingIt = upstreams.filter(
      (upstream) => !upstream.isChanging && copyNeeds.levelAt(upstream, name) !== 'store',
    );
    const [only] = havingIt;
    if (havingIt.length !== 1 || only === undefined) return;
    nearOnly.set(only.upstreamId, (nearOnly.get(only.upstreamId) ?? 0) + 1);
  });

  /** Requests a second for models with adapters that the upstream's copies get. */
  function adapterRate(copies: readonly copyNeeds.CopyView[]): number {
    return copies
      .filter(({ model }) => (specs.get(model)?.adapterCount ?? 0) > 0)
      .reduce(
        (sum, { model }) => sum + needOf(model).expected / Math.max(1, counts.get(model) ?? 1),
        0,
      );
  }

  /**
   * What an upstream loses for each second that it loads: it takes no adapters for its other models
   * meanwhile, nor brings what only it has near, should that be the next to be asked for.
   */
  function blockedPerSecond(upstream: copyNeeds.UpstreamView): number {
    if (!input.hasDemand) return 0;
    const nearOnlyHere = nearOnly.get(upstream.upstreamId) ?? 0;
    return BLOCKED_SHARE * adapterRate(upstream.copies) + copyNeeds.LAST_COPY_WEIGHT * nearOnlyHere;
  }

  /** A copy has just come, and adapters for it are on their way. */
  function isSettling(upstream: copyNeeds.UpstreamView): boolean {
    const young = upstream.copies.filter(({ readyAtMs }) => nowMs - readyAtMs < ADAPTER_SETTLE_MS);
    return adapterRate(young) > 0;
  }

  function toPlace(upstream: copyNeeds.UpstreamView): Place {
    const movable = upstream.copies.filter(
      (copy) => !copy.isClosing && nowMs - copy.readyAtMs >= LEAST_STAY_MS,
    );
    return {
      upstream,
      blockedPerSecond: blockedPerSecond(upstream),
      hotShare: hotShare(upstream),
      evictionLoss: near.evictionLoss(upstream),
      victims: movable.map((copy) => ({
        copy,
        drainMs: copy.inFlightCount > 0 ? input.holdMs(copy.model) : 0,
        nearLoss: lossOf(upstream, copy, 'disk'),
        storeLoss: lossOf(upstream, copy, 'store'),
      })),
    };
  }

  /** What the change brings if it starts after `delayMs`; null where it cannot be made. */
  function score(
    place: Place,
    spec: fleet.ModelSpec,
    gains: Gains,
    victim: Victim | null,
    delayMs: number,
  ): Scored | null {
    const { upstream } = place;
    const level = copyNeeds.levelAt(upstream, spec.name);
    const gain = level === 'store' ? gains.late : gains.soon;
    if (level === 'store' && input.storeLoadsLeft < 1) return null;
    const unload = victim?.copy.model ?? null;
    if (!fits(specs, roomMb, upstream, spec.name, unload)) return null;
    const loadMs =
      unload === null ? copyNeeds.loadMsAt(spec, level) : loadBehindUnloadMs(spec, level);
    const loadS = loadMs / MS_PER_SECOND;
    const loss = level === 'store' ? victim?.storeLoss : victim?.nearLoss;
    const cost =
      (loss ?? 0) + (level === 'store' ? STORE_COST : 0) + place.blockedPerSecond * loadS;
    // Of two places alike, the one beside less work.
    const beside = 0.01 * place.hotShare;
    const startMs = delayMs + (victim?.drainMs ?? 0);
    const usedS = Math.max(0, HORIZON_S - loadS - startMs / MS_PER_SECOND);
    const served = gain * usedS - cost - SWAP_COST - beside;
    const isSpread = served <= 0;
    if (isSpread && (level !== 'store' || !maySpread)) return null;
    const spread = isSpread ? near.worthOfNext(spec.name) - place.evictionLoss : 0;
    const benefit = served + spread;
    if (benefit <= (isSpread ? SPREAD_BENEFIT_MIN : 0)) return null;
    const change = { upstreamId: upstream.upstreamId, load: spec.name, unload, level, loadMs };
    return { benefit, isSpread, change };
  }

  function better(left: Scored | null, right: Scored | null): Scored | null {
    if (left === null || right === null) return left ?? right;
    // What callers wait for now goes first.
    if (left.isSpread !== right.isSpread) return left.isSpread ? right : left;
    return right.benefit > left.benefit ? right : left;
  }

  function bestAt(place: Place, spec: fleet.ModelSpec, gain: Gains, delayMs: number) {
    if (place.upstream.copies.some(({ model }) => model === spec.name)) return null;
    return place.victims.reduce(
      (best, victim) => better(best, score(place, spec, gain, victim, delayMs)),
      score(place, spec, gain, null, delayMs),
    );
  }

  function gainsOf(model: string): Gains {
    const need = needOf(model);
    const asked = { ...need, lastWeight: UNASKED_SHARE * need.lastWeight };
    const gain = (known: ReadonlyMap<string, number>) =>
      copyNeeds.marginal(asked, (known.get(model) ?? 0) + 1);
    return { soon: gain(soonCounts), late: gain(counts) };
  }

  /**
   * Load: a model rises whose only near copies are at upstreams that are busy with a change for a second or
   * two. Harm: a load from the store, begun at once, takes nine seconds; it counts as a copy all the while,
   * and keeps its upstream from all other changes.
   */
  function isSoonerNear(planned: Scored, spec: fleet.ModelSpec, gain: Gains): boolean {
    if (planned.change.level !== 'store' || planned.isSpread) return false;
    return upstreams.some((upstream) => {
      const { freeAtMs } = upstream;
      const level = copyNeeds.levelAt(upstream, spec.name);
      if (!upstream.isChanging || freeAtMs === null || level === 'store') return false;
      const delayMs = Math.max(0, freeAtMs - nowMs);
      const readyMs = delayMs + copyNeeds.loadMsAt(spec, level) + NEAR_MARGIN_MS;
      if (readyMs > planned.change.loadMs) return false;
      const later = bestAt(toPlace(afterChange(upstream, nowMs)), spec, gain, delayMs);
      return later !== null && !later.isSpread && later.benefit > planned.benefit;
    });
  }

  const places = upstreams
    .filter((upstream) => !upstream.isChanging && !isSettling(upstream))
    .map(toPlace);
  const ranked = engine.models
    .map((spec) => ({ spec, gain: gainsOf(spec.name) }))
    .filter(({ spec, gain }) => gain.soon > 0 || near.worthOfNext(spec.name) > 0)
    .flatMap(({ spec, gain }) => {
      const best = places.reduce<Scored | null>(
        (found, place) => better(found, bestAt(place, spec, gain, 0)),
        null,
      );
      return best === null ? [] : [{ spec, gain, best }];
    })
    .sort(
      (left, right) =>
        Number(left.best.isSpread) - Number(right.best.isSpread) ||
        right.best.benefit - left.best.benefit,
    );
  const chosen = ranked.find(({ spec, gain, best }) => !isSoonerNear(best, spec, gain));
  return chosen?.best.change ?? null;
}
