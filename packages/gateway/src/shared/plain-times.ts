/**
 * How long calls of services without models take at an upstream of usual speed, learnt from answers that waited for no
 * slot. Load: short calls on few slots whose machines are shared. Harm prevented: a time learnt together with the waits
 * makes a loaded upstream look slow and an idle one quick, whatever their speeds.
 */
export type PlainTime = {
  /** The geometric mean, with which learnt slownesses compare. */
  usualMs: number;
  /** The mean: for what waits behind calls. */
  meanMs: number;
};

export type PlainTimes = {
  /** A call was answered that found a free slot; `momentFactor`: of its upstream when it was sent. */
  answered: (service: string, tookMs: number, momentFactor: number) => void;
  /** Null before the first answer. */
  time: (service: string) => PlainTime | null;
};

/** Some thirty answers make up the figures: seconds for each of many gateways. */
const LEARNING_SHARE = 0.03;
/** One answer that was later by more says nothing of the others. */
const OUTLIER_FACTOR = 5;
const LEAST_MS = 0.1;

type Entry = { logMs: number; meanMs: number; count: number };

/** Off, nothing is learnt, and calls are sent as if upstreams told nothing. */
export function createPlainTimes(isOn = true): PlainTimes {
  const entries = new Map<string, Entry>();
  return {
    answered: (service, tookMs, momentFactor) => {
      if (!isOn) return;
      const before = entries.get(service);
      const usualMs = before === undefined ? Infinity : Math.exp(before.logMs);
      const sampleMs = Math.min(
        usualMs * OUTLIER_FACTOR,
        Math.max(LEAST_MS, tookMs / momentFactor),
      );
      const { logMs, meanMs, count } = before ?? { logMs: 0, meanMs: 0, count: 0 };
      // The first answers weigh alike: otherwise the very first would stand for many seconds.
      const share = Math.max(LEARNING_SHARE, 1 / (count + 1));
      entries.set(service, {
        logMs: logMs + share * (Math.log(sampleMs) - logMs),
        meanMs: meanMs + share * (sampleMs - meanMs),
        count: count + 1,
      });
    },
    time: (service) => {
      const entry = entries.get(service);
      return entry === undefined ? null : { usualMs: Math.exp(entry.logMs), meanMs: entry.meanMs };
    },
  };
}
