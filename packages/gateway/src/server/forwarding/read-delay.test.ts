import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as readDelays from './read-delay.js';

const test = suite('read delay');

const TURN_MS = 40;

/** An event loop whose polls, waits and time are set by the test; no samples are taken. */
function startLoop(isExhausted = () => false) {
  let nowMs = 0;
  let pollCount = 1;
  let idleMs = 0;
  const readDelay = readDelays.createReadDelay(
    { nowMs: () => nowMs },
    undefined,
    {
      pollCount: () => pollCount,
      idleMs: () => idleMs,
      atTurnEnd: () => {},
      every: () => () => {},
    },
    isExhausted,
  );
  return {
    readDelay,
    turn: (durationMs: number) => {
      nowMs += durationMs;
      pollCount += 1;
    },
    wait: (durationMs: number) => {
      nowMs += durationMs;
      idleMs += durationMs;
    },
  };
}

// Ten connections arrive at once and are accepted one a turn. The last may have waited for nine turns, though none was long.
test('the age of a connection includes the turns in which earlier ones were accepted', () => {
  const loop = startLoop();
  loop.turn(TURN_MS);
  loop.turn(TURN_MS);
  loop.wait(1_000);
  const waits = Array.from({ length: 10 }, () => {
    const key = {};
    loop.readDelay.accepted(key);
    loop.turn(TURN_MS);
    return loop.readDelay.requestAge(key).bufferedMs;
  });
  assert.ok((waits[9] as number) >= 10 * TURN_MS, `${waits[9]}`);
  loop.readDelay.stop();
});

// Guards against connections taken for new, which no descriptor was left to accept.
test('polls that could not accept do not show an empty queue', () => {
  let isExhausted = false;
  const loop = startLoop(() => isExhausted);
  for (let count = 0; count < 3; count += 1) loop.turn(TURN_MS);
  loop.readDelay.accepted({});
  isExhausted = true;
  for (let count = 0; count < 10; count += 1) loop.turn(TURN_MS);
  assert.is(loop.readDelay.acceptWaitMs(), 13 * TURN_MS);
  isExhausted = false;
  assert.is(loop.readDelay.acceptWaitMs(), 10 * TURN_MS);
  loop.readDelay.stop();
});

test('after a poll without a new connection the age of the next one starts again', () => {
  const loop = startLoop();
  for (let count = 0; count < 10; count += 1) {
    loop.readDelay.accepted({});
    loop.turn(TURN_MS);
  }
  loop.turn(TURN_MS);
  loop.turn(TURN_MS);
  const key = {};
  loop.readDelay.accepted(key);
  assert.ok(loop.readDelay.requestAge(key).bufferedMs <= 3 * TURN_MS);
  loop.readDelay.stop();
});

test('data that arrives while the loop waits is read at once', () => {
  const loop = startLoop();
  const key = {};
  loop.readDelay.accepted(key);
  loop.turn(1);
  loop.turn(1);
  loop.wait(5_000);
  assert.ok(loop.readDelay.requestAge(key).bufferedMs < 10);
  assert.is(loop.readDelay.requestAge(key).isNewConnection, false);
  loop.readDelay.stop();
});

// Guards against a gateway that refuses all new connections as late once more come than it accepts, although none waits for long.
test('a connection is no older than the accept queue is long', () => {
  const loop = startLoop();
  let lastMs = 0;
  for (let count = 0; count < 4 * readDelays.ACCEPT_QUEUE_MAX; count += 1) {
    const key = {};
    loop.readDelay.accepted(key);
    lastMs = loop.readDelay.requestAge(key).bufferedMs;
    loop.turn(1);
  }
  assert.ok(lastMs >= readDelays.ACCEPT_QUEUE_MAX, `${lastMs}`);
  assert.ok(lastMs <= readDelays.ACCEPT_QUEUE_MAX + 2, `${lastMs}`);
  loop.readDelay.stop();
});

// Guards against a listener that is closed while connections wait, and a log that can't tell.
test('for how long connections may wait that are not accepted yet', () => {
  const loop = startLoop();
  loop.turn(TURN_MS);
  loop.turn(TURN_MS);
  loop.wait(1_000);
  for (let count = 0; count < 10; count += 1) {
    loop.readDelay.accepted({});
    loop.turn(TURN_MS);
  }
  assert.ok(loop.readDelay.acceptWaitMs() >= 10 * TURN_MS);
  // A poll without a new connection.
  loop.turn(TURN_MS);
  assert.ok(loop.readDelay.acceptWaitMs() <= 2 * TURN_MS, `${loop.readDelay.acceptWaitMs()}`);
  loop.readDelay.stop();
});

/** One connection is accepted in each turn, and each waited for the last ten; the oldest age that is taken for a request's. */
function oldestAgeOfSteadyQueue(isProbed: boolean): number {
  const queueTurns = 10;
  const loop = startLoop();
  const probes: { atTurn: number; port: number; onOpened: (localPort: number) => void }[] = [];
  let turnCount = 0;
  if (isProbed) {
    loop.readDelay.probeWith((onOpened) => {
      probes.push({ atTurn: turnCount + queueTurns, port: 50_000 + turnCount, onOpened });
      return () => {};
    });
  }
  let oldestMs = 0;
  for (; turnCount < 150; turnCount += 1) {
    const [probe] = probes;
    const isProbe = probe?.atTurn === turnCount;
    const key = { remotePort: isProbe ? probe.port : 1_000 + turnCount };
    loop.readDelay.accepted(key);
    if (isProbe) {
      probes.shift();
      probe.onOpened(probe.port);
    }
    oldestMs = Math.max(oldestMs, loop.readDelay.requestAge(key).bufferedMs);
    loop.turn(TURN_MS);
  }
  loop.readDelay.stop();
  return oldestMs;
}

// Guards against ages that grow for as long as connections come one a turn: requests refused as too late, answers cut early.
test('the age of a connection in a queue that is never empty is known by probes', () => {
  const oldestMs = oldestAgeOfSteadyQueue(true);
  assert.ok(oldestMs >= 10 * TURN_MS && oldestMs <= 25 * TURN_MS, `${oldestMs}`);
  assert.ok(oldestAgeOfSteadyQueue(false) > 140 * TURN_MS);
});

test.run();
