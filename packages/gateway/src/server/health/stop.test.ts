import type * as http from 'node:http';

import { clocks } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as stops from './stop.js';

const test = suite('planned stop');

const STOP_TIMEOUT_MS = 8_000;

function startDrain(openCallCount: () => number) {
  const clock = fakeClocks.createFakeClock();
  const state = { closedAtMs: -1, lastQuietMs: -1, endedAtMs: -1 };
  const server = {
    close: () => {
      state.closedAtMs = clock.nowMs();
    },
  } as unknown as http.Server;
  const connections = {
    closeQuiet: () => {
      state.lastQuietMs = clock.nowMs();
    },
  };
  void stops
    .drain({
      clock,
      server,
      connections,
      openCallCount,
      endMs: stops.exitByMs(clock.nowMs(), STOP_TIMEOUT_MS),
    })
    .then(() => {
      state.endedAtMs = clock.nowMs();
    });
  return { clock, state };
}

// A stop may take eight seconds, a stream five. One that is taken in the last five cannot be answered whole,
// and its caller would have been better off with a closed connection, which it may try again.
test('nothing is taken in the last five seconds, and the balancer has had two misses by then', async () => {
  const { clock, state } = startDrain(() => 0);
  await clock.advance(STOP_TIMEOUT_MS);
  assert.ok(state.closedAtMs >= 2_000 && state.closedAtMs <= 3_000, `${state.closedAtMs}`);
  assert.ok(state.endedAtMs > state.closedAtMs);
});

test('what runs is waited for until shortly before the kill', async () => {
  const { clock, state } = startDrain(() => 3);
  await clock.advance(STOP_TIMEOUT_MS);
  assert.ok(state.endedAtMs >= (STOP_TIMEOUT_MS * 5) / 6, `${state.endedAtMs}`);
  assert.ok(state.endedAtMs < STOP_TIMEOUT_MS);
});

test('what was written last has time to arrive', async () => {
  let count = 1;
  const { clock, state } = startDrain(() => count);
  await clock.advance(4_000);
  count = 0;
  await clock.advance(4_000);
  assert.ok(state.endedAtMs >= 4_300, `${state.endedAtMs}`);
  assert.ok(state.lastQuietMs >= 4_000);
});

// Gateways are restarted in turn, two seconds apart. Given back at once, the lease goes to the next to be stopped, and
// each time nobody may give orders for the lease time: rising models get no copy for most of the restart.
test('the lease is kept while the drain lasts, and given back before the kill', async () => {
  for (const drainMs of [3_000, 60_000]) {
    const clock = fakeClocks.createFakeClock();
    const state = { handedBackAtMs: -1 };
    const endMs = stops.exitByMs(clock.nowMs(), STOP_TIMEOUT_MS);
    const drained = clocks
      .sleepUntil(clock, Math.min(endMs, clock.nowMs() + drainMs))
      .then(() => undefined);
    const handBack = async () => {
      state.handedBackAtMs = clock.nowMs();
    };
    const startMs = clock.nowMs();
    void stops.handBackLast({ clock, drained, handBack, endMs });
    await clock.advance(2_500);
    assert.is(state.handedBackAtMs, -1);
    await clock.advance(6_000);
    const dueMs = Math.min(startMs + drainMs, endMs - 500);
    assert.ok(state.handedBackAtMs > 0 && state.handedBackAtMs <= dueMs, `${drainMs}`);
  }
});

test.run();
