import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as boundMisses from './bound-misses.js';

const test = suite('models that bound streams lack');

test('misses of one model at one version add up, and are forgotten once their callers have left', () => {
  const misses = boundMisses.createBoundMisses();
  const miss = { service: 'pool', model: 'm1', softwareVersion: 'v1', count: 1 };
  misses.note(miss, 0);
  misses.note({ ...miss, count: 2 }, 1_000);
  misses.note({ ...miss, softwareVersion: 'v2' }, 1_000);
  misses.note({ ...miss, service: 'other' }, 1_000);
  assert.equal(
    misses.of('pool', 5_000).map(({ softwareVersion, count }) => [softwareVersion, count]),
    [
      ['v1', 3],
      ['v2', 1],
    ],
  );
  assert.equal(misses.of('pool', 5_001), []);
});

test.run();
