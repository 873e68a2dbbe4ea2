/**
 * What an upstream usually tells of its machine. Load: an upstream that is slower than the usual of its service tells so
 * all the time, and more while its machine is disturbed. Harm prevented: with what was told some hundred milliseconds ago
 * forgotten, a slow upstream looks like any other and gets the next prompts.
 */

/** Factors are kept this far apart, so that many answers in one disturbed moment count once. */
const SPACING_MS = 100;
const KEPT_COUNT = 15;
/** One figure may be of a disturbed moment. */
const LEAST_COUNT = 2;
/** Disturbances only slow a machine down: the usual is below the middle of what is told. */
const QUANTILE = 0.4;

export type UsualFactors = {
  told: (factor: number, nowMs: number) => void;
  /** 1 while too little has been told. */
  usual: () => number;
};

export function createUsualFactors(): UsualFactors {
  let factors: number[] = [];
  let keptMs = -Infinity;
  let usual = 1;

  return {
    told: (factor, nowMs) => {
      if (nowMs - keptMs < SPACING_MS) return;
      keptMs = nowMs;
      factors = [...factors, factor].slice(-KEPT_COUNT);
      if (factors.length < LEAST_COUNT) return;
      const sorted = factors.toSorted((left, right) => left - right);
      usual = sorted[Math.floor((sorted.length - 1) * QUANTILE)] ?? 1;
    },
    usual: () => usual,
  };
}
