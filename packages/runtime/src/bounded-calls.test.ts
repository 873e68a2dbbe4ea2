import * as http from 'node:http';
import type * as net from 'node:net';

import * as undici from 'undici';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as boundedCalls from './bounded-calls.js';
import * as byteBudgets from './byte-budget.js';
import * as clocks from './clocks.js';
import type * as daemonHolds from './daemon-holds.js';

const test = suite('calls whose answers are bounded');

const WAIT_MS = 5_000;
const BYTES_MAX = 200_000;
const ROOM_BYTES = 100_000;

type Write = (response: http.ServerResponse) => void;

function sendEndlessly(response: http.ServerResponse, pieceBytes: number): void {
  const piece = Buffer.alloc(pieceBytes, ' ');
  const timer = setInterval(() => {
    for (let count = 0; count < 200 && !response.writableNeedDrain; count += 1) {
      response.write(piece);
    }
  }, 1);
  response.once('close', () => clearInterval(timer));
}

async function callAt(write: Write, roomBytes = Infinity) {
  const closed: daemonHolds.ClosedRead[] = [];
  const connections = { opened: 0, ended: 0 };
  const server = http.createServer((_request, response) => write(response));
  server.on('connection', (socket) => {
    connections.opened += 1;
    socket.once('close', () => {
      connections.ended += 1;
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const origin = `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  const budget = byteBudgets.createByteBudget(roomBytes);
  const clock = clocks.createSystemClock();
  const agent = new undici.Agent({ connections: 1 });
  const limits = {
    reader: 'r',
    bytesMax: BYTES_MAX,
    budget,
    noteClosed: (one: daemonHolds.ClosedRead) => void closed.push(one),
  };
  const deadlineMs = clock.nowMs() + WAIT_MS;
  const request = { origin, method: 'GET' as const, path: '/p', deadlineMs };
  const first = await boundedCalls.call(agent, clock, request, limits);
  const second = await boundedCalls.call(agent, clock, request, limits);
  await agent.close();
  server.closeAllConnections();
  server.close();
  return { first, second, closed, connections, heldBytes: budget.heldBytes() };
}

// Guards against an answer without end that is read until its deadline, and a connection that is used again behind it.
test('what passes its bound is closed and named, whatever the size of its pieces', async () => {
  const stated: Write = (response) => {
    response.writeHead(200, { 'content-length': 10 ** 12 });
    response.write('x');
  };
  const plays: [Write, number, 'each' | 'sum'][] = [
    [(response) => sendEndlessly(response, 64 * 1024), Infinity, 'each'],
    [(response) => sendEndlessly(response, 1), ROOM_BYTES, 'sum'],
    [stated, Infinity, 'each'],
  ];
  for (const [write, roomBytes, bound] of plays) {
    const { first, closed, connections, heldBytes } = await callAt(write, roomBytes);
    assert.is(first.err && first.val.kind, 'too-long');
    assert.equal(
      closed.map(({ reader, path, bound: by }) => [reader, path, by]),
      [
        ['r', '/p', bound],
        ['r', '/p', bound],
      ],
    );
    assert.is(connections.opened, 2);
    assert.is(heldBytes, 0);
  }
});

test('whole answers share a connection, and their room is given back', async () => {
  const body = 'x'.repeat(ROOM_BYTES / 4);
  const { second, closed, connections, heldBytes } = await callAt(
    (response) => response.end(body),
    ROOM_BYTES,
  );
  assert.is(second.ok && second.val.body.toString(), body);
  assert.equal([closed.length, connections.opened, heldBytes], [0, 1, 0]);
});

// Guards against a status that no answer may have being told to those who decide by it.
test('an answer with an invalid status is broken, and its connection is not used again', async () => {
  for (const status of [600, 999]) {
    const { first, second, connections } = await callAt((response) => {
      response.writeHead(status, { 'content-length': 4 });
      response.end('oops');
    });
    for (const answer of [first, second]) {
      assert.ok(answer.err && answer.val.kind === 'broken');
      assert.match(answer.val.reason, String(status));
    }
    assert.is(connections.opened, 2);
  }
});

test.run();
