/**
 * Chooses the upstream for a request, or gives the reason why there is none. Prompts queue to be prefilled, short calls
 * queue for few slots, and what is known of the other gateways' requests is some hundred milliseconds old. The choice
 * keeps requests from waiting behind long prompts while another upstream is idle, and refuses those that would be held
 * until their caller leaves.
 */
import type * as placementTypes from '../types/placement.js';
import type * as upstreamStates from '../types/upstream-states.js';
import * as serviceTimes from './service-times.js';
import * as plainCompletion from './plain-completion.js';
import type * as plainServiceTimes from './plain-service-times.js';
import type * as speeds from './speeds.js';
import * as upstreamHealth from './upstream-health.js';

export type Candidate = {
  upstreamId: string;
  failureDomain: string;
  slots: number;
  /** Requests of all gateways there, as far as known. */
  inFlightCount: number;
  /** Requests of this gateway there. */
  localInFlightCount: number;
  /** Requests of all gateways there that are at least as urgent as this one. */
  urgentCount: number;
  /** Time to prefill the pending prompts of those requests. */
  prefillAheadMs: number;
  /** Tokens of this request's prompt that are probably cached there. */
  cachedTokens: number;
  health: upstreamHealth.UpstreamHealth;
  /** Its speed and load, as reported and learned. */
  state: upstreamStates.UpstreamState;
  /**
   * Number of calls, running and waiting, that it accepts, as inferred from its rejections; null where it rejected
   * none.
   */
  capacity: number | null;
  /** Number of calls that this gateway may have there regardless of what it knows of other gateways' calls. */
  localShare: number;
  /** This gateway's fixed preference among upstreams with equal estimates, from 0 to 1; lower is better. */
  preference?: number;
  copy: placementTypes.CopyState;
  /** How long a `blocked` copy stays so. */
  blockedForMs: number;
  /** Why it accepts no request from this gateway for now; null where it does. */
  closed: Closed | null;
  /** Requests to it need a permit. */
  isLimited: boolean;
  /** No other upstream with a copy has its software version, while some version has several such upstreams. */
  isAloneAtVersion?: boolean;
};

export type Closed = {
  /**
   * `limited`: its requests per second are used up. `paused`: it rejected a request and asked this gateway to send no
   * other for some time.
   */
  reason: 'limited' | 'paused';
  /** The expected time until it accepts requests again. */
  forMs: number;
};

/**
 * Which upstreams are eligible for a plain call. `any`: all. `place`: those that are not expected to reject it. `slot`:
 * of these, those where this gateway has not used up its local share; the others too while all upstreams together have
 * few calls for their slots.
 */
export type Room = 'any' | 'place' | 'slot';

export type ChoiceRequest = {
  kind: 'model' | 'plain';
  promptTokens: number;
  /** The learned service times of its model. */
  serviceTimes: serviceTimes.ServiceTimes;
  /** The learned service time of calls of its service at an upstream of average speed; null before the first answer. */
  plainServiceTime: plainServiceTimes.PlainServiceTime | null;
  /** Which upstreams are eligible for a plain call. */
  room: Room;
  localFailureDomain: string;
  excludedIds: ReadonlySet<string>;
  /** The longest predicted time to the first chunk with which it may join a queue. */
  queueLimitMs: number;
};

export type Choice =
  | {
      kind: 'send';
      upstreamId: string;
      predictedMs: number;
      /** The prediction for an upstream of average speed. */
      baselinePredictedMs: number;
      /** The speed of the upstream that the prediction is based on. */
      speed: speeds.Speed;
      needsAdapter: boolean;
      /** Other requests are waiting there. */
      isQueued: boolean;
      /** The inputs of the prediction. */
      predictionInputs: serviceTimes.PredictionInputs;
      /** Upstreams that would have been better but are closed. */
      passedOverIds: readonly string[];
    }
  | { kind: 'model-missing' }
  /** Copies exist, but the adapter can be loaded at none of them for now. */
  | { kind: 'adapter-blocked'; forMs: number }
  | { kind: 'overloaded'; predictedMs: number }
  /** No upstream is eligible under the requested `room`. `freeInMs`: expected time until one has a free slot. */
  | { kind: 'no-room'; freeInMs: number }
  /** All upstreams that could run it are closed. */
  | ({ kind: 'closed'; passedOverIds: readonly string[] } & Closed)
  | { kind: 'no-upstream' };

/**
 * Duration that is assumed for a plain call before any upstream has answered one. Its value does not matter, since it
 * is the same for all.
 */
const DEFAULT_PLAIN_CALL_MS = 30;
/**
 * An upstream in the same failure domain saves about two milliseconds of round trip, and traffic between failure
 * domains.
 */
const CROSS_DOMAIN_MS = 3;
/** Random spread that decorrelates gateways which see the same figures at the same time. */
const NOISE_SHARE = 0.1;
/**
 * Gateways that know which upstreams are fast would all choose the same few between two updates about each other's
 * requests. Each gateway therefore prefers different ones.
 */
const PREFERENCE_SHARE = 0.6;
/** Upstreams whose current speeds differ by a smaller ratio count as equal, and no preference applies. */
const UNEVEN_MIN_RATIO = 1.25;
/**
 * Cost of having an adapter loaded first: requesting and loading it, and the adapter slot that it takes from another.
 * It is below the queueing time that a second copy of the adapter saves.
 */
const ADAPTER_LOAD_COST_MS = 90;
/** Cost of requesting a permit from the holder, including the chance that none is available. */
const PERMIT_COST_MS = 20;
/**
 * Known calls per slot up to which a gateway exceeds its local share. A call that waits for half a service time is
 * still in time, and slots that only look taken because of old updates are not left idle.
 */
const MAX_CALLS_PER_SLOT = 1.5;
/** A twentieth of the cost of a failed attempt: an estimate of how many streams break off and cannot go on. */
const ALONE_AT_VERSION_COST_MS = 20;
/** Cost of a failed attempt to the caller, which at best has to come back once. */
const FAILURE_COST_MS = 400;

/**
 * Expected duration of a plain call at an upstream that has not answered any yet: the median over the others. With a
 * fixed duration above what the service takes, an upstream that has just joined would get no calls while the others
 * have queues.
 */
function medianCallMs(candidates: readonly Candidate[]): number {
  const knownMs = candidates
    .flatMap(({ health: belief }) => belief.firstChunkMs ?? [])
    .sort((a, b) => a - b);
  return knownMs[Math.floor(knownMs.length / 2)] ?? DEFAULT_PLAIN_CALL_MS;
}

/** Inputs for the comparison of plain calls. */
type PlainInputs = {
  /** Assumed for an upstream that has answered none yet. */
  defaultCallMs: number;
  /**
   * The learned service time; null where no upstream reports its state, in which case only the times of its own answers
   * count.
   */
  time: plainServiceTimes.PlainServiceTime | null;
};

function createPlainInputs(request: ChoiceRequest, candidates: readonly Candidate[]): PlainInputs {
  const hasReports = candidates.some(({ state }) => plainCompletion.reportsState(state));
  const time = hasReports ? request.plainServiceTime : null;
  return { defaultCallMs: time?.meanMs ?? medianCallMs(candidates), time };
}

/**
 * Expected duration once the call has a slot. Where the upstream reports no state, it includes the waits of its earlier
 * answers.
 */
function expectedPlainCallMs({ defaultCallMs, time }: PlainInputs, candidate: Candidate): number {
  if (time === null || !plainCompletion.reportsState(candidate.state)) {
    return candidate.health.firstChunkMs ?? defaultCallMs;
  }
  return plainCompletion.expectedCallMs(time.meanMs, candidate);
}

function plainCallCount({ time }: PlainInputs, candidate: Candidate): number {
  return time === null ? candidate.inFlightCount : plainCompletion.callCount(candidate);
}

function predictionInputsAt(
  request: ChoiceRequest,
  candidate: Candidate,
): serviceTimes.PredictionInputs {
  const { prefillAheadMs: readAheadMs, inFlightCount, urgentCount } = candidate;
  const slots = Math.max(1, candidate.slots);
  return {
    uncachedTokens: Math.max(0, request.promptTokens - candidate.cachedTokens),
    prefillAheadMs: readAheadMs,
    inFlightCount,
    slotWaiterCount: Math.max(0, urgentCount + 1 - slots),
    slots,
  };
}

function predictMs(request: ChoiceRequest, candidate: Candidate, plainInputs: PlainInputs): number {
  switch (request.kind) {
    case 'model':
      return serviceTimes.predictFirstChunkMsAtSpeed(
        request.serviceTimes,
        predictionInputsAt(request, candidate),
        candidate.state,
      );
    case 'plain': {
      const callMs = expectedPlainCallMs(plainInputs, candidate);
      const ahead = Math.max(0, plainCallCount(plainInputs, candidate) + 1 - candidate.slots);
      return callMs * (1 + ahead / Math.max(1, candidate.slots));
    }
  }
}

/**
 * The prediction that a refusal is based on: the shorter of the predictions with and without the upstream's reports, so
 * that reports alone never lead to a refusal. An upstream that always reports absurd figures would otherwise have every
 * call refused.
 */
function refusalPredictionMs(
  request: ChoiceRequest,
  candidate: Candidate,
  plainInputs: PlainInputs,
): number {
  const predictedMs = predictMs(request, candidate, plainInputs);
  if (request.kind === 'model' || plainInputs.time === null) return predictedMs;
  const withoutReportsMs = predictMs(request, candidate, {
    defaultCallMs: plainInputs.defaultCallMs,
    time: null,
  });
  return Math.min(predictedMs, withoutReportsMs);
}

/** The prediction without the upstream's known speed. */
function predictBaselineMs(
  request: ChoiceRequest,
  candidate: Candidate,
  plainInputs: PlainInputs,
): number {
  switch (request.kind) {
    case 'model':
      return serviceTimes.predictFirstChunkMs(
        request.serviceTimes,
        predictionInputsAt(request, candidate),
      );
    case 'plain':
      return predictMs(request, candidate, plainInputs);
  }
}

function costMs(
  request: ChoiceRequest,
  candidate: Candidate,
  plainInputs: PlainInputs,
  fraction: number,
  preferenceShare: number,
): number {
  const { health: belief } = candidate;
  const isSameDomain = candidate.failureDomain === request.localFailureDomain;
  const occupancy = plainCallCount(plainInputs, candidate) / Math.max(1, candidate.slots);
  const preference = 1 + preferenceShare * ((candidate.preference ?? 0.5) - 0.5);
  const predictedMs = predictMs(request, candidate, plainInputs) * preference;
  const otherMs =
    (request.kind === 'plain' ? occupancy * expectedPlainCallMs(plainInputs, candidate) : 0) +
    belief.excessLatencyMs +
    belief.failureRate * FAILURE_COST_MS +
    (candidate.copy === 'no-adapter' ? ADAPTER_LOAD_COST_MS : 0) +
    (candidate.isLimited ? PERMIT_COST_MS : 0) +
    (candidate.isAloneAtVersion === true ? ALONE_AT_VERSION_COST_MS : 0) +
    (isSameDomain ? 0 : CROSS_DOMAIN_MS);
  if (request.kind === 'plain' && plainInputs.time !== null) {
    return plainCompletion.randomizedCostMs(predictedMs + otherMs, fraction);
  }
  return predictedMs * (1 + NOISE_SHARE * fraction) + otherMs;
}

function areSpeedsUneven(candidates: readonly Candidate[]): boolean {
  const latencyRatios = candidates.map(({ state }) => state.latencyRatio * state.transientFactor);
  return Math.max(...latencyRatios) > UNEVEN_MIN_RATIO * Math.min(...latencyRatios);
}

/** An ejected upstream gets one request at a time until it has answered one. */
function isUsable(candidate: Candidate, nowMs: number): boolean {
  const { health: belief } = candidate;
  if (belief.backoffUntilMs > nowMs) return false;
  return !upstreamHealth.isEjected(belief) || candidate.localInFlightCount === 0;
}

function hasQueue(request: ChoiceRequest, candidate: Candidate, plainInputs: PlainInputs): boolean {
  const { prefillAheadMs: readAheadMs, inFlightCount, slots } = candidate;
  const count = request.kind === 'plain' ? plainCallCount(plainInputs, candidate) : inFlightCount;
  return readAheadMs > 0 || count >= slots;
}

function preferUsable(candidates: readonly Candidate[], nowMs: number): readonly Candidate[] {
  const usable = candidates.filter((candidate) => isUsable(candidate, nowMs));
  if (usable.length > 0) return usable;
  // All are in backoff: take the one whose backoff ends first, since a refusal would be a certain failure.
  const soonestMs = Math.min(...candidates.map(({ health: belief }) => belief.backoffUntilMs));
  return candidates.filter(({ health: belief }) => belief.backoffUntilMs <= soonestMs);
}

function hasCapacity(candidate: Candidate, plainInputs: PlainInputs): boolean {
  return candidate.capacity === null || plainCallCount(plainInputs, candidate) < candidate.capacity;
}

/**
 * Slots are counted over all upstreams together, because what is known of each one is older than a call takes: gateways
 * that send only where a slot looks free would all send to the same upstream until the next update.
 */
function haveFreeSlots(candidates: readonly Candidate[], plainInputs: PlainInputs): boolean {
  const sum = (countOf: (candidate: Candidate) => number) =>
    candidates.reduce((total, candidate) => total + countOf(candidate), 0);
  const count = sum((candidate) => plainCallCount(plainInputs, candidate));
  return count < MAX_CALLS_PER_SLOT * sum(({ slots }) => slots);
}

function withRoom(
  { kind, room }: ChoiceRequest,
  candidates: readonly Candidate[],
  plainInputs: PlainInputs,
): readonly Candidate[] {
  if (kind === 'model' || room === 'any') return candidates;
  const withCapacity = candidates.filter((candidate) => hasCapacity(candidate, plainInputs));
  if (room === 'place') return withCapacity;
  const withinLocalShare = withCapacity.filter(
    ({ localInFlightCount: ownInFlightCount, localShare: ownShare }) => ownInFlightCount < ownShare,
  );
  if (withinLocalShare.length > 0) return withinLocalShare;
  return haveFreeSlots(candidates, plainInputs) ? withCapacity : [];
}

function freeInMs(candidate: Candidate, plainInputs: PlainInputs): number {
  const slots = Math.max(1, candidate.slots);
  const ahead = Math.max(0, plainCallCount(plainInputs, candidate) + 1 - slots);
  return (ahead * expectedPlainCallMs(plainInputs, candidate)) / slots;
}

type Ranked = { candidate: Candidate; cost: number };

/** Reports the time of the upstream that accepts requests again first. */
function allClosedChoice(candidates: readonly Candidate[]): Choice {
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
  const available = allowed.filter(({ closed }) => closed === null);
  if (available.length === 0) return allClosedChoice(allowed);
  const plainInputs = createPlainInputs(request, candidates);
  const hasPreference = request.kind === 'model' && areSpeedsUneven(candidates);
  const preferenceShare = hasPreference ? PREFERENCE_SHARE : 0;
  const rank = (toRank: readonly Candidate[]) =>
    toRank
      .map((candidate) => ({
        candidate,
        cost: costMs(request, candidate, plainInputs, random(), preferenceShare),
      }))
      .sort((a, b) => a.cost - b.cost);
  const usable = preferUsable(available, nowMs);
  const eligible = withRoom(request, usable, plainInputs);
  if (eligible.length === 0) {
    const soonestMs = Math.min(...usable.map((candidate) => freeInMs(candidate, plainInputs)));
    return { kind: 'no-room', freeInMs: soonestMs };
  }
  const [cheapest] = rank(eligible);
  const { candidate: best, cost } = cheapest as Ranked;
  const predictedMs = predictMs(request, best, plainInputs);
  // A request that does not queue is sent however long it takes, since a refusal could not make it any faster.
  const isQueued = hasQueue(request, best, plainInputs);
  if (isQueued && refusalPredictionMs(request, best, plainInputs) > request.queueLimitMs) {
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
  const predictionInputs = predictionInputsAt(request, best);
  return {
    kind: 'send',
    upstreamId,
    predictedMs,
    baselinePredictedMs: predictBaselineMs(request, best, plainInputs),
    speed: { latencyRatio: best.state.latencyRatio, transientFactor: best.state.transientFactor },
    needsAdapter,
    isQueued,
    predictionInputs,
    passedOverIds,
  };
}

/** Marks candidates whose streams no other candidate could resume; `versions` are their software versions, in the same order. */
export function withVersionPeers(
  candidates: readonly Candidate[],
  versions: readonly string[],
): readonly Candidate[] {
  const counts = new Map<string, number>();
  candidates.forEach(({ copy }, index) => {
    const version = versions[index] ?? '';
    if (copy !== 'none') counts.set(version, (counts.get(version) ?? 0) + 1);
  });
  const hasPeers = counts.size > 1 && [...counts.values()].some((count) => count > 1);
  if (!hasPeers) return candidates;
  return candidates.map((candidate, index) => {
    const isAloneAtVersion = counts.get(versions[index] ?? '') === 1;
    return { ...candidate, isAloneAtVersion };
  });
}
