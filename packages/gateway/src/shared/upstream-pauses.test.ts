import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as upstreamPauses from './upstream-pauses.js';

const test = suite('upstream pauses');

// Guards against a second answer with a shorter time, or with none, that ends the pause requested by the first one.
test('the longest requested pause applies, and ends', () => {
  const pauses = upstreamPauses.createUpstreamPauses();
  assert.is(pauses.leftMs('u1', 0), 0);
  assert.ok(pauses.notePause('u1', 3_000, 0));
  assert.not(pauses.notePause('u1', 500, 100));
  assert.not(pauses.notePause('u1', 0, 200));
  assert.is(pauses.leftMs('u1', 1_000), 2_000);
  assert.ok(pauses.notePause('u1', 2_500, 1_000));
  assert.is(pauses.leftMs('u1', 3_500), 0);
  assert.is(pauses.leftMs('u2', 0), 0);
});

// Guards against an erroneous value that excludes an upstream for days.
test('a huge pause ends within the hour', () => {
  const pauses = upstreamPauses.createUpstreamPauses();
  pauses.notePause('u1', 1e12, 0);
  assert.ok(pauses.leftMs('u1', 0) <= 3_600_000);
});

test.run();
