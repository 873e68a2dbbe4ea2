/**
 * The baseline interval between events at one upstream, and how much longer the current intervals are. The baseline
 * tracks a low quantile: it follows shorter intervals within a second and longer ones only over many seconds, so that a
 * disturbance does not become the baseline.
 */
export type BaselineIntervals = {
  /**
   * Records the smallest interval in a run of events. Returns its ratio to the baseline, or null while the baseline is
   * unknown.
   */
  observe: (model: string, intervalMs: number, nowMs: number) => number | null;
  /** The smallest baseline over its models; null while unknown. */
  baselineMs: () => number | null;
};

const SHORTER_TIME_CONSTANT_MS = 500;
const LONGER_TIME_CONSTANT_MS = 15_000;
/**
 * Upper limit on the time since the last run that counts: a longer break says nothing about the intervals during it.
 */
const MAX_SPAN_MS = 300;
/** After this many runs and this time, at least one run without a disturbance has been seen. */
const LEARNED_RUNS = 15;
const LEARNED_MS = 2_000;
/** More than an upstream serves at a time; the oldest is evicted first. */
const MAX_MODELS = 16;

type Baseline = { intervalLog: number; runCount: number; firstMs: number; lastMs: number };

export function createBaselineIntervals(): BaselineIntervals {
  const byModel = new Map<string, Baseline>();

  function baselineOf(model: string, intervalMs: number, nowMs: number): Baseline {
    const existing = byModel.get(model);
    if (existing !== undefined) return existing;
    const [oldest] = byModel.keys();
    if (byModel.size >= MAX_MODELS && oldest !== undefined) byModel.delete(oldest);
    const baseline = {
      intervalLog: Math.log(intervalMs),
      runCount: 0,
      firstMs: nowMs,
      lastMs: nowMs,
    };
    byModel.set(model, baseline);
    return baseline;
  }

  function isLearned({ runCount, firstMs, lastMs }: Baseline): boolean {
    return runCount >= LEARNED_RUNS && lastMs - firstMs >= LEARNED_MS;
  }

  return {
    observe: (model, intervalMs, nowMs) => {
      const baseline = baselineOf(model, intervalMs, nowMs);
      const intervalLog = Math.log(intervalMs);
      const spanMs = Math.min(MAX_SPAN_MS, nowMs - baseline.lastMs);
      const timeConstantMs =
        intervalLog < baseline.intervalLog ? SHORTER_TIME_CONSTANT_MS : LONGER_TIME_CONSTANT_MS;
      baseline.intervalLog +=
        (intervalLog - baseline.intervalLog) * (1 - Math.exp(-spanMs / timeConstantMs));
      baseline.runCount += 1;
      baseline.lastMs = nowMs;
      return isLearned(baseline) ? Math.exp(intervalLog - baseline.intervalLog) : null;
    },
    baselineMs: () => {
      let minLog = Infinity;
      for (const baseline of byModel.values()) {
        if (isLearned(baseline)) minLog = Math.min(minLog, baseline.intervalLog);
      }
      return minLog === Infinity ? null : Math.exp(minLog);
    },
  };
}
