import * as testHolds from '@copperlever/runtime/testing/daemon-holds';
import * as fakeClock from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as sinks from './sinks.js';

const test = suite('answers held for callers');

const ANSWER_BYTES = 150_000;
/** Longer than an answer waits for room. */
const WAIT_MS = 6_000;

// Guards against held answers that together fill the memory of an entry.
test('held answers are bounded in sum, and their room is given back', async () => {
  const holds = testHolds.createTestHolds(1);
  const clock = fakeClock.createFakeClock();
  const [first, second] = ['r-1', 'r-2'].map((id) => sinks.createHeldSink(holds, id, clock));
  assert.is(await first?.takeRoom?.(ANSWER_BYTES), 'taken');
  const refused = second?.takeRoom?.(ANSWER_BYTES);
  await clock.advance(WAIT_MS);
  assert.is(await refused, 'no-room');
  assert.equal(holds.closed, [
    {
      reader: 'held-answer',
      requestId: 'r-2',
      sizeBytes: ANSWER_BYTES,
      bound: 'sum',
      boundBytes: holds.answers.maxBytes,
    },
  ]);
  const waiting = second?.takeRoom?.(ANSWER_BYTES);
  first?.release();
  await clock.advance(100);
  assert.is(await waiting, 'taken');
  assert.is(await second?.takeRoom?.(16 * 1024 * 1024), 'too-large');
  // An attempt that is made again begins anew.
  second?.head(200, []);
  assert.is(holds.answers.heldBytes(), 0);
});

test.run();
