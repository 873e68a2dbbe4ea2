/**
 * Which gateway gives the prefill turns of an upstream. Every gateway finds the same one by rendezvous hashing over those
 * that live. Failure: an owner that was killed, is paused or cut off stays in the list of live gateways for seconds, and
 * each request that asks it loses time. A silent owner is passed over for a while in favour of the next in order.
 */
import * as rendezvous from './rendezvous.js';

export type TurnOwners = {
  /** `liveIds`: the gateways that live, this one among them. */
  ownerOf: (upstreamId: string, liveIds: () => readonly string[], nowMs: number) => string;
  /** It answered after all: it was only late. */
  noteHeard: (gatewayId: string) => void;
  /** It did not answer in time; true if it was not known to be silent. */
  noteSilent: (gatewayId: string, nowMs: number) => boolean;
};

/** Longer than a pause of the event loop or a full collection of garbage, shorter than the peers take to miss it. */
export const SILENT_MS = 1_500;
/**
 * Each gateway keeps a connection to every owner. With all of 410 gateways as owners, a gateway with 11 requests a second
 * asks each of them every 37 s, and nearly every question would open a connection.
 */
const OWNERS_MAX = 64;
const OWNERS_KEY = 'turn owners';
/** How long an owner is kept before the list of live gateways is looked at again. */
const KEPT_MS = 250;
/** Upstreams get another id with each start: those that have gone are forgotten at some time. */
const KEPT_MAX = 4_000;

function first(key: string, ids: readonly string[]): string | undefined {
  let best: { id: string; score: string } | undefined;
  ids.forEach((id) => {
    const score = rendezvous.scoreOf(key, id);
    if (best === undefined || score > best.score) best = { id, score };
  });
  return best?.id;
}

function chooseOwners(ids: readonly string[]): readonly string[] {
  if (ids.length <= OWNERS_MAX) return ids;
  return ids
    .map((id) => ({ id, score: rendezvous.scoreOf(OWNERS_KEY, id) }))
    .sort((left, right) => (left.score > right.score ? -1 : 1))
    .slice(0, OWNERS_MAX)
    .map(({ id }) => id);
}

function isSame(left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((id, index) => id === right[index]);
}

export function createTurnOwners(selfId: string): TurnOwners {
  const silentUntilMs = new Map<string, number>();
  const kept = new Map<string, string>();
  let knownIds: readonly string[] = [];
  let candidateIds: readonly string[] = [];
  let ownerIds: readonly string[] = [];
  let keptUntilMs = -Infinity;

  function refresh(liveIds: () => readonly string[], nowMs: number): void {
    if (nowMs < keptUntilMs) return;
    keptUntilMs = nowMs + KEPT_MS;
    for (const [id, untilMs] of silentUntilMs) {
      if (untilMs <= nowMs) silentUntilMs.delete(id);
    }
    const live = liveIds();
    if (!isSame(live, knownIds)) candidateIds = chooseOwners(live);
    knownIds = live;
    const nextIds = candidateIds.filter((id) => !silentUntilMs.has(id));
    // Hundreds of hashes for each upstream: only where the owners have changed.
    if (!isSame(nextIds, ownerIds) || kept.size > KEPT_MAX) kept.clear();
    ownerIds = nextIds;
  }

  return {
    ownerOf: (upstreamId, liveIds, nowMs) => {
      refresh(liveIds, nowMs);
      const known = kept.get(upstreamId);
      if (known !== undefined) return known;
      const ownerId = first(upstreamId, ownerIds) ?? selfId;
      kept.set(upstreamId, ownerId);
      return ownerId;
    },
    noteHeard: (gatewayId) => {
      if (silentUntilMs.delete(gatewayId)) keptUntilMs = -Infinity;
    },
    noteSilent: (gatewayId, nowMs) => {
      if (gatewayId === selfId) return false;
      const isNew = (silentUntilMs.get(gatewayId) ?? -Infinity) <= nowMs;
      silentUntilMs.set(gatewayId, nowMs + SILENT_MS);
      keptUntilMs = -Infinity;
      return isNew;
    },
  };
}
