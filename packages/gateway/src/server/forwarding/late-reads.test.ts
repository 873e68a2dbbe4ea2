/** How a gateway handles requests that waited in a socket's buffer, with real sockets and an event loop that reads late. */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as callersApps from '../../testing/callers-app.js';

const test = suite('late reads');

/** No work may be started for a caller that left longer ago than this. */
const GONE_MS = 500;
const TURN_MS = 40;
const CALLER_COUNT = 30;
const CALLER_TIMEOUT_MS = 3_000;
/** How much the deadline that upstreams are given may exceed that of the caller. */
const DEADLINE_MARGIN_MS = 500;

/** Makes every turn of the event loop take `turnMs`, as at a gateway with little processor time. */
function startLongTurns(turnMs: number): () => void {
  let isOn = true;
  const spin = () => {
    const untilMs = performance.now() + turnMs;
    while (performance.now() < untilMs);
    if (isOn) setImmediate(spin);
  };
  setImmediate(spin);
  return () => {
    isOn = false;
  };
}

function onceEvent(socket: net.Socket, event: 'connect' | 'data'): Promise<void> {
  return new Promise((resolve) => {
    socket.once(event, () => resolve());
  });
}

function startCaller(port: number, path: string, headers?: Record<string, string>): net.Socket {
  const socket = net.connect(port, '127.0.0.1');
  socket.on('error', () => {});
  socket.write(callersApps.requestText(path, headers));
  return socket;
}

// New connections are accepted one a turn. If a caller leaves meanwhile, its close is read only after its request.
test('a request whose caller left before its connection was accepted is not served', async () => {
  const app = await callersApps.startCallersApp();
  const stopTurns = startLongTurns(TURN_MS);
  try {
    const leaving = Array.from({ length: CALLER_COUNT }, (_, index) =>
      startCaller(app.port, `/left/${index}`),
    );
    await Promise.all(leaving.map((socket) => onceEvent(socket, 'connect')));
    await timers.setTimeout(2 * TURN_MS);
    leaving.forEach((socket) => socket.destroy());
    const leftAtMs = performance.now();
    const staying = startCaller(app.port, '/stays');
    await onceEvent(staying, 'data');
    staying.destroy();
    const tooLate = app.served.filter(
      ({ path, atMs }) => path.startsWith('/left') && atMs > leftAtMs + GONE_MS,
    );
    assert.equal(tooLate, []);
  } finally {
    stopTurns();
    await app.close();
  }
});

// A deadline that is counted from the reading of the request gives its upstream time that the caller does not have.
test('the deadline of a request that was buffered ends no later than its caller waits', async () => {
  const app = await callersApps.startCallersApp();
  const stopTurns = startLongTurns(TURN_MS);
  try {
    const callers = Array.from({ length: CALLER_COUNT }, (_, index) =>
      startCaller(app.port, `/${index}`, { 't-wait': String(CALLER_TIMEOUT_MS) }),
    );
    const sentAtMs = performance.now();
    await Promise.all(callers.map((socket) => onceEvent(socket, 'data')));
    callers.forEach((socket) => socket.destroy());
    const tooLong = app.served
      .map(({ deadlineMs }) => Math.round(deadlineMs - sentAtMs - CALLER_TIMEOUT_MS))
      .filter((overMs) => overMs > DEADLINE_MARGIN_MS);
    assert.equal(tooLong, []);
  } finally {
    stopTurns();
    await app.close();
  }
});

test.run();
