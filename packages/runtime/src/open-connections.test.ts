import * as http from 'node:http';
import * as net from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as openConnections from './open-connections.js';

const test = suite('open connections');

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const HALF_HEAD = 'POST / HTTP/1.1\r\nHo';

/** Closes the idle ones among connections that have sent that and been answered once. */
async function closedAfter(sent: string): Promise<number> {
  const server = http.createServer((_request, response) => response.end('x'));
  let pollCount = 0;
  const clock = { nowMs: () => 0 };
  const open = openConnections.trackConnections(server, { pollCount: () => pollCount }, clock);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const socket = net.connect(port, '127.0.0.1', () => socket.write(sent));
  socket.on('error', () => {});
  await new Promise((resolve) => {
    socket.once('data', resolve);
  });
  await new Promise(setImmediate);
  pollCount += 1;
  const closedCount = open.closeLongestIdle({ pollNumber: pollCount, usedBeforeMs: 0, max: 1 });
  socket.destroy();
  server.closeAllConnections();
  server.close();
  return closedCount;
}

// Guards against a request whose first bytes were read together with the request before it, and that is cut off.
test('a connection with a part of a next request is not idle', async () => {
  assert.is(await closedAfter(REQUEST), 1);
  assert.is(await closedAfter(REQUEST + HALF_HEAD), 0);
});

test.run();
