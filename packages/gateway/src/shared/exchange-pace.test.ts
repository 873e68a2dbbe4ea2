import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as exchangePace from './exchange-pace.js';

const test = suite('exchange pace');

const MS_PER_SECOND = 1_000;

/** Questions a second that the holder of a fleet is asked. */
function asked(gatewayCount: number, pauseMs: (count: number) => number): number {
  return ((gatewayCount - 1) * MS_PER_SECOND) / pauseMs(gatewayCount);
}

// Misses all over a fleet make each gateway ask at once. The holder forwards requests on the same loop: asked by all
// as often as by a few it answers nobody in time, and all go on blind.
test('what the holder is asked stays bounded up to fleets of a hundred gateways', () => {
  [4, 18, 25, 68, 100].forEach((count) => {
    assert.ok(asked(count, exchangePace.periodMs) <= 200, `${count}`);
    assert.ok(asked(count, exchangePace.hurryMs) <= 500, `${count}`);
  });
  assert.is(exchangePace.periodMs(4), 250);
  assert.is(exchangePace.hurryMs(4), 40);
});

test('in the largest fleet the holder is still heard within the time after which it is taken for gone', () => {
  assert.ok(exchangePace.periodMs(410) <= 500);
  assert.ok(exchangePace.hurryMs(410) <= exchangePace.periodMs(410));
});

test.run();
