/**
 * Which upstreams several gateways avoid. Load: upstreams crash without a word, and the platform lists them for
 * three heartbeats more. Harm prevented: the holder counts the copies of a dead upstream all the while, and a
 * model that stood only there is refused for seconds longer than a load takes. One gateway alone proves nothing:
 * its own path to the upstream may be cut.
 */
export type Suspects = {
  /** What a gateway avoids now; replaces what it told before. */
  heard: (gatewayId: string, avoidedIds: readonly string[], nowMs: number) => void;
  /** Whether enough of `gatewayCount` gateways avoid it. */
  isSuspect: (upstreamId: string, gatewayCount: number, nowMs: number) => boolean;
};

/** Several exchanges with the holder; older news says nothing of an upstream that may be back. */
const VALID_MS = 1_500;
/** Two paths that break within this time are seldom both cut while the upstream serves others. */
const GATEWAYS_NEEDED = 2;

export function createSuspects(): Suspects {
  const avoided = new Map<string, { ids: ReadonlySet<string>; atMs: number }>();
  return {
    heard: (gatewayId, avoidedIds, nowMs) => {
      avoided.set(gatewayId, { ids: new Set(avoidedIds), atMs: nowMs });
    },
    isSuspect: (upstreamId, gatewayCount, nowMs) => {
      const count = [...avoided.values()].filter(
        ({ ids, atMs }) => nowMs - atMs <= VALID_MS && ids.has(upstreamId),
      ).length;
      return count >= Math.min(GATEWAYS_NEEDED, gatewayCount);
    },
  };
}
