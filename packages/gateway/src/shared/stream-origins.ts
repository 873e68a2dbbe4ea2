/**
 * Which software version began each stream that may be resumed, as far as this gateway knows: its own streams, and those that
 * other gateways have it keep. Bounded memory: an origin is kept for as long as a caller may come back for its stream, and the
 * oldest are dropped first.
 */
export type StreamOrigin = {
  service: string;
  /** Of the upstream's software. */
  version: string;
  /** When the first event of the stream was forwarded. */
  begunAtMs: number;
};

export type KeptOrigin = StreamOrigin & {
  requestId: string;
  /** How many other gateways are to have it: fewer where it is a replica itself. */
  replicasWanted: number;
  /** Those that have it or are about to, by their id and start. */
  replicaKeys: Set<string>;
};

export type StreamOrigins = {
  /** Null if nothing new was noted: the first event comes once, so that an origin never changes. */
  note: (
    requestId: string,
    origin: StreamOrigin,
    nowMs: number,
    replicasWanted?: number,
  ) => KeptOrigin | null;
  find: (requestId: string, nowMs: number) => KeptOrigin | null;
  /** Oldest first. */
  all: () => Iterable<KeptOrigin>;
  count: () => number;
};

/** Two, so that the gateway that began a stream and one more may end at the same time. */
export const REPLICA_COUNT = 2;
/** Some 10 MB, and three minutes of the largest share of streams that a gateway is designed for. */
const ORIGINS_MAX = 20_000;
/** Longer ids than callers make, which would take up the memory of others. */
const ID_LENGTH_MAX = 128;

export function createStreamOrigins(streamLifeMs: () => number): StreamOrigins {
  const origins = new Map<string, KeptOrigin>();

  function isExpired({ begunAtMs }: KeptOrigin, nowMs: number): boolean {
    return nowMs - begunAtMs > streamLifeMs();
  }

  function dropOld(nowMs: number): void {
    for (const [requestId, origin] of origins) {
      if (origins.size <= ORIGINS_MAX && !isExpired(origin, nowMs)) return;
      origins.delete(requestId);
    }
  }

  return {
    note: (requestId, origin, nowMs, replicasWanted = REPLICA_COUNT) => {
      const isUsable = requestId !== '' && requestId.length <= ID_LENGTH_MAX;
      if (!isUsable || origins.has(requestId)) return null;
      const kept = { ...origin, requestId, replicasWanted, replicaKeys: new Set<string>() };
      origins.set(requestId, kept);
      dropOld(nowMs);
      return kept;
    },
    find: (requestId, nowMs) => {
      const origin = origins.get(requestId);
      return origin === undefined || isExpired(origin, nowMs) ? null : origin;
    },
    all: () => origins.values(),
    count: () => origins.size,
  };
}
