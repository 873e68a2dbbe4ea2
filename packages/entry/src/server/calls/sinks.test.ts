import * as testHolds from '@copperlever/runtime/testing/daemon-holds';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as sinks from './sinks.js';

const test = suite('answers held for callers');

const ANSWER_BYTES = 150_000;

// Guards against held answers that together fill the memory of an entry.
test('held answers are bounded in sum, and their room is given back', () => {
  const holds = testHolds.createTestHolds(1);
  const [first, second] = ['r-1', 'r-2'].map((id) => sinks.createHeldSink(holds, id));
  assert.is(first?.takeRoom?.(ANSWER_BYTES), 'taken');
  assert.is(second?.takeRoom?.(ANSWER_BYTES), 'no-room');
  assert.equal(holds.closed, [
    {
      reader: 'held-answer',
      id: 'r-2',
      sizeBytes: ANSWER_BYTES,
      bound: 'sum',
      boundBytes: holds.answers.maxBytes,
    },
  ]);
  first?.release();
  assert.is(second?.takeRoom?.(ANSWER_BYTES), 'taken');
  assert.is(second?.takeRoom?.(16 * 1024 * 1024), 'too-large');
  // An attempt that is made again begins anew.
  second?.head(200, []);
  assert.is(holds.answers.heldBytes(), 0);
});

test.run();
