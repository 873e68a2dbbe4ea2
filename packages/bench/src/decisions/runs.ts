/** One load under every policy, for one seed: all policies meet the same fleet and the same load. */
import { randoms } from '@copperlever/runtime';

import * as bounds from './bounds.js';
import * as loads from './loads.js';
import * as outcomes from './outcomes.js';
import * as placement from './placement.js';
import * as baseline from './policies/baseline.js';
import * as present from './policies/present.js';
import * as sizes from './sizes.js';
import type * as benchTypes from './types.js';
import * as world from './world.js';

/** Policies draw from a stream of their own, so that all of them meet the same load. */
const POLICY_SEED_OFFSET = 1_000_003;

export type RunRequest = {
  size: benchTypes.SizeName;
  load: benchTypes.LoadName;
  policies: readonly benchTypes.PolicyName[];
  seed: number;
  /** Work offered as a share of all slots; the load's own when left out. */
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

export function measureSeed(request: RunRequest): Map<benchTypes.PolicyName, outcomes.Outcome> {
  const random = randoms.createRandom(request.seed);
  const size = sizes.createSize(request.size, random);
  const load = loads.createLoad(request.load, size, random, request.offered);
  const copies = placement.createPlacement(size);
  const bound = bounds.computeBound(size, load);
  return new Map(
    request.policies.map((name) => {
      const policyRandom = randoms.createRandom(request.seed + POLICY_SEED_OFFSET);
      const result = world.run(size, load, copies, (fleet) =>
        createPolicy(name, fleet, policyRandom),
      );
      return [name, outcomes.measure(size, load, result, bound)];
    }),
  );
}
