import * as randoms from '@copperlever/runtime/randoms';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as placement from './placement.js';
import * as runs from './runs.js';
import * as sizes from './sizes.js';
import * as benchTypes from './types.js';

const test = suite('bench of decisions');

test('the copies that all policies start from fit, and every model has one', () => {
  benchTypes.SIZE_NAMES.forEach((name) => {
    const size = sizes.createSize(name, randoms.createRandom(1));
    const copies = placement.createPlacement(size);
    const sizeBytes = new Map(size.models.map((model) => [model.id, model.sizeBytes]));
    size.upstreams.forEach((upstream) => {
      const held = copies.get(upstream.id) ?? [];
      const usedBytes = held.reduce((sum, id) => sum + (sizeBytes.get(id) ?? 0), 0);
      assert.ok(usedBytes <= upstream.memoryBytes);
      assert.is(new Set(held).size, held.length);
    });
    const placed = new Set([...copies.values()].flat());
    assert.is(placed.size, size.models.length);
  });
});

test('a lost failure domain: models come back within reach, and the top class is still served', () => {
  // A third of the upstreams is lost at once, with the last copies of several models. Their callers are
  // refused until the weights are loaded elsewhere; static placement never gets them back.
  const policies = ['present', 'static-placement'] as const;
  const outcomes = runs.measureSeed({ size: 'guild', load: 'domain-loss', policies, seed: 1 });
  const present = outcomes.get('present');
  const fixed = outcomes.get('static-placement');
  assert.ok((present?.topClassOfBound ?? 0) > 0.95);
  assert.ok((present?.topClassOfBound ?? 0) > (fixed?.topClassOfBound ?? 1));
  assert.ok((present?.moves ?? 0) > 0);
  const again = runs.measureSeed({ size: 'guild', load: 'domain-loss', policies, seed: 1 });
  assert.equal(again.get('present'), present);
});

test.run();
