/**
 * How many of the process's descriptors connections of callers and to upstreams may take. A flood of callers would otherwise take
 * those of the store and the peers: the gateway would follow old lists, and connections would be closed with whole requests on them.
 */

export type DescriptorBounds = {
  /** Callers' connections that are served, unless upstreams' take more than the rest; those beyond are answered and closed. */
  callersMax: number;
  /** Callers' connections and those to upstreams together. */
  sharedMax: number;
};

/** The runtime, the listeners, the logs, the balancer, who reads metrics, the store's watches and calls. */
const OWN_COUNT = 48;
/** One of a connection of this process to itself every 100 ms, for 3 s, while connections wait to be accepted. */
const PROBE_COUNT = 30;
/** Connections beyond the shared part, on which nothing has arrived yet. */
export const SILENT_COUNT = 25;
/** Each other gateway may be connected both ways. */
const PER_GATEWAY = 2;
/** Of the limit, for all of them: a large fleet would leave nothing for callers at a small limit. */
const GATEWAYS_SHARE = 0.25;
/** As large deployments set aside for files; smaller ones in proportion. */
const FILES_MAX = 200;
const FILES_SHARE = 0.05;
/** The rest is for upstreams: idle callers' connections outnumber the requests that are at one. */
const CALLERS_SHARE = 0.75;

/**
 * How many descriptors this process may have open; null if that isn't known or there is no limit. Where the settings tell, sockets may
 * count apart from files, and the system's limit for the process be of files alone.
 */
export function knownLimit(stated: number | undefined, own: number | null): number | null {
  const limit = stated ?? own ?? Infinity;
  return limit === Infinity ? null : limit;
}

export function descriptorBounds(limit: number, gatewayCount: number): DescriptorBounds {
  const filesCount = Math.min(FILES_MAX, limit * FILES_SHARE);
  const ownCount = OWN_COUNT + PROBE_COUNT + SILENT_COUNT;
  const gatewaysCount = Math.min(PER_GATEWAY * gatewayCount, limit * GATEWAYS_SHARE);
  const reserved = ownCount + gatewaysCount + filesCount;
  const sharedMax = Math.max(2, Math.floor(limit - reserved));
  return { callersMax: Math.max(1, Math.floor(sharedMax * CALLERS_SHARE)), sharedMax };
}
