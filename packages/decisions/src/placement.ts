/**
 * Decides how many copies of a model there are, and where. It runs at the model's coordinator; the agents may reject a
 * change.
 */
import type * as eviction from './eviction.js';
import * as moveGain from './move-gain.js';

/** A copy of the model, ready or still loading. */
export type CopyView = {
  upstreamId: string;
  failureDomain: string;
  isReady: boolean;
  /** Slots there that are not used by requests of other models. */
  availableSlots: number;
};

/** The answer of an upstream without a copy to the question whether it can hold one. */
export type Offer = {
  upstreamId: string;
  failureDomain: string;
  freeBytes: number;
  availableSlots: number;
  /** The copies to be evicted for it; null if there is no room in any case. */
  eviction: eviction.Eviction | null;
};

export type DemandView = {
  model: string;
  /** Weights including the model's adapters, which are placed together with it. */
  sizeBytes: number;
  /** Slots that its recent requests need (see `demands.ts`). */
  neededSlots: number;
  minimumCopies: number;
  /** When the coordinator last changed its copies; -Infinity for never. */
  changedAtMs: number;
};

export type PlacementLimits = { moveCostMs: number };

export type PlacementReason =
  | 'unreachable'
  | 'below-minimum'
  | 'one-failure-domain'
  | 'short-of-slots'
  | 'more-than-needed'
  | 'enough'
  | 'no-room'
  | 'does-not-pay'
  | 'changed-lately';

export type CopyPlan =
  | { kind: 'add'; reason: PlacementReason; upstreamId: string; displaced: readonly string[] }
  | { kind: 'remove'; reason: PlacementReason; upstreamId: string }
  | { kind: 'none'; reason: PlacementReason };

/**
 * A copy is added when demand exceeds this part of the slots that the copies can use. As utilization approaches 1,
 * queues grow without bound, and demand grows further while the weights load. With 0.7, models in a fleet that is three
 * quarters full always seem to lack slots, and copies are moved all the time (see docs/decisions.md).
 */
const GROW_UTILIZATION = 0.85;
/**
 * A copy may be removed if the utilization of the others stays below this. It is far below GROW_UTILIZATION, so that
 * the copy is not needed again right after its removal.
 */
const SHRINK_UTILIZATION = 0.25;
/** Only one change at a time: the next one waits until the last one has affected the measured demand. */
const SETTLE_MS = 15_000;
/** Surplus copies cost nothing until other models need the memory, so their removal can wait. */
const SHRINK_SETTLE_MS = 600_000;
/** Value, in slots of demand, of a copy in a second failure domain for a model with copies in only one. */
const SECOND_DOMAIN_VALUE_SLOTS = 0.25;

function sumSlots(copies: readonly CopyView[]): number {
  return copies.reduce((sum, copy) => sum + copy.availableSlots, 0);
}

function moveCountOf(offer: Offer): number {
  return 1 + (offer.eviction?.models.length ?? 0);
}

type PricedOffer = { offer: Offer; gainMs: number };

/** Returns the offer with the largest gain; its slots count only up to `maxGainSlots`. */
function findBest(
  offers: readonly Offer[],
  maxGainSlots: number,
  limits: PlacementLimits,
): PricedOffer | undefined {
  return offers
    .filter((offer) => offer.eviction !== null)
    .map((offer) => {
      const move = {
        gainedSlots: Math.min(maxGainSlots, GROW_UTILIZATION * offer.availableSlots),
        lostSlots: offer.eviction?.lostSlots ?? 0,
        moveCount: moveCountOf(offer),
      };
      return { offer, gainMs: moveGain.netGainMs(move, limits.moveCostMs) };
    })
    .sort(
      (left, right) =>
        right.gainMs - left.gainMs || right.offer.availableSlots - left.offer.availableSlots,
    )[0];
}

function add(priced: PricedOffer | undefined, reason: PlacementReason): CopyPlan {
  if (priced === undefined) return { kind: 'none', reason: 'no-room' };
  const { offer } = priced;
  const displaced = offer.eviction?.models ?? [];
  return { kind: 'add', reason, upstreamId: offer.upstreamId, displaced };
}

/** Returns the offers outside the failure domains of the copies, or all offers if there are none outside. */
function preferOtherDomains(
  offers: readonly Offer[],
  copies: readonly CopyView[],
): readonly Offer[] {
  const taken = new Set(copies.map((copy) => copy.failureDomain));
  const others = offers.filter(
    (offer) => !taken.has(offer.failureDomain) && offer.eviction !== null,
  );
  return others.length > 0 ? others : offers;
}

/**
 * Plans a copy in a second failure domain where there is free memory. It never evicts a copy: the evicted model would
 * need its copy back for the same reason, and both would load over and over.
 */
function planSpread(
  copies: readonly CopyView[],
  offers: readonly Offer[],
  limits: PlacementLimits,
): CopyPlan | null {
  const domains = new Set(copies.map((copy) => copy.failureDomain));
  if (domains.size !== 1) return null;
  const outside = offers.filter(
    (offer) => !domains.has(offer.failureDomain) && offer.eviction?.models.length === 0,
  );
  const best = findBest(outside, SECOND_DOMAIN_VALUE_SLOTS, limits);
  return best !== undefined && best.gainMs > 0 ? add(best, 'one-failure-domain') : null;
}

/** Finds a copy without which there are still enough slots, enough copies and more than one failure domain. */
function findSurplus(demand: DemandView, copies: readonly CopyView[]): CopyView | undefined {
  if (copies.length <= demand.minimumCopies) return undefined;
  return [...copies]
    .sort((left, right) => left.availableSlots - right.availableSlots)
    .find((copy) => {
      const rest = copies.filter((other) => other !== copy);
      const domains = new Set(rest.map((other) => other.failureDomain));
      const isSpread = domains.size > 1 || rest.length === 0;
      return isSpread && demand.neededSlots < SHRINK_UTILIZATION * sumSlots(rest);
    });
}

/**
 * Plans the next change to the copies of one model. Demand shifts between models while all memory is in use: copies
 * must follow before targets are missed, and the gain of a new copy must exceed the cost of the copies it evicts. A
 * model without any copy is loaded at any cost, since its requests cannot be served until then.
 */
export function planCopies(
  demand: DemandView,
  copies: readonly CopyView[],
  offers: readonly Offer[],
  limits: PlacementLimits,
  nowMs: number,
): CopyPlan {
  const preferredOffers = preferOtherDomains(offers, copies);
  if (copies.length === 0) return add(findBest(offers, Infinity, limits), 'unreachable');
  if (copies.length < demand.minimumCopies) {
    return add(findBest(preferredOffers, Infinity, limits), 'below-minimum');
  }
  const isSettled = copies.every((copy) => copy.isReady) && nowMs - demand.changedAtMs >= SETTLE_MS;
  if (!isSettled) return { kind: 'none', reason: 'changed-lately' };
  const shortSlots = demand.neededSlots - GROW_UTILIZATION * sumSlots(copies);
  if (shortSlots > 0) {
    const preferredBest = findBest(preferredOffers, shortSlots, limits);
    const best =
      preferredBest !== undefined && preferredBest.gainMs > 0
        ? preferredBest
        : findBest(offers, shortSlots, limits);
    if (best === undefined) return { kind: 'none', reason: 'no-room' };
    return best.gainMs > 0 ? add(best, 'short-of-slots') : { kind: 'none', reason: 'does-not-pay' };
  }
  const spread = planSpread(copies, offers, limits);
  if (spread !== null) return spread;
  const surplus = findSurplus(demand, copies);
  if (surplus === undefined || nowMs - demand.changedAtMs < SHRINK_SETTLE_MS) {
    return { kind: 'none', reason: 'enough' };
  }
  return { kind: 'remove', reason: 'more-than-needed', upstreamId: surplus.upstreamId };
}

/** How a model is changed to a new version on one upstream. */
export type VersionChange =
  /** Load the new version, redirect callers to it, then unload the old version. */
  | { kind: 'make-before-break' }
  /** First evict other models; the old version stays. */
  | { kind: 'displace-first'; displaced: readonly string[] }
  /** Not possible here: first load the new version on another upstream. */
  | { kind: 'elsewhere-first' };

/**
 * Plans a change of version when memory may be full. If the old copy were unloaded before the new one serves, callers
 * of the model would wait for the load, so the old version is never evicted for the new one.
 */
export function planVersionChange(
  newSizeBytes: number,
  freeBytes: number,
  chooseEvicted: (neededBytes: number) => eviction.Eviction | null,
): VersionChange {
  if (newSizeBytes <= freeBytes) return { kind: 'make-before-break' };
  const evicted = chooseEvicted(newSizeBytes - freeBytes);
  return evicted === null
    ? { kind: 'elsewhere-first' }
    : { kind: 'displace-first', displaced: evicted.models };
}
