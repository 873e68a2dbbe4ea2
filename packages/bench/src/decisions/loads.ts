/** The loads of the bench: who asks for what and when, and what happens to the fleet meanwhile. */
import type { types } from '@copperlever/decisions';
import type { randoms } from '@copperlever/runtime';

import type * as benchTypes from './types.js';

type Shape = { share: number; outputTokens: number; promptTokens: number; slackMs: number };

/**
 * Draws and proof checks are short and wanted soon; overnight copy is long and can wait. The shares
 * are by count: by work the three classes ask for about a third each.
 */
const SHAPES: Record<types.PriorityClass, Shape> = {
  critical: { share: 0.68, outputTokens: 100, promptTokens: 300, slackMs: 2_000 },
  standard: { share: 0.22, outputTokens: 300, promptTokens: 600, slackMs: 15_000 },
  batch: { share: 0.1, outputTokens: 600, promptTokens: 1_000, slackMs: 900_000 },
};
const CLASSES = ['critical', 'standard', 'batch'] as const;
/** Answers end anywhere between a fifth and the whole of the tokens they may have. */
const LEAST_OUTPUT_SHARE = 0.2;
const MEAN_OUTPUT_SHARE = 0.6;
/** How much of a model's demand is of its own class; the rest is as everywhere. */
const OWN_CLASS_SHARE = 0.5;
const LONG_WORK_SHARE = 0.04;
const LONG_WORK_FACTOR = 8;
const PREFIXES_PER_TARGET = 20;

const RUN_MS = 600_000;
const HOUR_MS = 3_600_000;
const BURST_MS = 20_000;
const BURST_COUNT = 8;
const BURST_FACTOR = 10;
const BURST_MODEL_SHARE = 0.1;
const DISTURBANCE_AT_MS = 120_000;
const SLOW_SPEED = 0.2;
const TENFOLD = 10;
const STEP_MS = 1_000;

/** Offered work as a share of all slots. */
const DEFAULT_OFFERED: Record<benchTypes.LoadName, number> = {
  burst: 0.5,
  skew: 0.7,
  'slow-upstream': 0.7,
  mixed: 0.75,
  saturation: 1.5,
  'domain-loss': 0.6,
};

type Intensity = (model: benchTypes.ModelSpec, atMs: number) => number;

function createSkew(size: benchTypes.Size, random: randoms.Random): Intensity {
  const phases = new Map(size.models.map((model) => [model.id, random.fraction() * 2 * Math.PI]));
  return (model, atMs) => {
    const angle = (phases.get(model.id) ?? 0) + (2 * Math.PI * atMs) / (2 * HOUR_MS);
    return Math.sqrt(TENFOLD) ** (2 * Math.sin(angle) - 1);
  };
}

function createBursts(size: benchTypes.Size, random: randoms.Random): Intensity {
  const bursts = Array.from({ length: BURST_COUNT }, (_, index) => ({
    fromMs: ((index + random.fraction()) * RUN_MS) / BURST_COUNT,
    models: new Set(
      size.models.filter(() => random.fraction() < BURST_MODEL_SHARE).map((model) => model.id),
    ),
  }));
  return (model, atMs) => {
    const inBurst = bursts.some(
      (burst) =>
        atMs >= burst.fromMs && atMs < burst.fromMs + BURST_MS && burst.models.has(model.id),
    );
    return inBurst ? BURST_FACTOR : 1;
  };
}

function createIntensity(
  name: benchTypes.LoadName,
  size: benchTypes.Size,
  random: randoms.Random,
): Intensity {
  switch (name) {
    case 'skew':
      return createSkew(size, random);
    case 'burst':
      return createBursts(size, random);
    case 'slow-upstream':
    case 'mixed':
    case 'saturation':
    case 'domain-loss':
      return () => 1;
  }
}

function createDisturbances(
  name: benchTypes.LoadName,
  size: benchTypes.Size,
  random: randoms.Random,
): benchTypes.Disturbance[] {
  const hit = size.upstreams[random.below(size.upstreams.length)] as benchTypes.UpstreamSpec;
  switch (name) {
    case 'slow-upstream':
      return [{ kind: 'slow', atMs: DISTURBANCE_AT_MS, upstreamId: hit.id, speed: SLOW_SPEED }];
    case 'domain-loss':
      return size.upstreams
        .filter((upstream) => upstream.failureDomain === hit.failureDomain)
        .map((upstream) => ({ kind: 'lost', atMs: DISTURBANCE_AT_MS, upstreamId: upstream.id }));
    case 'burst':
    case 'skew':
    case 'mixed':
    case 'saturation':
      return [];
  }
}

function serviceMs(model: benchTypes.ModelSpec, promptTokens: number, outputTokens: number) {
  return promptTokens * model.prefillMsPerToken + outputTokens * model.decodeMsPerToken;
}

function classShare(model: benchTypes.ModelSpec, priorityClass: types.PriorityClass): number {
  const own = model.priorityClass === priorityClass ? OWN_CLASS_SHARE : 0;
  return SHAPES[priorityClass].share * (1 - OWN_CLASS_SHARE) + own * ownWeight(model);
}

/** Keeps the shares by count in proportion for models of one class. */
function ownWeight(model: benchTypes.ModelSpec): number {
  return 3 * SHAPES[model.priorityClass].share;
}

function meanServiceMs(model: benchTypes.ModelSpec): number {
  const sum = CLASSES.reduce((total, name) => total + classShare(model, name), 0);
  return CLASSES.reduce((total, name) => {
    const shape = SHAPES[name];
    const meanMs = serviceMs(model, shape.promptTokens, shape.outputTokens * MEAN_OUTPUT_SHARE);
    return total + (classShare(model, name) / sum) * meanMs;
  }, 0);
}

function drawClass(model: benchTypes.ModelSpec, random: randoms.Random): types.PriorityClass {
  const sum = CLASSES.reduce((total, name) => total + classShare(model, name), 0);
  let left = random.fraction() * sum;
  for (const name of CLASSES) {
    left -= classShare(model, name);
    if (left < 0) return name;
  }
  return 'batch';
}

function drawRequest(
  id: string,
  model: benchTypes.ModelSpec,
  atMs: number,
  context: { name: benchTypes.LoadName; size: benchTypes.Size; random: randoms.Random },
): benchTypes.Request {
  const { random, size } = context;
  const priorityClass = drawClass(model, random);
  const shape = SHAPES[priorityClass];
  const isLong = context.name === 'mixed' && random.fraction() < LONG_WORK_SHARE;
  const outputTokens = shape.outputTokens * (isLong ? LONG_WORK_FACTOR : 1);
  const outputShare = LEAST_OUTPUT_SHARE + random.fraction() * (1 - LEAST_OUTPUT_SHARE);
  const realOutputTokens = Math.ceil(outputTokens * outputShare);
  const adapter = random.below(model.adapterCount + 1);
  const target = adapter === 0 ? model.id : `${model.id}-adapter-${adapter}`;
  const longestMs = serviceMs(model, shape.promptTokens, outputTokens);
  return {
    id,
    model: model.id,
    target,
    priorityClass,
    callerGroup: size.callerGroups[random.below(size.callerGroups.length)] as string,
    arrivedAtMs: atMs,
    deadlineMs: atMs + longestMs + shape.slackMs,
    promptTokens: shape.promptTokens,
    outputTokens,
    realOutputTokens,
    realServiceMs: serviceMs(model, shape.promptTokens, realOutputTokens),
    prefixKey: `${target}/${random.below(PREFIXES_PER_TARGET)}`,
  };
}

/** Requests for each millisecond that bring `offered` of the pool's slots, shared by weight. */
function createRates(size: benchTypes.Size, offered: number): Map<string, number> {
  const rates = new Map<string, number>();
  for (const model of size.models) {
    const slots = size.upstreams
      .filter((upstream) => upstream.pool === model.pool)
      .reduce((sum, upstream) => sum + upstream.slotCount, 0);
    const weights = size.models
      .filter((other) => other.pool === model.pool)
      .reduce((sum, other) => sum + other.demandWeight, 0);
    const workShare = (offered * slots * model.demandWeight) / weights;
    rates.set(model.id, workShare / meanServiceMs(model));
  }
  return rates;
}

/** Draws the load called `name`; `offered` overrides the share of all slots that it asks for. */
export function createLoad(
  name: benchTypes.LoadName,
  size: benchTypes.Size,
  random: randoms.Random,
  offered = DEFAULT_OFFERED[name],
): benchTypes.Load {
  const arrivalsEndMs = name === 'skew' ? HOUR_MS : RUN_MS;
  const rates = createRates(size, offered);
  const intensity = createIntensity(name, size, random);
  const requests: benchTypes.Request[] = [];
  for (let stepMs = 0; stepMs < arrivalsEndMs; stepMs += STEP_MS) {
    const stepRequests = size.models.flatMap((model) => {
      const expected = (rates.get(model.id) ?? 0) * STEP_MS * intensity(model, stepMs);
      const count = drawPoisson(expected, random);
      return Array.from({ length: count }, () => ({
        model,
        atMs: stepMs + random.fraction() * STEP_MS,
      }));
    });
    stepRequests.sort((left, right) => left.atMs - right.atMs);
    stepRequests.forEach(({ model, atMs }) => {
      requests.push(drawRequest(`r${requests.length}`, model, atMs, { name, size, random }));
    });
  }
  return {
    name,
    requests,
    disturbances: createDisturbances(name, size, random),
    arrivalsEndMs,
  };
}

/** Knuth's method: the expected counts here are small. */
function drawPoisson(expected: number, random: randoms.Random): number {
  const limit = Math.exp(-expected);
  let product = random.fraction();
  let count = 0;
  while (product > limit) {
    product *= random.fraction();
    count += 1;
  }
  return count;
}
