/**
 * Determines which upstreams several gateways have ejected. Upstreams crash without notice, and the platform goes on
 * listing them for three heartbeats. During that time the holder would count the copies of a dead upstream, and a model
 * that had its only copy there would be refused for seconds longer than a load takes. A single gateway is not
 * sufficient evidence, since its own path to the upstream may be cut.
 */
export type SharedEjections = {
  /** Applies the list of upstreams that a gateway has ejected; replaces its earlier list. */
  applyReport: (gatewayId: string, ejectedIds: readonly string[], nowMs: number) => void;
  /** Whether enough of `gatewayCount` gateways have ejected it. */
  isEjectedBySeveral: (upstreamId: string, gatewayCount: number, nowMs: number) => boolean;
};

/** Several exchange intervals; older reports say nothing about an upstream that may have recovered. */
const VALID_MS = 1_500;
/** It is unlikely that two paths are cut within this time while the upstream serves others. */
const MIN_GATEWAYS = 2;

export function createSharedEjections(): SharedEjections {
  const reports = new Map<string, { ids: ReadonlySet<string>; atMs: number }>();
  return {
    applyReport: (gatewayId, ejectedIds, nowMs) => {
      reports.set(gatewayId, { ids: new Set(ejectedIds), atMs: nowMs });
    },
    isEjectedBySeveral: (upstreamId, gatewayCount, nowMs) => {
      const count = [...reports.values()].filter(
        ({ ids, atMs }) => nowMs - atMs <= VALID_MS && ids.has(upstreamId),
      ).length;
      return count >= Math.min(MIN_GATEWAYS, gatewayCount);
    },
  };
}
