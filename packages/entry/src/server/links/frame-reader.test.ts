import * as events from 'node:events';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as links from '../../types/links.js';
import * as frameReader from './frame-reader.js';

const test = suite('frame-reader');

function createStream() {
  const emitter = new events.EventEmitter();
  const calls: string[] = [];
  const stream = Object.assign(emitter, {
    pause: () => calls.push('pause'),
    resume: () => calls.push('resume'),
    cancel: () => calls.push('cancel'),
  }) as unknown as frameReader.FrameStream;
  const frame = (offsetBytes: number) => emitter.emit('data', { dispatchId: 'r-1/1', offsetBytes });
  return { emitter, stream, calls, frame };
}

function read(stream: frameReader.FrameStream, signal = new AbortController().signal) {
  return frameReader.readFrames(stream, signal, () => {})[Symbol.asyncIterator]();
}

function offsetOf(step: IteratorResult<links.LinkPart>): number | string {
  if (step.done === true) return 'done';
  return step.value.kind === 'frame' ? step.value.frame.offsetBytes : step.value.kind;
}

test('frames come in order, whether they are waited for or held', async () => {
  const { emitter, stream, frame } = createStream();
  const iterator = read(stream);
  const waited = iterator.next();
  [0, 1, 2].forEach(frame);
  emitter.emit('end');
  const steps = [await waited, await iterator.next(), await iterator.next(), await iterator.next()];
  assert.equal(steps.map(offsetOf), [0, 1, 2, 'done']);
});

test('a broken connection is told after the frames that came before it', async () => {
  const { emitter, stream, frame } = createStream();
  const iterator = read(stream);
  frame(0);
  emitter.emit('error', new Error('connection reset'));
  emitter.emit('error', new Error('a second time'));
  const steps = [await iterator.next(), await iterator.next(), await iterator.next()];
  assert.equal(steps.map(offsetOf), [0, 'lost', 'done']);
});

test('a caller that takes slowly pauses the stream, and it goes on when all is taken', async () => {
  const { stream, calls, frame } = createStream();
  const iterator = read(stream);
  Array.from({ length: 64 }, (_, index) => frame(index));
  assert.equal(calls, ['pause']);
  for (let index = 0; index < 64; index += 1) await iterator.next();
  assert.equal(calls, ['pause', 'resume']);
});

// Guards against large frames for a caller that takes slowly, held by their count alone.
test('large frames pause the stream by their bytes', async () => {
  const { emitter, stream, calls } = createStream();
  const iterator = read(stream);
  const value = { data: Buffer.alloc(64 * 1024) };
  for (let count = 0; count < 4; count += 1) {
    assert.equal(calls, []);
    emitter.emit('data', { dispatchId: 'r-1/1', offsetBytes: 0, part: { $case: 'chunk', value } });
  }
  assert.equal(calls, ['pause']);
  for (let count = 0; count < 4; count += 1) await iterator.next();
  assert.equal(calls, ['pause', 'resume']);
});

test('an aborted reader cancels its stream and ends', async () => {
  const { emitter, stream, calls, frame } = createStream();
  const controller = new AbortController();
  const iterator = read(stream, controller.signal);
  const waited = iterator.next();
  controller.abort();
  frame(0);
  emitter.emit('error', new Error('cancelled'));
  assert.is(offsetOf(await waited), 'done');
  assert.equal(calls, ['cancel']);
});

test.run();
