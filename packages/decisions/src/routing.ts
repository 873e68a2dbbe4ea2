/** Which upstream a request goes to. */
import * as rendezvous from './rendezvous.js';
import type * as types from './types.js';

/** One upstream that may serve the request, as the entry knows it. */
export type Candidate = {
  upstreamId: string;
  failureDomain: string;
  region: string;
  /** It has the model ready. */
  hasCopy: boolean;
  suspected: boolean;
  /** From its last answer, counted down since; 0 when it is not known. */
  predictedWaitMs: number;
  /** Requests of this entry that are in flight there. */
  inFlightCount: number;
  /** How many times as long it takes as the others do (see upstream-paces); 1 when left out. */
  slowness?: number;
};

export type RoutingRequest = {
  target: string;
  /** Requests with one key share a prompt prefix; empty for none. */
  prefixKey: string;
  localRegion: string;
  /** The entry's own failure domain, to break ties; left out when it does not matter. */
  localFailureDomain?: string;
  /** Upstreams that this request must not go to again. */
  excludedIds: ReadonlySet<string>;
  /** What the request takes on an upstream of usual speed; 0 when left out. */
  expectedMs?: number;
};

export type Route =
  { kind: 'send'; upstreamId: string; loadIfNeeded: boolean } | { kind: 'nowhere' };

/**
 * Another region is used once the local one would make the request wait this much longer. Made for a
 * burst in one region: without the limit it is refused beside idle upstreams; with a smaller one every
 * small queue sends prompts across regions.
 */
const REGION_PENALTY_MS = 200;
/** A tie between failure domains goes to the near one: about a round trip between two of them. */
const DOMAIN_PENALTY_MS = 2;
/** Breaks ties between upstreams whose predicted wait is the same, most often none. */
const IN_FLIGHT_PENALTY_MS = 1;
/**
 * A prefix keeps its upstream while that one holds at most this many times the mean in flight, and at
 * most this wait. Made for one popular prefix: without the bound it would pile up on one upstream. The
 * wait is about what a cached prefix of some hundred tokens saves.
 */
const AFFINITY_LOAD_FACTOR = 1.25;
const AFFINITY_WAIT_MS = 100;
/**
 * From this slowness on an upstream is drawn less: in one of `slowness` times. It is never left out, for
 * only its own answers can show that it has recovered.
 */
const SLOW_FROM = 1.5;

/** Ranks `ids` for `key` so that every process finds the same order (rendezvous hashing). */
export function rendezvousOrder(key: string, ids: readonly string[]): string[] {
  return rendezvous.order(key, ids);
}

/** Suspected upstreams may be alive and their copies the only ones: last, but not never. */
function preferSound(candidates: readonly Candidate[]): readonly Candidate[] {
  const sound = candidates.filter((candidate) => !candidate.suspected);
  return sound.length > 0 ? sound : candidates;
}

function slownessOf(candidate: Candidate): number {
  return candidate.slowness ?? 1;
}

/** What the request is expected to lose at `candidate` against an idle upstream close by. */
function costMs(request: RoutingRequest, candidate: Candidate): number {
  const isNear = candidate.failureDomain === request.localFailureDomain;
  const isLocal = candidate.region === request.localRegion;
  return (
    candidate.predictedWaitMs +
    (slownessOf(candidate) - 1) * (request.expectedMs ?? 0) +
    candidate.inFlightCount * IN_FLIGHT_PENALTY_MS +
    (isLocal ? 0 : REGION_PENALTY_MS) +
    (isNear || request.localFailureDomain === undefined ? 0 : DOMAIN_PENALTY_MS)
  );
}

function isDrawn(candidate: Candidate, random: types.RandomFraction): boolean {
  const slowness = slownessOf(candidate);
  return slowness < SLOW_FROM || random() < 1 / slowness;
}

/** Leaves most slow candidates out of this one choice; all stay when none other is left. */
function drawUsual(
  candidates: readonly Candidate[],
  random: types.RandomFraction,
): readonly Candidate[] {
  const drawn = candidates.filter((candidate) => isDrawn(candidate, random));
  return drawn.length > 0 ? drawn : candidates;
}

/**
 * The better of two different ones, drawn at random. Made for many entries whose knowledge is old: were
 * each to take the best of all, all would take the same one and bury it.
 */
function betterOfTwo(
  request: RoutingRequest,
  candidates: readonly Candidate[],
  random: types.RandomFraction,
): Candidate {
  const firstIndex = Math.floor(random() * candidates.length);
  const step = 1 + Math.floor(random() * (candidates.length - 1));
  const first = candidates[firstIndex] as Candidate;
  const second = candidates[(firstIndex + step) % candidates.length] as Candidate;
  return costMs(request, second) < costMs(request, first) ? second : first;
}

/** The upstream that most likely holds the prefix in its cache, while it is not over its share. */
function findAffine(
  request: RoutingRequest,
  candidates: readonly Candidate[],
): Candidate | undefined {
  if (request.prefixKey === '') return undefined;
  const [firstId] = rendezvous.order(
    request.prefixKey,
    candidates.map((candidate) => candidate.upstreamId),
  );
  const affine = candidates.find((candidate) => candidate.upstreamId === firstId);
  if (affine === undefined) return undefined;
  const inFlightCount = candidates.reduce((sum, other) => sum + other.inFlightCount, 0);
  const share = (AFFINITY_LOAD_FACTOR * inFlightCount) / candidates.length + 1;
  const isOverShare =
    affine.inFlightCount > share || costMs(request, affine) > AFFINITY_WAIT_MS + share;
  return isOverShare ? undefined : affine;
}

function chooseCopy(
  request: RoutingRequest,
  copies: readonly Candidate[],
  random: types.RandomFraction,
): Candidate {
  const usual = drawUsual(preferSound(copies), random);
  return findAffine(request, usual) ?? betterOfTwo(request, usual, random);
}

function preferLocal(candidates: readonly Candidate[], localRegion: string): readonly Candidate[] {
  const local = candidates.filter((candidate) => candidate.region === localRegion);
  return local.length > 0 ? local : candidates;
}

/** Chooses among `candidates`; load-on-demand where no copy is known. */
export function chooseRoute(
  request: RoutingRequest,
  candidates: readonly Candidate[],
  random: types.RandomFraction,
): Route {
  const allowed = candidates.filter((candidate) => !request.excludedIds.has(candidate.upstreamId));
  if (allowed.length === 0) return { kind: 'nowhere' };
  const copies = allowed.filter((candidate) => candidate.hasCopy);
  if (copies.length > 0) {
    const chosen = chooseCopy(request, copies, random);
    return { kind: 'send', upstreamId: chosen.upstreamId, loadIfNeeded: true };
  }
  /** Every entry must find the same upstream, or each would have a copy loaded of its own. */
  const usable = preferLocal(preferSound(allowed), request.localRegion);
  const [firstId] = rendezvous.order(
    request.target,
    usable.map((candidate) => candidate.upstreamId),
  );
  return firstId === undefined
    ? { kind: 'nowhere' }
    : { kind: 'send', upstreamId: firstId, loadIfNeeded: true };
}
