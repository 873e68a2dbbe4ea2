import * as timers from 'node:timers/promises';

import { agent } from '@copperlever/protocol';
import { clocks } from '@copperlever/runtime';
import * as endlessPeers from '@copperlever/runtime/testing/endless-peer';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as grpcLinks from './grpc-link.js';

const test = suite('calls to agents over gRPC');

const SETTLE_MS = 200;
const STATED_BYTES = 2 ** 31;
const SENT_BYTES_MAX = 16 * 1024 * 1024;

// Guards against a frame without end that fills an entry.
test('a frame that is too long is given up, and named', async () => {
  const peer = await endlessPeers.startEndlessPeer(STATED_BYTES);
  const link = grpcLinks.createGrpcLink(clocks.createSystemClock());
  const target = { agentId: 'a', incarnation: 1, address: peer.address };
  const request = agent.DispatchRequest.fromPartial({ dispatchId: 'r/1' });
  const details: string[] = [];
  for await (const part of link.dispatch(target, request, new AbortController().signal)) {
    details.push(part.kind === 'lost' ? part.detail : part.kind);
  }
  assert.is(details.length, 1);
  assert.match(details[0] ?? '', new RegExp(`larger than max.*${STATED_BYTES}`));
  assert.ok(peer.state.sentBytes > 0 && peer.state.sentBytes <= SENT_BYTES_MAX);
  // The other end hears of it a little later.
  await timers.setTimeout(SETTLE_MS);
  assert.is(peer.state.openCount, 0);
  link.close();
  peer.close();
});

test.run();
