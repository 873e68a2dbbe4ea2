/**
 * The requests that upstreams take by their own word, counted at one place for all gateways. Load: an upstream in need,
 * and any number of gateways whose callers ask for what it has, evenly or through one of them. Harm prevented: gateways
 * that each keep to the limit send it several times over; with a part for each, or permits lent ahead, what lies where
 * nobody asks is not used. So the holder of the lease gives a permit for each single request. Unlike an
 * organisation's quota nothing may be gone beyond.
 */
export type PermitReply =
  | { kind: 'taken' }
  /** Asking again makes sense after the wait. */
  | { kind: 'denied'; retryAfterMs: number };

export type PermitLedger = {
  /** `rate`: requests a second. */
  take: (upstreamId: string, rate: number, gatewayId: string, nowMs: number) => PermitReply;
  /** More is asked of it than it takes. */
  isStarved: (upstreamId: string, nowMs: number) => boolean;
};

/** An upstream that takes next to nothing is asked now and then whether that still holds, by all gateways together. */
const PROBES_PER_SECOND = 0.25;
/** What may be sent at once after a pause, beside half a second's worth. */
const BURST = 2.5;
const BURST_S = 0.5;
/** Who asked within this time will ask again. */
const ASKER_MS = 3_000;
const MIN_DENIED_MS = 100;
const MAX_DENIED_MS = 2_000;
/** How many permits are asked for while one becomes free: enough that none lies unused, few enough to answer. */
const ASKS_PER_PERMIT = 2;
const ASKED_TIME_MS = 2_000;
const STARVED_FACTOR = 1.2;
const MS_PER_SECOND = 1_000;

type Bucket = {
  rate: number;
  level: number;
  filledMs: number;
  /** When each gateway last asked. */
  askers: Map<string, number>;
  askedPerSecond: number;
  askedMs: number;
};

/** The rate that all gateways together keep to. */
export function rateOf(perSecond: number): number {
  return Math.max(PROBES_PER_SECOND, perSecond);
}

function capacityOf(rate: number): number {
  return BURST + BURST_S * rate;
}

function refill(bucket: Bucket, nowMs: number): void {
  const gained = (bucket.rate * (nowMs - bucket.filledMs)) / MS_PER_SECOND;
  bucket.level = Math.min(capacityOf(bucket.rate), bucket.level + gained);
  bucket.filledMs = nowMs;
}

function askedNow({ askedPerSecond, askedMs }: Bucket, nowMs: number): number {
  return askedPerSecond * Math.exp(-(nowMs - askedMs) / ASKED_TIME_MS);
}

function noteAsked(bucket: Bucket, gatewayId: string, nowMs: number): void {
  bucket.askedPerSecond = askedNow(bucket, nowMs) + MS_PER_SECOND / ASKED_TIME_MS;
  bucket.askedMs = nowMs;
  bucket.askers.set(gatewayId, nowMs);
  for (const [id, atMs] of bucket.askers) {
    if (nowMs - atMs > ASKER_MS) bucket.askers.delete(id);
  }
}

/** All that ask come back one after the other, some for each permit that becomes free. */
function deniedMs(bucket: Bucket): number {
  const untilNextMs = ((1 - bucket.level) * MS_PER_SECOND) / bucket.rate;
  const turnMs = (bucket.askers.size * MS_PER_SECOND) / (ASKS_PER_PERMIT * bucket.rate);
  return Math.min(MAX_DENIED_MS, Math.max(MIN_DENIED_MS, untilNextMs, turnMs));
}

export function createPermitLedger(): PermitLedger {
  const buckets = new Map<string, Bucket>();

  /** A new holder doesn't know what was sent just before: it begins with nothing. */
  function bucketOf(upstreamId: string, rate: number, nowMs: number): Bucket {
    const known = buckets.get(upstreamId);
    if (known !== undefined) return known;
    const bucket: Bucket = {
      rate,
      level: 0,
      filledMs: nowMs,
      askers: new Map(),
      askedPerSecond: 0,
      askedMs: nowMs,
    };
    buckets.set(upstreamId, bucket);
    return bucket;
  }

  /** What nobody has asked of for so long begins anew, with nothing. */
  function forgetOld(nowMs: number): void {
    for (const [id, bucket] of buckets) {
      const fullAfterMs = (capacityOf(bucket.rate) * MS_PER_SECOND) / bucket.rate;
      if (nowMs - bucket.askedMs > fullAfterMs + ASKER_MS) buckets.delete(id);
    }
  }

  return {
    take: (upstreamId, rate, gatewayId, nowMs) => {
      forgetOld(nowMs);
      const bucket = bucketOf(upstreamId, rate, nowMs);
      refill(bucket, nowMs);
      bucket.rate = rate;
      bucket.level = Math.min(bucket.level, capacityOf(rate));
      noteAsked(bucket, gatewayId, nowMs);
      if (bucket.level < 1) return { kind: 'denied', retryAfterMs: deniedMs(bucket) };
      bucket.level -= 1;
      return { kind: 'taken' };
    },
    isStarved: (upstreamId, nowMs) => {
      const bucket = buckets.get(upstreamId);
      return bucket !== undefined && askedNow(bucket, nowMs) > STARVED_FACTOR * bucket.rate;
    },
  };
}
