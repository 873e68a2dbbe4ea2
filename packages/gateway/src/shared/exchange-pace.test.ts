import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as exchangePace from './exchange-pace.js';

const test = suite('exchange interval');

const MS_PER_SECOND = 1_000;

/** Requests a second at the holder of a fleet. */
function requestsPerSecond(gatewayCount: number, intervalMs: (count: number) => number): number {
  return ((gatewayCount - 1) * MS_PER_SECOND) / intervalMs(gatewayCount);
}

// Misses across a fleet make every gateway ask at once. The holder forwards requests on the same loop: if all
// gateways asked as often as a few do, it would answer none in time, and all would go on without its updates.
test('the rate of requests to the holder is bounded for fleets of up to a hundred gateways', () => {
  [4, 18, 25, 68, 100].forEach((count) => {
    assert.ok(requestsPerSecond(count, exchangePace.periodMs) <= 200, `${count}`);
    assert.ok(requestsPerSecond(count, exchangePace.hurryMs) <= 500, `${count}`);
  });
  assert.is(exchangePace.periodMs(4), 250);
  assert.is(exchangePace.hurryMs(4), 40);
});

test('in the largest fleet replies still arrive before the holder is considered gone', () => {
  assert.ok(exchangePace.periodMs(410) <= 500);
  assert.ok(exchangePace.hurryMs(410) <= exchangePace.periodMs(410));
});

test.run();
