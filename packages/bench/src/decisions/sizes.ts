/** The fleets of the bench, in the sizes that the users gave; what they left open is noted. */
import type { randoms } from '@copperlever/runtime';

import type * as benchTypes from './types.js';

const GIGABYTE = 1e9;
/** Open in the users' sizes: two accelerators of 80 GB for each server, eight requests at once. */
const ACCELERATORS = 2;
const MEMORY_BYTES = 160 * GIGABYTE;
const SLOTS = 8;
/** Open as well: weights of 8 to 48 GB and adapters of 0.5 GB. */
const LEAST_MODEL_BYTES = 8 * GIGABYTE;
const MODEL_BYTES_SPREAD = 40 * GIGABYTE;
const ADAPTER_BYTES = 0.5 * GIGABYTE;
/** Demand falls with the rank of a model by this power, a usual fit for catalogues. */
const ZIPF_EXPONENT = 0.9;
const PREFILL_MS_PER_TOKEN = 0.3;
const FASTEST_DECODE_MS_PER_TOKEN = 14;
const DECODE_SPREAD_MS = 12;

type Recipe = {
  name: benchTypes.SizeName;
  failureDomains: readonly string[];
  pools: readonly { name: string; upstreamCount: number; modelCount: number }[];
  adapterCount: number;
  callerGroups: readonly string[];
  loadsPerSecond: number;
  concurrentLoads: number;
  moveCostMs: number;
};

const RECIPES: Record<benchTypes.SizeName, Recipe> = {
  consortium: {
    name: 'consortium',
    failureDomains: ['long-bien', 'tay-ho', 'cau-giay'],
    pools: [
      { name: 'jury-models', upstreamCount: 13, modelCount: 33 },
      { name: 'entry-desk', upstreamCount: 3, modelCount: 7 },
    ],
    adapterCount: 100,
    callerGroups: ['club-1', 'club-2', 'club-3'],
    loadsPerSecond: 2,
    concurrentLoads: 25,
    moveCostMs: 2_000,
  },
  guild: {
    name: 'guild',
    failureDomains: ['port-hall', 'chag-hall', 'arima-hall'],
    pools: [
      { name: 'copywriter-pool', upstreamCount: 8, modelCount: 18 },
      { name: 'press-desk', upstreamCount: 3, modelCount: 7 },
    ],
    adapterCount: 65,
    callerGroups: ['studio-1', 'studio-2', 'studio-3', 'studio-4', 'studio-5', 'studio-6'],
    loadsPerSecond: 1.5,
    concurrentLoads: 16,
    moveCostMs: 20_000,
  },
  tenth: {
    name: 'tenth',
    failureDomains: ['d1', 'd2', 'd3', 'd4', 'd5', 'd6', 'd7', 'd8'],
    pools: [{ name: 'engines', upstreamCount: 73, modelCount: 160 }],
    adapterCount: 400,
    callerGroups: ['g1', 'g2', 'g3', 'g4', 'g5', 'g6', 'g7', 'g8'],
    loadsPerSecond: 4,
    concurrentLoads: 50,
    moveCostMs: 5_000,
  },
};

function createUpstreams(recipe: Recipe): benchTypes.UpstreamSpec[] {
  return recipe.pools.flatMap((pool) =>
    Array.from({ length: pool.upstreamCount }, (_, index) => ({
      id: `${pool.name}-${index}`,
      pool: pool.name,
      failureDomain: recipe.failureDomains[index % recipe.failureDomains.length] as string,
      acceleratorCount: ACCELERATORS,
      memoryBytes: MEMORY_BYTES,
      slotCount: SLOTS,
    })),
  );
}

function createModels(recipe: Recipe, random: randoms.Random): benchTypes.ModelSpec[] {
  const modelCount = recipe.pools.reduce((sum, pool) => sum + pool.modelCount, 0);
  const adapterCount = Math.round(recipe.adapterCount / modelCount);
  return recipe.pools.flatMap((pool) =>
    Array.from({ length: pool.modelCount }, (_, rank) => ({
      id: `${pool.name}-model-${rank}`,
      pool: pool.name,
      sizeBytes:
        LEAST_MODEL_BYTES + random.fraction() * MODEL_BYTES_SPREAD + adapterCount * ADAPTER_BYTES,
      adapterCount,
      priorityClass: (['critical', 'standard', 'batch'] as const)[rank % 3] ?? 'standard',
      prefillMsPerToken: PREFILL_MS_PER_TOKEN,
      decodeMsPerToken: FASTEST_DECODE_MS_PER_TOKEN + random.fraction() * DECODE_SPREAD_MS,
      demandWeight: (rank + 1) ** -ZIPF_EXPONENT,
    })),
  );
}

/** The fleet called `name`; the sizes and speeds of its models follow from `random`. */
export function createSize(name: benchTypes.SizeName, random: randoms.Random): benchTypes.Size {
  const recipe = RECIPES[name];
  return {
    name,
    upstreams: createUpstreams(recipe),
    models: createModels(recipe, random),
    callerGroups: recipe.callerGroups,
    loadsPerSecond: recipe.loadsPerSecond,
    concurrentLoads: recipe.concurrentLoads,
    moveCostMs: recipe.moveCostMs,
  };
}
