import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as upstreamCapacity from './upstream-capacity.js';

const test = suite('upstream capacity');

function capacities(latencyRatios: Record<string, number>): Record<string, number> {
  const ids = Object.keys(latencyRatios);
  return Object.fromEntries(upstreamCapacity.capacitiesOf(ids, (id) => latencyRatios[id] ?? 1));
}

// Sums of equal numbers can differ in their last digit; upstreams of equal speed must still get equal capacities.
test('each of several upstreams of equal speed has a capacity of 1', () => {
  [0.6, 1, 1.37, 1.6, 9.9].forEach((each) => {
    const alike = capacities({ u1: each, u2: each, u3: each, u4: 1.01 * each, u5: 0.99 * each });
    assert.equal(alike, { u1: 1, u2: 1, u3: 1, u4: 1, u5: 1 });
  });
});

test('a fast upstream has more capacity than a slow one, in proportion', () => {
  assert.equal(capacities({ fast: 0.6, average: 1, slow: 1.6 }), {
    fast: 1.5,
    average: 0.9,
    slow: 0.6,
  });
});

// An upstream that seems very slow must not get a capacity of zero, which would cause a division by zero.
test('the slowest upstream has a capacity above zero', () => {
  assert.ok((capacities({ u1: 0.2, u2: 10 }).u2 ?? 0) > 0);
  assert.equal(capacities({}), {});
});

test.run();
