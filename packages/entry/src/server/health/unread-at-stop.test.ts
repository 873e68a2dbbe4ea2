import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as workerThreads from 'node:worker_threads';

import { longestTimes } from '@copperlever/decisions';
import { clocks, logs, metrics } from '@copperlever/runtime';
import * as eventLoop from '@copperlever/runtime/event-loop';
import * as testHolds from '@copperlever/runtime/testing/daemon-holds';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as app from '../calls/app.js';
import * as openCalls from '../requests/open-calls.js';
import * as plannedStops from '../requests/planned-stop.js';
import * as callerConnections from './caller-connections.js';
import * as drains from './drain.js';

const test = suite('requests unread at a stop');

const CALLER_COUNT = 20;
const WAIT_MS = 2_000;
/** The thread of the server is held from so long before the balancer has noticed the stop to so long after. */
const HOLD_MS = 150;
const DRAIN_TIMEOUT_MS = 8_000;

/** Callers on a thread of their own, which write while the thread of the server is held. */
const CALLERS = `
  const net = require('node:net');
  const { workerData, parentPort } = require('node:worker_threads');
  const { port, count, isKept, flags } = workerData;
  const request = 'GET /v1/models HTTP/1.1\\r\\nhost: a\\r\\n\\r\\n';
  const sockets = [];
  let endedCount = 0;
  let lostCount = 0;
  const state = new Int32Array(flags);
  const raise = (index) => { Atomics.add(state, index, 1); Atomics.notify(state, index); };
  function connect() {
    const socket = net.connect(port, '127.0.0.1');
    socket.answers = 0;
    socket.on('data', (data) => {
      socket.answers += data.toString().split('HTTP/1.1 ').length - 1;
      if (!socket.isSent) raise(0);
    });
    socket.on('error', () => {});
    socket.on('close', () => {
      endedCount += 1;
      if (socket.answers < socket.wanted) lostCount += 1;
      if (endedCount === count) parentPort.postMessage(lostCount);
    });
    sockets.push(socket);
    return socket;
  }
  function send(socket, wanted) {
    socket.wanted = wanted;
    socket.isSent = true;
    socket.write(request, () => raise(1));
  }
  if (isKept) {
    for (let index = 0; index < count; index += 1) { connect().write(request); }
  }
  parentPort.once('message', () => {
    if (isKept) sockets.forEach((socket) => send(socket, 2));
    else for (let index = 0; index < count; index += 1) {
      const socket = connect();
      socket.once('connect', () => send(socket, 1));
    }
  });
`;

/** Until all callers have sent, and that time has passed. */
function hold(state: Int32Array, untilMs: number): void {
  for (let sent = 0; sent < CALLER_COUNT; sent = Atomics.load(state, 1)) {
    Atomics.wait(state, 1, sent, WAIT_MS);
  }
  while (performance.now() < untilMs);
}

async function lostAtStop(isKept: boolean): Promise<number> {
  const clock = clocks.createSystemClock();
  let isStopping = false;
  const server = app.createCallerApp(
    {
      clock,
      log: logs.createSilentLogger(),
      metrics: metrics.createSilentMetrics(),
      journal: {
        record: () => {},
        flush: async () => {},
        droppedCount: () => 0,
        start: () => {},
        stop: async () => {},
      },
      serve: () => Promise.reject(new Error('not called in this test')),
      configuration: () => null,
      nextRequestId: () => 'r-1',
      openCalls: { count: 0 },
      holds: testHolds.createTestHolds(),
      calls: openCalls.createOpenCalls(clock, logs.createSilentLogger()),
      stop: plannedStops.createPlannedStop(clock, longestTimes.createLongestTimes()),
    },
    { maxBodyBytes: 500, isStopping: () => isStopping },
  );
  const connections = callerConnections.createCallerConnections(clock, server.server);
  await server.listen({ host: '127.0.0.1', port: 0 });
  const { port } = server.server.address() as net.AddressInfo;
  const flags = new SharedArrayBuffer(8);
  const worker = new workerThreads.Worker(CALLERS, {
    eval: true,
    workerData: { port, count: CALLER_COUNT, isKept, flags },
  });
  const state = new Int32Array(flags);
  while (isKept && Atomics.load(state, 0) < CALLER_COUNT) await timers.setTimeout(5);
  const lost = new Promise<number>((resolve) => {
    worker.once('message', resolve);
  });
  const noticedMs = clock.nowMs() + drains.BALANCER_NOTICE_MS;
  const drained = drains.drain({
    clock,
    log: logs.createSilentLogger(),
    turnReadyOff: () => {
      isStopping = true;
    },
    leaveMembership: () => {},
    connections,
    openCallCount: () => 0,
    pendingClaimCount: () => 0,
    timeoutMs: DRAIN_TIMEOUT_MS,
  });
  await timers.setTimeout(drains.BALANCER_NOTICE_MS - HOLD_MS);
  // Behind the poll of this turn, so that the timers of the next one fire before what is sent now is read.
  await eventLoop.turnEnd();
  worker.postMessage('send');
  hold(state, noticedMs + HOLD_MS);
  await drained;
  await server.close();
  const count = await lost;
  await worker.terminate();
  return count;
}

// Guards against a stop that closes kept connections on which whole requests lie unread.
test('a stop loses no request that lies unread on a kept connection', async () => {
  assert.is(await lostAtStop(true), 0);
});

// Guards against a stop that closes the listener while connections with whole requests wait to be accepted.
test('a stop loses no request on a connection that waits to be accepted', async () => {
  assert.is(await lostAtStop(false), 0);
});

test.run();
