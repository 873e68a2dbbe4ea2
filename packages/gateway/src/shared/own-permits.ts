/**
 * What this gateway may send to a limited upstream while it hears no holder of the lease. A few gateways, on which all
 * that know each other agree, count on an equal part of half of the limit; the others send nothing.
 */
import * as rendezvous from './rendezvous.js';

/** The gateways that share what there is. */
export type FleetView = {
  /** Those that are heard, this one among them. */
  knownIds: readonly string[];
  /** As many as there are by what was written down; one that starts knows fewer. */
  size: number;
};

export type OwnPermits = {
  /** Whether one could be taken; `unheardMs`: for how long nobody has given any. */
  isLeft: (upstreamId: string, rate: number, unheardMs: number, nowMs: number) => boolean;
  take: (upstreamId: string, rate: number, unheardMs: number, nowMs: number) => boolean;
  /** The holder is heard: what had been gained is its to give. */
  clear: () => void;
};

/** Each may have one request at once. */
const ELECTED_COUNT = 4;
/** The rest is left for gateways that still hear a holder. */
const UNHEARD_SHARE = 0.5;
const MS_PER_SECOND = 1_000;

type Part = { level: number; filledMs: number };

/** The same at every gateway that knows the same ones. */
function rank(upstreamId: string, gatewayIds: readonly string[]): string[] {
  return gatewayIds
    .map((id) => ({ id, score: rendezvous.scoreOf(upstreamId, id) }))
    .sort((left, right) => (left.score < right.score ? -1 : 1))
    .map(({ id }) => id);
}

export function createOwnPermits(selfId: string, fleet: (nowMs: number) => FleetView): OwnPermits {
  const parts = new Map<string, Part>();

  /** One that knows too few leaves it to the others. */
  function shareOf(upstreamId: string, nowMs: number): number {
    const { knownIds, size } = fleet(nowMs);
    if (knownIds.length < size) return 0;
    const electedIds = rank(upstreamId, knownIds).slice(0, ELECTED_COUNT);
    return electedIds.includes(selfId) ? UNHEARD_SHARE / electedIds.length : 0;
  }

  function refilled(upstreamId: string, rate: number, unheardMs: number, nowMs: number): Part {
    const part = parts.get(upstreamId) ?? { level: 0, filledMs: nowMs };
    parts.set(upstreamId, part);
    const sinceMs = Math.min(nowMs - part.filledMs, unheardMs);
    const gained = (rate * shareOf(upstreamId, nowMs) * sinceMs) / MS_PER_SECOND;
    part.level = Math.min(1, part.level + gained);
    part.filledMs = nowMs;
    return part;
  }

  return {
    isLeft: (upstreamId, rate, unheardMs, nowMs) =>
      refilled(upstreamId, rate, unheardMs, nowMs).level >= 1,
    take: (upstreamId, rate, unheardMs, nowMs) => {
      const part = refilled(upstreamId, rate, unheardMs, nowMs);
      if (part.level < 1) return false;
      part.level -= 1;
      return true;
    },
    clear: () => parts.clear(),
  };
}
