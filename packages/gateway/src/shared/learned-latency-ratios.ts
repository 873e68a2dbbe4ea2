/**
 * The latency ratios that answers show: how much longer an upstream takes than predicted, by this gateway's own answers and, at
 * the start, by those of others. All averages are of logarithms, so that half and twice the time weigh alike.
 */
import type * as upstreamStates from '../types/upstream-states.js';
import * as clamps from './clamp.js';

/**
 * About thirty answers make up the estimate: a few seconds of a busy upstream, and far longer than a transient
 * slowdown.
 */
const DECAY_PER_ANSWER = 0.97;
/**
 * At the start the average speed counts as much as this many answers, so that the first few change the estimate little.
 */
const PRIOR_ANSWERS = 20;
/** The weight of that prior decays over this many answers. */
const PRIOR_FADE_ANSWERS = 10;
/**
 * Upper limit on the number of answers that the remote estimate counts for; it counts for less as this gateway collects
 * its own answers. It is only a starting point: with full weight all gateways would hold the same estimates and choose
 * the same upstreams.
 */
const REMOTE_ANSWERS_MAX = 8;
/**
 * Late answers get less weight than early ones, since most are late because of a queue of prompts that this gateway did
 * not know about yet. With equal weights the fastest upstreams, which get the most requests, would look like all
 * others.
 */
const LATE_ANSWER_WEIGHT = 0.3;
/** Answers that are late or early by a larger factor than this are clamped to it. */
const SAMPLE_RATIO_RANGE = 2;
/**
 * Log deviations below NOISE_LOG are within the noise of thirty answers and count as none; those above SIGNIFICANT_LOG
 * count in full. Upstreams of equal speed thus get equal predictions.
 */
const NOISE_LOG = 0.08;
const SIGNIFICANT_LOG = 0.2;
/** Estimates decay without new answers, so that an upstream that was avoided for being slow is tried again. */
const DECAY_MS = 60_000;

type RemoteRatio = upstreamStates.LearnedLatencyRatio & { atMs: number };

export type LearnedRatio = {
  /** Sum of the logarithms of actual over predicted time. */
  ratioLogSum: number;
  weight: number;
  answerCount: number;
  lastAnswerMs: number;
  remote: RemoteRatio | null;
};

type Average = { log: number; answerCount: number };

/** Mean log ratios of the upstreams of a service, from this gateway's answers and from those of all gateways. */
export type CommonLogs = { localLog: number; fleetLog: number };

export function createLearnedRatio(): LearnedRatio {
  return { ratioLogSum: 0, weight: 0, answerCount: 0, lastAnswerMs: 0, remote: null };
}

function decayed(value: number, atMs: number, nowMs: number): number {
  return value * Math.exp(-Math.max(0, nowMs - atMs) / DECAY_MS);
}

/** The log ratio of this gateway's answers to its own predictions. */
function localRatioLog({ ratioLogSum, weight }: LearnedRatio): number {
  return weight === 0 ? 0 : ratioLogSum / weight;
}

/** The mean weighted by answers; 0 without answers. */
function meanLog(averages: readonly Average[]): number {
  const answerCount = averages.reduce((sum, average) => sum + average.answerCount, 0);
  const total = averages.reduce((sum, average) => sum + average.log * average.answerCount, 0);
  return answerCount === 0 ? 0 : total / answerCount;
}

/** The average over this gateway's own answers. */
export function localAverage(learned: LearnedRatio, nowMs: number): Average {
  const answerCount = decayed(learned.answerCount, learned.lastAnswerMs, nowMs);
  return { log: localRatioLog(learned), answerCount };
}

function remoteWeight({ answerCount, atMs }: RemoteRatio, nowMs: number): number {
  return decayed(Math.min(REMOTE_ANSWERS_MAX, answerCount), atMs, nowMs);
}

/** The average over the answers of all gateways, each relative to that gateway's own mean. */
function fleetAverage(learned: LearnedRatio, localMeanLog: number, nowMs: number): Average {
  const local = localAverage(learned, nowMs);
  const { remote } = learned;
  const startShare = Math.exp(-local.answerCount / PRIOR_FADE_ANSWERS);
  const remoteCount = remote === null ? 0 : startShare * remoteWeight(remote, nowMs);
  const answerCount = local.answerCount + remoteCount;
  const total =
    (local.log - localMeanLog) * local.answerCount + (remote?.latencyRatioLog ?? 0) * remoteCount;
  return { log: answerCount === 0 ? 0 : total / answerCount, answerCount };
}

/** What the upstreams of one service have in common. */
export function commonLogs(members: readonly LearnedRatio[], nowMs: number): CommonLogs {
  const localLog = meanLog(members.map((member) => localAverage(member, nowMs)));
  const fleetLog = meanLog(members.map((member) => fleetAverage(member, localLog, nowMs)));
  return { localLog, fleetLog };
}

/** How far an upstream is from what its service has in common; less, the fewer answers show it. */
export function deviationLog(learned: LearnedRatio, common: CommonLogs, nowMs: number): number {
  const { log, answerCount } = fleetAverage(learned, common.localLog, nowMs);
  const priorCount = PRIOR_ANSWERS * Math.exp(-answerCount / PRIOR_FADE_ANSWERS);
  const share = answerCount / (answerCount + priorCount);
  return (log - common.fleetLog) * share;
}

export function withoutNoise(deviation: number): number {
  const share = clamps.clamp(
    (Math.abs(deviation) - NOISE_LOG) / (SIGNIFICANT_LOG - NOISE_LOG),
    0,
    1,
  );
  return deviation * share;
}

/** Takes up an answer that took `ratio` times as long as predicted, where its log was expected to be `expectedLog`. */
export function learn(
  learned: LearnedRatio,
  ratio: number,
  expectedLog: number,
  nowMs: number,
): void {
  const range = Math.log(SAMPLE_RATIO_RANGE);
  const sampleLog = clamps.clamp(Math.log(ratio), expectedLog - range, expectedLog + range);
  const sampleWeight = sampleLog > expectedLog ? LATE_ANSWER_WEIGHT : 1;
  const decay = DECAY_PER_ANSWER * decayed(1, learned.lastAnswerMs, nowMs);
  learned.ratioLogSum = decay * learned.ratioLogSum + sampleWeight * sampleLog;
  learned.weight = decay * learned.weight + sampleWeight;
  learned.answerCount = decay * learned.answerCount + 1;
  learned.lastAnswerMs = nowMs;
}
