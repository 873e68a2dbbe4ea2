import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as deadlineNorms from './deadline-norms.js';

const test = suite('deadline norms');

test('who comes back with less time has been waiting', () => {
  const norms = deadlineNorms.createDeadlineNorms();
  assert.is(norms.elapsedMs('draft', 15_000, 0), 0);
  assert.is(norms.elapsedMs('draft', 12_400, 3_000), 2_600);
  assert.is(norms.elapsedMs('tweak', 8_000, 3_000), 0);
  assert.is(norms.elapsedMs('draft', null, 3_000), 0);
});

// The operators' callers change to a shorter deadline. For as long as the old one is remembered all of them look
// as if they came back.
test('a longest deadline is forgotten when nobody gives it any more', () => {
  const norms = deadlineNorms.createDeadlineNorms();
  norms.elapsedMs('draft', 15_000, 0);
  assert.is(norms.elapsedMs('draft', 8_000, 59_000), 7_000);
  assert.is(norms.elapsedMs('draft', 8_000, 61_000), 0);
  assert.is(norms.elapsedMs('draft', 7_900, 62_000), 100);
});

test.run();
