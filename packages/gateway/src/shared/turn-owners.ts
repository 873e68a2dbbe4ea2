/**
 * Which gateway gives the prefill turns of an upstream. Every gateway finds the same one by rendezvous hashing over those
 * that live. Failure: an owner that was killed, is paused or cut off stays in the list of live gateways for seconds, and
 * each request that asks it loses time. A silent owner is passed over for a while in favour of the next in order.
 */
import * as hashes from '@copperlever/runtime/hashes';

export type TurnOwners = {
  /** `liveIds`: the gateways that live, this one among them. */
  ownerOf: (upstreamId: string, liveIds: () => readonly string[], nowMs: number) => string;
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

function scoreOf(key: string, id: string): number {
  return hashes.hash32(`${key}\n${id}`);
}

function first(key: string, ids: readonly string[]): string | undefined {
  let best: { id: string; score: number } | undefined;
  ids.forEach((id) => {
    const score = scoreOf(key, id);
    const isBetter =
      best === undefined || score > best.score || (score === best.score && id < best.id);
    if (isBetter) best = { id, score };
  });
  return best?.id;
}

function chooseOwners(ids: readonly string[]): readonly string[] {
  if (ids.length <= OWNERS_MAX) return ids;
  return ids
    .map((id) => ({ id, score: scoreOf(OWNERS_KEY, id) }))
    .sort((left, right) => right.score - left.score || (left.id < right.id ? -1 : 1))
    .slice(0, OWNERS_MAX)
    .map(({ id }) => id);
}

export function createTurnOwners(selfId: string): TurnOwners {
  const silentUntilMs = new Map<string, number>();
  const kept = new Map<string, string>();
  let ownerIds: readonly string[] = [];
  let keptUntilMs = -Infinity;

  function refresh(liveIds: () => readonly string[], nowMs: number): void {
    if (nowMs < keptUntilMs) return;
    kept.clear();
    keptUntilMs = nowMs + KEPT_MS;
    for (const [id, untilMs] of silentUntilMs) {
      if (untilMs <= nowMs) silentUntilMs.delete(id);
    }
    ownerIds = chooseOwners(liveIds()).filter((id) => !silentUntilMs.has(id));
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
    noteSilent: (gatewayId, nowMs) => {
      if (gatewayId === selfId) return false;
      const isNew = (silentUntilMs.get(gatewayId) ?? -Infinity) <= nowMs;
      silentUntilMs.set(gatewayId, nowMs + SILENT_MS);
      keptUntilMs = -Infinity;
      return isNew;
    },
  };
}
