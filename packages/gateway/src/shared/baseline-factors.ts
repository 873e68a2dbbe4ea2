/**
 * The baseline of the factors that an upstream reports. An upstream on a machine that is slower than the average of its
 * service reports so all the time, and more while its machine is disturbed. If reports were simply forgotten after some
 * hundred milliseconds, a slow upstream would look like any other and get the next prompts.
 */

/** Minimum time between stored factors, so that many answers during one disturbance count once. */
const SPACING_MS = 100;
const MAX_FACTORS = 15;
/** A single factor may come from a disturbance. */
const MIN_FACTORS = 2;
/** Disturbances only slow a machine down, so the baseline lies below the median of the reported factors. */
const QUANTILE = 0.4;

export type BaselineFactors = {
  add: (factor: number, nowMs: number) => void;
  /** 1 while too few factors have been reported. */
  baseline: () => number;
};

export function createBaselineFactors(): BaselineFactors {
  let factors: number[] = [];
  let lastAddedMs = -Infinity;
  let baseline = 1;

  return {
    add: (factor, nowMs) => {
      if (nowMs - lastAddedMs < SPACING_MS) return;
      lastAddedMs = nowMs;
      factors = [...factors, factor].slice(-MAX_FACTORS);
      if (factors.length < MIN_FACTORS) return;
      const sorted = factors.toSorted((left, right) => left - right);
      baseline = sorted[Math.floor((sorted.length - 1) * QUANTILE)] ?? 1;
    },
    baseline: () => baseline,
  };
}
