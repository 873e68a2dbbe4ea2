/** Random fleets of any size for plans: some busy models, many that are asked for now and then or not at all. */
import type { randoms } from '@copperlever/runtime';

import type * as copyNeeds from '../shared/placement/copy-needs.js';
import type * as demandMeters from '../shared/placement/demand-meter.js';
import * as fixtures from './fleet-fixtures.js';

export type FleetSize = { upstreamCount: number; modelCount: number };

const NOW_MS = 100_000;
const COPIES = 3;
const NEAR_MODELS = 8;
const ASKED_SHARE = 0.35;
const CHANGING_SHARE = 0.2;
/** Requests a second for each upstream: about two thirds of what it can serve. */
const LOAD_PER_UPSTREAM = 4;
const REQUEST_S = 0.12;

function createNames(random: randoms.Random, modelCount: number) {
  /** Low numbers come up more often: they stand for the busy models. */
  const some = () => `m${Math.floor(modelCount * random.fraction() ** 3)}`;
  return { some, several: (count: number) => new Set(Array.from({ length: count }, some)) };
}

function randomUpstream(
  random: randoms.Random,
  upstreamId: string,
  modelCount: number,
): copyNeeds.UpstreamView {
  const names = createNames(random, modelCount);
  const copies = [...names.several(1 + random.below(COPIES))].map((model) => ({
    model,
    inFlightCount: random.below(6),
    isClosing: random.fraction() < 0.03,
    readyAtMs: random.fraction() < 0.2 ? NOW_MS - random.below(6_000) : -Infinity,
  }));
  const isChanging = random.fraction() < CHANGING_SHARE;
  const isLoadingFromStore = isChanging && random.fraction() < 0.5;
  const longestMs = isLoadingFromStore ? 9_000 : 3_000;
  return {
    upstreamId,
    failureDomain: 'north',
    copies,
    hostModels: names.several(2),
    diskModels: new Set([
      ...copies.map(({ model }) => model),
      ...names.several(random.below(NEAR_MODELS)),
    ]),
    isChanging,
    isLoadingAdapters: false,
    loadingModel: isChanging ? names.some() : null,
    isLoadingFromStore,
    freeAtMs: isChanging && random.fraction() < 0.8 ? NOW_MS + random.below(longestMs) : null,
  };
}

function randomFigures(random: randoms.Random, perSecond: number): demandMeters.DemandFigures {
  return {
    expectedPerSecond: perSecond * (0.5 + random.fraction()),
    recentPerSecond: perSecond,
    recentCount: 4 * perSecond,
    delayTolerantPerSecond: random.fraction() < 0.3 ? random.fraction() : 0,
    isFalling: random.fraction() < 0.2,
    lastRequestedMs: NOW_MS,
    missedCount: random.fraction() < 0.2 ? 4 * random.fraction() : 0,
  };
}

export function randomPlan(
  random: randoms.Random,
  { upstreamCount, modelCount }: FleetSize,
): copyNeeds.PlanInput {
  const models = Array.from({ length: modelCount }, (_, index) =>
    fixtures.modelSpec(`m${index}`, {
      sizeMb: random.fraction() < 0.3 ? 65_100 : 72_700,
      adapterCount: random.fraction() < 0.3 ? 20 : 0,
    }),
  );
  const topPerSecond = (upstreamCount * LOAD_PER_UPSTREAM * random.fraction()) / 4;
  const figures = new Map(
    models
      .filter(() => random.fraction() < ASKED_SHARE)
      .map(({ name }, rank) => [name, randomFigures(random, topPerSecond / (1 + rank))]),
  );
  return {
    engine: { ...fixtures.engineSpec(models), slots: 12 },
    upstreams: Array.from({ length: upstreamCount }, (_, index) =>
      randomUpstream(random, `u${index}`, modelCount),
    ),
    demand: (model) => figures.get(model) ?? null,
    requestS: () => REQUEST_S,
    latencyRatio: () => 1,
    holdMs: () => 1_500,
    hasDemand: true,
    storeLoadsLeft: random.below(20),
    nowMs: NOW_MS,
  };
}
