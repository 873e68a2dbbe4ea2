import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as listenRetry from './listen-retry.js';
import * as fakeClocks from './testing/fake-clock.js';

const test = suite('listening where an address is taken');

const TARGET = { what: 'callers', address: '127.0.0.1:80' };

function createFixture(code = 'EADDRINUSE') {
  const clock = fakeClocks.createFakeClock();
  const asked = new AbortController();
  const state = { isTaken: true, attempts: 0, lines: [] as string[], endCount: 0 };
  const write = (event: string, fields = {}) =>
    state.lines.push(JSON.stringify({ event, ...fields }));
  const listeners = listenRetry.createListenRetry({
    clock,
    log: { info: write, warn: write, error: write },
    startEnd: {
      asked: asked.signal,
      end: () => {
        state.endCount += 1;
      },
    },
  });
  const listen = async () => {
    state.attempts += 1;
    // As gRPC tells it.
    if (state.isTaken) throw new Error(`No address added: [listen ${code}: no]`);
    return 'server';
  };
  /** What a start has come to. */
  function watch(started: Promise<unknown>): () => string {
    let came = 'waiting';
    started.then(
      (value) => {
        came = String(value);
      },
      (cause: Error) => {
        came = cause.message;
      },
    );
    return () => came;
  }
  return { clock, asked, state, listeners, listen, watch };
}

// Guards against a start that ends since its port is taken for a moment, or that waits without a word.
test('a start waits for an address that is taken, and says so at a bounded pace', async () => {
  const { clock, state, listeners, listen, watch } = createFixture();
  const came = watch(listeners.untilListening(TARGET, listen));
  await clock.advance(12_000);
  assert.is(came(), 'waiting');
  assert.is(listeners.waitingCount(), 1);
  assert.is(state.lines.length, 3);
  assert.match(state.lines[0] ?? '', /start-waiting.*127\.0\.0\.1:80.*EADDRINUSE/);
  state.isTaken = false;
  await clock.advance(1_000);
  assert.is(came(), 'server');
  assert.is(listeners.waitingCount(), 0);
  assert.match(state.lines[3] ?? '', /start-wait-ended.*listening/);
});

// Guards against a start that waits for ever, so that nobody starts another one elsewhere.
test('a start gives up once its time is over', async () => {
  const { clock, state, listeners, listen, watch } = createFixture();
  const came = watch(listeners.untilListening(TARGET, listen));
  await clock.advance(listenRetry.START_WAIT_MAX_MS - 500);
  assert.is(came(), 'waiting');
  await clock.advance(1_000);
  assert.match(came(), /EADDRINUSE/);
  assert.match(state.lines.at(-1) ?? '', /given-up/);
});

// Guards against a mistake of the operator that shows only after the time of a start.
test('what no waiting mends ends the start at once', async () => {
  const { clock, state, listeners, listen, watch } = createFixture('EACCES');
  const came = watch(listeners.untilListening(TARGET, listen));
  const readiness = watch(listeners.inBackground({ ...TARGET, onMistake: 'reject' }, listen));
  await clock.settle();
  assert.match(came(), /EACCES/);
  assert.match(readiness(), /EACCES/);
  assert.is(state.attempts, 2);
});

// Guards against metrics that keep requests from being served, or are never served again.
test('in the background an address is tried for as long as the process runs', async () => {
  for (const code of ['EADDRINUSE', 'EACCES']) {
    const { clock, state, listeners, listen, watch } = createFixture(code);
    const came = watch(listeners.inBackground({ ...TARGET, onMistake: 'retry' }, listen));
    await clock.settle();
    assert.is(came(), 'undefined');
    await clock.advance(listenRetry.START_WAIT_MAX_MS * 2);
    assert.is(listeners.waitingCount(), 1);
    state.isTaken = false;
    await clock.advance(1_000);
    assert.is(listeners.waitingCount(), 0);
  }
});

// Guards against a start that nobody can stop while it waits.
test('a stop ends a start that waits, and attempts in the background', async () => {
  const { clock, asked, state, listeners, listen, watch } = createFixture();
  const came = watch(listeners.untilListening(TARGET, listen));
  await listeners.inBackground({ ...TARGET, onMistake: 'retry' }, listen);
  await clock.advance(1_000);
  asked.abort();
  await clock.advance(1_000);
  assert.is(came(), 'waiting');
  assert.is(state.endCount, 1);
  assert.is(listeners.waitingCount(), 0);
  assert.is(clock.nextTimerMs(), null);
});

test.run();
