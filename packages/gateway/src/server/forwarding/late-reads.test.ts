/** What a gateway does with requests that lay unread: real sockets, and a loop that reads late. */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as callersApps from '../../testing/callers-app.js';

const test = suite('late reads');

/** A caller that has left for longer than this must not have work begun for it. */
const GONE_MS = 500;
const TURN_MS = 40;
const CALLER_COUNT = 30;
const PATIENCE_MS = 3_000;
/** Upstreams may be told of so much more time than the caller has. */
const DEADLINE_SLACK_MS = 500;

/** Every turn of the loop takes so long, as at a gateway with little processor time. */
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

// New connections wait to be accepted, one a turn; the close of a caller that left meanwhile lies behind its request.
test('a request whose caller left before its connection was accepted is not sent on', async () => {
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

// A deadline that begins when a request is read hands its upstream time that the caller does not have.
test('the deadline of a request that lay unread ends no later than its caller waits', async () => {
  const app = await callersApps.startCallersApp();
  const stopTurns = startLongTurns(TURN_MS);
  try {
    const callers = Array.from({ length: CALLER_COUNT }, (_, index) =>
      startCaller(app.port, `/${index}`, { 't-wait': String(PATIENCE_MS) }),
    );
    const sentAtMs = performance.now();
    await Promise.all(callers.map((socket) => onceEvent(socket, 'data')));
    callers.forEach((socket) => socket.destroy());
    const tooLong = app.served
      .map(({ deadlineMs }) => Math.round(deadlineMs - sentAtMs - PATIENCE_MS))
      .filter((overMs) => overMs > DEADLINE_SLACK_MS);
    assert.equal(tooLong, []);
  } finally {
    stopTurns();
    await app.close();
  }
});

test.run();
