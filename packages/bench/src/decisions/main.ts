/** Measures the decisions against baselines on a virtual clock; one JSON line per load and policy. */
import * as commander from 'commander';

import type * as outcomes from './outcomes.js';
import * as runs from './runs.js';
import * as summaries from './summaries.js';
import * as benchTypes from './types.js';

type Options = {
  seed: number;
  seeds: number;
  size: benchTypes.SizeName[];
  load: benchTypes.LoadName[];
  policy: benchTypes.PolicyName[];
  offered?: number;
  plot?: string;
};

function listSeeds(options: Options): number[] {
  return Array.from({ length: options.seeds }, (_, index) => options.seed + index);
}

function measureLoad(size: benchTypes.SizeName, load: benchTypes.LoadName, options: Options): void {
  const { policy: policies, offered } = options;
  const bySeed = listSeeds(options).map((seed) =>
    runs.measureSeed({ size, load, policies, seed, offered }),
  );
  policies.forEach((policy) => {
    const results = bySeed.map((byPolicy) => byPolicy.get(policy) as outcomes.Outcome);
    console.log(JSON.stringify({ size, load, policy, ...summaries.summarize(results) }));
  });
}

/** The drawing library is for development only, so it is loaded only when a picture is wanted. */
async function drawPlot(file: string, options: Options): Promise<void> {
  const plot = await import('./plot.js');
  const size = options.size[0] ?? 'consortium';
  await plot.writePlot(file, size, options.policy, listSeeds(options));
}

const program = new commander.Command('bench-decisions')
  .description('Drives the decision logic on a virtual clock, with no sockets.')
  .option('--seed <n>', 'the first seed', Number, 1)
  .option('--seeds <n>', 'how many seeds; more than one prints median and worst', Number, 1)
  .addOption(
    new commander.Option('--size <names...>', 'fleets')
      .choices(benchTypes.SIZE_NAMES)
      .default([...benchTypes.SIZE_NAMES]),
  )
  .addOption(
    new commander.Option('--load <names...>', 'loads')
      .choices(benchTypes.LOAD_NAMES)
      .default([...benchTypes.LOAD_NAMES]),
  )
  .addOption(
    new commander.Option('--policy <names...>', 'policies')
      .choices(benchTypes.POLICY_NAMES)
      .default([...benchTypes.POLICY_NAMES]),
  )
  .option('--offered <share>', 'work offered as a share of all slots', Number)
  .option('--plot <file>', 'draw attainment against offered load for the first size instead');

program.parse();
const options = program.opts<Options>();
if (options.plot === undefined) {
  options.size.forEach((size) => {
    options.load.forEach((load) => measureLoad(size, load, options));
  });
} else {
  await drawPlot(options.plot, options);
}
