import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as eventFramer from './event-framer.js';

const test = suite('event framer');

// An upstream stops in the middle of an event and the stream goes on at another one. The caller must not receive any
// part of the incomplete event.
test('only complete events are forwarded, however the bytes are split', () => {
  for (const lineEnd of ['\n', '\r\n', '\r']) {
    const event = (text: string) => text.split('|').join(lineEnd);
    const events = ['id: 1|data: a||', 'id: 2|data: bb||', 'id: 3|data: c'].map(event);
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
        assert.is(framer.restBytes(), events[2]?.length);
        assert.is(framer.takeRest().toString(), events[2]);
      }),
      { seed: 7 },
    );
  }
});

// Guards against an event that comes in many pieces and is copied anew with each of them.
test('the work for an event grows with its size, not with the number of its pieces', () => {
  const pieceCount = 20_000;
  const piece = Buffer.alloc(100, 'x');
  const framer = eventFramer.createEventFramer();
  const startedMs = performance.now();
  for (let count = 0; count < pieceCount; count += 1) framer.push(piece);
  const whole = framer.push(Buffer.from('\n\n'));
  const tookMs = performance.now() - startedMs;
  assert.is(whole.length, pieceCount * piece.length + 2);
  // Copied anew with each piece it would be 20 GB.
  assert.ok(tookMs < 1_000, `${tookMs}`);
});

// Guards against an event in pieces of a byte each, whose pieces take a hundred times its size.
test('the memory for an event grows with its size, not with the number of its pieces', () => {
  const sizeBytes = 200_000;
  const framer = eventFramer.createEventFramer();
  const piece = Buffer.from('x');
  const before = process.memoryUsage();
  for (let count = 0; count < sizeBytes; count += 1) framer.push(piece);
  const after = process.memoryUsage();
  assert.is(framer.restBytes(), sizeBytes);
  const grownBytes = after.heapUsed + after.arrayBuffers - before.heapUsed - before.arrayBuffers;
  assert.ok(grownBytes < 16 * 1024 * 1024, `${grownBytes}`);
});

test.run();
