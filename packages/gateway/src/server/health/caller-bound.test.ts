import * as events from 'node:events';

import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as descriptorBounds from '../../shared/descriptor-bounds.js';
import * as callerBounds from './caller-bound.js';

const test = suite('caller bound');

function startBound(limit: number, gatewayCount = 2) {
  const clock = fakeClocks.createFakeClock();
  const state = { open: 0, upstreams: 0, closed: 0, looks: 0 };
  const server = new events.EventEmitter();
  const bounds = descriptorBounds.descriptorBounds(limit, gatewayCount);
  const bound = callerBounds.createCallerBound({
    clock,
    log: { info: () => {}, warn: () => {} },
    server: server as never,
    connections: {
      count: () => state.open,
      closeLongestIdle: ({ max, usedBeforeMs }) => {
        state.looks += 1;
        if (usedBeforeMs === clock.nowMs()) state.closed += max;
        return 0;
      },
    },
    loopAges: { readPending: async () => 0, pollCount: () => 1 },
    upstreamSocketCount: () => state.upstreams,
    bounds: () => bounds,
  });
  const accept = () => {
    const socket = {} as never;
    state.open += 1;
    server.emit('connection', socket);
    return socket;
  };
  return { clock, state, bounds, bound, accept };
}

// Guards against a bound that refuses the thousands of callers for which a gateway has descriptors.
test('a gateway of the usual limit serves thousands of callers', () => {
  const few = descriptorBounds.descriptorBounds(4_100, 10);
  const many = descriptorBounds.descriptorBounds(4_100, 410);
  assert.ok(few.callersMax > 2_500, JSON.stringify(few));
  assert.ok(many.callersMax > 2_000 && many.sharedMax < 4_100 - 200 - 820, JSON.stringify(many));
});

// Guards against a fleet of which none is ready although each gateway could serve more.
test('a gateway is ready and keeps its connections up to the bound', async () => {
  const { clock, state, bound, accept } = startBound(4_100, 3);
  const sockets = Array.from({ length: 2_800 }, accept);
  await clock.advance(100);
  assert.is(bound.isFull(), false);
  assert.not(sockets.some(bound.isBeyond));
  assert.is(state.looks, 0);
});

// Guards against readiness that changes with each connection at the bound.
test('a full gateway is ready again once a tenth of its connections is gone', () => {
  const { state, bounds, bound, accept } = startBound(4_100, 3);
  Array.from({ length: bounds.callersMax }, accept);
  assert.is(bound.isFull(), true);
  state.open = Math.ceil(bounds.callersMax * 0.95);
  assert.is(bound.isFull(), true);
  state.open = Math.floor(bounds.callersMax * 0.89);
  assert.is(bound.isFull(), false);
  state.open = Math.ceil(bounds.callersMax * 0.95);
  assert.is(bound.isFull(), false);
});

// Guards against a large fleet whose peers leave no descriptors for callers.
test('peers take at most a quarter of the descriptors', () => {
  const small = descriptorBounds.descriptorBounds(256, 300);
  const large = descriptorBounds.descriptorBounds(4_100, 1_000);
  assert.ok(small.callersMax > 50, JSON.stringify(small));
  assert.ok(large.callersMax > 2_000, JSON.stringify(large));
});

// Guards against a gateway with room for thousands of callers that serves some dozens, by a limit of files alone.
test('the limit that the settings state holds over that of the process', () => {
  assert.is(descriptorBounds.knownLimit(4_100, 200), 4_100);
  assert.is(descriptorBounds.knownLimit(undefined, 200), 200);
  assert.is(descriptorBounds.knownLimit(undefined, null), null);
  assert.is(descriptorBounds.knownLimit(undefined, Infinity), null);
});

// Guards against a burst of connections that takes the reserve before its requests have been read.
test('beyond the bound requests are refused, and silent connections closed before the reserve is gone', async () => {
  const { clock, state, bounds, bound, accept } = startBound(200);
  const served = Array.from({ length: bounds.callersMax }, accept);
  assert.is(bound.isFull(), true);
  const beyond = accept();
  assert.is(bound.isBeyond(beyond), true);
  assert.not(served.some(bound.isBeyond));
  while (state.open <= bounds.sharedMax) accept();
  for (let count = 0; count < descriptorBounds.SILENT_COUNT; count += 1) accept();
  await clock.advance(100);
  assert.ok(state.closed > 0);
  state.open = 10;
  assert.is(bound.isBeyond(beyond), false);
});

// Guards against callers and upstreams that together take more than their part.
test('connections to upstreams count too', () => {
  const { state, bounds, bound, accept } = startBound(200);
  state.upstreams = bounds.sharedMax - 10;
  const sockets = Array.from({ length: 11 }, accept);
  assert.equal(sockets.map(bound.isBeyond), [...Array(10).fill(false), true]);
});

test.run();
