/** Decides which upstream a request is sent to. */
import * as rendezvous from './rendezvous.js';
import type * as types from './types.js';

/** An upstream that may serve the request, as known to the entry. */
export type Candidate = {
  upstreamId: string;
  failureDomain: string;
  region: string;
  /** The upstream has the model ready. */
  hasCopy: boolean;
  suspected: boolean;
  /** As reported in its last answer, reduced by the time since; 0 if not known. */
  predictedWaitMs: number;
  /** Requests of this entry in flight there. */
  inFlightCount: number;
  /** Ratio of its latencies to those of the other upstreams (see `latency-ratios.ts`); 1 if left out. */
  latencyRatio?: number;
};

export type RoutingRequest = {
  target: string;
  /** Requests with the same key share a prompt prefix; empty for none. */
  prefixKey: string;
  localRegion: string;
  /** The entry's own failure domain, used to break ties; left out if it does not matter. */
  localFailureDomain?: string;
  /** Upstreams that this request must not be sent to again. */
  excludedIds: ReadonlySet<string>;
  /** Service time of the request on an upstream of average speed; 0 if left out. */
  expectedMs?: number;
};

export type Route =
  { kind: 'send'; upstreamId: string; loadIfNeeded: boolean } | { kind: 'nowhere' };

/**
 * Another region is used if the wait in the local one would be longer by this much. If other regions were never used, a
 * burst in one region would be refused while upstreams elsewhere are idle; with a smaller value, every short queue
 * would send prompts across regions.
 */
const REGION_PENALTY_MS = 200;
/** Breaks ties in favor of the local failure domain: about one round trip between two domains. */
const DOMAIN_PENALTY_MS = 2;
/** Breaks ties between upstreams with the same predicted wait, which is mostly none. */
const IN_FLIGHT_PENALTY_MS = 1;
/**
 * Requests with the same prefix stay on one upstream while it has at most this many times the average number of
 * requests in flight, and at most this wait. Without a limit, a popular prefix would overload its upstream. The wait is
 * about what a cached prefix of a few hundred tokens saves.
 */
const AFFINITY_LOAD_FACTOR = 1.25;
const AFFINITY_WAIT_MS = 100;
/**
 * From this ratio on, an upstream is considered for only one in `latencyRatio` choices. It is never excluded, since
 * only its own answers can show that it has recovered.
 */
const SLOW_RATIO = 1.5;

/** Orders `ids` for `key` by rendezvous hashing, the same in every process. */
export function rendezvousOrder(key: string, ids: readonly string[]): string[] {
  return rendezvous.order(key, ids);
}

/** Suspected upstreams may be alive and may have the only copies, so they are used if there are no others. */
function preferUnsuspected(candidates: readonly Candidate[]): readonly Candidate[] {
  const unsuspected = candidates.filter((candidate) => !candidate.suspected);
  return unsuspected.length > 0 ? unsuspected : candidates;
}

function latencyRatioOf(candidate: Candidate): number {
  return candidate.latencyRatio ?? 1;
}

/** Expected delay of the request at `candidate` compared with an idle upstream in the local failure domain. */
function costMs(request: RoutingRequest, candidate: Candidate): number {
  const isSameDomain = candidate.failureDomain === request.localFailureDomain;
  const isLocal = candidate.region === request.localRegion;
  return (
    candidate.predictedWaitMs +
    (latencyRatioOf(candidate) - 1) * (request.expectedMs ?? 0) +
    candidate.inFlightCount * IN_FLIGHT_PENALTY_MS +
    (isLocal ? 0 : REGION_PENALTY_MS) +
    (isSameDomain || request.localFailureDomain === undefined ? 0 : DOMAIN_PENALTY_MS)
  );
}

function isSampled(candidate: Candidate, random: types.RandomFraction): boolean {
  const latencyRatio = latencyRatioOf(candidate);
  return latencyRatio < SLOW_RATIO || random() < 1 / latencyRatio;
}

/** Leaves most slow candidates out of this choice; keeps all if no others remain. */
function sampleBySpeed(
  candidates: readonly Candidate[],
  random: types.RandomFraction,
): readonly Candidate[] {
  const sampled = candidates.filter((candidate) => isSampled(candidate, random));
  return sampled.length > 0 ? sampled : candidates;
}

/**
 * Returns the better of two different random candidates. The data of the entries is outdated; if each of many entries
 * chose the best of all upstreams, all would choose the same one and overload it.
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

/** The upstream that most likely has the prefix cached, unless it is above its share. */
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
  const sampled = sampleBySpeed(preferUnsuspected(copies), random);
  return findAffine(request, sampled) ?? betterOfTwo(request, sampled, random);
}

function preferLocal(candidates: readonly Candidate[], localRegion: string): readonly Candidate[] {
  const local = candidates.filter((candidate) => candidate.region === localRegion);
  return local.length > 0 ? local : candidates;
}

/** Chooses one of `candidates`. If none has a copy, the chosen upstream loads the model on demand. */
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
  /** Every entry must choose the same upstream; otherwise each would cause a separate copy to be loaded. */
  const usable = preferLocal(preferUnsuspected(allowed), request.localRegion);
  const [firstId] = rendezvous.order(
    request.target,
    usable.map((candidate) => candidate.upstreamId),
  );
  return firstId === undefined
    ? { kind: 'nowhere' }
    : { kind: 'send', upstreamId: firstId, loadIfNeeded: true };
}
