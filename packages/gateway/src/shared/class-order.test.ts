import { createRandom } from '@copperlever/runtime/randoms';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as refusalExcess from '../testing/refusal-excess.js';
import * as scarcityFleet from '../testing/scarcity-fleet.js';
import * as classOrder from './class-order.js';

const test = suite('class order');

const URGENT = { group: 's m', rank: 0 };
const BATCH = { group: 's m', rank: 5 };

test('a less urgent request yields while a more urgent one was refused recently', () => {
  const order = classOrder.createClassOrder();
  assert.is(order.yieldsTo(BATCH, 0), null);
  order.recordDecision(URGENT, true, 100);
  assert.equal(order.yieldsTo(BATCH, 150), { rank: 0, sinceMs: 50 });
  assert.is(order.yieldsTo(BATCH, 2_000), null);
});

test('a request yields neither to its own class, nor to a less urgent one, nor to requests for another model', () => {
  const order = classOrder.createClassOrder();
  order.recordDecision(BATCH, true, 100);
  assert.is(order.yieldsTo(URGENT, 110), null);
  assert.is(order.yieldsTo(BATCH, 110), null);
  order.recordDecision({ group: 's other', rank: 0 }, true, 100);
  assert.is(order.yieldsTo(BATCH, 110), null);
});

// Under permanent urgent load, batch work without the bound yields for as long as any urgent request is refused.
test('a class of which a larger share was refused already no longer yields', () => {
  const order = classOrder.createClassOrder();
  for (let nowMs = 0; nowMs < 1_000; nowMs += 100)
    order.recordDecision(URGENT, nowMs % 500 === 0, nowMs);
  assert.not.equal(order.yieldsTo(BATCH, 900), null);
  order.recordDecision(BATCH, true, 900);
  order.recordDecision(BATCH, true, 900);
  assert.is(order.yieldsTo(BATCH, 900), null);
  order.recordDecision(BATCH, false, 910);
  order.recordDecision(BATCH, false, 920);
  order.recordDecision(BATCH, false, 930);
  order.recordDecision(BATCH, false, 940);
  assert.not.equal(order.yieldsTo(BATCH, 950), null);
});

const CLASS_NAMES = ['urgent', 'standard', 'batch'];
const LENGTH_MS = 30_000;
/** Requests that are decided before the first refusal of a more urgent request is known. */
const UNDETECTED_REQUESTS = 4;

/** Demand between eight tenths and twice the capacity, in waves, with random prompts, answers, objectives and slots. */
function randomLoad(seed: number, isOn: boolean): scarcityFleet.ScarcityLoad {
  const random = createRandom(seed);
  const loadShare = 0.8 + random.fraction();
  const slots = 16 + random.below(48);
  const createClass = (
    name: string,
    priority: number,
    latencyObjectiveMs: number,
    perSecond: number,
  ): scarcityFleet.RequestClass => ({
    name,
    priority,
    latencyObjectiveMs,
    perSecond,
    patienceMs: Math.max(6_000, 3 * latencyObjectiveMs),
    promptTokens: 800 + random.below(2_400),
    outputTokens: 100 + random.below(400),
  });
  const classes = [
    createClass('urgent', 0, 400 + random.below(600), 2 + 6 * random.fraction()),
    createClass('standard', 1, 400 + random.below(1_200), 2 + 8 * random.fraction()),
    createClass('batch', 1, 5_000 + random.below(5_000), 1 + 4 * random.fraction()),
  ];
  const needed = classes.reduce(
    (sum, { perSecond, promptTokens, outputTokens }) =>
      sum + perSecond * (promptTokens / 19_000 + (0.009 * outputTokens) / slots),
    0,
  );
  const waveMs = 4_000 + random.below(10_000);
  return {
    gatewayCount: 1 + random.below(3),
    upstreamCount: Math.max(2, Math.round(needed / loadShare)),
    slots,
    classes,
    lengthMs: LENGTH_MS,
    demandAt: (atMs) => 1 + 0.6 * Math.sin((2 * Math.PI * atMs) / waveMs),
    holdsBatch: isOn,
    spreadsReturns: isOn,
    ordersClasses: isOn,
    sharesFairly: false,
  };
}

/** For each two seconds of each load: how many more urgent requests were refused beyond the allowed difference. */
function refusalExcesses(seedCount: number, isOn: boolean): number[] {
  return Array.from({ length: seedCount }, (_, index) => index + 1).flatMap((seed) => {
    const { decisions } = scarcityFleet.playScarcity(randomLoad(seed, isOn), seed);
    const all = refusalExcess.excesses(decisions, CLASS_NAMES, LENGTH_MS);
    return all.map(({ byRequests }) => byRequests);
  });
}

function shareAbove(values: readonly number[], bound: number): number {
  return values.filter((value) => value > bound).length / values.length;
}

// The longer an objective, the longer the queue that its requests may join: without the class order, batch requests are
// admitted while the most urgent ones are refused.
test('at any load, in any two seconds, a more urgent class is refused more by a few requests at most', () => {
  const before = refusalExcesses(8, false);
  const after = refusalExcesses(24, true);
  const worst = { before: Math.max(...before), after: Math.max(...after) };
  const shares = { before: shareAbove(before, 1), after: shareAbove(after, 1) };
  const details = JSON.stringify({ worst, shares });
  assert.ok(worst.before > 2 * UNDETECTED_REQUESTS, details);
  assert.ok(worst.after <= UNDETECTED_REQUESTS, details);
  assert.ok(shares.before > 0.1, details);
  assert.ok(shares.after < 0.01, details);
});

test.run();
