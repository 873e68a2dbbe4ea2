import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as demandMeters from './demand-meter.js';

const test = suite('demand meter');

function asked(requestCount: number, missedCount: number, patientCount = 0) {
  return { requestCount, missedCount, patientCount };
}

// Demand moves on within five seconds. The second copy takes seconds to come, so the ramp has to be seen
// while the rate is still small.
test('a ramp is expected to go on', () => {
  const meter = demandMeters.createDemandMeter();
  for (let nowMs = 0; nowMs < 10_000; nowMs += 100) meter.add('steady', asked(1, 0), nowMs);
  let sum = 0;
  for (let nowMs = 10_000; nowMs < 13_000; nowMs += 100) {
    sum += ((nowMs - 10_000) / 1_000) * 0.3;
    const count = Math.floor(sum);
    sum -= count;
    meter.add('rising', asked(count, 0), nowMs);
    meter.add('steady', asked(1, 0), nowMs);
  }
  const rising = meter.figures('rising', 13_000);
  const steady = meter.figures('steady', 13_000);
  assert.ok(rising !== null && steady !== null);
  assert.ok(rising.expectedPerSecond > 1.3 * rising.recentPerSecond);
  assert.ok(Math.abs(steady.expectedPerSecond - 10) < 1.5);
});

test('one request is no ramp', () => {
  const meter = demandMeters.createDemandMeter();
  for (let nowMs = 0; nowMs < 10_000; nowMs += 100) meter.add('steady', asked(1, 0), nowMs);
  meter.add('single', asked(1, 1), 10_000);
  const single = meter.figures('single', 10_000);
  assert.ok(single !== null && single.expectedPerSecond < 0.5);
});

test('misses add up over requests that are seconds apart', () => {
  const meter = demandMeters.createDemandMeter();
  [0, 4_000, 8_000, 12_000].forEach((nowMs) => meter.add('rare', asked(1, 1), nowMs));
  const rare = meter.figures('rare', 12_000);
  assert.ok(rare !== null && rare.missedCount > 2);
});

// Overnight work asks for many models now and then. Taken for urgent, its first request in a second looked like a
// demand that needs copies at once, and swaps for it took those of what callers waited for.
test('what can wait is counted apart', () => {
  const meter = demandMeters.createDemandMeter();
  meter.add('overnight', asked(1, 1, 1), 100);
  const overnight = meter.figures('overnight', 200);
  assert.is(overnight?.expectedPerSecond, 0);
  assert.is(overnight?.recentPerSecond, 0);
  assert.ok((overnight?.patientPerSecond ?? 0) > 0);
  assert.is(overnight?.missedCount !== undefined && overnight.missedCount > 0.9, true);
});

test.run();
