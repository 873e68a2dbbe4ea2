/**
 * Learns how long calls of services without models take at an upstream of average speed, from answers that did not wait
 * for a slot. Calls are short and share few slots, and machines are shared: a time that included waits would make a
 * loaded upstream look slow and an idle one fast, whatever their speeds.
 */
export type PlainServiceTime = {
  /** The geometric mean, which learned latency ratios are relative to. */
  geometricMeanMs: number;
  /** The arithmetic mean, for calls that wait behind others. */
  meanMs: number;
};

export type PlainServiceTimes = {
  /** Records a call that found a free slot. `transientFactor`: that of its upstream when it was sent. */
  recordAnswer: (service: string, durationMs: number, transientFactor: number) => void;
  /** Null before the first answer. */
  serviceTime: (service: string) => PlainServiceTime | null;
};

/** About thirty answers make up the figures: seconds for each of many gateways. */
const MIN_LEARNING_RATE = 0.03;
/** An answer that took longer than this multiple is capped, since it says nothing about the others. */
const OUTLIER_FACTOR = 5;
const MIN_SAMPLE_MS = 0.1;

type Entry = { logMs: number; meanMs: number; count: number };

/** With `isOn` false nothing is learned, and calls are sent as if upstreams reported nothing. */
export function createPlainServiceTimes(isOn = true): PlainServiceTimes {
  const entries = new Map<string, Entry>();
  return {
    recordAnswer: (service, durationMs, transientFactor) => {
      if (!isOn) return;
      const before = entries.get(service);
      const geometricMeanMs = before === undefined ? Infinity : Math.exp(before.logMs);
      const sampleMs = Math.min(
        geometricMeanMs * OUTLIER_FACTOR,
        Math.max(MIN_SAMPLE_MS, durationMs / transientFactor),
      );
      const { logMs, meanMs, count } = before ?? { logMs: 0, meanMs: 0, count: 0 };
      // The first answers weigh alike; otherwise the very first one would dominate for many seconds.
      const learningRate = Math.max(MIN_LEARNING_RATE, 1 / (count + 1));
      entries.set(service, {
        logMs: logMs + learningRate * (Math.log(sampleMs) - logMs),
        meanMs: meanMs + learningRate * (sampleMs - meanMs),
        count: count + 1,
      });
    },
    serviceTime: (service) => {
      const entry = entries.get(service);
      return entry === undefined
        ? null
        : { geometricMeanMs: Math.exp(entry.logMs), meanMs: entry.meanMs };
    },
  };
}
