import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as revocations from './revocations.js';

const test = suite('revocations');
const SPAN_MS = revocations.TICK_MS * (revocations.REMEMBERED_TICKS + 2);

test('a dispatch that arrives after its revoke is refused', () => {
  const known = revocations.createRevocations(0);
  known.revoke('r/1', 0);
  assert.is(known.judge('r/1', 1, 1), 'revoked');
});

test('a dispatch from before the remembered span is stale', () => {
  const known = revocations.createRevocations(0);
  assert.is(known.judge('r/1', 1, SPAN_MS), 'stale');
  assert.is(known.judge('r/1', known.tick(SPAN_MS), SPAN_MS), 'allowed');
});

test('an attempt that ran and whose answer is forgotten is never said not to have run', () => {
  // A submission ran, its answer was acknowledged and forgotten, but its claim has no outcome yet.
  // A resend finds the claim and asks the agent to revoke the attempt. Were the answer "revoked", the
  // resend would run the submission a second time.
  const known = revocations.createRevocations(0);
  known.noteRan('r/1', 0);
  assert.is(known.recall('r/1', 1, 1), 'ran');
  assert.is(known.judge('r/1', 1, 1), 'ran');
});

test('of an attempt from before the remembered span nothing is claimed', () => {
  const known = revocations.createRevocations(0);
  assert.is(known.recall('r/1', 1, 1), 'never-ran');
  assert.is(known.recall('r/1', 1, SPAN_MS), 'forgotten');
});

test.run();
