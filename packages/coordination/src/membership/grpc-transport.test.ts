import * as grpc from '@grpc/grpc-js';
import { clocks } from '@copperlever/runtime';
import * as endlessPeers from '@copperlever/runtime/testing/endless-peer';
import * as fakeClock from '@copperlever/runtime/testing/fake-clock';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import * as grpcTransport from './grpc-transport.js';
import type * as types from './types.js';

const HANDLERS: types.PeerHandlers = {
  probe: (message) => ({ ...message, fromId: 'server' }),
  probeIndirectly: async () => ({ answered: true }),
  listMembers: () => ({ members: [], configVersion: 3, notices: [], fromId: 'server' }),
  fetchConfig: () => ({ version: 0, head: Buffer.alloc(0), parts: [] }),
};
const MESSAGE = {
  fromId: 'client',
  updates: [],
  configVersion: 1,
  notices: [],
  viewHash: 9,
  knownIncarnation: 0,
  knownRevision: 0,
};

async function withServer(use: (address: string) => Promise<void>): Promise<void> {
  const server = new grpc.Server();
  grpcTransport.addPeerService(server, HANDLERS);
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync('127.0.0.1:0', grpc.ServerCredentials.createInsecure(), (error, bound) =>
      error === null ? resolve(bound) : reject(error),
    );
  });
  await use(`127.0.0.1:${port}`);
  server.forceShutdown();
}

test('a channel to a peer is closed when idle', async () => {
  await withServer(async (address) => {
    const clock = fakeClock.createFakeClock();
    const transport = grpcTransport.createGrpcTransport({ clock, idleMs: 1_000 });
    const reply = await transport.probe(address, MESSAGE, 60_000);
    assert.equal(reply.unwrap(), { ...MESSAGE, fromId: 'server' });
    const listed = await transport.listMembers(address, { bucketHashes: [1] }, 60_000);
    assert.is(listed.unwrap().configVersion, 3);
    assert.is(transport.openChannelCount(), 1);
    await clock.advance(1_000);
    assert.is(transport.openChannelCount(), 0);
    transport.close();
  });
});

test('a peer that refuses the connection leaves no open channel', async () => {
  const clock = clocks.createSystemClock();
  const transport = grpcTransport.createGrpcTransport({ clock });
  let closedAddress = '';
  await withServer(async (address) => {
    closedAddress = address;
  });
  const reply = await transport.probe(closedAddress, MESSAGE, clock.nowMs() + 30_000);
  assert.is(reply.err && reply.val.kind, 'unreachable');
  assert.is(transport.openChannelCount(), 0);
});

const STATED_BYTES = 2 ** 31;
const SENT_BYTES_MAX = 16 * 1024 * 1024;
const WAIT_MS = 10_000;

// Guards against a peer's message without end that fills the process which asked.
test('an answer of a peer that is too long is given up, and named', async () => {
  const endless = await endlessPeers.startEndlessPeer(STATED_BYTES);
  const clock = clocks.createSystemClock();
  const transport = grpcTransport.createGrpcTransport({ clock });
  const reply = await transport.probe(endless.address, MESSAGE, clock.nowMs() + WAIT_MS);
  assert.is(reply.err && reply.val.kind, 'unreachable');
  assert.match(JSON.stringify(reply.val), new RegExp(`larger than max.*${STATED_BYTES}`));
  assert.ok(endless.state.sentBytes > 0 && endless.state.sentBytes <= SENT_BYTES_MAX);
  assert.is(transport.openChannelCount(), 0);
  transport.close();
  endless.close();
});

// Guards against a huge message of a peer that the process which is asked reads whole.
test('a message to a peer that is too long is refused, and named', async () => {
  await withServer(async (address) => {
    const clock = clocks.createSystemClock();
    const transport = grpcTransport.createGrpcTransport({ clock });
    const huge = { ...MESSAGE, fromId: 'x'.repeat(5 * 1024 * 1024) };
    const reply = await transport.probe(address, huge, clock.nowMs() + WAIT_MS);
    assert.match(JSON.stringify(reply.val), /larger than max/);
    transport.close();
  });
});

test.run();
