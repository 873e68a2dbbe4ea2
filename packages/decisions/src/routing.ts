/** Which upstream a request goes to. */
import * as hashes from '@copperlever/runtime/hashes';

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
};

export type RoutingRequest = {
  target: string;
  prefixKey: string;
  localRegion: string;
  /** Upstreams that this request must not go to again. */
  excludedIds: ReadonlySet<string>;
};

export type Route =
  { kind: 'send'; upstreamId: string; loadIfNeeded: boolean } | { kind: 'nowhere' };

/** Ranks `ids` for `key` so that every process finds the same order (rendezvous hashing). */
export function rendezvousOrder(key: string, ids: readonly string[]): string[] {
  const scored = ids.map((id) => ({ id, score: hashes.hash32(`${key}\n${id}`) }));
  scored.sort((left, right) => right.score - left.score || (left.id < right.id ? -1 : 1));
  return scored.map((entry) => entry.id);
}

function preferUsable(candidates: readonly Candidate[], localRegion: string): Candidate[] {
  const sound = candidates.filter((candidate) => !candidate.suspected);
  const pool = sound.length > 0 ? sound : [...candidates];
  const local = pool.filter((candidate) => candidate.region === localRegion);
  return local.length > 0 ? local : pool;
}

function betterOfTwo(candidates: readonly Candidate[], random: types.RandomFraction): Candidate {
  const first = candidates[Math.floor(random() * candidates.length)] as Candidate;
  const second = candidates[Math.floor(random() * candidates.length)] as Candidate;
  const firstCost = first.predictedWaitMs + first.inFlightCount;
  const secondCost = second.predictedWaitMs + second.inFlightCount;
  return secondCost < firstCost ? second : first;
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
    const chosen = betterOfTwo(preferUsable(copies, request.localRegion), random);
    return { kind: 'send', upstreamId: chosen.upstreamId, loadIfNeeded: true };
  }
  const usable = preferUsable(allowed, request.localRegion);
  const [firstId] = rendezvousOrder(
    request.target,
    usable.map((candidate) => candidate.upstreamId),
  );
  return firstId === undefined
    ? { kind: 'nowhere' }
    : { kind: 'send', upstreamId: firstId, loadIfNeeded: true };
}
