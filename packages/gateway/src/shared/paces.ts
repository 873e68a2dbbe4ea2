/**
 * How quickly engines read prompts and how long requests keep their slots, learnt for each model from the answers
 * that this gateway passes on. Load: engines, models and prompts that differ from one deployment to the next by
 * factors, and change with what runs beside them. Harm prevented: with fixed figures a copy that could serve in time
 * is refused where engines are quicker, and requests are let into queues that make all of them late where they are
 * slower. A model without answers of its own starts with what its service has shown.
 */
import * as regressions from './regressions.js';
import * as speeds from './speeds.js';

export type Pace = {
  /** Time to the first piece on an idle engine with nothing to read. */
  baseMs: number;
  msPerToken: number;
  /** The part of the reading before a request that it waits for: some of it is done, or read beside its own. */
  aheadShare: number;
  /** What each request that runs beside adds to the first piece. */
  msPerRequest: number;
  /** The part of the wait for a slot that comes true: what runs ends earlier than the average. */
  slotWaitShare: number;
  /** What an answer takes in all. */
  holdMs: number;
  /** Tokens of a prompt that were not cached. */
  promptTokens: number;
  sampleCount: number;
  atMs: number;
};

/** What a request meets at an upstream. */
export type Work = {
  ownTokens: number;
  /** What the unread prompts that are read before its own take to read. */
  readAheadMs: number;
  inFlightCount: number;
  /** Requests beyond the slots, as urgent or more, itself among them. */
  overCount: number;
  slots: number;
};

export type AnswerSample = Work & {
  service: string;
  model: string;
  firstPieceMs: number;
  tookMs: number;
  /** The speed of its upstream, so that the pace learnt is that of an upstream of usual speed; usual if left out. */
  speed?: speeds.Speed;
};

export type Paces = {
  answered: (sample: AnswerSample, nowMs: number) => void;
  pace: (service: string, model: string) => Pace;
};

/**
 * What is assumed before any answer: quicker than most engines, so that the first moments refuse nobody wrongly. It
 * weighs as much as a few answers, of which a busy model has as many within a second.
 */
const PRIOR: Pace = {
  baseMs: 20,
  msPerToken: 0.035,
  aheadShare: 0.5,
  msPerRequest: 0.3,
  slotWaitShare: 0.5,
  holdMs: 1_500,
  promptTokens: 600,
  sampleCount: 0,
  atMs: 0,
};
const PRIOR_WEIGHT = 4;
/** It fades with each answer, down to what keeps a fit from hanging on features that hardly vary. */
const PRIOR_FADE = 0.96;
const LEAST_PRIOR_WEIGHT = 0.1;
/** Some seventy answers make up the figures: a few seconds of a busy model, enough to average over prompts. */
const KEPT_SHARE = 0.985;
const HOLD_SMOOTHING = 0.05;
/**
 * An answer later than this many times what was expected says something of its upstream, which may be slow or grey,
 * not of its model. Late answers are later by far than early ones are early: cut close, the fit comes to what half of
 * the answers take.
 */
const OUTLIER_FACTOR = 1.5;
const OUTLIER_MS = 15;
const LEAST_BASE_MS = 1;
/** The part of the base that is spent on the way and not by the engine, whose speed doesn't scale it. */
const ROUND_TRIP_MS = 3;
/**
 * A pace is that of all upstreams of a service: a reported factor counts only up to this, and one of less than the usual
 * not at all, so that a false one changes it little.
 */
const MOST_MOMENT_FACTOR = 3;
const MS_PER_SECOND = 1_000;

type Fit = { regression: regressions.Regression; pace: Pace };

/** Units in which the features of a usual request are about one, so that the prior weighs alike on all. */
const UNITS = { tokens: 1_000, aheadMs: 100, requests: 10, slotWaitMs: 1_000 };

function slotWaitMs(pace: Pace, work: Work): number {
  return (work.overCount * pace.holdMs) / Math.max(1, work.slots);
}

function featuresOf(pace: Pace, work: Work): number[] {
  return [
    1,
    work.ownTokens / UNITS.tokens,
    work.readAheadMs / UNITS.aheadMs,
    work.inFlightCount / UNITS.requests,
    slotWaitMs(pace, work) / UNITS.slotWaitMs,
  ];
}

function toWeights(pace: Pace): number[] {
  return [
    pace.baseMs,
    pace.msPerToken * UNITS.tokens,
    pace.aheadShare * UNITS.aheadMs,
    pace.msPerRequest * UNITS.requests,
    pace.slotWaitShare * UNITS.slotWaitMs,
  ];
}

function fromWeights(pace: Pace, weights: readonly number[]): Pace {
  const [base = 0, tokens = 0, ahead = 0, requests = 0, slotWait = 0] = weights;
  return {
    ...pace,
    baseMs: Math.max(LEAST_BASE_MS, base),
    msPerToken: Math.max(0, tokens / UNITS.tokens),
    aheadShare: Math.max(0, ahead / UNITS.aheadMs),
    msPerRequest: Math.max(0, requests / UNITS.requests),
    slotWaitShare: Math.max(0, slotWait / UNITS.slotWaitMs),
  };
}

function createFit(start: Pace): Fit {
  return {
    regression: regressions.createRegression(toWeights(start), KEPT_SHARE),
    pace: { ...start, sampleCount: 0 },
  };
}

export function firstPieceMs(pace: Pace, work: Work): number {
  return (
    pace.baseMs +
    pace.msPerToken * work.ownTokens +
    pace.aheadShare * work.readAheadMs +
    pace.msPerRequest * work.inFlightCount +
    pace.slotWaitShare * slotWaitMs(pace, work)
  );
}

function fixedMs(pace: Pace): number {
  return Math.min(ROUND_TRIP_MS, pace.baseMs);
}

/** The prediction for an upstream of that speed. */
export function firstPieceMsAt(pace: Pace, work: Work, speed: speeds.Speed): number {
  const onTheWayMs = fixedMs(pace);
  return onTheWayMs + speeds.atSpeed(firstPieceMs(pace, work) - onTheWayMs, speed);
}

/** What the answer would have taken at an upstream of usual speed. */
function atUsualSpeed(pace: Pace, sample: AnswerSample): AnswerSample {
  if (sample.speed === undefined) return sample;
  const momentFactor = Math.min(MOST_MOMENT_FACTOR, Math.max(1, sample.speed.momentFactor));
  const speed = { ...sample.speed, momentFactor };
  const onTheWayMs = Math.min(fixedMs(pace), sample.firstPieceMs);
  return {
    ...sample,
    firstPieceMs: onTheWayMs + speeds.atUsualSpeed(sample.firstPieceMs - onTheWayMs, speed),
    // An answer lasts longer than a moment: only the learnt speed holds for all of it.
    tookMs: sample.tookMs / speed.slowness,
  };
}

function learn(fit: Fit, observed: AnswerSample, nowMs: number): void {
  const { pace, regression } = fit;
  const sample = atUsualSpeed(pace, observed);
  const smooth = (before: number, value: number) => before + HOLD_SMOOTHING * (value - before);
  const longestMs = OUTLIER_FACTOR * firstPieceMs(pace, sample) + OUTLIER_MS;
  regression.add(featuresOf(pace, sample), Math.min(sample.firstPieceMs, longestMs));
  const priorWeight = PRIOR_WEIGHT * PRIOR_FADE ** pace.sampleCount;
  const weights = regression.weights(Math.max(LEAST_PRIOR_WEIGHT, priorWeight));
  fit.pace = {
    ...fromWeights(pace, weights),
    promptTokens: smooth(pace.promptTokens, sample.ownTokens),
    holdMs: smooth(pace.holdMs, sample.tookMs),
    sampleCount: pace.sampleCount + 1,
    atMs: nowMs,
  };
}

export function createPaces(): Paces {
  const byService = new Map<string, Fit>();
  const byModel = new Map<string, Fit>();

  function serviceFit(service: string): Fit {
    const known = byService.get(service);
    if (known !== undefined) return known;
    const fit = createFit(PRIOR);
    byService.set(service, fit);
    return fit;
  }

  return {
    answered: (sample, nowMs) => {
      const ofService = serviceFit(sample.service);
      const key = `${sample.service} ${sample.model}`;
      const ofModel = byModel.get(key) ?? createFit(ofService.pace);
      byModel.set(key, ofModel);
      learn(ofService, sample, nowMs);
      learn(ofModel, sample, nowMs);
    },
    pace: (service, model) =>
      byModel.get(`${service} ${model}`)?.pace ?? byService.get(service)?.pace ?? PRIOR,
  };
}

/** Seconds of one copy that a request of the model takes: its reading, and its part of the slots. */
export function requestS(pace: Pace, slots: number): number {
  const readMs = pace.msPerToken * pace.promptTokens;
  return (readMs + pace.holdMs / Math.max(1, slots)) / MS_PER_SECOND;
}
