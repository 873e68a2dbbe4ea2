import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as regressions from './regressions.js';

const test = suite('regressions');

const INITIAL_WEIGHTS = [1, 1, 1];

function addSamples(
  regression: regressions.Regression,
  trueWeights: readonly number[],
  count: number,
): void {
  for (let index = 0; index < count; index += 1) {
    const features = [1, (index * 7) % 5, (index * 3) % 4];
    const target = features.reduce((sum, value, at) => sum + value * (trueWeights[at] ?? 0), 0);
    regression.add(features, target);
  }
}

test('the weights behind the samples are recovered', () => {
  const weight = fc.double({ min: -100, max: 100, noNaN: true });
  fc.assert(
    fc.property(fc.array(weight, { minLength: 3, maxLength: 3 }), (trueWeights) => {
      const regression = regressions.createRegression(INITIAL_WEIGHTS, 0.98);
      addSamples(regression, trueWeights, 200);
      regression.weights(1e-6).forEach((found, at) => {
        assert.ok(Math.abs(found - (trueWeights[at] ?? 0)) < 0.01);
      });
    }),
  );
});

test('without samples the weights keep their initial values', () => {
  const regression = regressions.createRegression([3, 2, 1], 0.98);
  assert.equal(regression.weights(2), [3, 2, 1]);
});

test('older samples decay', () => {
  const regression = regressions.createRegression(INITIAL_WEIGHTS, 0.9);
  addSamples(regression, [10, 10, 10], 100);
  addSamples(regression, [2, 3, 4], 200);
  regression.weights(1e-6).forEach((found, at) => {
    assert.ok(Math.abs(found - [2, 3, 4][at]!) < 0.01);
  });
});

// All samples have the same features, so nothing separates the weights; without the initial weights they would be
// unstable.
test('constant features leave finite weights', () => {
  const regression = regressions.createRegression(INITIAL_WEIGHTS, 0.98);
  for (let index = 0; index < 50; index += 1) regression.add([1, 0, 2], 8);
  const weights = regression.weights(0.1);
  assert.ok(weights.every(Number.isFinite));
  assert.is(weights[1], 1);
});

test.run();
