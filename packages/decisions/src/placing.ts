/** How many copies a model has and where. Run by the model's coordinator; agents have the last word. */
import type * as displacing from './displacing.js';
import * as shifting from './shifting.js';

/** One copy of the model, ready or still loading. */
export type CopyView = {
  upstreamId: string;
  failureDomain: string;
  isReady: boolean;
  /** Slots there that the work of other models leaves to this one. */
  availableSlots: number;
};

/** What an upstream without a copy answers when it is asked to hold one. */
export type Offer = {
  upstreamId: string;
  failureDomain: string;
  freeBytes: number;
  availableSlots: number;
  /** What has to leave for it; null when there is no room whatever leaves. */
  displacement: displacing.Displacement | null;
};

export type DemandView = {
  model: string;
  /** Weights with the model's adapters, which are placed with it. */
  sizeBytes: number;
  /** Slots that its recent arrivals need (see demands). */
  neededSlots: number;
  minimumCopies: number;
  /** When the coordinator last changed its copies; -Infinity for never. */
  changedAtMs: number;
};

export type PlacingLimits = { moveCostMs: number };

export type PlacingReason =
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
  | { kind: 'add'; reason: PlacingReason; upstreamId: string; displaced: readonly string[] }
  | { kind: 'remove'; reason: PlacingReason; upstreamId: string }
  | { kind: 'none'; reason: PlacingReason };

/**
 * Copies are added once demand takes more than this part of the slots they can have. Queues grow without
 * bound as the part nears 1, and demand grows while the weights load. With 0.7 models of a fleet that is
 * three quarters full look short without end, and move (measured, see docs/decisions.md).
 */
const GROW_ABOVE = 0.85;
/**
 * A copy may go when the others would be used less than this. Far below GROW_ABOVE, so that a copy that
 * has just gone is not wanted back.
 */
const SHRINK_BELOW = 0.25;
/** One change at a time: the next one waits until the last one shows in the demand. */
const SETTLE_MS = 15_000;
/** Copies that demand does not need cost nothing until others need the room, so there is no hurry. */
const SHRINK_SETTLE_MS = 600_000;
/** A model that would be out of reach with one failure domain is worth this many slots of demand. */
const SPREAD_WORTH_SLOTS = 0.25;

function sumSlots(copies: readonly CopyView[]): number {
  return copies.reduce((sum, copy) => sum + copy.availableSlots, 0);
}

function moveCountOf(offer: Offer): number {
  return 1 + (offer.displacement?.models.length ?? 0);
}

type Priced = { offer: Offer; gainMs: number };

/** The offer that earns most; `worthSlots` caps what its slots are worth. */
function findBest(
  offers: readonly Offer[],
  worthSlots: number,
  limits: PlacingLimits,
): Priced | undefined {
  return offers
    .filter((offer) => offer.displacement !== null)
    .map((offer) => {
      const move = {
        gainedSlots: Math.min(worthSlots, GROW_ABOVE * offer.availableSlots),
        lostSlots: offer.displacement?.lostSlots ?? 0,
        moveCount: moveCountOf(offer),
      };
      return { offer, gainMs: shifting.netGainMs(move, limits.moveCostMs) };
    })
    .sort(
      (left, right) =>
        right.gainMs - left.gainMs || right.offer.availableSlots - left.offer.availableSlots,
    )[0];
}

function add(priced: Priced | undefined, reason: PlacingReason): CopyPlan {
  if (priced === undefined) return { kind: 'none', reason: 'no-room' };
  const { offer } = priced;
  const displaced = offer.displacement?.models ?? [];
  return { kind: 'add', reason, upstreamId: offer.upstreamId, displaced };
}

/** Offers outside the failure domains of the copies, or all when there are none outside. */
function preferOtherDomains(
  offers: readonly Offer[],
  copies: readonly CopyView[],
): readonly Offer[] {
  const taken = new Set(copies.map((copy) => copy.failureDomain));
  const others = offers.filter(
    (offer) => !taken.has(offer.failureDomain) && offer.displacement !== null,
  );
  return others.length > 0 ? others : offers;
}

/**
 * A copy in a second failure domain, where there is room for it. It displaces nothing: the model whose
 * copy it displaced would want it back for the same reason, and both would load for ever.
 */
function planSpread(
  copies: readonly CopyView[],
  offers: readonly Offer[],
  limits: PlacingLimits,
): CopyPlan | null {
  const domains = new Set(copies.map((copy) => copy.failureDomain));
  if (domains.size !== 1) return null;
  const outside = offers.filter(
    (offer) => !domains.has(offer.failureDomain) && offer.displacement?.models.length === 0,
  );
  const best = findBest(outside, SPREAD_WORTH_SLOTS, limits);
  return best !== undefined && best.gainMs > 0 ? add(best, 'one-failure-domain') : null;
}

/** A copy whose going leaves enough slots, enough copies and no fewer failure domains. */
function findSurplus(demand: DemandView, copies: readonly CopyView[]): CopyView | undefined {
  if (copies.length <= demand.minimumCopies) return undefined;
  return [...copies]
    .sort((left, right) => left.availableSlots - right.availableSlots)
    .find((copy) => {
      const rest = copies.filter((other) => other !== copy);
      const domains = new Set(rest.map((other) => other.failureDomain));
      const isSpread = domains.size > 1 || rest.length === 0;
      return isSpread && demand.neededSlots < SHRINK_BELOW * sumSlots(rest);
    });
}

/**
 * The next change to one model's copies. Made for demand that moves between models while all memory is
 * taken: copies follow it before targets are missed, and each copy that comes pays for those that go.
 * A model without any copy is loaded whatever it costs, since its callers get nothing until then.
 */
export function planCopies(
  demand: DemandView,
  copies: readonly CopyView[],
  offers: readonly Offer[],
  limits: PlacingLimits,
  nowMs: number,
): CopyPlan {
  const apart = preferOtherDomains(offers, copies);
  if (copies.length === 0) return add(findBest(offers, Infinity, limits), 'unreachable');
  if (copies.length < demand.minimumCopies) {
    return add(findBest(apart, Infinity, limits), 'below-minimum');
  }
  const isSettled = copies.every((copy) => copy.isReady) && nowMs - demand.changedAtMs >= SETTLE_MS;
  if (!isSettled) return { kind: 'none', reason: 'changed-lately' };
  const shortSlots = demand.neededSlots - GROW_ABOVE * sumSlots(copies);
  if (shortSlots > 0) {
    const near = findBest(apart, shortSlots, limits);
    const best =
      near !== undefined && near.gainMs > 0 ? near : findBest(offers, shortSlots, limits);
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

/** How a version of a model is changed on one upstream. */
export type VersionChange =
  /** Load the new version, move callers over, unload the old one. */
  | { kind: 'make-before-break' }
  /** First make room, without the old version. */
  | { kind: 'displace-first'; displaced: readonly string[] }
  /** Not here: have the new version loaded on another upstream first. */
  | { kind: 'elsewhere-first' };

/**
 * Made for a change of version while memory is full. The harm prevented: that the old copy goes before the
 * new one serves, and callers of the model wait for a load. So the old version is never among what leaves.
 */
export function planVersionChange(
  newSizeBytes: number,
  freeBytes: number,
  displace: (neededBytes: number) => displacing.Displacement | null,
): VersionChange {
  if (newSizeBytes <= freeBytes) return { kind: 'make-before-break' };
  const displacement = displace(newSizeBytes - freeBytes);
  return displacement === null
    ? { kind: 'elsewhere-first' }
    : { kind: 'displace-first', displaced: displacement.models };
}
