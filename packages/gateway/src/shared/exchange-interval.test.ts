import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as exchangeIntervals from './exchange-interval.js';

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
    assert.ok(requestsPerSecond(count, exchangeIntervals.regularIntervalMs) <= 200, `${count}`);
    assert.ok(requestsPerSecond(count, exchangeIntervals.urgentIntervalMs) <= 500, `${count}`);
  });
  assert.is(exchangeIntervals.regularIntervalMs(4), 250);
  assert.is(exchangeIntervals.urgentIntervalMs(4), 40);
});

test('in the largest fleet replies still arrive before the holder is considered gone', () => {
  assert.ok(exchangeIntervals.regularIntervalMs(410) <= 500);
  assert.ok(exchangeIntervals.urgentIntervalMs(410) <= exchangeIntervals.regularIntervalMs(410));
});

test.run();
