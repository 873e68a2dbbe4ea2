/**
 * How often each model is asked for by callers who cannot wait, and where that is heading; callers who can wait for
 * a copy to be brought are counted apart, since more copies gain them nothing: on ten played days with faults 0.474 of
 * the worth that callers bring was earned so, 0.458 with all counted alike. Load: demand that moves on to other
 * models within a few seconds, beside many models that are asked for now and then. Harm prevented: a
 * rising model whose second copy is ordered only when the first is saturated, seconds too late.
 */

export type DemandFigures = {
  /** Urgent requests a second, expected within the next seconds. */
  expectedPerSecond: number;
  /** Urgent requests a second over the last seconds. */
  recentPerSecond: number;
  /** Urgent requests of the last seconds, older ones counted in part: what the figures rest on. */
  recentCount: number;
  /** Requests a second over the last seconds that can wait. */
  patientPerSecond: number;
  /** Asked for much less than a moment ago. */
  isFalling: boolean;
  lastAskedMs: number;
  /** Requests of the last while that found no copy; older ones count less. */
  missedCount: number;
};

export type DemandCounts = { requestCount: number; missedCount: number; patientCount: number };

export type DemandMeter = {
  add: (key: string, counts: DemandCounts, nowMs: number) => void;
  figures: (key: string, nowMs: number) => DemandFigures | null;
  hasDemand: () => boolean;
  /** Since the first request; 0 before it. */
  ageMs: (nowMs: number) => number;
  keys: (nowMs: number) => readonly string[];
};

/** Short enough to see a ramp of five seconds in its first, long enough for some requests. */
const FAST_MS = 1_500;
const SLOW_MS = 4_000;
/** Those who can wait ask for each model every few seconds at most. */
const PATIENT_MS = 15_000;
/**
 * A ramp of slope s puts the fast window 1.5 s and the slow one 4 s behind; this factor on their
 * difference leads from the slow one to two seconds ahead, about the time that a near copy takes to come.
 */
const TREND_FACTOR = 2.4;
/** A trend counts from so many standard deviations of random arrivals on: one request is no ramp. */
const TREND_DEVIATIONS = 0.7;
/** Misses of a model that is asked for every few seconds add up until it gets its turn. */
const MISSED_MS = 15_000;
const FALLING_SHARE = 0.5;
/** After this a model's figures are all but zero. */
const FORGET_MS = 60_000;
const LEAST_AGE_MS = 1_000;
const MS_PER_SECOND = 1_000;

type Counter = {
  fast: number;
  slow: number;
  patient: number;
  atMs: number;
  lastAskedMs: number;
  missed: number;
};

function decay(counter: Counter, nowMs: number): void {
  const sinceMs = Math.max(0, nowMs - counter.atMs);
  counter.fast *= Math.exp(-sinceMs / FAST_MS);
  counter.slow *= Math.exp(-sinceMs / SLOW_MS);
  counter.patient *= Math.exp(-sinceMs / PATIENT_MS);
  counter.missed *= Math.exp(-sinceMs / MISSED_MS);
  counter.atMs = nowMs;
}

export function createDemandMeter(): DemandMeter {
  const counters = new Map<string, Counter>();
  let startedMs: number | null = null;

  /** The rate that an exponential window shows; a young meter has seen only a part of its window. */
  function rate(weight: number, windowMs: number, nowMs: number): number {
    const ageMs = Math.max(LEAST_AGE_MS, nowMs - (startedMs ?? nowMs));
    return (weight * MS_PER_SECOND) / windowMs / (1 - Math.exp(-ageMs / windowMs));
  }

  return {
    add: (key, { requestCount, missedCount, patientCount }, nowMs) => {
      if (requestCount <= 0) return;
      startedMs ??= nowMs;
      const counter = counters.get(key) ?? {
        fast: 0,
        slow: 0,
        patient: 0,
        atMs: nowMs,
        lastAskedMs: nowMs,
        missed: 0,
      };
      counters.set(key, counter);
      decay(counter, nowMs);
      counter.fast += requestCount - patientCount;
      counter.slow += requestCount - patientCount;
      counter.patient += patientCount;
      counter.lastAskedMs = nowMs;
      counter.missed += missedCount;
    },
    figures: (key, nowMs) => {
      const counter = counters.get(key);
      if (counter === undefined) return null;
      decay(counter, nowMs);
      const fast = rate(counter.fast, FAST_MS, nowMs);
      const slow = rate(counter.slow, SLOW_MS, nowMs);
      const deviation = Math.sqrt((fast * MS_PER_SECOND) / (2 * FAST_MS));
      const change = fast - slow;
      const trend =
        Math.sign(change) * Math.max(0, Math.abs(change) - TREND_DEVIATIONS * deviation);
      return {
        expectedPerSecond: Math.max(0, slow + TREND_FACTOR * trend),
        recentPerSecond: slow,
        recentCount: counter.slow,
        patientPerSecond: rate(counter.patient, PATIENT_MS, nowMs),
        isFalling: fast < FALLING_SHARE * slow,
        lastAskedMs: counter.lastAskedMs,
        missedCount: counter.missed,
      };
    },
    hasDemand: () => startedMs !== null,
    ageMs: (nowMs) => (startedMs === null ? 0 : nowMs - startedMs),
    keys: (nowMs) => {
      for (const [key, { lastAskedMs }] of counters) {
        if (nowMs - lastAskedMs > FORGET_MS) counters.delete(key);
      }
      return [...counters.keys()];
    },
  };
}
