/** Measures what a plan of copies takes as the fleet grows; one line a size. */
import * as copyPlan from '@copperlever/gateway/shared/placement/copy-plan';
import * as randomPlans from '@copperlever/gateway/testing/random-plans';
import { randoms } from '@copperlever/runtime';
import * as commander from 'commander';

type Options = { seed: number; plans: number };

type Measured = {
  size: randomPlans.FleetSize;
  medianMs: number;
  worstMs: number;
  weighedCount: number;
};

/** From today's smallest deployment to the size that the design is for. */
const SIZES: readonly randomPlans.FleetSize[] = [
  { upstreamCount: 8, modelCount: 21 },
  { upstreamCount: 30, modelCount: 69 },
  { upstreamCount: 84, modelCount: 198 },
  { upstreamCount: 200, modelCount: 450 },
  { upstreamCount: 730, modelCount: 1_600 },
];
/** Plans that the compiler warms up with. */
const WARM_UP_PLANS = 30;

function median(sorted: readonly number[]): number {
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function measure(size: randomPlans.FleetSize, { seed, plans }: Options): Measured {
  const random = randoms.createRandom(seed);
  const inputs = Array.from({ length: plans }, () => randomPlans.randomPlan(random, size));
  const runs = inputs.map((input) => {
    let weighedCount = 0;
    const startedMs = performance.now();
    copyPlan.planNext(input, () => {
      weighedCount += 1;
    });
    return { tookMs: performance.now() - startedMs, weighedCount };
  });
  const tookMs = runs.map((run) => run.tookMs).sort((left, right) => left - right);
  const weighed = runs.map((run) => run.weighedCount).sort((left, right) => left - right);
  return {
    size,
    medianMs: median(tookMs),
    worstMs: tookMs.at(-1) ?? 0,
    weighedCount: median(weighed),
  };
}

/** How the time grows with the number of upstreams, against the size before: 1 is in proportion. */
function growthExponent(before: Measured | undefined, after: Measured): number | null {
  if (before === undefined) return null;
  const growth = after.size.upstreamCount / before.size.upstreamCount;
  return Math.log(after.medianMs / before.medianMs) / Math.log(growth);
}

function describe(measured: Measured, before: Measured | undefined): string {
  const exponent = growthExponent(before, measured);
  return JSON.stringify({
    ...measured.size,
    medianMs: Number(measured.medianMs.toFixed(2)),
    worstMs: Number(measured.worstMs.toFixed(2)),
    evaluatedPlacements: measured.weighedCount,
    growthExponent: exponent === null ? null : Number(exponent.toFixed(2)),
  });
}

const program = new commander.Command('bench-plan')
  .description('Plans copies for random fleets of growing size and shows what a plan takes.')
  .option('--seed <n>', 'of the random fleets', Number, 1)
  .option('--plans <n>', 'plans of each size', Number, 12)
  .action((options: Options) => {
    measure({ upstreamCount: 30, modelCount: 69 }, { ...options, plans: WARM_UP_PLANS });
    let before: Measured | undefined;
    SIZES.forEach((size) => {
      const measured = measure(size, options);
      console.log(describe(measured, before));
      before = measured;
    });
  });

program.parse();
