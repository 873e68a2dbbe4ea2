/**
 * Which software version began each stream that may be resumed, as far as this gateway knows: those of its own streams, and
 * replicas from other gateways. Memory is bounded: an origin is kept for as long as a caller may resume its stream, and the oldest
 * are dropped first.
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
  /** Number of other gateways that should have it; one less if this is a replica. */
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
/** An estimated 10 MB, and two minutes of what a gateway with replicas receives at the size to design for. */
const ORIGINS_MAX = 20_000;
/** Origins with longer ids are not kept, so that ids of any length take a bounded part of the memory. */
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
