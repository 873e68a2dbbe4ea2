import { clocks as clocksModule, logs } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as retryFleets from '../../testing/retry-fleet.js';
import * as retryPlays from '../../testing/retry-plays.js';
import type * as logEvents from '../../types/log-events.js';
import * as retriesModule from './retries.js';

const test = suite('retry budget');

const LIMITS = { ratio: 0.2, slack: 50, windowMs: 10_000 };
const STEP_MS = 100;
/** Until the lease is held, and heard of. */
const START_MS = 4_000;

type Fleet = retryFleets.RetryFleet;

async function retryAll(fleet: Fleet, gateway: retryFleets.RetryGateway, most = 300) {
  let count = 0;
  for (; count < most; count += 1) {
    const pending = fleet.retry(gateway);
    await fleet.clock.advance(5);
    if (!(await pending)) break;
  }
  return count;
}

/** Requests come at all gateways, and each retry that may be sent is sent, at those gateways, for that long. */
async function failAt(fleet: Fleet, failing: readonly retryFleets.RetryGateway[], forMs: number) {
  for (let atMs = 0; atMs < forMs; atMs += STEP_MS) {
    fleet.gateways.forEach((gateway) => {
      for (let count = 0; count < 3; count += 1) fleet.request(gateway);
    });
    const pending = failing.flatMap((gateway) =>
      Array.from({ length: 12 }, () => fleet.retry(gateway)),
    );
    await fleet.step(STEP_MS);
    await Promise.all(pending);
  }
}

function assertWithin(fleet: Fleet): void {
  const { retries, allowed } = fleet.worstWindow();
  assert.ok(retries <= allowed, `${retries} of ${allowed}`);
}

// All upstreams fail for some seconds and every request would be sent again. Four gateways know nothing about each
// other's retries; together they must stay within the operators' limit in any window.
test('four gateways together stay within the limit in every window', async () => {
  const fleet = retryFleets.createRetryFleet({ gatewayCount: 4, limits: LIMITS });
  await fleet.step(START_MS);
  await failAt(fleet, fleet.gateways, 30_000);
  assertWithin(fleet);
});

test('a service with few requests still has its part of the slack', async () => {
  const fleet = retryFleets.createRetryFleet({ gatewayCount: 4, limits: LIMITS });
  await fleet.step(START_MS);
  const [, second] = fleet.gateways;
  assert.ok(second !== undefined && (await retryAll(fleet, second)) >= 8);
});

// Guards against a slack that is divided by the gateways that each one knows, when they have lost one another.
test('gateways that know no other stay together within the limit in every window', async () => {
  const fleet = retryFleets.createRetryFleet({ gatewayCount: 4, limits: LIMITS });
  await fleet.step(START_MS);
  await failAt(fleet, [], 2_000);
  fleet.gateways.forEach((gateway, index) => {
    gateway.group = index;
    gateway.reachesStore = index % 2 === 0;
  });
  await failAt(fleet, fleet.gateways, 30_000);
  assertWithin(fleet);
});

// Guards against shares by the number of gateways, of which most are unused where one gateway has the losses.
test('a gateway that alone has the losses may use nine tenths of the limit', async () => {
  const fleet = retryFleets.createRetryFleet({ gatewayCount: 4, limits: LIMITS });
  await fleet.step(START_MS);
  await failAt(fleet, [], 10_000);
  await failAt(fleet, fleet.gateways.slice(2, 3), 10_000);
  const { retries, allowed } = fleet.worstWindow();
  assert.ok(retries >= 0.9 * allowed && retries <= allowed, `${retries} of ${allowed}`);
});

// Guards against a holder that gives again what the one before it gave within the window.
test('a new holder gives nothing of the slack that its predecessor may have given', async () => {
  const fleet = retryFleets.createRetryFleet({ gatewayCount: 4, limits: LIMITS });
  await fleet.step(START_MS);
  for (let life = 0; life < 4; life += 1) {
    const holder = fleet.gateways.find(({ heldTerm }) => heldTerm !== null);
    await failAt(fleet, fleet.gateways, 1_500);
    if (holder !== undefined) fleet.restart(holder);
    await failAt(fleet, fleet.gateways, 4_000);
  }
  assertWithin(fleet);
});

/** Questions to a holder that has nothing left, where 100 requests a second all ask that long after they are silent. */
async function questionCount(askedAfterMs: readonly number[]): Promise<number> {
  const clock = fakeClocks.createFakeClock();
  let count = 0;
  const retries = retriesModule.createRetries({
    clock,
    limits: LIMITS,
    log: logs.createSilentLogger() as logEvents.GatewayLog,
    gatewayId: 'g1',
    incarnation: 1,
    heldTerm: () => null,
    secureLease: () => null,
    holderAgeMs: () => 0,
    ask: async () => {
      count += 1;
      await clocksModule.sleepUntil(clock, clock.nowMs() + 2);
      return { isAllowed: false, retryAfterMs: 50 };
    },
  });
  for (let atMs = 0; atMs < 1_000; atMs += 10) {
    askedAfterMs.forEach((afterMs) => {
      clock.schedule(atMs + afterMs, () => {
        if (retries.mayRetry('s')) void retries.take({ requestId: 'r', service: 's' });
      });
    });
  }
  await clock.advance(1_000);
  return count;
}

// Guards against a holder that is flooded by the requests that stay silent, when the budget is spent.
test('requests that ask again while they are silent hardly add to the questions to a holder that refuses', async () => {
  const once = await questionCount([0]);
  const again = await questionCount([0, 103, 306, 709]);
  assert.ok(once >= 15, `${once}`);
  assert.ok(again <= 1.25 * once, `${again} ${once}`);
});

const SEEDS = Array.from({ length: 6 }, (_unused, index) => index + 1);

test('whatever is cut, killed or started, no window has more retries than the limit', async () => {
  const windows: string[] = [];
  for (const seed of SEEDS) {
    const { retries, allowed, retryCount } = await retryPlays.play(seed);
    windows.push(`seed ${seed}: ${retries} of ${Math.round(allowed)}, ${retryCount} in all`);
    assert.ok(retries <= allowed, windows.at(-1));
  }
  process.stdout.write(`\nWorst windows: ${windows.join('; ')}\n`);
});

test.run();
