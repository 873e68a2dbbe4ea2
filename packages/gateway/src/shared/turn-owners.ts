/**
 * Which gateway grants the prefill turns of an upstream. All gateways choose the same owner by rendezvous hashing
 * over the live gateways. An owner that was killed, is paused or is cut off stays in the list of live gateways for
 * seconds, and each request that asks it would lose time, so a silent owner is skipped for a while in favour of the
 * next in order.
 */
import * as rendezvous from './rendezvous.js';

export type TurnOwners = {
  /** `liveIds`: the live gateways, including this one. */
  ownerOf: (upstreamId: string, liveIds: () => readonly string[], nowMs: number) => string;
  /** The gateway answered after all: it was only late. */
  noteAnswered: (gatewayId: string) => void;
  /** The gateway did not answer in time. Returns true if it was not known to be silent. */
  noteSilent: (gatewayId: string, nowMs: number) => boolean;
};

/**
 * Longer than a pause of the event loop or a full garbage collection, shorter than peers take to notice its absence.
 */
export const SILENT_MS = 1_500;
/**
 * Each gateway keeps a connection to every owner. If all of 410 gateways were owners, a gateway with 11 requests a
 * second would ask each of them every 37 s, and nearly every request for a turn would open a connection.
 */
const OWNERS_MAX = 64;
const OWNERS_KEY = 'turn owners';
/** How long the owners are cached before the list of live gateways is read again. */
const CACHED_MS = 250;
/**
 * An upstream gets a new id with each start, so the cache is cleared now and then to drop those that are gone.
 */
const CACHE_MAX = 4_000;

function highestScoring(key: string, ids: readonly string[]): string | undefined {
  let best: { id: string; score: string } | undefined;
  ids.forEach((id) => {
    const score = rendezvous.scoreOf(key, id);
    if (best === undefined || score > best.score) best = { id, score };
  });
  return best?.id;
}

function chooseOwners(ids: readonly string[]): readonly string[] {
  if (ids.length <= OWNERS_MAX) return ids;
  return rendezvous.highest(OWNERS_KEY, ids, (id) => id, OWNERS_MAX);
}

function isSame(left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((id, index) => id === right[index]);
}

export function createTurnOwners(selfId: string): TurnOwners {
  const silentUntilMs = new Map<string, number>();
  const cachedOwners = new Map<string, string>();
  let knownIds: readonly string[] = [];
  let candidateIds: readonly string[] = [];
  let ownerIds: readonly string[] = [];
  let cachedUntilMs = -Infinity;

  function refresh(liveIds: () => readonly string[], nowMs: number): void {
    if (nowMs < cachedUntilMs) return;
    cachedUntilMs = nowMs + CACHED_MS;
    for (const [id, untilMs] of silentUntilMs) {
      if (untilMs <= nowMs) silentUntilMs.delete(id);
    }
    const live = liveIds();
    if (!isSame(live, knownIds)) candidateIds = chooseOwners(live);
    knownIds = live;
    const nextIds = candidateIds.filter((id) => !silentUntilMs.has(id));
    // Choosing owners takes hundreds of hashes per upstream, so the cache is cleared only where the owners changed.
    if (!isSame(nextIds, ownerIds) || cachedOwners.size > CACHE_MAX) cachedOwners.clear();
    ownerIds = nextIds;
  }

  return {
    ownerOf: (upstreamId, liveIds, nowMs) => {
      refresh(liveIds, nowMs);
      const known = cachedOwners.get(upstreamId);
      if (known !== undefined) return known;
      const ownerId = highestScoring(upstreamId, ownerIds) ?? selfId;
      cachedOwners.set(upstreamId, ownerId);
      return ownerId;
    },
    noteAnswered: (gatewayId) => {
      if (silentUntilMs.delete(gatewayId)) cachedUntilMs = -Infinity;
    },
    noteSilent: (gatewayId, nowMs) => {
      if (gatewayId === selfId) return false;
      const isNew = (silentUntilMs.get(gatewayId) ?? -Infinity) <= nowMs;
      silentUntilMs.set(gatewayId, nowMs + SILENT_MS);
      cachedUntilMs = -Infinity;
      return isNew;
    },
  };
}
