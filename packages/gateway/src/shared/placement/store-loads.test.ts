import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as storeLoads from './store-loads.js';

const test = suite('store loads');

test('the loads in any window stay within the rate and its overage', () => {
  const loads = storeLoads.createStoreLoads({ windowMs: 5_000, overage: 1.1 });
  const startedMs: number[] = [];
  for (let nowMs = 0; nowMs < 30_000; nowMs += 50) {
    while (loads.remaining(1.4, nowMs) >= 1) {
      loads.recordStart(nowMs);
      startedMs.push(nowMs);
    }
  }
  startedMs.forEach((startMs) => {
    const within = startedMs.filter((atMs) => atMs >= startMs && atMs < startMs + 5_000).length;
    assert.ok(within <= 1.4 * 5 * 1.1, `${within}`);
  });
});

// Loads that the previous holder started within the last seconds count in the same window, but the new holder does not
// know them. An order that was not answered may start its load seconds later.
test('loads that may have started count as started', () => {
  const loads = storeLoads.createStoreLoads({ windowMs: 5_000, overage: 1.1 });
  loads.assumeUsed(0);
  assert.is(loads.remaining(1.4, 4_999), 0);
  assert.ok(loads.remaining(1.4, 5_000) > 0);
  const before = loads.remaining(1.4, 6_000);
  loads.recordUnanswered(20_000);
  assert.is(loads.remaining(1.4, 6_000), before - 1);
});

test.run();
