import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as upstreamCapacity from './upstream-capacity.js';

const test = suite('upstream capacity');

function capacities(slowness: Record<string, number>): Record<string, number> {
  const ids = Object.keys(slowness);
  return Object.fromEntries(upstreamCapacity.capacitiesOf(ids, (id) => slowness[id] ?? 1));
}

// Failure: sums of equal figures differ in their last digit, and equal upstreams count for unequal ones.
test('each of several upstreams of equal speed counts for one', () => {
  [0.6, 1, 1.37, 1.6, 9.9].forEach((each) => {
    const alike = capacities({ u1: each, u2: each, u3: each, u4: 1.01 * each, u5: 0.99 * each });
    assert.equal(alike, { u1: 1, u2: 1, u3: 1, u4: 1, u5: 1 });
  });
});

test('a fast upstream counts for more than a slow one, in proportion', () => {
  assert.equal(capacities({ fast: 0.6, usual: 1, slow: 1.6 }), {
    fast: 1.5,
    usual: 0.9,
    slow: 0.6,
  });
});

// Failure: an upstream that is taken for very slow counts for nothing, and a division by what its copies carry fails.
test('the slowest counts for something', () => {
  assert.ok((capacities({ u1: 0.2, u2: 10 }).u2 ?? 0) > 0);
  assert.equal(capacities({}), {});
});

test.run();
