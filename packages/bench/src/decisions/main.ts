/** Measures the decisions against baselines on a virtual clock; one JSON line per load and policy. */
import { randoms } from '@copperlever/runtime';
import * as commander from 'commander';

import * as bounds from './bounds.js';
import * as loads from './loads.js';
import * as outcomes from './outcomes.js';
import * as placement from './placement.js';
import * as baseline from './policies/baseline.js';
import * as present from './policies/present.js';
import * as sizes from './sizes.js';
import * as summaries from './summaries.js';
import * as benchTypes from './types.js';
import * as world from './world.js';

/** Policies draw from a stream of their own, so that all of them meet the same load. */
const POLICY_SEED_OFFSET = 1_000_003;

type Options = {
  seed: number;
  seeds: number;
  size: benchTypes.SizeName[];
  load: benchTypes.LoadName[];
  policy: benchTypes.PolicyName[];
  offered?: number;
};

function createPolicy(
  name: benchTypes.PolicyName,
  fleet: world.World,
  random: randoms.Random,
): world.Policy {
  switch (name) {
    case 'present':
      return present.createPresent(fleet, random);
    case 'round-robin':
      return baseline.createBaseline(fleet, {
        choose: baseline.chooseRoundRobin(),
        loadsOnDemand: true,
      });
    case 'least-outstanding':
      return baseline.createBaseline(fleet, {
        choose: baseline.chooseLeastOutstanding(true),
        loadsOnDemand: true,
      });
    case 'static-placement':
      return baseline.createBaseline(fleet, {
        choose: baseline.chooseLeastOutstanding(false),
        loadsOnDemand: false,
      });
  }
}

function measureSeed(
  sizeName: benchTypes.SizeName,
  loadName: benchTypes.LoadName,
  seed: number,
  options: Options,
): Map<benchTypes.PolicyName, outcomes.Outcome> {
  const random = randoms.createRandom(seed);
  const size = sizes.createSize(sizeName, random);
  const load = loads.createLoad(loadName, size, random, options.offered);
  const copies = placement.createPlacement(size);
  const bound = bounds.computeBound(size, load);
  return new Map(
    options.policy.map((name) => {
      const policyRandom = randoms.createRandom(seed + POLICY_SEED_OFFSET);
      const result = world.run(size, load, copies, (fleet) =>
        createPolicy(name, fleet, policyRandom),
      );
      return [name, outcomes.measure(size, load, result, bound)];
    }),
  );
}

function measureLoad(size: benchTypes.SizeName, load: benchTypes.LoadName, options: Options): void {
  const seeds = Array.from({ length: options.seeds }, (_, index) => options.seed + index);
  const bySeed = seeds.map((seed) => measureSeed(size, load, seed, options));
  options.policy.forEach((policy) => {
    const runs = bySeed.map((byPolicy) => byPolicy.get(policy) as outcomes.Outcome);
    console.log(JSON.stringify({ size, load, policy, ...summaries.summarize(runs) }));
  });
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
  .option('--offered <share>', 'work offered as a share of all slots', Number);

program.parse();
const options = program.opts<Options>();
options.size.forEach((size) => {
  options.load.forEach((load) => measureLoad(size, load, options));
});
