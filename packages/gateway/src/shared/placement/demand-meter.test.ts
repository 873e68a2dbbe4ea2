import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as demandMeters from './demand-meter.js';

const test = suite('demand meter');

function counts(requestCount: number, missedCount: number, patientCount = 0) {
  return { requestCount, missedCount, patientCount };
}

// Demand shifts within five seconds, and a second copy takes seconds to load, so rising demand has to be detected while
// the rate is still small.
test('rising demand is predicted to keep rising', () => {
  const meter = demandMeters.createDemandMeter();
  for (let nowMs = 0; nowMs < 10_000; nowMs += 100) meter.add('steady', counts(1, 0), nowMs);
  let sum = 0;
  for (let nowMs = 10_000; nowMs < 13_000; nowMs += 100) {
    sum += ((nowMs - 10_000) / 1_000) * 0.3;
    const count = Math.floor(sum);
    sum -= count;
    meter.add('rising', counts(count, 0), nowMs);
    meter.add('steady', counts(1, 0), nowMs);
  }
  const rising = meter.figures('rising', 13_000);
  const steady = meter.figures('steady', 13_000);
  assert.ok(rising !== null && steady !== null);
  assert.ok(rising.expectedPerSecond > 1.3 * rising.recentPerSecond);
  assert.ok(Math.abs(steady.expectedPerSecond - 10) < 1.5);
});

test('one request is not a trend', () => {
  const meter = demandMeters.createDemandMeter();
  for (let nowMs = 0; nowMs < 10_000; nowMs += 100) meter.add('steady', counts(1, 0), nowMs);
  meter.add('single', counts(1, 1), 10_000);
  const single = meter.figures('single', 10_000);
  assert.ok(single !== null && single.expectedPerSecond < 0.5);
});

test('missed requests that are seconds apart add up', () => {
  const meter = demandMeters.createDemandMeter();
  [0, 4_000, 8_000, 12_000].forEach((nowMs) => meter.add('rare', counts(1, 1), nowMs));
  const rare = meter.figures('rare', 12_000);
  assert.ok(rare !== null && rare.missedCount > 2);
});

// Overnight work requests many models occasionally. If its requests counted as urgent, the first one within a second
// would look like demand that needs copies at once, and loads for it would evict copies that interactive requests use.
test('delay-tolerant requests are counted separately', () => {
  const meter = demandMeters.createDemandMeter();
  meter.add('overnight', counts(1, 1, 1), 100);
  const overnight = meter.figures('overnight', 200);
  assert.is(overnight?.expectedPerSecond, 0);
  assert.is(overnight?.recentPerSecond, 0);
  assert.ok((overnight?.delayTolerantPerSecond ?? 0) > 0);
  assert.is(overnight?.missedCount !== undefined && overnight.missedCount > 0.9, true);
});

test.run();
