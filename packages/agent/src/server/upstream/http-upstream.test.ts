import * as net from 'node:net';

import { clocks } from '@copperlever/runtime';
import * as testHolds from '@copperlever/runtime/testing/daemon-holds';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as httpUpstreams from './http-upstream.js';

const test = suite('calls to an upstream over HTTP');

const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';
const CALL = {
  requestId: 'r1',
  method: 'POST',
  path: '/x',
  headers: [],
  body: Buffer.from('body'),
  priority: 0,
};

/** The kinds of the parts that come of an answer without length or chunks. */
async function partKinds(
  end: (socket: net.Socket) => void,
  bytes = `${HEAD}part`,
): Promise<string[]> {
  const server = net.createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.write(bytes, () => setImmediate(() => end(socket)));
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const clock = clocks.createSystemClock();
  const upstream = httpUpstreams.createHttpUpstream({
    baseUrl: `http://127.0.0.1:${port}`,
    clock,
    holds: testHolds.createTestHolds(),
  });
  const kinds: string[] = [];
  for await (const { kind } of upstream.run(CALL, new AbortController().signal)) kinds.push(kind);
  await upstream.close();
  server.close();
  return kinds;
}

test('an answer that its upstream ends regularly is whole', async () => {
  assert.equal(await partKinds((socket) => socket.end()), ['head', 'data', 'end']);
});

// Guards against a status that no answer may have being passed on to a caller.
test('an answer with an invalid status is broken', async () => {
  for (const status of ['000', '099', '600', '999']) {
    const bytes = `HTTP/1.1 ${status} Trouble\r\nContent-Length: 4\r\n\r\noops`;
    assert.equal(
      [status, ...(await partKinds((socket) => socket.end(), bytes))],
      [status, 'broken'],
    );
  }
});

test('a call whose connection is refused was not sent', async () => {
  const clock = clocks.createSystemClock();
  const server = net.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  server.close();
  const upstream = httpUpstreams.createHttpUpstream({
    baseUrl: `http://127.0.0.1:${port}`,
    clock,
    holds: testHolds.createTestHolds(),
  });
  const kinds: string[] = [];
  for await (const { kind } of upstream.run(CALL, new AbortController().signal)) kinds.push(kind);
  assert.equal(kinds, ['not-sent']);
  await upstream.close();
});

// Guards against a part of an answer that is passed on as the whole, since its connection was reset.
test('an answer without a length that is reset on the way has broken off', async () => {
  const kinds = await partKinds((socket) => socket.resetAndDestroy());
  assert.is(kinds.at(-1), 'broken', kinds.join(' '));
});

const STATUS_LINE = 'HTTP/1.1 200 OK\r\n';
const HALF_HEADS = [
  'HTTP/1.1 20',
  STATUS_LINE,
  `${STATUS_LINE}Content-Length: 5\r\n`,
  `${STATUS_LINE}Connection: close\r\n`,
  'HTTP/1.0 200 OK\r\n',
  `HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n${STATUS_LINE}`,
];

// Guards against half a head that is passed on as an empty answer.
test('an answer whose connection ends inside its head has no head', async () => {
  for (const half of HALF_HEADS) {
    assert.equal(await partKinds((socket) => socket.end(), half), ['broken'], half);
    assert.equal(await partKinds((socket) => socket.resetAndDestroy(), half), ['broken'], half);
  }
});

// Guards against the first chunks of an answer that are passed on as the whole, since its connection ended regularly.
test('a chunked answer without its last chunk has broken off', async () => {
  const chunked = `${STATUS_LINE}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n`;
  for (const chunks of ['', '4\r\npa', '4\r\npart\r\n']) {
    const kinds = await partKinds((socket) => socket.end(), `${chunked}${chunks}`);
    assert.is(kinds.at(-1), 'broken', kinds.join(' '));
  }
});

test.run();
