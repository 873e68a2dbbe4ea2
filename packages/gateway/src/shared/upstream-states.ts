/**
 * Tracks the speed and the load of each upstream, from its reports and from the times that its answers take. Upstreams
 * differ in speed, and other workloads slow their machines down for half a second at a time. With one estimate for all
 * of them, requests would be spread evenly over uneven upstreams, and prompts would go to upstreams that are currently
 * slow to prefill them.
 *
 * The service times of a model (service-times.ts) and the latency ratios of its upstreams are learned from the same
 * answers, and only their product can be observed. The mean latency ratio of a service, weighted by answers, is
 * therefore normalized to 1, so that what all its upstreams have in common is part of the service times. An unweighted
 * mean over upstreams would not work: upstreams without answers keep their ratio, so the ratios of the few that get
 * most requests and the service times would drift apart without bound.
 */
import type * as upstreamStates from '../types/upstream-states.js';
import * as speeds from './speeds.js';
import * as baselineFactors from './baseline-factors.js';
import * as baselineIntervals from './baseline-intervals.js';
import * as clamps from './clamp.js';
import * as latencyRatios from './learned-latency-ratios.js';
import * as reportTrust from './report-trust.js';

/** Reported factors are clamped to this range, which limits the harm that an absurd one can do. */
const MIN_FACTOR = 0.2;
const MAX_FACTOR = 10;
/** Upstreams of one service differ in speed by less than this; one that appears slower is faulty rather than slow. */
const MIN_LATENCY_RATIO = 1 / 3;
const MAX_LATENCY_RATIO = 3;
/** Disturbances seldom last longer than this. */
const TRANSIENT_VALID_MS = 600;
/**
 * An upstream that reported a factor within this time counts as sharing its machine, even if its latest answer reports
 * none.
 */
const SHARED_MACHINE_MS = 30_000;
/** Predictions below this consist mostly of network round trips, which say nothing about speed. */
const MIN_PREDICTED_MS = 5;
const COMMON_CACHE_MS = 100;

/** A reported factor of at least this much differs enough from the baseline for a first chunk to contradict it. */
const VERIFIABLE_FACTOR = 1.8;
/** For this long other gateways are informed that an upstream has returned to its baseline. */
const RECOVERY_SHARING_MS = 1_000;
/** Reports describe the state this long ago. */
const REPORT_AGE_MS = 300;
/** For the metrics: upstreams with at least this latency ratio count as slow. */
const SLOW_MIN_RATIO = 1.25;
/** Fewer upstreams than this may well be disturbed at the same time by chance. */
const COMMON_MIN_COUNT = 5;

/**
 * Intervals that exceed the baseline by less than this result from more requests running beside the stream, and count
 * as normal.
 */
const DISTURBED_FACTOR = 1.6;
/**
 * A report that is younger than the run of intervals, which takes about this long, is more recent than what the run
 * shows.
 */
const INTERVAL_RUN_MS = 100;
/** A report is checked against runs of intervals at most this often, since several streams show the same slowdown. */
const CONTRADICTION_INTERVAL_MS = 150;

type AnswerTimes = { predictedMs: number; tookMs: number };

type Slowdown = { factor: number; atMs: number; receivedAtMs: number };

type Entry = {
  service: string | null;
  learned: latencyRatios.LearnedRatio;
  reported: Slowdown | null;
  reportedSentMs: number;
  reportedBaseline: baselineFactors.BaselineFactors;
  /** The slowdown that the intervals between events show. */
  observed: Slowdown | null;
  /** When its factor last differed clearly from the baseline. */
  lastDisturbedMs: number;
  baselineIntervals: baselineIntervals.BaselineIntervals;
  lastContradictedMs: number;
  trust: reportTrust.ReportTrust;
  load: { runningCount: number; waitingCount: number; slots: number; atMs: number } | null;
  tokens: { used: number; total: number; atMs: number } | null;
};

/**
 * What the upstreams of a service have in common: mean log ratios from this gateway's answers and from those of all
 * gateways, and the log of a slowdown that most of them report.
 */
type ServiceCommon = { localLog: number; fleetLog: number; transientLog: number; atMs: number };

const NO_COMMON: ServiceCommon = { localLog: 0, fleetLog: 0, transientLog: 0, atMs: -Infinity };

/** The state of an upstream about which nothing is known. */
export const UNKNOWN_STATE: upstreamStates.UpstreamState = {
  latencyRatio: 1,
  transientFactor: 1,
  transientAgeMs: null,
  reportsTransientFactor: false,
  load: null,
  tokens: null,
};

/** Treats all upstreams as equal and learns nothing. */
export const UNKNOWN_STATES: Pick<
  upstreamStates.UpstreamStates,
  'state' | 'recordFirstChunk' | 'recordEventInterval'
> = {
  state: () => UNKNOWN_STATE,
  recordFirstChunk: () => {},
  recordEventInterval: () => {},
};

type StatesForChoice = Pick<
  upstreamStates.UpstreamStates,
  'state' | 'recordFirstChunk' | 'recordEventInterval'
>;

/**
 * The states that the choice of an upstream uses. With `auto`, only those of services whose upstreams report transient
 * factors.
 */
export function forChoice(
  setting: 'auto' | 'on' | 'off',
  states: StatesForChoice & Pick<upstreamStates.UpstreamStates, 'isOnSharedMachine'>,
): StatesForChoice {
  switch (setting) {
    case 'on':
      return states;
    case 'off':
      return UNKNOWN_STATES;
    case 'auto':
      return {
        state: (upstreamId, nowMs) =>
          states.isOnSharedMachine(upstreamId) ? states.state(upstreamId, nowMs) : UNKNOWN_STATE,
        recordFirstChunk: (upstreamId, ...answer) => {
          if (states.isOnSharedMachine(upstreamId)) states.recordFirstChunk(upstreamId, ...answer);
        },
        recordEventInterval: (upstreamId, ...interval) => {
          if (states.isOnSharedMachine(upstreamId))
            states.recordEventInterval(upstreamId, ...interval);
        },
      };
  }
}

export type UpstreamStatesOptions = {
  /** The service whose upstreams it is compared with; null while unknown, in which case it is compared with none. */
  serviceOf: (upstreamId: string) => string | null;
};

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const upper = sorted[Math.floor(sorted.length / 2)] ?? 0;
  const lower = sorted[Math.ceil(sorted.length / 2) - 1] ?? upper;
  return (lower + upper) / 2;
}

/** The factor decays towards 1 as the report ages. */
function factorNow({ factor, atMs }: Pick<Slowdown, 'factor' | 'atMs'>, nowMs: number): number {
  const validShare = clamps.clamp(1 - (nowMs - atMs) / TRANSIENT_VALID_MS, 0, 1);
  return 1 + (factor - 1) * validShare;
}

function isRecent(slowdown: Slowdown | null, nowMs: number): slowdown is Slowdown {
  return slowdown !== null && nowMs - slowdown.atMs < TRANSIENT_VALID_MS;
}

function isDisturbance(factor: number): boolean {
  return factor >= DISTURBED_FACTOR || factor <= 1 / DISTURBED_FACTOR;
}

export function createUpstreamStates(
  options: UpstreamStatesOptions = { serviceOf: () => null },
): upstreamStates.UpstreamStates {
  const entries = new Map<string, Entry>();
  const commons = new Map<string, ServiceCommon>();
  /** Services with an upstream that has reported a transient factor. */
  const sharedServices = new Set<string>();

  function getOrCreateEntry(upstreamId: string): Entry {
    const known = entries.get(upstreamId);
    if (known !== undefined) {
      // Another gateway may have reported on it before it was listed here.
      known.service ??= options.serviceOf(upstreamId);
      return known;
    }
    const entry: Entry = {
      service: options.serviceOf(upstreamId),
      learned: latencyRatios.createLearnedRatio(),
      reported: null,
      reportedSentMs: -Infinity,
      reportedBaseline: baselineFactors.createBaselineFactors(),
      observed: null,
      lastDisturbedMs: -Infinity,
      baselineIntervals: baselineIntervals.createBaselineIntervals(),
      lastContradictedMs: -Infinity,
      trust: reportTrust.createReportTrust(),
      load: null,
      tokens: null,
    };
    entries.set(upstreamId, entry);
    return entry;
  }

  /**
   * If several upstreams report a slowdown at once, none is slower than the others: returns the log of what they have
   * in common.
   */
  function commonTransientLog(members: readonly Entry[], nowMs: number): number {
    const logs = members
      .filter((entry) => isRecent(entry.reported, nowMs) && entry.trust.isTrusted(nowMs))
      .map((entry) => Math.log((entry.reported?.factor ?? 1) / entry.reportedBaseline.baseline()));
    if (logs.length < COMMON_MIN_COUNT) return 0;
    const common = median(logs);
    return Math.abs(common) < Math.log(VERIFIABLE_FACTOR) ? 0 : common;
  }

  function commonOf({ service }: Entry, nowMs: number): ServiceCommon {
    if (service === null) return NO_COMMON;
    const known = commons.get(service);
    if (known !== undefined && nowMs - known.atMs < COMMON_CACHE_MS) return known;
    const members = [...entries.values()].filter((other) => other.service === service);
    const ratios = members.map(({ learned }) => learned);
    const common = {
      ...latencyRatios.commonLogs(ratios, nowMs),
      transientLog: commonTransientLog(members, nowMs),
      atMs: nowMs,
    };
    commons.set(service, common);
    return common;
  }

  /** The log ratio relative to the service's mean, drawn towards 0 while there are few answers. */
  function deviationLog(entry: Entry, nowMs: number): number {
    const common = commonOf(entry, nowMs);
    return latencyRatios.deviationLog(entry.learned, common, nowMs);
  }

  /** The factor that it normally reports; 1 while its reports are not trusted. */
  function reportedBaselineOf(entry: Entry, nowMs: number): number {
    if (!entry.trust.isTrusted(nowMs)) return 1;
    const baseline = entry.reportedBaseline.baseline();
    // A baseline outside the range in which upstreams of one service differ is nonsense; it then counts only as a
    // transient factor.
    return baseline >= MIN_LATENCY_RATIO && baseline <= MAX_LATENCY_RATIO ? baseline : 1;
  }

  /** The latency ratio that its answers show beyond what it reports. */
  function learnedLatencyRatio(entry: Entry, nowMs: number): number {
    const log = latencyRatios.withoutNoise(deviationLog(entry, nowMs));
    return clamps.clamp(Math.exp(log), MIN_LATENCY_RATIO, MAX_LATENCY_RATIO);
  }

  function latencyRatioOf(entry: Entry, nowMs: number): number {
    return learnedLatencyRatio(entry, nowMs) * reportedBaselineOf(entry, nowMs);
  }

  /** The slowdown that it reported, unless that is too old or not trusted. */
  function reportedSlowdown(entry: Entry, nowMs: number): Slowdown | null {
    if (!isRecent(entry.reported, nowMs) || !entry.trust.isTrusted(nowMs)) return null;
    const { factor } = entry.reported;
    const baselineFactor =
      reportedBaselineOf(entry, nowMs) * Math.exp(commonOf(entry, nowMs).transientLog);
    return {
      ...entry.reported,
      factor: clamps.clamp(factor / baselineFactor, MIN_FACTOR, MAX_FACTOR),
    };
  }

  /** The slowdown that it reported or that its streams showed, whichever is later. */
  function currentSlowdown(entry: Entry, nowMs: number): Slowdown | null {
    const reported = reportedSlowdown(entry, nowMs);
    const observed = isRecent(entry.observed, nowMs) ? entry.observed : null;
    if (reported === null || observed === null) return reported ?? observed;
    return observed.atMs > reported.atMs + INTERVAL_RUN_MS ? observed : reported;
  }

  function recordVerification(entry: Entry, isContradicted: boolean, nowMs: number): void {
    const isTrustLost = entry.trust.verified(isContradicted, nowMs);
    if (isTrustLost) entry.reportedBaseline = baselineFactors.createBaselineFactors();
  }

  /**
   * Checks the reported factor against an answer: it is contradicted if the answer took about the baseline time
   * although the factor is clearly higher or lower, or the reverse.
   */
  function verifyAgainstAnswer(
    entry: Entry,
    transientFactor: number,
    { predictedMs, tookMs }: AnswerTimes,
    nowMs: number,
  ): void {
    const baselineMs = predictedMs * learnedLatencyRatio(entry, nowMs);
    const reportedMs = speeds.atSpeed(baselineMs, {
      latencyRatio: reportedBaselineOf(entry, nowMs),
      transientFactor,
    });
    const isVerifiable =
      reportedMs >= baselineMs * VERIFIABLE_FACTOR || reportedMs <= baselineMs / VERIFIABLE_FACTOR;
    if (!isVerifiable) return;
    const geometricMiddleMs = Math.sqrt(baselineMs * reportedMs);
    const isContradicted =
      reportedMs > baselineMs ? tookMs < geometricMiddleMs : tookMs > geometricMiddleMs;
    recordVerification(entry, isContradicted, nowMs);
  }

  /** Checks a factor that was reported shortly before against a run of intervals. */
  function verifyAgainstIntervals(entry: Entry, observedFactor: number, nowMs: number): void {
    const reported = reportedSlowdown(entry, nowMs);
    if (reported === null || nowMs - entry.lastContradictedMs < CONTRADICTION_INTERVAL_MS) return;
    if (reported.factor < VERIFIABLE_FACTOR || nowMs - reported.atMs > INTERVAL_RUN_MS) return;
    entry.lastContradictedMs = nowMs;
    recordVerification(entry, observedFactor < Math.sqrt(reported.factor), nowMs);
  }

  return {
    state: (upstreamId, nowMs) => {
      const entry = entries.get(upstreamId);
      if (entry === undefined) return UNKNOWN_STATE;
      const { load, tokens } = entry;
      const slowdown = currentSlowdown(entry, nowMs);
      return {
        latencyRatio: latencyRatioOf(entry, nowMs),
        transientFactor: slowdown === null ? 1 : factorNow(slowdown, nowMs),
        transientAgeMs: slowdown === null ? null : nowMs - slowdown.atMs,
        reportsTransientFactor: entry.reported !== null,
        load: load === null ? null : { ...load, ageMs: nowMs - load.atMs },
        tokens: tokens === null ? null : { ...tokens, ageMs: nowMs - tokens.atMs },
      };
    },
    applyLoadSignal: (upstreamId, signal, sentMs, nowMs) => {
      const entry = getOrCreateEntry(upstreamId);
      // Answers overtake each other: the answer to a request that was sent earlier may carry the older signal.
      if (sentMs < entry.reportedSentMs) return;
      entry.reportedSentMs = sentMs;
      const { runningCount, waitingCount, slots, transientFactor: momentFactor } = signal;
      entry.load = { runningCount, waitingCount, slots, atMs: nowMs };
      if (momentFactor === null || !(momentFactor > 0)) return;
      const factor = clamps.clamp(momentFactor, MIN_FACTOR, MAX_FACTOR);
      if (entry.trust.isTrusted(nowMs)) entry.reportedBaseline.add(factor, nowMs);
      if (entry.service !== null) sharedServices.add(entry.service);
      if (isDisturbance(factor / reportedBaselineOf(entry, nowMs))) entry.lastDisturbedMs = nowMs;
      entry.reported = { factor, atMs: nowMs, receivedAtMs: nowMs };
    },
    recordFirstChunk: (upstreamId, predictedMs, tookMs, nowMs) => {
      const isMeasured = predictedMs >= MIN_PREDICTED_MS && tookMs > 0;
      if (!isMeasured || !Number.isFinite(predictedMs * tookMs)) return;
      const entry = getOrCreateEntry(upstreamId);
      const slowdown = currentSlowdown(entry, nowMs);
      const transientFactor = slowdown === null ? 1 : factorNow(slowdown, nowMs);
      if (slowdown !== null && slowdown !== entry.observed) {
        verifyAgainstAnswer(entry, transientFactor, { predictedMs, tookMs }, nowMs);
      }
      // On a shared machine an answer says nothing about the upstream unless the state of the machine is known.
      const isMachineShared =
        entry.reported !== null && nowMs - entry.reported.atMs < SHARED_MACHINE_MS;
      if (isMachineShared && slowdown === null) return;
      // Intervals do not always distinguish a slow machine from prompts that are prefilled between any two events.
      if (slowdown === entry.observed && transientFactor > 1) return;
      const baselineMs = speeds.atBaselineSpeed(tookMs, {
        latencyRatio: reportedBaselineOf(entry, nowMs),
        transientFactor,
      });
      const ratio = baselineMs / predictedMs;
      latencyRatios.learn(entry.learned, ratio, deviationLog(entry, nowMs), nowMs);
    },
    applyTokenReport: (upstreamId, tokens, nowMs) => {
      getOrCreateEntry(upstreamId).tokens = { ...tokens, atMs: nowMs };
    },
    applyLoadReport: (upstreamId, { runningCount, waitingCount }, nowMs) => {
      const { load } = getOrCreateEntry(upstreamId);
      const atMs = nowMs - REPORT_AGE_MS;
      // Only answers report the slots.
      if (load === null || load.atMs >= atMs) return;
      getOrCreateEntry(upstreamId).load = { ...load, runningCount, waitingCount, atMs };
    },
    recordEventInterval: (upstreamId, model, intervalMs, nowMs) => {
      if (!(intervalMs > 0)) return;
      const entry = getOrCreateEntry(upstreamId);
      const factor = entry.baselineIntervals.observe(model, intervalMs, nowMs);
      if (factor === null) return;
      verifyAgainstIntervals(entry, factor, nowMs);
      const observedFactor = factor < DISTURBED_FACTOR ? 1 : Math.min(MAX_FACTOR, factor);
      if (isDisturbance(observedFactor)) entry.lastDisturbedMs = nowMs;
      entry.observed = { factor: observedFactor, atMs: nowMs, receivedAtMs: nowMs };
    },
    baselineIntervalMs: (upstreamId) =>
      entries.get(upstreamId)?.baselineIntervals.baselineMs() ?? null,
    localLatencyRatios: (nowMs) =>
      [...entries].flatMap(([upstreamId, entry]) => {
        if (entry.learned.weight === 0) return [];
        const { log, answerCount } = latencyRatios.localAverage(entry.learned, nowMs);
        return [
          { upstreamId, latencyRatioLog: log - commonOf(entry, nowMs).localLog, answerCount },
        ];
      }),
    applyRemoteLatencyRatio: (upstreamId, { latencyRatioLog: slownessLog, answerCount }, nowMs) => {
      if (!Number.isFinite(slownessLog) || !(answerCount >= 0)) return;
      const minLog = Math.log(MIN_LATENCY_RATIO);
      const remote = { latencyRatioLog: clamps.clamp(slownessLog, minLog, -minLog), answerCount };
      getOrCreateEntry(upstreamId).learned.remote = { ...remote, atMs: nowMs };
    },
    isOnSharedMachine: (upstreamId) => {
      const entry = entries.get(upstreamId);
      if (entry !== undefined && entry.reported !== null) return true;
      const service = entry?.service ?? options.serviceOf(upstreamId);
      return service !== null && sharedServices.has(service);
    },
    confirmRemoteLatencyRatios: (nowMs) => {
      for (const { learned } of entries.values()) {
        if (learned.remote !== null) learned.remote.atMs = nowMs;
      }
    },
    recentSlowdowns: (nowMs) =>
      [...entries].flatMap(([upstreamId, entry]) => {
        if (entry.reported === null || nowMs - entry.lastDisturbedMs > RECOVERY_SHARING_MS)
          return [];
        const slowdown = currentSlowdown(entry, nowMs);
        const isReported = slowdown !== null && slowdown !== entry.observed;
        return isReported ? [{ ...slowdown, upstreamId }] : [];
      }),
    applyRemoteSlowdown: (upstreamId, factor, atMs, nowMs) => {
      const entry = getOrCreateEntry(upstreamId);
      if (!(factor > 0) || atMs > nowMs || (entry.reported !== null && entry.reported.atMs >= atMs))
        return;
      const reported = clamps.clamp(
        factor * reportedBaselineOf(entry, nowMs),
        MIN_FACTOR,
        MAX_FACTOR,
      );
      if (isDisturbance(factor)) entry.lastDisturbedMs = nowMs;
      entry.reported = { factor: reported, atMs, receivedAtMs: nowMs };
    },
    counts: (nowMs) => {
      const all = [...entries.values()];
      const isDisturbed = (entry: Entry) =>
        (currentSlowdown(entry, nowMs)?.factor ?? 1) >= DISTURBED_FACTOR;
      return {
        slowCount: all.filter((entry) => latencyRatioOf(entry, nowMs) >= SLOW_MIN_RATIO).length,
        disturbedCount: all.filter(isDisturbed).length,
        distrustedCount: all.filter((entry) => !entry.trust.isTrusted(nowMs)).length,
      };
    },
    retain: (upstreamIds) => {
      for (const id of [...entries.keys()]) if (!upstreamIds.has(id)) entries.delete(id);
    },
  };
}
