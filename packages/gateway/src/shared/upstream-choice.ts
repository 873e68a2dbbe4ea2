/**
 * Which upstream a request goes to, or why to none. Load: streams whose first piece is late because
 * prompts queue up to be read, and short calls that queue for few slots, while knowledge of the other
 * gateways' requests is some hundred milliseconds old. Harm prevented: a request that waits behind long
 * prompts beside an idle upstream, and one that is held until its caller leaves.
 */
import type * as placementTypes from '../types/placement.js';
import type * as upstreamStates from '../types/upstream-states.js';
import * as paces from './paces.js';
import * as plainFinish from './plain-finish.js';
import type * as plainTimes from './plain-times.js';
import type * as speeds from './speeds.js';
import * as beliefs from './upstream-beliefs.js';

export type Candidate = {
  upstreamId: string;
  failureDomain: string;
  slots: number;
  /** Requests of all gateways there, as far as known. */
  inFlightCount: number;
  /** Requests of this gateway there. */
  ownInFlightCount: number;
  /** Those as urgent as this request or more, */
  urgentCount: number;
  /** and what the unread prompts of these take to read. */
  readAheadMs: number;
  /** Tokens of this request's prompt that are probably cached there. */
  cachedTokens: number;
  belief: beliefs.Belief;
  /** What it tells of its speed and its load. */
  state: upstreamStates.UpstreamState;
  /** Calls that it takes, running and waiting, as far as its rejections have shown; null where it rejected none. */
  places: number | null;
  /** Calls that this gateway may have there whatever it knows of those of others. */
  ownShare: number;
  /** From 0 to 1, lower is better: this gateway's lasting preference among upstreams of the same figures. */
  preference?: number;
  copy: placementTypes.CopyState;
  /** For how long a `blocked` copy stays so. */
  blockedForMs: number;
  /** Why it takes nothing from this gateway for now; null where it does. */
  closed: Closed | null;
  /** Asks for a permit first. */
  isLimited: boolean;
};

export type Closed = {
  /**
   * `limited`: nothing is left of the requests that it takes a second. `paused`: it turned a request away and wants no
   * other from this gateway for a while.
   */
  reason: 'limited' | 'paused';
  /** For how long, by what is known. */
  forMs: number;
};

/**
 * `any`: wherever it is done first. `place`: where it is not expected to be rejected. `slot`: of these, where this
 * gateway has not used up its share, and beyond it while the upstreams together have few calls for their slots.
 */
export type Room = 'any' | 'place' | 'slot';

export type ChoiceRequest = {
  kind: 'model' | 'plain';
  promptTokens: number;
  /** What engines have shown to take for its model. */
  pace: paces.Pace;
  /** What calls of its service have shown to take at an upstream of usual speed; null before the first answer. */
  plainTime: plainTimes.PlainTime | null;
  /** Which upstreams a plain call may go to. */
  room: Room;
  localFailureDomain: string;
  excludedIds: ReadonlySet<string>;
  /** The longest predicted time to the first piece with which it may join a queue. */
  queueLimitMs: number;
};

export type Choice =
  | {
      kind: 'send';
      upstreamId: string;
      predictedMs: number;
      /** The same at an upstream of usual speed. */
      usualPredictedMs: number;
      /** The speed that the prediction took its upstream for. */
      speed: speeds.Speed;
      needsAdapter: boolean;
      /** It finds other requests waiting there. */
      isQueued: boolean;
      /** What the prediction was made from. */
      work: paces.Work;
      /** Better ones that are closed. */
      passedOverIds: readonly string[];
    }
  | { kind: 'model-missing' }
  /** Copies are there, but the adapter can be loaded at none of them for now. */
  | { kind: 'adapter-blocked'; forMs: number }
  | { kind: 'overloaded'; predictedMs: number }
  /** None has room of the kind that was asked for. `freeInMs`: until one is expected to have a slot. */
  | { kind: 'no-room'; freeInMs: number }
  /** All that could run it are closed. */
  | ({ kind: 'closed'; passedOverIds: readonly string[] } & Closed)
  | { kind: 'no-upstream' };

/** What a plain call takes before anything has been measured at any upstream: any figure is the same for all. */
const PLAIN_CALL_MS = 30;
/** A near upstream saves about two milliseconds of a round trip, and bytes between failure domains. */
const FAR_MS = 3;
/** Decorrelates gateways that see the same figures at the same time. */
const NOISE_SHARE = 0.1;
/**
 * Gateways that know which upstreams are quick all choose the same few between two news of each other's requests. Each
 * therefore prefers other ones.
 */
const PREFERENCE_SHARE = 0.6;
/** Upstreams whose slowness at the moment differs by less are taken for alike, and need no preference. */
const UNEVEN_FROM = 1.25;
/**
 * What it costs to have an adapter loaded first: its loading and asking for it, and the place that it
 * takes from another. Below the queues that a second place for the adapter relieves.
 */
const ADAPTER_MS = 90;
/** What asking the holder for a permit takes, and the chance that there is none. */
const PERMIT_MS = 20;
/**
 * Known calls for each slot up to which a gateway goes beyond its share. A call that waits for half a service time is
 * still in time, and slots that look taken by old news are not left idle.
 */
const CALLS_PER_SLOT = 1.5;
/** What a failed attempt costs a caller: at best it comes back once. */
const FAILURE_MS = 400;

/**
 * What a plain call is expected to take at an upstream that has answered none yet: as long as at the others. Failure:
 * a fixed figure above what the service takes. Symptom: an upstream that has joined gets nothing while the others
 * have queues.
 */
function usualCallMs(candidates: readonly Candidate[]): number {
  const known = candidates.flatMap(({ belief }) => belief.firstPieceMs ?? []).sort((a, b) => a - b);
  return known[Math.floor(known.length / 2)] ?? PLAIN_CALL_MS;
}

/** What plain calls are compared by. */
type PlainBasis = {
  /** Assumed of an upstream that has answered none yet. */
  usualMs: number;
  /** Null where no upstream tells of itself: then only what their answers took counts. */
  time: plainTimes.PlainTime | null;
};

function plainBasis(request: ChoiceRequest, candidates: readonly Candidate[]): PlainBasis {
  const isTold = candidates.some(({ state }) => plainFinish.isTelling(state));
  const time = isTold ? request.plainTime : null;
  return { usualMs: time?.meanMs ?? usualCallMs(candidates), time };
}

/** Once the call has a slot; where the upstream tells nothing, with the waits that its earlier answers had. */
function plainCallMs({ usualMs, time }: PlainBasis, candidate: Candidate): number {
  if (time === null || !plainFinish.isTelling(candidate.state)) {
    return candidate.belief.firstPieceMs ?? usualMs;
  }
  return plainFinish.callMs(time.meanMs, candidate);
}

function plainCount({ time }: PlainBasis, candidate: Candidate): number {
  return time === null ? candidate.inFlightCount : plainFinish.callsThere(candidate);
}

function workAt(request: ChoiceRequest, candidate: Candidate): paces.Work {
  const { readAheadMs, inFlightCount, urgentCount } = candidate;
  const slots = Math.max(1, candidate.slots);
  return {
    ownTokens: Math.max(0, request.promptTokens - candidate.cachedTokens),
    readAheadMs,
    inFlightCount,
    overCount: Math.max(0, urgentCount + 1 - slots),
    slots,
  };
}

function predictMs(request: ChoiceRequest, candidate: Candidate, basis: PlainBasis): number {
  switch (request.kind) {
    case 'model':
      return paces.firstPieceMsAt(request.pace, workAt(request, candidate), candidate.state);
    case 'plain': {
      const callMs = plainCallMs(basis, candidate);
      const ahead = Math.max(0, plainCount(basis, candidate) + 1 - candidate.slots);
      return callMs * (1 + ahead / Math.max(1, candidate.slots));
    }
  }
}

/**
 * What an upstream tells never leads to a refusal by itself: of the predictions with and without it, the shorter one
 * counts. One that always tells absurd figures would otherwise have every call refused.
 */
function refusalMs(request: ChoiceRequest, candidate: Candidate, basis: PlainBasis): number {
  const predictedMs = predictMs(request, candidate, basis);
  if (request.kind === 'model' || basis.time === null) return predictedMs;
  const untold = predictMs(request, candidate, { usualMs: basis.usualMs, time: null });
  return Math.min(predictedMs, untold);
}

/** The prediction without what is known of the upstream's speed. */
function usualPredictMs(request: ChoiceRequest, candidate: Candidate, basis: PlainBasis): number {
  switch (request.kind) {
    case 'model':
      return paces.firstPieceMs(request.pace, workAt(request, candidate));
    case 'plain':
      return predictMs(request, candidate, basis);
  }
}

function costMs(
  request: ChoiceRequest,
  candidate: Candidate,
  basis: PlainBasis,
  fraction: number,
  preferenceShare: number,
): number {
  const { belief } = candidate;
  const isNear = candidate.failureDomain === request.localFailureDomain;
  const occupancy = plainCount(basis, candidate) / Math.max(1, candidate.slots);
  const preference = 1 + preferenceShare * ((candidate.preference ?? 0.5) - 0.5);
  const predictedMs = predictMs(request, candidate, basis) * preference;
  const otherMs =
    (request.kind === 'plain' ? occupancy * plainCallMs(basis, candidate) : 0) +
    belief.excessMs +
    belief.failureShare * FAILURE_MS +
    (candidate.copy === 'no-adapter' ? ADAPTER_MS : 0) +
    (candidate.isLimited ? PERMIT_MS : 0) +
    (isNear ? 0 : FAR_MS);
  if (request.kind === 'plain' && basis.time !== null) {
    return plainFinish.spreadMs(predictedMs + otherMs, fraction);
  }
  return predictedMs * (1 + NOISE_SHARE * fraction) + otherMs;
}

function isUneven(candidates: readonly Candidate[]): boolean {
  const slowness = candidates.map(({ state }) => state.slowness * state.momentFactor);
  return Math.max(...slowness) > UNEVEN_FROM * Math.min(...slowness);
}

/** An upstream that broke twice gets one request at a time until it has answered one. */
function isUsable(candidate: Candidate, nowMs: number): boolean {
  const { belief } = candidate;
  if (belief.avoidUntilMs > nowMs) return false;
  return !beliefs.isAvoided(belief) || candidate.ownInFlightCount === 0;
}

function hasQueue(request: ChoiceRequest, candidate: Candidate, basis: PlainBasis): boolean {
  const { readAheadMs, inFlightCount, slots } = candidate;
  const count = request.kind === 'plain' ? plainCount(basis, candidate) : inFlightCount;
  return readAheadMs > 0 || count >= slots;
}

function preferUsable(candidates: readonly Candidate[], nowMs: number): readonly Candidate[] {
  const usable = candidates.filter((candidate) => isUsable(candidate, nowMs));
  if (usable.length > 0) return usable;
  // All are doubtful: the one whose pause ends first, since a refusal would be certain.
  const soonestMs = Math.min(...candidates.map(({ belief }) => belief.avoidUntilMs));
  return candidates.filter(({ belief }) => belief.avoidUntilMs <= soonestMs);
}

function hasPlace(candidate: Candidate, basis: PlainBasis): boolean {
  return candidate.places === null || plainCount(basis, candidate) < candidate.places;
}

/**
 * Slots are counted over all upstreams, since what is known of each alone is older than a call takes: gateways that send
 * only where a slot looks free all send to the same upstream until the next news.
 */
function hasSlot(candidates: readonly Candidate[], basis: PlainBasis): boolean {
  const sum = (of: (candidate: Candidate) => number) =>
    candidates.reduce((total, candidate) => total + of(candidate), 0);
  const count = sum((candidate) => plainCount(basis, candidate));
  return count < CALLS_PER_SLOT * sum(({ slots }) => slots);
}

function withRoom(
  { kind, room }: ChoiceRequest,
  candidates: readonly Candidate[],
  basis: PlainBasis,
): readonly Candidate[] {
  if (kind === 'model' || room === 'any') return candidates;
  const withPlace = candidates.filter((candidate) => hasPlace(candidate, basis));
  if (room === 'place') return withPlace;
  const within = withPlace.filter(({ ownInFlightCount, ownShare }) => ownInFlightCount < ownShare);
  if (within.length > 0) return within;
  return hasSlot(candidates, basis) ? withPlace : [];
}

function freeInMs(candidate: Candidate, basis: PlainBasis): number {
  const slots = Math.max(1, candidate.slots);
  const ahead = Math.max(0, plainCount(basis, candidate) + 1 - slots);
  return (ahead * plainCallMs(basis, candidate)) / slots;
}

type Ranked = { candidate: Candidate; cost: number };

/** The one that takes requests again first says when to come back. */
function allClosed(candidates: readonly Candidate[]): Choice {
  const [soonest] = candidates
    .flatMap(({ closed }) => closed ?? [])
    .sort((left, right) => left.forMs - right.forMs);
  if (soonest === undefined) return { kind: 'no-upstream' };
  const passedOverIds = candidates.map(({ upstreamId }) => upstreamId);
  return { kind: 'closed', passedOverIds, ...soonest };
}

export function chooseUpstream(
  request: ChoiceRequest,
  candidates: readonly Candidate[],
  nowMs: number,
  random: () => number,
): Choice {
  if (candidates.length === 0) return { kind: 'no-upstream' };
  const withModel = candidates.filter(({ copy }) => copy !== 'none');
  if (withModel.length === 0) return { kind: 'model-missing' };
  const open = withModel.filter(({ copy }) => copy !== 'blocked');
  if (open.length === 0) {
    const forMs = Math.min(...withModel.map(({ blockedForMs }) => blockedForMs));
    return { kind: 'adapter-blocked', forMs };
  }
  const allowed = open.filter(({ upstreamId }) => !request.excludedIds.has(upstreamId));
  if (allowed.length === 0) return { kind: 'no-upstream' };
  const taking = allowed.filter(({ closed }) => closed === null);
  if (taking.length === 0) return allClosed(allowed);
  const basis = plainBasis(request, candidates);
  const hasPreference = request.kind === 'model' && isUneven(candidates);
  const preferenceShare = hasPreference ? PREFERENCE_SHARE : 0;
  const rank = (some: readonly Candidate[]) =>
    some
      .map((candidate) => ({
        candidate,
        cost: costMs(request, candidate, basis, random(), preferenceShare),
      }))
      .sort((a, b) => a.cost - b.cost);
  const usable = preferUsable(taking, nowMs);
  const roomy = withRoom(request, usable, basis);
  if (roomy.length === 0) {
    const soonestMs = Math.min(...usable.map((candidate) => freeInMs(candidate, basis)));
    return { kind: 'no-room', freeInMs: soonestMs };
  }
  const [first] = rank(roomy);
  const { candidate: best, cost } = first as Ranked;
  const predictedMs = predictMs(request, best, basis);
  // What waits for nobody is sent however long it takes: a refusal could not make it any quicker.
  const isQueued = hasQueue(request, best, basis);
  if (isQueued && refusalMs(request, best, basis) > request.queueLimitMs) {
    return { kind: 'overloaded', predictedMs };
  }
  const needsAdapter = best.copy === 'no-adapter';
  const { upstreamId } = best;
  const closed = allowed.filter(
    (candidate) => candidate.closed !== null && isUsable(candidate, nowMs),
  );
  const passedOverIds = rank(closed)
    .filter((other) => other.cost < cost)
    .map(({ candidate }) => candidate.upstreamId);
  const work = workAt(request, best);
  return {
    kind: 'send',
    upstreamId,
    predictedMs,
    usualPredictedMs: usualPredictMs(request, best, basis),
    speed: { slowness: best.state.slowness, momentFactor: best.state.momentFactor },
    needsAdapter,
    isQueued,
    work,
    passedOverIds,
  };
}
