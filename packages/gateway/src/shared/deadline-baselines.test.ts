import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as deadlineBaselines from './deadline-baselines.js';

const test = suite('deadline baselines');

test('a caller that comes back with less time has been waiting', () => {
  const baselines = deadlineBaselines.createDeadlineBaselines();
  assert.is(baselines.elapsedMs('draft', 15_000, 0), 0);
  assert.is(baselines.elapsedMs('draft', 12_400, 3_000), 2_600);
  assert.is(baselines.elapsedMs('tweak', 8_000, 3_000), 0);
  assert.is(baselines.elapsedMs('draft', null, 3_000), 0);
});

// Callers change to a shorter deadline. While the old one is remembered, all of them look as if they had come back.
test('the longest deadline is forgotten once no caller uses it', () => {
  const baselines = deadlineBaselines.createDeadlineBaselines();
  baselines.elapsedMs('draft', 15_000, 0);
  assert.is(baselines.elapsedMs('draft', 8_000, 59_000), 7_000);
  assert.is(baselines.elapsedMs('draft', 8_000, 61_000), 0);
  assert.is(baselines.elapsedMs('draft', 7_900, 62_000), 100);
});

test.run();
