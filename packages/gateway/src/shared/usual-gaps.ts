/**
 * The usual gap between events at one upstream, and how much longer gaps are at the moment. The usual is a low quantile:
 * it follows shorter gaps within a second and longer ones within many, so that a disturbance does not become the usual.
 */
export type UsualGaps = {
  /** The smallest gap of a run of events; the factor against the usual, or null while the usual is unknown. */
  observed: (model: string, gapMs: number, nowMs: number) => number | null;
  /** The smallest of its models; null while unknown. */
  usualMs: () => number | null;
};

const SHORTER_MS = 500;
const LONGER_MS = 15_000;
/** Longer pauses between runs say nothing of what was usual meanwhile. */
const LONGEST_SPAN_MS = 300;
/** By then a run without a disturbance has been seen. */
const LEARNT_RUNS = 15;
const LEARNT_MS = 2_000;
/** More than an upstream holds at a time; the oldest goes first. */
const MODELS_MAX = 16;

type Usual = { gapLog: number; runCount: number; firstMs: number; lastMs: number };

export function createUsualGaps(): UsualGaps {
  const byModel = new Map<string, Usual>();

  function usualOf(model: string, gapMs: number, nowMs: number): Usual {
    const known = byModel.get(model);
    if (known !== undefined) return known;
    const [oldest] = byModel.keys();
    if (byModel.size >= MODELS_MAX && oldest !== undefined) byModel.delete(oldest);
    const usual = { gapLog: Math.log(gapMs), runCount: 0, firstMs: nowMs, lastMs: nowMs };
    byModel.set(model, usual);
    return usual;
  }

  function isLearnt({ runCount, firstMs, lastMs }: Usual): boolean {
    return runCount >= LEARNT_RUNS && lastMs - firstMs >= LEARNT_MS;
  }

  return {
    observed: (model, gapMs, nowMs) => {
      const usual = usualOf(model, gapMs, nowMs);
      const gapLog = Math.log(gapMs);
      const spanMs = Math.min(LONGEST_SPAN_MS, nowMs - usual.lastMs);
      const followMs = gapLog < usual.gapLog ? SHORTER_MS : LONGER_MS;
      usual.gapLog += (gapLog - usual.gapLog) * (1 - Math.exp(-spanMs / followMs));
      usual.runCount += 1;
      usual.lastMs = nowMs;
      return isLearnt(usual) ? Math.exp(gapLog - usual.gapLog) : null;
    },
    usualMs: () => {
      let leastLog = Infinity;
      for (const usual of byModel.values()) {
        if (isLearnt(usual)) leastLog = Math.min(leastLog, usual.gapLog);
      }
      return leastLog === Infinity ? null : Math.exp(leastLog);
    },
  };
}
