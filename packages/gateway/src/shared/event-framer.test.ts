import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as eventFramer from './event-framer.js';

const test = suite('event framer');

// An upstream stops in the middle of an event and the stream goes on at another one. The caller must not receive any
// part of the incomplete event.
test('only complete events are forwarded, however the bytes are split', () => {
  const events = ['id: 1\ndata: a\n\n', 'id: 2\ndata: bb\n\n', 'id: 3\ndata: c'];
  const bytes = Buffer.from(events.join(''));
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 0, max: bytes.length })), (cuts) => {
      const framer = eventFramer.createEventFramer();
      const ends = [...cuts, bytes.length].sort((a, b) => a - b);
      let from = 0;
      const passed = ends.map((end) => {
        const completed = framer.push(bytes.subarray(from, end));
        from = end;
        return completed.toString();
      });
      assert.is(passed.join(''), `${events[0]}${events[1]}`);
      assert.is(framer.lastEventId(), '2');
      assert.is(framer.takeRest().toString(), events[2]);
    }),
    { seed: 7 },
  );
});

test.run();
