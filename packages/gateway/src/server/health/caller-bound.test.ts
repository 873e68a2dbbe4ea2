import * as events from 'node:events';

import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as descriptorBounds from '../../shared/descriptor-bounds.js';
import * as callerBounds from './caller-bound.js';

const test = suite('caller bound');

function startBound(limit: number) {
  const clock = fakeClocks.createFakeClock();
  const state = { open: 0, upstreams: 0, closed: 0 };
  const server = new events.EventEmitter();
  const bounds = descriptorBounds.descriptorBounds(limit, 2);
  const bound = callerBounds.createCallerBound({
    clock,
    log: { info: () => {}, warn: () => {} },
    server: server as never,
    connections: {
      count: () => state.open,
      closeLongestIdle: ({ max, usedBeforeMs }) => {
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

// Guards against a burst of connections that takes the reserve before its requests have been read.
test('beyond the bound requests are refused, and silent connections closed before the reserve is gone', async () => {
  const { clock, state, bounds, bound, accept } = startBound(200);
  const served = Array.from({ length: bounds.callersMax }, accept);
  assert.is(bound.isNear(), true);
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
