/**
 * The speed and the load of each upstream, from what it reports and from what its answers take. Load: upstreams that
 * differ in speed, on machines that others slow down for half a second at a time. Harm prevented: with one figure for
 * all, work goes evenly to upstreams that are uneven, and prompts to those that read slowly at this moment.
 *
 * The pace of a model (paces.ts) and the slowness of its upstreams are learnt from the same answers, and only their
 * product can be observed. The mean slowness of a service, over answers, is therefore held at 1: what all its upstreams
 * have in common is a matter of the pace. Were it the mean over upstreams, the few that get most requests and the pace
 * would drift apart without an end, since upstreams without answers stay where they are.
 */
import type * as upstreamStates from '../types/upstream-states.js';
import * as speeds from './speeds.js';
import * as usualFactors from './usual-factors.js';
import * as usualGaps from './usual-gaps.js';
import * as clamps from './clamp.js';

/** Told figures outside of this range are cut to it, so that an absurd one does bounded harm. */
const LEAST_FACTOR = 0.2;
const MOST_FACTOR = 10;
/** Upstreams of one service differ in speed by less; whoever looks slower is broken and not slow. */
const LEAST_SLOWNESS = 1 / 3;
const MOST_SLOWNESS = 3;
/** What disturbs an upstream for the moment seldom lasts longer. */
const MOMENT_VALID_MS = 600;
/** Whoever has reported a factor within this time shares its machine, also where the latest answer reports none. */
const SHARED_MS = 30_000;
/** Some thirty answers make up what is learnt: a few seconds of a busy upstream, far longer than a moment. */
const KEPT_SHARE = 0.97;
/** The usual speed counts as much as this many answers at the start, so that the first few change little. */
const PRIOR_ANSWERS = 20;
/** It gives way as answers add up. */
const PRIOR_FADE_ANSWERS = 10;
/**
 * What all other gateways have shown counts for no more answers than this, and for less as this gateway has its own: it is
 * where a gateway starts from. With full weight all would hold the same estimates and choose the same upstreams.
 */
const OTHERS_ANSWERS_MAX = 8;
/**
 * Late answers weigh less than early ones: what made them late is mostly a queue of prompts that had not been heard
 * of. With equal weights the quickest upstreams, which get the most requests, would look like all others.
 */
const LATE_WEIGHT = 0.3;
/** An answer that was late or early by a larger factor says no more than one that was by this. */
const SAMPLE_RANGE = 2;
/** Predictions below this are mostly round trips, which say nothing of speed. */
const LEAST_PREDICTED_MS = 5;
/**
 * Deviations below the first, as logarithms, are within the noise of thirty answers and count as none; those above the
 * second count in full. Upstreams that are alike are thus predicted alike.
 */
const NOISE_LOG = 0.08;
const CLEAR_LOG = 0.2;
/** Without answers what was learnt fades, so that an upstream that is passed over for its slowness is tried again. */
const FADE_MS = 60_000;
const COMMON_KEPT_MS = 100;

/** From here on a told factor differs enough from the usual to be contradicted by a first event. */
const CLEAR_FACTOR = 1.8;
/** Answers that contradict a factor, less those that agree, until it is no longer trusted. */
const CONTRADICTIONS_MAX = 3;
const FIRST_DISTRUST_MS = 5_000;
const LONGEST_DISTRUST_MS = 60_000;
/** For how long it is news that an upstream is back at its usual. */
const RETURN_NEWS_MS = 1_000;
/** Reports describe what was so much earlier. */
const REPORTED_AGE_MS = 300;
/** For those who watch: upstreams from here on count as slow. */
const SLOW_FROM = 1.25;
/** Fewer upstreams may well be disturbed at the same time. */
const COMMON_LEAST_COUNT = 5;

/** Gaps longer by less come from more requests beside the stream and count as usual. */
const CLEAR_GAP_FACTOR = 1.6;
/** Gaps say what was until now; a report that is younger than the run of gaps knows better. */
const RUN_MS = 100;
/** Runs of gaps contradict a report at most this often, since several streams see the same. */
const CONTRADICTION_PAUSE_MS = 150;

type Learnt = upstreamStates.LearntSlowness;

type Answer = { predictedMs: number; tookMs: number };

type Moment = { factor: number; atMs: number; heardAtMs: number };

type Entry = {
  service: string | null;
  /** Sum of the logarithms of what answers took against their predictions: half and twice the time weigh alike. */
  logSum: number;
  weight: number;
  answerCount: number;
  answeredMs: number;
  others: (Learnt & { atMs: number }) | null;
  told: Moment | null;
  toldSentMs: number;
  usualTold: usualFactors.UsualFactors;
  /** From the gaps between events. */
  seen: Moment | null;
  /** When its moment last was clearly not the usual. */
  clearMs: number;
  gaps: usualGaps.UsualGaps;
  contradictedMs: number;
  contradictions: number;
  distrustedUntilMs: number;
  distrustMs: number;
  load: { runningCount: number; waitingCount: number; slots: number; atMs: number } | null;
  tokens: { used: number; total: number; atMs: number } | null;
};

/** What the upstreams of a service have in common. */
type Common = { ownLog: number; fleetLog: number; momentLog: number; atMs: number };

const NOTHING_COMMON: Common = { ownLog: 0, fleetLog: 0, momentLog: 0, atMs: -Infinity };

/** Where nothing is known. */
export const UNKNOWN_STATE: upstreamStates.UpstreamState = {
  slowness: 1,
  momentFactor: 1,
  momentAgeMs: null,
  tellsMoment: false,
  load: null,
  tokens: null,
};

/** Takes all upstreams for alike, and learns nothing. */
export const UNKNOWN_STATES: Pick<
  upstreamStates.UpstreamStates,
  'state' | 'answered' | 'observed'
> = {
  state: () => UNKNOWN_STATE,
  answered: () => {},
  observed: () => {},
};

type ForChoice = Pick<upstreamStates.UpstreamStates, 'state' | 'answered' | 'observed'>;

/** What the choice of an upstream is made by; with `auto` only where upstreams tell how long work takes at the moment. */
export function forChoice(
  setting: 'auto' | 'on' | 'off',
  states: ForChoice & Pick<upstreamStates.UpstreamStates, 'isShared'>,
): ForChoice {
  switch (setting) {
    case 'on':
      return states;
    case 'off':
      return UNKNOWN_STATES;
    case 'auto':
      return {
        state: (upstreamId, nowMs) =>
          states.isShared(upstreamId) ? states.state(upstreamId, nowMs) : UNKNOWN_STATE,
        answered: (upstreamId, ...answer) => {
          if (states.isShared(upstreamId)) states.answered(upstreamId, ...answer);
        },
        observed: (upstreamId, ...gap) => {
          if (states.isShared(upstreamId)) states.observed(upstreamId, ...gap);
        },
      };
  }
}

export type UpstreamStatesOptions = {
  /** The service whose upstreams it is compared with; null while unknown, and then it is compared with none. */
  serviceOf: (upstreamId: string) => string | null;
};

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const upper = sorted[Math.floor(sorted.length / 2)] ?? 0;
  const lower = sorted[Math.ceil(sorted.length / 2) - 1] ?? upper;
  return (lower + upper) / 2;
}

/** What was told fades towards the usual, since it says less of each later moment. */
function factorNow({ factor, atMs }: Pick<Moment, 'factor' | 'atMs'>, nowMs: number): number {
  const validShare = clamps.clamp(1 - (nowMs - atMs) / MOMENT_VALID_MS, 0, 1);
  return 1 + (factor - 1) * validShare;
}

function isRecent(moment: Moment | null, nowMs: number): moment is Moment {
  return moment !== null && nowMs - moment.atMs < MOMENT_VALID_MS;
}

function faded(value: number, atMs: number, nowMs: number): number {
  return value * Math.exp(-Math.max(0, nowMs - atMs) / FADE_MS);
}

/** Of this gateway's own answers, against its own predictions. */
function rawLog({ logSum, weight }: Entry): number {
  return weight === 0 ? 0 : logSum / weight;
}

type Average = { log: number; answerCount: number };

/** Over answers; 0 without any. */
function meanLog(averages: readonly Average[]): number {
  const answerCount = averages.reduce((sum, average) => sum + average.answerCount, 0);
  const total = averages.reduce((sum, average) => sum + average.log * average.answerCount, 0);
  return answerCount === 0 ? 0 : total / answerCount;
}

/** Of this gateway's own answers. */
function ownAverage(entry: Entry, nowMs: number): Average {
  const answerCount = faded(entry.answerCount, entry.answeredMs, nowMs);
  return { log: rawLog(entry), answerCount };
}

function othersWeight({ answerCount, atMs }: Learnt & { atMs: number }, nowMs: number): number {
  return faded(Math.min(OTHERS_ANSWERS_MAX, answerCount), atMs, nowMs);
}

/** Of the answers of all gateways, each against the mean of its own. */
function fleetAverage(entry: Entry, ownMeanLog: number, nowMs: number): Average {
  const own = ownAverage(entry, nowMs);
  const { others } = entry;
  const startShare = Math.exp(-own.answerCount / PRIOR_FADE_ANSWERS);
  const othersCount = others === null ? 0 : startShare * othersWeight(others, nowMs);
  const answerCount = own.answerCount + othersCount;
  const total = (own.log - ownMeanLog) * own.answerCount + (others?.slownessLog ?? 0) * othersCount;
  return { log: answerCount === 0 ? 0 : total / answerCount, answerCount };
}

function withoutNoise(deviationLog: number): number {
  const share = clamps.clamp((Math.abs(deviationLog) - NOISE_LOG) / (CLEAR_LOG - NOISE_LOG), 0, 1);
  return deviationLog * share;
}

function isClearly(factor: number): boolean {
  return factor >= CLEAR_GAP_FACTOR || factor <= 1 / CLEAR_GAP_FACTOR;
}

export function createUpstreamStates(
  options: UpstreamStatesOptions = { serviceOf: () => null },
): upstreamStates.UpstreamStates {
  const entries = new Map<string, Entry>();
  const commons = new Map<string, Common>();
  /** Services whose upstreams tell of their machines. */
  const sharedServices = new Set<string>();

  function entryOf(upstreamId: string): Entry {
    const known = entries.get(upstreamId);
    if (known !== undefined) {
      // Another gateway may have told of it before it was listed here.
      known.service ??= options.serviceOf(upstreamId);
      return known;
    }
    const entry: Entry = {
      service: options.serviceOf(upstreamId),
      logSum: 0,
      weight: 0,
      answerCount: 0,
      answeredMs: 0,
      others: null,
      told: null,
      toldSentMs: -Infinity,
      usualTold: usualFactors.createUsualFactors(),
      seen: null,
      clearMs: -Infinity,
      gaps: usualGaps.createUsualGaps(),
      contradictedMs: -Infinity,
      contradictions: 0,
      distrustedUntilMs: -Infinity,
      distrustMs: FIRST_DISTRUST_MS,
      load: null,
      tokens: null,
    };
    entries.set(upstreamId, entry);
    return entry;
  }

  function isTrusted(entry: Entry, nowMs: number): boolean {
    return nowMs >= entry.distrustedUntilMs;
  }

  /** Several upstreams that are all told to be slow at once are no slower than one another. */
  function commonMomentLog(members: readonly Entry[], nowMs: number): number {
    const logs = members
      .filter((entry) => isRecent(entry.told, nowMs) && isTrusted(entry, nowMs))
      .map((entry) => Math.log((entry.told?.factor ?? 1) / entry.usualTold.usual()));
    if (logs.length < COMMON_LEAST_COUNT) return 0;
    const common = median(logs);
    return Math.abs(common) < Math.log(CLEAR_FACTOR) ? 0 : common;
  }

  function commonOf({ service }: Entry, nowMs: number): Common {
    if (service === null) return NOTHING_COMMON;
    const known = commons.get(service);
    if (known !== undefined && nowMs - known.atMs < COMMON_KEPT_MS) return known;
    const members = [...entries.values()].filter((other) => other.service === service);
    const ownLog = meanLog(members.map((entry) => ownAverage(entry, nowMs)));
    const common = {
      ownLog,
      fleetLog: meanLog(members.map((entry) => fleetAverage(entry, ownLog, nowMs))),
      momentLog: commonMomentLog(members, nowMs),
      atMs: nowMs,
    };
    commons.set(service, common);
    return common;
  }

  /** Against the others, drawn to the usual while there are few answers. */
  function deviationLog(entry: Entry, nowMs: number): number {
    const common = commonOf(entry, nowMs);
    const { log, answerCount } = fleetAverage(entry, common.ownLog, nowMs);
    const priorCount = PRIOR_ANSWERS * Math.exp(-answerCount / PRIOR_FADE_ANSWERS);
    const share = answerCount / (answerCount + priorCount);
    return (log - common.fleetLog) * share;
  }

  /** What it usually tells of its machine, as far as that is trusted. */
  function usualOf(entry: Entry, nowMs: number): number {
    if (!isTrusted(entry, nowMs)) return 1;
    const usual = entry.usualTold.usual();
    // Beyond what upstreams of one service differ by it is nonsense, and counts for the moment alone.
    return usual >= LEAST_SLOWNESS && usual <= MOST_SLOWNESS ? usual : 1;
  }

  /** What its answers took beyond what it tells. */
  function learntSlowness(entry: Entry, nowMs: number): number {
    const log = withoutNoise(deviationLog(entry, nowMs));
    return clamps.clamp(Math.exp(log), LEAST_SLOWNESS, MOST_SLOWNESS);
  }

  function slownessOf(entry: Entry, nowMs: number): number {
    return learntSlowness(entry, nowMs) * usualOf(entry, nowMs);
  }

  /** What it reported, as far as that is trusted. */
  function toldMoment(entry: Entry, nowMs: number): Moment | null {
    if (!isRecent(entry.told, nowMs) || !isTrusted(entry, nowMs)) return null;
    const { factor } = entry.told;
    const commonFactor = usualOf(entry, nowMs) * Math.exp(commonOf(entry, nowMs).momentLog);
    return {
      ...entry.told,
      factor: clamps.clamp(factor / commonFactor, LEAST_FACTOR, MOST_FACTOR),
    };
  }

  /** The later of what it reported and what its streams showed. */
  function momentOf(entry: Entry, nowMs: number): Moment | null {
    const told = toldMoment(entry, nowMs);
    const seen = isRecent(entry.seen, nowMs) ? entry.seen : null;
    if (told === null || seen === null) return told ?? seen;
    return seen.atMs > told.atMs + RUN_MS ? seen : told;
  }

  function distrust(entry: Entry, nowMs: number): void {
    entry.contradictions = 0;
    entry.usualTold = usualFactors.createUsualFactors();
    entry.distrustedUntilMs = nowMs + entry.distrustMs;
    entry.distrustMs = Math.min(LONGEST_DISTRUST_MS, 2 * entry.distrustMs);
  }

  function weigh(entry: Entry, isContradicted: boolean, nowMs: number): void {
    entry.contradictions = Math.max(0, entry.contradictions + (isContradicted ? 1 : -1));
    if (entry.contradictions >= CONTRADICTIONS_MAX) distrust(entry, nowMs);
  }

  /** Whether an answer took about what is usual there although the told factor is clearly another, or the contrary. */
  function check(
    entry: Entry,
    momentFactor: number,
    { predictedMs, tookMs }: Answer,
    nowMs: number,
  ): void {
    const usualMs = predictedMs * learntSlowness(entry, nowMs);
    const toldMs = speeds.atSpeed(usualMs, { slowness: usualOf(entry, nowMs), momentFactor });
    const isClear = toldMs >= usualMs * CLEAR_FACTOR || toldMs <= usualMs / CLEAR_FACTOR;
    if (!isClear) return;
    const middleMs = Math.sqrt(usualMs * toldMs);
    const isContradicted = toldMs > usualMs ? tookMs < middleMs : tookMs > middleMs;
    weigh(entry, isContradicted, nowMs);
  }

  /** Compares a run of gaps with a factor that was reported shortly before it began, and seems to hold still. */
  function checkGaps(entry: Entry, seenFactor: number, nowMs: number): void {
    const told = toldMoment(entry, nowMs);
    if (told === null || nowMs - entry.contradictedMs < CONTRADICTION_PAUSE_MS) return;
    if (told.factor < CLEAR_FACTOR || nowMs - told.atMs > RUN_MS) return;
    entry.contradictedMs = nowMs;
    weigh(entry, seenFactor < Math.sqrt(told.factor), nowMs);
  }

  function learn(entry: Entry, ratio: number, nowMs: number): void {
    const expectedLog = deviationLog(entry, nowMs);
    const range = Math.log(SAMPLE_RANGE);
    const sampleLog = clamps.clamp(Math.log(ratio), expectedLog - range, expectedLog + range);
    const sampleWeight = sampleLog > expectedLog ? LATE_WEIGHT : 1;
    const kept = KEPT_SHARE * faded(1, entry.answeredMs, nowMs);
    entry.logSum = kept * entry.logSum + sampleWeight * sampleLog;
    entry.weight = kept * entry.weight + sampleWeight;
    entry.answerCount = kept * entry.answerCount + 1;
    entry.answeredMs = nowMs;
  }

  return {
    state: (upstreamId, nowMs) => {
      const entry = entries.get(upstreamId);
      if (entry === undefined) return UNKNOWN_STATE;
      const { load, tokens } = entry;
      const moment = momentOf(entry, nowMs);
      return {
        slowness: slownessOf(entry, nowMs),
        momentFactor: moment === null ? 1 : factorNow(moment, nowMs),
        momentAgeMs: moment === null ? null : nowMs - moment.atMs,
        tellsMoment: entry.told !== null,
        load: load === null ? null : { ...load, ageMs: nowMs - load.atMs },
        tokens: tokens === null ? null : { ...tokens, ageMs: nowMs - tokens.atMs },
      };
    },
    told: (upstreamId, word, sentMs, nowMs) => {
      const entry = entryOf(upstreamId);
      // Answers overtake each other: one to an earlier request may be the older word.
      if (sentMs < entry.toldSentMs) return;
      entry.toldSentMs = sentMs;
      const { runningCount, waitingCount, slots, momentFactor } = word;
      entry.load = { runningCount, waitingCount, slots, atMs: nowMs };
      if (momentFactor === null || !(momentFactor > 0)) return;
      const factor = clamps.clamp(momentFactor, LEAST_FACTOR, MOST_FACTOR);
      if (isTrusted(entry, nowMs)) entry.usualTold.told(factor, nowMs);
      if (entry.service !== null) sharedServices.add(entry.service);
      if (isClearly(factor / usualOf(entry, nowMs))) entry.clearMs = nowMs;
      entry.told = { factor, atMs: nowMs, heardAtMs: nowMs };
    },
    answered: (upstreamId, predictedMs, tookMs, nowMs) => {
      const isMeasured = predictedMs >= LEAST_PREDICTED_MS && tookMs > 0;
      if (!isMeasured || !Number.isFinite(predictedMs * tookMs)) return;
      const entry = entryOf(upstreamId);
      const moment = momentOf(entry, nowMs);
      const momentFactor = moment === null ? 1 : factorNow(moment, nowMs);
      if (moment !== null && moment !== entry.seen) {
        check(entry, momentFactor, { predictedMs, tookMs }, nowMs);
      }
      // On a shared machine an answer says nothing of the upstream unless it is known how the machine was.
      const isShared = entry.told !== null && nowMs - entry.told.atMs < SHARED_MS;
      if (isShared && moment === null) return;
      // Gaps tell a slow machine from prompts that are read between any two events only most of the time.
      if (moment === entry.seen && momentFactor > 1) return;
      const usualMs = speeds.atUsualSpeed(tookMs, {
        slowness: usualOf(entry, nowMs),
        momentFactor,
      });
      learn(entry, usualMs / predictedMs, nowMs);
    },
    reported: (upstreamId, tokens, nowMs) => {
      entryOf(upstreamId).tokens = { ...tokens, atMs: nowMs };
    },
    reportedLoad: (upstreamId, { runningCount, waitingCount }, nowMs) => {
      const { load } = entryOf(upstreamId);
      const atMs = nowMs - REPORTED_AGE_MS;
      // Only answers tell the slots.
      if (load === null || load.atMs >= atMs) return;
      entryOf(upstreamId).load = { ...load, runningCount, waitingCount, atMs };
    },
    observed: (upstreamId, model, gapMs, nowMs) => {
      if (!(gapMs > 0)) return;
      const entry = entryOf(upstreamId);
      const factor = entry.gaps.observed(model, gapMs, nowMs);
      if (factor === null) return;
      checkGaps(entry, factor, nowMs);
      const seenFactor = factor < CLEAR_GAP_FACTOR ? 1 : Math.min(MOST_FACTOR, factor);
      if (isClearly(seenFactor)) entry.clearMs = nowMs;
      entry.seen = { factor: seenFactor, atMs: nowMs, heardAtMs: nowMs };
    },
    usualGapMs: (upstreamId) => entries.get(upstreamId)?.gaps.usualMs() ?? null,
    learnt: (nowMs) =>
      [...entries].flatMap(([upstreamId, entry]) => {
        if (entry.weight === 0) return [];
        const { log, answerCount } = ownAverage(entry, nowMs);
        return [{ upstreamId, slownessLog: log - commonOf(entry, nowMs).ownLog, answerCount }];
      }),
    heard: (upstreamId, { slownessLog, answerCount }, nowMs) => {
      if (!Number.isFinite(slownessLog) || !(answerCount >= 0)) return;
      const least = Math.log(LEAST_SLOWNESS);
      const others = { slownessLog: clamps.clamp(slownessLog, least, -least), answerCount };
      entryOf(upstreamId).others = { ...others, atMs: nowMs };
    },
    isShared: (upstreamId) => {
      const entry = entries.get(upstreamId);
      if (entry !== undefined && entry.told !== null) return true;
      const service = entry?.service ?? options.serviceOf(upstreamId);
      return service !== null && sharedServices.has(service);
    },
    confirmed: (nowMs) => {
      for (const { others } of entries.values()) if (others !== null) others.atMs = nowMs;
    },
    moments: (nowMs) =>
      [...entries].flatMap(([upstreamId, entry]) => {
        if (entry.told === null || nowMs - entry.clearMs > RETURN_NEWS_MS) return [];
        const moment = momentOf(entry, nowMs);
        const isTold = moment !== null && moment !== entry.seen;
        return isTold ? [{ ...moment, upstreamId }] : [];
      }),
    heardMoment: (upstreamId, factor, atMs, nowMs) => {
      const entry = entryOf(upstreamId);
      if (!(factor > 0) || atMs > nowMs || (entry.told !== null && entry.told.atMs >= atMs)) return;
      const told = clamps.clamp(factor * usualOf(entry, nowMs), LEAST_FACTOR, MOST_FACTOR);
      if (isClearly(factor)) entry.clearMs = nowMs;
      entry.told = { factor: told, atMs, heardAtMs: nowMs };
    },
    counts: (nowMs) => {
      const all = [...entries.values()];
      const isDisturbed = (entry: Entry) =>
        (momentOf(entry, nowMs)?.factor ?? 1) >= CLEAR_GAP_FACTOR;
      return {
        slowCount: all.filter((entry) => slownessOf(entry, nowMs) >= SLOW_FROM).length,
        disturbedCount: all.filter(isDisturbed).length,
        distrustedCount: all.filter((entry) => !isTrusted(entry, nowMs)).length,
      };
    },
    retain: (upstreamIds) => {
      for (const id of [...entries.keys()]) if (!upstreamIds.has(id)) entries.delete(id);
    },
  };
}
