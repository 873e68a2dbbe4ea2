/**
 * What this gateway may send to a limited upstream while it receives no replies from the lease holder. A few
 * gateways, on which all gateways that know each other agree, each use an equal part of half of the limit. The others
 * send nothing.
 */
import * as rendezvous from './rendezvous.js';

/** The gateways that share the limit. */
export type FleetView = {
  /** The gateways with recent contact, including this one. */
  knownIds: readonly string[];
  /** The stored number of gateways. A gateway that has just started knows fewer. */
  size: number;
};

export type LocalPermits = {
  /** Whether a permit is available. `holderSilentMs`: how long the holder has given none. */
  isAvailable: (upstreamId: string, rate: number, holderSilentMs: number, nowMs: number) => boolean;
  take: (upstreamId: string, rate: number, holderSilentMs: number, nowMs: number) => boolean;
  /** The holder replies again, so the permits accumulated here are the holder's to give. */
  clear: () => void;
};

/** Each of them may send one request at once. */
const ELECTED_COUNT = 4;
/** The other half is for gateways that still receive replies from a holder. */
const FALLBACK_SHARE = 0.5;
const MS_PER_SECOND = 1_000;

type LocalBucket = { level: number; filledMs: number };

/** The same order at every gateway that knows the same gateways. */
function rank(upstreamId: string, gatewayIds: readonly string[]): string[] {
  return gatewayIds
    .map((id) => ({ id, score: rendezvous.scoreOf(upstreamId, id) }))
    .sort((left, right) => (left.score < right.score ? -1 : 1))
    .map(({ id }) => id);
}

export function createLocalPermits(
  selfId: string,
  fleet: (nowMs: number) => FleetView,
): LocalPermits {
  const buckets = new Map<string, LocalBucket>();

  /** A gateway that knows too few gateways leaves the limit to the others. */
  function shareOf(upstreamId: string, nowMs: number): number {
    const { knownIds, size } = fleet(nowMs);
    if (knownIds.length < size) return 0;
    const electedIds = rank(upstreamId, knownIds).slice(0, ELECTED_COUNT);
    return electedIds.includes(selfId) ? FALLBACK_SHARE / electedIds.length : 0;
  }

  function refilled(
    upstreamId: string,
    rate: number,
    holderSilentMs: number,
    nowMs: number,
  ): LocalBucket {
    const bucket = buckets.get(upstreamId) ?? { level: 0, filledMs: nowMs };
    buckets.set(upstreamId, bucket);
    const sinceMs = Math.min(nowMs - bucket.filledMs, holderSilentMs);
    const gained = (rate * shareOf(upstreamId, nowMs) * sinceMs) / MS_PER_SECOND;
    bucket.level = Math.min(1, bucket.level + gained);
    bucket.filledMs = nowMs;
    return bucket;
  }

  return {
    isAvailable: (upstreamId, rate, holderSilentMs, nowMs) =>
      refilled(upstreamId, rate, holderSilentMs, nowMs).level >= 1,
    take: (upstreamId, rate, holderSilentMs, nowMs) => {
      const bucket = refilled(upstreamId, rate, holderSilentMs, nowMs);
      if (bucket.level < 1) return false;
      bucket.level -= 1;
      return true;
    },
    clear: () => buckets.clear(),
  };
}
