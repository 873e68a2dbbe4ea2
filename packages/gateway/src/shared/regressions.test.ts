import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as regressions from './regressions.js';

const test = suite('regressions');

const START = [1, 1, 1];

function feed(regression: regressions.Regression, truth: readonly number[], count: number): void {
  for (let index = 0; index < count; index += 1) {
    const features = [1, (index * 7) % 5, (index * 3) % 4];
    const target = features.reduce((sum, value, at) => sum + value * (truth[at] ?? 0), 0);
    regression.add(features, target);
  }
}

test('the weights behind samples are found', () => {
  const weight = fc.double({ min: -100, max: 100, noNaN: true });
  fc.assert(
    fc.property(fc.array(weight, { minLength: 3, maxLength: 3 }), (truth) => {
      const regression = regressions.createRegression(START, 0.98);
      feed(regression, truth, 200);
      regression.weights(1e-6).forEach((found, at) => {
        assert.ok(Math.abs(found - (truth[at] ?? 0)) < 0.01);
      });
    }),
  );
});

test('without samples the weights stay where they started', () => {
  const regression = regressions.createRegression([3, 2, 1], 0.98);
  assert.equal(regression.weights(2), [3, 2, 1]);
});

test('older samples fade', () => {
  const regression = regressions.createRegression(START, 0.9);
  feed(regression, [10, 10, 10], 100);
  feed(regression, [2, 3, 4], 200);
  regression.weights(1e-6).forEach((found, at) => {
    assert.ok(Math.abs(found - [2, 3, 4][at]!) < 0.01);
  });
});

// All samples have the same features: nothing tells the weights apart, and without the start they would swing.
test('features that do not vary leave finite weights', () => {
  const regression = regressions.createRegression(START, 0.98);
  for (let index = 0; index < 50; index += 1) regression.add([1, 0, 2], 8);
  const weights = regression.weights(0.1);
  assert.ok(weights.every(Number.isFinite));
  assert.is(weights[1], 1);
});

test.run();
