/**
 * Counts the requests to upstreams with a reported limit, in one place for all gateways. If each gateway kept to the
 * limit by itself, an overloaded upstream would get it several times over. With an equal part for each, or with
 * permits lent in advance, parts at gateways without demand would be unused. So the lease holder gives a permit for
 * each single request. Unlike an organisation's quota, the limit may not be exceeded.
 */
export type PermitReply =
  | { kind: 'taken' }
  /** When to ask again. */
  | { kind: 'denied'; retryAfterMs: number };

export type PermitLedger = {
  /** `rate`: requests a second. */
  take: (upstreamId: string, rate: number, gatewayId: string, nowMs: number) => PermitReply;
  /** Whether more permits are requested than the upstream takes requests. */
  isOverloaded: (upstreamId: string, nowMs: number) => boolean;
};

/**
 * An upstream that takes next to nothing still gets a request now and then, from all gateways together, to learn
 * whether its limit still applies.
 */
const PROBES_PER_SECOND = 0.25;
/** Requests that may be sent at once after a pause, in addition to half a second's worth. */
const BURST = 2.5;
const BURST_S = 0.5;
/** A gateway that asked within this time is expected to ask again. */
const REQUESTER_MS = 3_000;
const MIN_DENIED_MS = 100;
const MAX_DENIED_MS = 2_000;
/**
 * How often gateways ask while one permit becomes free: often enough to leave none unused, seldom enough to be
 * answered.
 */
const REQUESTS_PER_PERMIT = 2;
const DEMAND_SMOOTHING_MS = 2_000;
const OVERLOAD_FACTOR = 1.2;
const MS_PER_SECOND = 1_000;

type Bucket = {
  rate: number;
  level: number;
  filledMs: number;
  /** When each gateway last asked. */
  requesters: Map<string, number>;
  demandPerSecond: number;
  lastRequestedMs: number;
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

function currentDemand({ demandPerSecond, lastRequestedMs }: Bucket, nowMs: number): number {
  return demandPerSecond * Math.exp(-(nowMs - lastRequestedMs) / DEMAND_SMOOTHING_MS);
}

function recordRequest(bucket: Bucket, gatewayId: string, nowMs: number): void {
  bucket.demandPerSecond = currentDemand(bucket, nowMs) + MS_PER_SECOND / DEMAND_SMOOTHING_MS;
  bucket.lastRequestedMs = nowMs;
  bucket.requesters.set(gatewayId, nowMs);
  for (const [id, atMs] of bucket.requesters) {
    if (nowMs - atMs > REQUESTER_MS) bucket.requesters.delete(id);
  }
}

/** The gateways that ask come back one after the other, several for each permit that becomes free. */
function retryDelayMs(bucket: Bucket): number {
  const untilNextMs = ((1 - bucket.level) * MS_PER_SECOND) / bucket.rate;
  const sharedWaitMs =
    (bucket.requesters.size * MS_PER_SECOND) / (REQUESTS_PER_PERMIT * bucket.rate);
  return Math.min(MAX_DENIED_MS, Math.max(MIN_DENIED_MS, untilNextMs, sharedWaitMs));
}

export function createPermitLedger(): PermitLedger {
  const buckets = new Map<string, Bucket>();

  /** A new holder does not know what was sent just before, so its bucket starts empty. */
  function bucketOf(upstreamId: string, rate: number, nowMs: number): Bucket {
    const known = buckets.get(upstreamId);
    if (known !== undefined) return known;
    const bucket: Bucket = {
      rate,
      level: 0,
      filledMs: nowMs,
      requesters: new Map(),
      demandPerSecond: 0,
      lastRequestedMs: nowMs,
    };
    buckets.set(upstreamId, bucket);
    return bucket;
  }

  /** Forgets buckets without requests for so long. They start empty again. */
  function forgetOld(nowMs: number): void {
    for (const [id, bucket] of buckets) {
      const fullAfterMs = (capacityOf(bucket.rate) * MS_PER_SECOND) / bucket.rate;
      if (nowMs - bucket.lastRequestedMs > fullAfterMs + REQUESTER_MS) buckets.delete(id);
    }
  }

  return {
    take: (upstreamId, rate, gatewayId, nowMs) => {
      forgetOld(nowMs);
      const bucket = bucketOf(upstreamId, rate, nowMs);
      refill(bucket, nowMs);
      bucket.rate = rate;
      bucket.level = Math.min(bucket.level, capacityOf(rate));
      recordRequest(bucket, gatewayId, nowMs);
      if (bucket.level < 1) return { kind: 'denied', retryAfterMs: retryDelayMs(bucket) };
      bucket.level -= 1;
      return { kind: 'taken' };
    },
    isOverloaded: (upstreamId, nowMs) => {
      const bucket = buckets.get(upstreamId);
      return bucket !== undefined && currentDemand(bucket, nowMs) > OVERLOAD_FACTOR * bucket.rate;
    },
  };
}
