/**
 * How slow each upstream is against the others, from one process's own latencies. Made for one upstream
 * that runs at a fraction of its speed and still answers its health checks: its callers wait several
 * times as long as they need to. Its own predicted wait does not show it in time, since it is learned
 * from finished work and slow work finishes late.
 */
export type UpstreamPaces = {
  /** One finished request: what it took against what such a request takes on average. */
  observe: (upstreamId: string, tookMs: number, expectedMs: number) => void;
  /** 1 for an upstream like the others; 5 for one that takes five times as long. */
  slowness: (upstreamId: string) => number;
  forget: (upstreamId: string) => void;
};

/** Five observations carry most of the weight: one odd request does not condemn an upstream. */
const NEWEST_WEIGHT = 0.2;
/** With fewer than this many upstreams seen there is no telling which one is the odd one. */
const LEAST_SEEN = 3;

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 1;
}

export function createUpstreamPaces(): UpstreamPaces {
  const paces = new Map<string, number>();
  /** Sorted once for each observation, since it is read for every candidate of every request. */
  let medianPace = 1;
  return {
    observe: (upstreamId, tookMs, expectedMs) => {
      if (expectedMs <= 0) return;
      const observed = tookMs / expectedMs;
      const old = paces.get(upstreamId) ?? observed;
      paces.set(upstreamId, old + NEWEST_WEIGHT * (observed - old));
      medianPace = median([...paces.values()]);
    },
    slowness: (upstreamId) => {
      const own = paces.get(upstreamId);
      if (own === undefined || paces.size < LEAST_SEEN) return 1;
      return Math.max(1, own / medianPace);
    },
    forget: (upstreamId) => {
      paces.delete(upstreamId);
    },
  };
}
