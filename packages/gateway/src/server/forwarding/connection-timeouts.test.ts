import * as net from 'node:net';

import * as realTime from '@copperlever/runtime/testing/real-time';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as callersApps from '../../testing/callers-app.js';

const test = suite('what lies unread when a connection is closed');

/** Node looks for late heads once in this time after it has begun to listen. */
const HEADER_CHECK_MS = 30_000;
/** The timer's start is known to some milliseconds. */
const BEFORE_CHECK_MS = 150;

// Guards against a time-out for heads that closes a new connection on which a whole request lies unread.
test('a new connection is not refused for a late head while a whole request lies on it unread', async () => {
  const { port, server, close } = await callersApps.startCallersApp();
  const listeningMs = performance.now();
  server.headersTimeout = 5_000;
  try {
    await realTime.sleep(HEADER_CHECK_MS - 6_000);
    // As a load balancer does, the caller opens its connection some time before its first request.
    const socket = net.connect(port, '127.0.0.1');
    const ended = new Promise<string>((resolve) => {
      socket.once('data', (chunk: Buffer) => resolve(chunk.toString().slice(0, 12)));
      socket.once('close', () => resolve('closed'));
      socket.once('error', (error) => resolve(error.message));
    });
    await realTime.sleep(HEADER_CHECK_MS - BEFORE_CHECK_MS - (performance.now() - listeningMs));
    await new Promise(setImmediate);
    socket.write(callersApps.requestText('/first'));
    realTime.block(400);
    assert.is(await ended, 'HTTP/1.1 200');
    socket.destroy();
  } finally {
    await close();
  }
});

test.run();
