/** Plays of gateways that share a retry budget, with random loads, losses, waits, cuts, kills and starts. */
import { randoms } from '@copperlever/runtime';

import * as retryLedgers from '../shared/retries/retry-ledger.js';
import * as retryFleets from './retry-fleet.js';

export type RetryPlay = { retries: number; allowed: number; retryCount: number };

type Waiting = { gateway: retryFleets.RetryGateway; dueMs: number };

/** What changes at random while a play goes on. */
type Conditions = {
  /** Requests at a gateway in each step. */
  perStep: number;
  failShare: number;
  failing: readonly retryFleets.RetryGateway[];
};

const RATIO = 0.2;
const WINDOW_MS = 10_000;
const START_MS = 4_000;
const LENGTH_MS = 70_000;
const STEP_MS = 50;
const LONG_WAIT_MS = 8_000;
const SHORT_WAIT_MS = 300;
/** Apart from the seeds of the plays. */
const HELD_SEED = 1_000_000;
const FAIL_SHARES = [0, 0.1, 1, 1];

function injectFault(
  fleet: retryFleets.RetryFleet,
  conditions: Conditions,
  random: randoms.Random,
): void {
  const { gateways } = fleet;
  const picked = randoms.pick(random, gateways);
  if (picked === undefined) return;
  switch (random.below(8)) {
    case 0:
      fleet.restart(picked);
      return;
    case 1:
      gateways.forEach((gateway) => {
        gateway.group = random.below(3);
      });
      return;
    case 2:
      gateways.forEach((gateway) => {
        gateway.group = 0;
        gateway.reachesStore = true;
      });
      return;
    case 3:
      picked.reachesStore = false;
      return;
    case 4:
      conditions.perStep = 1 + random.below(random.below(2) === 0 ? 6 : 30);
      return;
    case 5:
      conditions.failing = random.below(2) === 0 ? gateways : [picked];
      return;
    case 6:
      gateways.filter(({ heldTerm }) => heldTerm !== null).forEach(fleet.restart);
      return;
    default:
      conditions.failShare = randoms.pick(random, FAIL_SHARES) ?? 1;
  }
}

/** Requests of one step; those that fail are tried again twice, some after a long wait for a copy, a turn or a permit. */
function sendRequests(
  { clock, gateways, request }: retryFleets.RetryFleet,
  { perStep, failShare, failing }: Conditions,
  weights: readonly number[],
  random: randoms.Random,
): Waiting[] {
  return gateways.flatMap((gateway, index) => {
    const count = Math.floor(perStep * (weights[index] ?? 1) + random.fraction());
    return Array.from({ length: count }, () => {
      request(gateway);
      if (!failing.includes(gateway) || random.fraction() >= failShare) return [];
      const waitMs = random.below(random.below(4) === 0 ? LONG_WAIT_MS : SHORT_WAIT_MS);
      const dueMs = clock.nowMs() + waitMs;
      return [
        { gateway, dueMs },
        { gateway, dueMs: dueMs + STEP_MS },
      ];
    }).flat();
  });
}

/** Returns the window nearest to its limit. */
export async function play(seed: number): Promise<RetryPlay> {
  const random = randoms.createRandom(seed);
  const held = randoms.createRandom(seed + HELD_SEED);
  const gatewayCount = 2 + random.below(9);
  const slack = 20 + random.below(100);
  const fleet = retryFleets.createRetryFleet({
    gatewayCount,
    limits: { ratio: RATIO, slack, windowMs: WINDOW_MS },
    heldMs: () => held.below(retryLedgers.TOKEN_HELD_MS),
  });
  const { clock, gateways } = fleet;
  const weights = gateways.map(() => 0.2 + random.fraction());
  const conditions = { perStep: 1 + random.below(12), failShare: 0.1, failing: gateways };
  const pending: Promise<boolean>[] = [];
  let waiting: Waiting[] = [];
  let nextFaultMs = START_MS;
  await fleet.step(START_MS);
  while (clock.nowMs() < LENGTH_MS) {
    const nowMs = clock.nowMs();
    if (nowMs >= nextFaultMs) {
      injectFault(fleet, conditions, random);
      nextFaultMs = nowMs + 300 + random.below(4_000);
    }
    waiting.push(...sendRequests(fleet, conditions, weights, random));
    waiting
      .filter(({ dueMs }) => dueMs <= nowMs)
      .forEach(({ gateway }) => pending.push(fleet.retry(gateway)));
    waiting = waiting.filter(({ dueMs }) => dueMs > nowMs);
    await fleet.step(STEP_MS);
  }
  await fleet.step(1_000);
  await Promise.all(pending);
  return { ...fleet.worstWindow(), retryCount: fleet.retryCount() };
}
