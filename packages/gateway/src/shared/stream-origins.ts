/**
 * Which software version began each stream that may be resumed. Bounded memory: an origin is kept for as long as a caller may
 * come back for its stream, and the oldest are dropped first.
 */
export type StreamOrigin = {
  service: string;
  /** Of the upstream's software. */
  version: string;
};

export type KnownOrigin = StreamOrigin & {
  /** When the first event of the stream was forwarded. */
  begunAtMs: number;
};

export type StreamOrigins = {
  /** Does nothing for an origin that is known already: the first event comes once. */
  note: (requestId: string, origin: KnownOrigin, nowMs: number) => void;
  find: (requestId: string, nowMs: number) => KnownOrigin | null;
  count: () => number;
};

/** Twice the longest deadlines of callers: each of a stream's tries ends within one. */
export const ORIGIN_KEPT_MS = 120_000;
/** Some 10 MB, and three minutes of the largest share of streams that a gateway is designed for. */
const ORIGINS_MAX = 20_000;
/** Longer ids than callers make, which would take up the memory of others. */
const ID_LENGTH_MAX = 128;

export function createStreamOrigins(): StreamOrigins {
  /** In the order in which they were noted. */
  const origins = new Map<string, KnownOrigin>();

  function isExpired({ begunAtMs }: KnownOrigin, nowMs: number): boolean {
    return nowMs - begunAtMs > ORIGIN_KEPT_MS;
  }

  function dropOld(nowMs: number): void {
    for (const [requestId, origin] of origins) {
      if (origins.size <= ORIGINS_MAX && !isExpired(origin, nowMs)) return;
      origins.delete(requestId);
    }
  }

  return {
    note: (requestId, origin, nowMs) => {
      const isUsable = requestId !== '' && requestId.length <= ID_LENGTH_MAX;
      if (!isUsable || origins.has(requestId)) return;
      origins.set(requestId, origin);
      dropOld(nowMs);
    },
    find: (requestId, nowMs) => {
      const origin = origins.get(requestId);
      return origin === undefined || isExpired(origin, nowMs) ? null : origin;
    },
    count: () => origins.size,
  };
}
