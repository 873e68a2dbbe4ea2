/**
 * Compares the latency of each upstream with the others, using only the latencies that one process observes. An
 * upstream that is slowed down but still passes its health checks would make its callers wait several times as long as
 * necessary. Its predicted wait does not show the slowdown in time, since it is learned from finished requests, and
 * slow requests finish late.
 */
export type LatencyRatios = {
  /** Records one finished request: its time, and the time that such a request takes on average. */
  observe: (upstreamId: string, tookMs: number, expectedMs: number) => void;
  /** 1 for an upstream like the others; 5 for one that takes five times as long. */
  latencyRatio: (upstreamId: string) => number;
  forget: (upstreamId: string) => void;
};

/**
 * The last five observations have most of the weight, so a single slow request does not make an upstream count as slow.
 */
const NEWEST_WEIGHT = 0.2;
/** With observations of fewer upstreams it is not clear which one deviates. */
const MIN_UPSTREAMS = 3;

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 1;
}

export function createLatencyRatios(): LatencyRatios {
  const ratios = new Map<string, number>();
  /** Computed once per observation, since it is read for every candidate of every request. */
  let medianRatio = 1;
  return {
    observe: (upstreamId, tookMs, expectedMs) => {
      if (expectedMs <= 0) return;
      const observed = tookMs / expectedMs;
      const old = ratios.get(upstreamId) ?? observed;
      ratios.set(upstreamId, old + NEWEST_WEIGHT * (observed - old));
      medianRatio = median([...ratios.values()]);
    },
    latencyRatio: (upstreamId) => {
      const ratio = ratios.get(upstreamId);
      if (ratio === undefined || ratios.size < MIN_UPSTREAMS) return 1;
      return Math.max(1, ratio / medianRatio);
    },
    forget: (upstreamId) => {
      ratios.delete(upstreamId);
    },
  };
}
