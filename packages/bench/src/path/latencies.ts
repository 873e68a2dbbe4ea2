/** Distributions of latencies, and how two of them compare. */
import * as hdr from 'hdr-histogram-js';

const US_PER_MS = 1_000;

export type Distribution = { count: number; p50: number; p95: number; p99: number };

export type Latencies = {
  add: (valueMs: number) => void;
  /** In milliseconds. */
  distribution: () => Distribution;
};

export function createLatencies(): Latencies {
  const histogram = hdr.build({ numberOfSignificantValueDigits: 4 });
  const percentileMs = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / US_PER_MS;
  return {
    add: (valueMs) => histogram.recordValue(Math.max(0, Math.round(valueMs * US_PER_MS))),
    distribution: () => ({
      count: histogram.totalCount,
      p50: percentileMs(50),
      p95: percentileMs(95),
      p99: percentileMs(99),
    }),
  };
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

export type Comparison = {
  directMs: Distribution;
  throughMs: Distribution;
  addedMs: { p50: number; p95: number; p99: number };
  ratio: { p50: number; p95: number; p99: number };
};

export function compare(direct: Latencies, through: Latencies): Comparison {
  const [directMs, throughMs] = [direct.distribution(), through.distribution()];
  const at = (pick: (one: Distribution) => number) => ({
    addedMs: round(pick(throughMs) - pick(directMs)),
    ratio: round(pick(throughMs) / pick(directMs)),
  });
  const [p50, p95, p99] = [at((one) => one.p50), at((one) => one.p95), at((one) => one.p99)];
  return {
    directMs,
    throughMs,
    addedMs: { p50: p50.addedMs, p95: p95.addedMs, p99: p99.addedMs },
    ratio: { p50: p50.ratio, p95: p95.ratio, p99: p99.ratio },
  };
}
