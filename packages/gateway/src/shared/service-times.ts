/**
 * Learns, for each model, how fast engines prefill prompts and how long requests hold their slots, from the answers
 * that this gateway forwards. Engines, models and prompts differ by large factors between deployments, and change with
 * what runs beside them. With fixed figures a copy that could serve in time would be refused where engines are faster,
 * and requests would be admitted to queues that make all of them late where engines are slower. A model without answers
 * of its own starts from what its service has shown.
 */
import * as regressions from './regressions.js';
import * as speeds from './speeds.js';

export type ServiceTimes = {
  /** Time to the first chunk on an idle engine with nothing to prefill. */
  baseMs: number;
  msPerToken: number;
  /**
   * Share of the prefill work ahead of a request that it waits for: some of it is already done, or runs in parallel
   * with its own.
   */
  aheadShare: number;
  /** What each request that runs beside it adds to the time to its first chunk. */
  msPerRequest: number;
  /**
   * Share of the predicted wait for a slot that actually occurs: running requests end earlier than the average
   * duration.
   */
  slotWaitShare: number;
  /** Duration of a whole answer, for which it holds its slot. */
  holdMs: number;
  /** Uncached tokens of a prompt. */
  promptTokens: number;
  sampleCount: number;
  atMs: number;
};

/** The inputs of a prediction: the request's own prefill work, and what it finds at the upstream. */
export type PredictionInputs = {
  uncachedTokens: number;
  /** Time to prefill the pending prompts that are scheduled before its own. */
  prefillAheadMs: number;
  inFlightCount: number;
  /** Requests in excess of the slots that are at least as urgent, including itself. */
  slotWaiterCount: number;
  slots: number;
};

export type AnswerSample = PredictionInputs & {
  service: string;
  model: string;
  firstChunkMs: number;
  tookMs: number;
  /**
   * The speed of its upstream, which is factored out so that the service times are those of an upstream of average
   * speed; average if omitted.
   */
  speed?: speeds.Speed;
};

export type ServiceTimeEstimator = {
  recordAnswer: (sample: AnswerSample, nowMs: number) => void;
  estimate: (service: string, model: string) => ServiceTimes;
};

/**
 * Assumed before any answer. It is faster than most engines, so that no request is refused wrongly in the first
 * moments. It weighs as much as a few answers, of which a busy model has as many within a second.
 */
const PRIOR: ServiceTimes = {
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
/**
 * The prior's weight decays with each answer, down to a minimum that keeps the fit stable when features hardly vary.
 */
const PRIOR_DECAY = 0.96;
const MIN_PRIOR_WEIGHT = 0.1;
/** About seventy answers make up the figures: a few seconds of a busy model, and enough to average over prompts. */
const DECAY_PER_ANSWER = 0.985;
const HOLD_SMOOTHING = 0.05;
/**
 * Answers later than this multiple of the prediction are capped, since they reflect on their upstream, which may be
 * slow or grey, rather than on the model. Late answers are late by much more than early ones are early: with a low cap
 * the fit approaches the median of the answers.
 */
const OUTLIER_FACTOR = 1.5;
const OUTLIER_MS = 15;
const MIN_BASE_MS = 1;
/** The part of the base that is network time, which the speed of the engine does not scale. */
const ROUND_TRIP_MS = 3;
/**
 * The service times stand for all upstreams of a service, so a false reported factor must not change them much: a
 * factor counts only up to this, and one below 1 not at all.
 */
const MAX_TRANSIENT_FACTOR = 3;
const MS_PER_SECOND = 1_000;

type Fit = { regression: regressions.Regression; serviceTimes: ServiceTimes };

/** Units that scale the features of a typical request to about one, so that the prior weighs alike on all of them. */
const UNITS = { tokens: 1_000, aheadMs: 100, requests: 10, slotWaitMs: 1_000 };

function slotWaitMs(serviceTimes: ServiceTimes, inputs: PredictionInputs): number {
  return (inputs.slotWaiterCount * serviceTimes.holdMs) / Math.max(1, inputs.slots);
}

function featuresOf(serviceTimes: ServiceTimes, inputs: PredictionInputs): number[] {
  return [
    1,
    inputs.uncachedTokens / UNITS.tokens,
    inputs.prefillAheadMs / UNITS.aheadMs,
    inputs.inFlightCount / UNITS.requests,
    slotWaitMs(serviceTimes, inputs) / UNITS.slotWaitMs,
  ];
}

function toWeights(serviceTimes: ServiceTimes): number[] {
  return [
    serviceTimes.baseMs,
    serviceTimes.msPerToken * UNITS.tokens,
    serviceTimes.aheadShare * UNITS.aheadMs,
    serviceTimes.msPerRequest * UNITS.requests,
    serviceTimes.slotWaitShare * UNITS.slotWaitMs,
  ];
}

function fromWeights(serviceTimes: ServiceTimes, weights: readonly number[]): ServiceTimes {
  const [base = 0, tokens = 0, ahead = 0, requests = 0, slotWait = 0] = weights;
  return {
    ...serviceTimes,
    baseMs: Math.max(MIN_BASE_MS, base),
    msPerToken: Math.max(0, tokens / UNITS.tokens),
    aheadShare: Math.max(0, ahead / UNITS.aheadMs),
    msPerRequest: Math.max(0, requests / UNITS.requests),
    slotWaitShare: Math.max(0, slotWait / UNITS.slotWaitMs),
  };
}

function createFit(start: ServiceTimes): Fit {
  return {
    regression: regressions.createRegression(toWeights(start), DECAY_PER_ANSWER),
    serviceTimes: { ...start, sampleCount: 0 },
  };
}

export function predictFirstChunkMs(serviceTimes: ServiceTimes, inputs: PredictionInputs): number {
  return (
    serviceTimes.baseMs +
    serviceTimes.msPerToken * inputs.uncachedTokens +
    serviceTimes.aheadShare * inputs.prefillAheadMs +
    serviceTimes.msPerRequest * inputs.inFlightCount +
    serviceTimes.slotWaitShare * slotWaitMs(serviceTimes, inputs)
  );
}

function roundTripMs(serviceTimes: ServiceTimes): number {
  return Math.min(ROUND_TRIP_MS, serviceTimes.baseMs);
}

/** The predicted time to the first chunk at an upstream of this speed. */
export function predictFirstChunkMsAtSpeed(
  serviceTimes: ServiceTimes,
  inputs: PredictionInputs,
  speed: speeds.Speed,
): number {
  const networkMs = roundTripMs(serviceTimes);
  return networkMs + speeds.atSpeed(predictFirstChunkMs(serviceTimes, inputs) - networkMs, speed);
}

/** The sample as it would have been at an upstream of average speed. */
function toBaselineSpeed(serviceTimes: ServiceTimes, sample: AnswerSample): AnswerSample {
  if (sample.speed === undefined) return sample;
  const transientFactor = Math.min(MAX_TRANSIENT_FACTOR, Math.max(1, sample.speed.transientFactor));
  const speed = { ...sample.speed, transientFactor };
  const networkMs = Math.min(roundTripMs(serviceTimes), sample.firstChunkMs);
  return {
    ...sample,
    firstChunkMs: networkMs + speeds.atBaselineSpeed(sample.firstChunkMs - networkMs, speed),
    // A whole answer lasts longer than a transient slowdown: only the latency ratio applies to all of it.
    tookMs: sample.tookMs / speed.latencyRatio,
  };
}

function updateFit(fit: Fit, observed: AnswerSample, nowMs: number): void {
  const { serviceTimes, regression } = fit;
  const sample = toBaselineSpeed(serviceTimes, observed);
  const smooth = (before: number, value: number) => before + HOLD_SMOOTHING * (value - before);
  const maxSampleMs = OUTLIER_FACTOR * predictFirstChunkMs(serviceTimes, sample) + OUTLIER_MS;
  regression.add(featuresOf(serviceTimes, sample), Math.min(sample.firstChunkMs, maxSampleMs));
  const priorWeight = PRIOR_WEIGHT * PRIOR_DECAY ** serviceTimes.sampleCount;
  const weights = regression.weights(Math.max(MIN_PRIOR_WEIGHT, priorWeight));
  fit.serviceTimes = {
    ...fromWeights(serviceTimes, weights),
    promptTokens: smooth(serviceTimes.promptTokens, sample.uncachedTokens),
    holdMs: smooth(serviceTimes.holdMs, sample.tookMs),
    sampleCount: serviceTimes.sampleCount + 1,
    atMs: nowMs,
  };
}

export function createServiceTimeEstimator(): ServiceTimeEstimator {
  const byService = new Map<string, Fit>();
  const byModel = new Map<string, Fit>();

  function serviceFit(service: string): Fit {
    const existing = byService.get(service);
    if (existing !== undefined) return existing;
    const fit = createFit(PRIOR);
    byService.set(service, fit);
    return fit;
  }

  return {
    recordAnswer: (sample, nowMs) => {
      const serviceLevel = serviceFit(sample.service);
      const key = `${sample.service} ${sample.model}`;
      const modelLevel = byModel.get(key) ?? createFit(serviceLevel.serviceTimes);
      byModel.set(key, modelLevel);
      updateFit(serviceLevel, sample, nowMs);
      updateFit(modelLevel, sample, nowMs);
    },
    estimate: (service, model) =>
      byModel.get(`${service} ${model}`)?.serviceTimes ??
      byService.get(service)?.serviceTimes ??
      PRIOR,
  };
}

/** Seconds of one copy's capacity that a request of the model uses: its prefill, and its share of the slots. */
export function requestSeconds(serviceTimes: ServiceTimes, slots: number): number {
  const prefillMs = serviceTimes.msPerToken * serviceTimes.promptTokens;
  return (prefillMs + serviceTimes.holdMs / Math.max(1, slots)) / MS_PER_SECOND;
}
