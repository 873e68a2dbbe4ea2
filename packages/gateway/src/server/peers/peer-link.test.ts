import * as http2 from 'node:http2';
import type * as net from 'node:net';

import { gatewayPeer } from '@copperlever/protocol';
import { clocks } from '@copperlever/runtime';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as peerLinks from './peer-link.js';

const test = suite('calls to peers');

const WAIT_MS = 2_000;
const PREFIX_BYTES = 5;

/** One message as it is framed in a call. */
function framed(message: Uint8Array): Buffer {
  const prefix = Buffer.alloc(PREFIX_BYTES);
  prefix.writeUInt32BE(message.length, 1);
  return Buffer.concat([prefix, message]);
}

async function startPeer(answer: (stream: http2.ServerHttp2Stream) => void) {
  const server = http2.createServer();
  const sessions = new Set<http2.ServerHttp2Session>();
  server.on('session', (session) => sessions.add(session));
  server.on('stream', (stream) => {
    stream.on('error', () => {});
    stream.resume();
    stream.once('end', () => answer(stream));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    close: () => {
      sessions.forEach((session) => session.destroy());
      server.close();
    },
  };
}

// Guards against a turn, a permit or a retry that counts as given since the peer ended while it answered.
test('a call that its peer cuts off, in whichever part of the answer, counts as unanswered', async () => {
  const given = gatewayPeer.TakeRetryReply.encode(
    gatewayPeer.TakeRetryReply.fromPartial({}),
  ).finish();
  const HEAD = { ':status': 200, 'content-type': 'application/grpc+proto' };
  const answers: ((stream: http2.ServerHttp2Stream) => void)[] = [
    (stream) => stream.session?.destroy(),
    (stream) => {
      stream.respond(HEAD);
      setImmediate(() => stream.session?.destroy());
    },
    (stream) => {
      stream.respond(HEAD);
      stream.write(framed(Buffer.alloc(20)).subarray(0, 10), () => stream.session?.destroy());
    },
    (stream) => {
      stream.respond(HEAD);
      stream.write(framed(given), () => stream.session?.destroy());
    },
    // Regularly ended, without the status that ends a call.
    (stream) => {
      stream.respond(HEAD);
      stream.end(framed(given));
    },
    (stream) => {
      stream.respond(HEAD);
      stream.end();
    },
  ];
  const clock = clocks.createSystemClock();
  const link = peerLinks.createPeerLink(clock);
  for (const [index, answer] of answers.entries()) {
    const peer = await startPeer(answer);
    const request = gatewayPeer.TakeRetryRequest.fromPartial({});
    const reply = await link.takeRetry(peer.address, request, clock.nowMs() + WAIT_MS);
    assert.equal(reply.err ? reply.val.kind : 'answered', 'unreachable', `answer ${index}`);
    peer.close();
  }
  link.close();
});

// Guards against a gateway that ends because a peer told it of another one without an address.
test('a peer without an address that can be used counts as unreachable', async () => {
  const clock = clocks.createSystemClock();
  const link = peerLinks.createPeerLink(clock);
  const request = gatewayPeer.TakeRetryRequest.fromPartial({});
  for (const address of ['', '\n', 'http://a/b', '1.2.3.4:70000']) {
    const taken = await link.takeRetry(address, request, clock.nowMs() + WAIT_MS);
    assert.ok(taken.err, JSON.stringify(address));
    assert.is(taken.val.kind, 'unreachable');
  }
  link.close();
});

test.run();
