import * as events from 'node:events';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as logSinks from './log-sink.js';
import * as logs from './logs.js';
import * as fakeClocks from './testing/fake-clock.js';

const test = suite('log sink');

const HALF = 'x'.repeat(logSinks.MAX_PENDING_CHARACTERS / 2);

/** A stream whose reader is gone, stands still or reads all. */
function createReader() {
  const emitter = new events.EventEmitter();
  let mode: 'reads' | 'stands' | 'gone' = 'reads';
  let tryCount = 0;
  const waiting: { text: string; onWritten: (error?: Error | null) => void }[] = [];
  const lines: string[] = [];
  const lengthOf = () => waiting.reduce((sum, { text }) => sum + text.length, 0);

  function settle(): void {
    if (mode === 'stands') return;
    for (const { text, onWritten } of waiting.splice(0)) {
      if (mode === 'reads') {
        lines.push(text.trim());
        onWritten();
      } else {
        const error = Object.assign(new Error('write EPIPE'), { code: 'EPIPE' });
        onWritten(error);
        emitter.emit('error', error);
      }
    }
  }

  return {
    stream: {
      destroyed: false,
      get writableLength() {
        return lengthOf();
      },
      write: (text: string, onWritten: (error?: Error | null) => void) => {
        tryCount += 1;
        waiting.push({ text, onWritten });
        settle();
        return mode === 'reads';
      },
      on: (event: 'error', listener: (error: Error) => void) => emitter.on(event, listener),
    },
    become: (next: typeof mode) => {
      mode = next;
      settle();
    },
    lines: () => lines,
    tryCount: () => tryCount,
  };
}

function createSink() {
  const clock = fakeClocks.createFakeClock();
  const reader = createReader();
  const sink = logSinks.createLogSink(() => reader.stream, clock);
  const log = logs.createLogger({ daemonId: 'g1', level: 'info', sink });
  return { clock, reader, sink, log };
}

// Guards against a reader that has gone and makes each further line cost a failed write.
test('a gone reader is tried again once a second, and told how many lines it has missed', async () => {
  const { clock, reader, sink, log } = createSink();
  log.info('before');
  reader.become('gone');
  for (let count = 0; count < 100; count += 1) log.info('missed');
  assert.is(reader.tryCount(), 2);
  assert.is(sink.state(), 'failed');
  assert.is(sink.lostLineCount(), 100);
  await clock.advance(logSinks.RETRY_PERIOD_MS);
  log.info('missed');
  assert.is(reader.tryCount(), 3);
  reader.become('reads');
  await clock.advance(logSinks.RETRY_PERIOD_MS);
  log.info('after');
  const [first = '', second = '', third = ''] = reader.lines();
  assert.match(first, 'event=before');
  assert.match(second, 'event=after');
  assert.match(
    third,
    'event=log-lines-lost daemonId=g1 count=101 totalCount=101 state=failed reason=EPIPE',
  );
  assert.is(sink.state(), 'writing');
});

// Guards against lines that nobody reads and that fill the memory of the process.
test('a reader that stands still has a bounded backlog kept for it', () => {
  const { reader, sink, log } = createSink();
  reader.become('stands');
  for (let count = 0; count < 10; count += 1) sink.write(HALF);
  assert.ok(sink.pendingCharacters() <= logSinks.MAX_PENDING_CHARACTERS);
  assert.is(sink.state(), 'backlogged');
  assert.is(sink.lostLineCount(), 9);
  reader.become('reads');
  log.info('after');
  assert.match(
    reader.lines()[1] ?? '',
    'event=log-lines-lost daemonId=g1 count=9 totalCount=9 state=backlogged',
  );
  assert.match(reader.lines()[2] ?? '', 'event=after');
});

// Guards against a backlog whose lines are counted as written although their reader has gone.
test('a backlog whose reader goes away is counted as lost', () => {
  const { reader, sink } = createSink();
  reader.become('stands');
  for (let count = 0; count < 5; count += 1) sink.write('waiting');
  reader.become('gone');
  assert.is(sink.pendingCharacters(), 0);
  assert.is(sink.lostLineCount(), 5);
});

// Guards against lines that nobody is told of since the line that told so was lost too.
test('a report that is lost is made good by the next', async () => {
  const { clock, reader, sink, log } = createSink();
  reader.become('stands');
  for (let count = 0; count < 10; count += 1) sink.write(HALF);
  reader.become('gone');
  await clock.advance(logSinks.RETRY_PERIOD_MS);
  reader.become('reads');
  log.info('after');
  assert.match(reader.lines()[1] ?? '', 'totalCount=10 state=failed reason=EPIPE');
  assert.is(sink.lostLineCount(), 10);
});

// Guards against a line that passes the bound behind a backlog, and one that no reader would ever get.
test('a line longer than the bound is written to a reader that has caught up', () => {
  const { reader, sink } = createSink();
  const long = HALF.repeat(4);
  reader.become('stands');
  sink.write('waiting');
  sink.write(long);
  assert.ok(sink.pendingCharacters() < logSinks.MAX_PENDING_CHARACTERS);
  reader.become('reads');
  sink.write(long);
  assert.is(sink.lostLineCount(), 1);
});

// Guards against a stop that waits for a reader that never reads.
test('a flush ends at its time', async () => {
  const { reader, sink } = createSink();
  await logSinks.flush(reader.stream, 60_000);
  reader.become('stands');
  sink.write('last');
  const startMs = performance.now();
  await logSinks.flush(reader.stream, 20);
  assert.ok(performance.now() - startMs < 10_000);
  reader.become('reads');
  assert.equal(reader.lines(), ['last', '']);
});

test.run();
