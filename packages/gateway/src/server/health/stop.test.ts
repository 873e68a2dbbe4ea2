import * as http from 'node:http';
import type * as net from 'node:net';

import { clocks, logs } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as openConnections from '@copperlever/runtime/open-connections';
import * as stopTimes from '@copperlever/runtime/stop-times';
import * as stops from './stop.js';

const test = suite('planned stop');

const STOP_TIMEOUT_MS = 8_000;
/** More than the buffers of both sockets hold. */
const LARGE_BYTES = 32 * 1024 * 1024;
const log = logs.createSilentLogger();

/** Of a loop that reads all at once. */
function createLoopAges() {
  let pollCount = 0;
  return {
    pollCount: () => pollCount,
    readPending: async () => {
      pollCount += 1;
      return 0;
    },
    acceptWaitMs: () => 0,
    turnMs: () => 0,
  };
}

function startDrain(
  openCallCount: () => number,
  {
    clock = fakeClocks.createFakeClock(),
    stopTimeoutMs = STOP_TIMEOUT_MS,
    connectionCount = 0,
  } = {},
) {
  const state = { closedAtMs: -1, lastCloseIdleMs: -1, cutAtMs: -1, endedAtMs: -1 };
  const connections = {
    stopAccepting: () => {
      state.closedAtMs = clock.nowMs();
    },
    closeIdle: () => {
      state.lastCloseIdleMs = clock.nowMs();
      return 0;
    },
    mayWait: () => false,
    count: () => connectionCount,
  };
  const loopAges = createLoopAges();
  const readPending = async () => {
    await clocks.sleepUntil(clock, clock.nowMs() + 1);
    return loopAges.readPending();
  };
  void stops
    .drain({
      clock,
      log,
      loopAges: { ...loopAges, readPending },
      connections,
      openCallCount,
      cutOpen: () => {
        state.cutAtMs = clock.nowMs();
      },
      endMs: stopTimes.exitByMs(clock.nowMs(), stopTimeoutMs),
    })
    .then(() => {
      state.endedAtMs = clock.nowMs();
    });
  return { clock, state };
}

// A stop may take eight seconds and a stream five. A stream that is accepted in the last five seconds could not be
// finished; on a closed connection its caller can retry elsewhere instead.
test('no request is accepted in the last five seconds, after two failed polls of the balancer', async () => {
  const { clock, state } = startDrain(() => 0);
  await clock.advance(STOP_TIMEOUT_MS);
  assert.ok(state.closedAtMs >= 2_000 && state.closedAtMs <= 3_000, `${state.closedAtMs}`);
  assert.ok(state.endedAtMs > state.closedAtMs);
});

// Guards against a stream that is taken up shortly before the end, and cut off by it.
test('from the notice of the balancer on only what is over before the end is taken up', () => {
  const stop = stopTimes.stopTimes(1_000, STOP_TIMEOUT_MS);
  const isTaken = (atMs: number, deadlineMs: number, usualMs: number | null = null) =>
    stopTimes.mayTake(stop, atMs, deadlineMs, usualMs);
  assert.is(stopTimes.mayTake(null, 9_000, 99_000), true);
  assert.equal([isTaken(3_400, 99_000), isTaken(3_400, 99_000, 9_000)], [true, true]);
  assert.equal([isTaken(3_600, 99_000), isTaken(3_600, stop.endMs)], [false, true]);
  assert.equal([isTaken(6_000, 99_000, 1_000), isTaken(6_000, 99_000, 3_000)], [true, false]);
});

// Guards against a stop that goes on behind its kill, or takes up what it then refuses, with one of the times that operators may set.
test('the times of a stop fit for each time that operators may set', async () => {
  for (let stopTimeoutS = 1; stopTimeoutS <= 60; stopTimeoutS += 1) {
    const clock = fakeClocks.createFakeClock();
    const startMs = clock.nowMs();
    const times = stopTimes.stopTimes(startMs, stopTimeoutS * 1_000);
    assert.ok(times.refusesUnsentMs > startMs && times.refusesUnsentMs < times.endMs);
    const { state } = startDrain(() => 1, { clock, stopTimeoutMs: stopTimeoutS * 1_000 });
    const calls: string[] = [];
    const unsent = { refuseLate: () => calls.push('late'), refuseAll: () => calls.push('all') };
    stops.refuseWaiting({ clock, unsent, times });
    await clock.advance(stopTimeoutS * 1_000);
    assert.is(calls.filter((one) => one === 'all').length, 1);
    assert.is(calls.at(-1), 'all');
    assert.ok(
      state.cutAtMs >= times.endMs && state.cutAtMs < times.endMs + 100,
      `${state.cutAtMs}`,
    );
    assert.ok(state.endedAtMs > 0 && state.endedAtMs < startMs + stopTimeoutS * 1_000 - 100);
  }
});

// Guards against a request that is taken up when what waits has just been refused: it would be cut off.
test('nothing is taken up once what no upstream has is refused', () => {
  for (const stopTimeoutMs of [1_000, 3_000, STOP_TIMEOUT_MS]) {
    const { endMs, refusesUnsentMs, ...stop } = stopTimes.stopTimes(1_000, stopTimeoutMs);
    assert.ok(refusesUnsentMs > 1_000 && refusesUnsentMs < endMs);
    const isTaken = (atMs: number) =>
      stopTimes.mayTake({ ...stop, endMs, refusesUnsentMs }, atMs, endMs);
    assert.equal([isTaken(refusesUnsentMs - 1), isTaken(refusesUnsentMs)], [true, false]);
  }
});

test('the drain waits for running requests until shortly before the kill', async () => {
  const { clock, state } = startDrain(() => 3);
  await clock.advance(STOP_TIMEOUT_MS);
  assert.ok(state.endedAtMs >= (STOP_TIMEOUT_MS * 5) / 6, `${state.endedAtMs}`);
  assert.ok(state.endedAtMs < STOP_TIMEOUT_MS);
});

// Guards against a stop that waits twice for callers who keep their connections open, and meets the kill.
test('callers that leave their connections open do not hold up the end of a stop', async () => {
  const { clock, state } = startDrain(() => 3, { connectionCount: 3 });
  await clock.advance(STOP_TIMEOUT_MS);
  assert.ok(state.endedAtMs - state.cutAtMs >= 300, `${state.endedAtMs}`);
  assert.ok(state.endedAtMs - state.cutAtMs <= 350, `${state.endedAtMs}`);
});

test('data that was written last has time to arrive', async () => {
  let count = 1;
  const { clock, state } = startDrain(() => count);
  await clock.advance(4_000);
  count = 0;
  await clock.advance(4_000);
  assert.ok(state.endedAtMs >= 4_300, `${state.endedAtMs}`);
  assert.ok(state.lastCloseIdleMs >= 4_000);
});

// Guards against a stop that cuts the tail of an answer that is whole in its own buffer, while its caller still reads.
test('the drain waits until callers that read slowly have been sent their whole answers', async () => {
  const clock = fakeClocks.createFakeClock();
  const body = Buffer.alloc(LARGE_BYTES, 'x');
  const server = http.createServer((_request, response) => response.end(body));
  const loopAges = createLoopAges();
  const connections = openConnections.trackConnections(server, loopAges, clock);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const answer = await new Promise<http.IncomingMessage>((resolve) => {
    http.get({ port, host: '127.0.0.1' }, resolve);
  });
  let hasEnded = false;
  const endMs = stopTimes.exitByMs(clock.nowMs(), STOP_TIMEOUT_MS);
  const openCallCount = () => 0;
  const { cutOpen } = connections;
  const options = { clock, log, loopAges, connections, openCallCount, cutOpen, endMs };
  const drained = stops.drain(options).then(() => {
    hasEnded = true;
    stops.cutOff(server, connections);
  });
  await clock.advance(5_000);
  assert.is(hasEnded, false);
  let sizeBytes = 0;
  for await (const chunk of answer) sizeBytes += (chunk as Buffer).length;
  assert.is(sizeBytes, LARGE_BYTES);
  await clock.advance(1_000);
  await drained;
  assert.is(hasEnded, true);
});

// Gateways are restarted one after the other, two seconds apart. If the lease was released at once, it would go to the
// next gateway to be stopped, and no orders could be given for the lease time after each change: models whose demand
// rises would get no copy for most of the restart.
test('the lease is kept during the drain, and released before the kill', async () => {
  for (const drainMs of [3_000, 60_000]) {
    const clock = fakeClocks.createFakeClock();
    const state = { releasedAtMs: -1 };
    const endMs = stopTimes.exitByMs(clock.nowMs(), STOP_TIMEOUT_MS);
    const drained = clocks
      .sleepUntil(clock, Math.min(endMs, clock.nowMs() + drainMs))
      .then(() => undefined);
    const release = async () => {
      state.releasedAtMs = clock.nowMs();
    };
    const startMs = clock.nowMs();
    void stops.releaseLeaseLast({ clock, drained, releaseLease: release, endMs });
    await clock.advance(2_500);
    assert.is(state.releasedAtMs, -1);
    await clock.advance(6_000);
    const dueMs = Math.min(startMs + drainMs, endMs - 500);
    assert.ok(state.releasedAtMs > 0 && state.releasedAtMs <= dueMs, `${drainMs}`);
  }
});

// Guards against a store that does not answer, on which the end of a stop waits until the platform kills the process: an answer
// without chunks would then look complete.
test('the end of a stop does not wait for a lease that is not released in time', async () => {
  const clock = fakeClocks.createFakeClock();
  const state = { endedAtMs: Infinity };
  const endMs = stopTimes.exitByMs(clock.nowMs(), STOP_TIMEOUT_MS);
  const drained = clocks.sleepUntil(clock, endMs).then(() => undefined);
  const releaseLease = () => new Promise<void>(() => {});
  void stops.releaseLeaseLast({ clock, drained, releaseLease, endMs }).then(() => {
    state.endedAtMs = clock.nowMs();
  });
  await clock.advance(STOP_TIMEOUT_MS);
  assert.ok(state.endedAtMs <= endMs, `${state.endedAtMs}`);
});

test.run();
