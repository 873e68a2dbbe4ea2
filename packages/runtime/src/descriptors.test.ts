import * as diagnosticsChannel from 'node:diagnostics_channel';
import * as events from 'node:events';
import * as net from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as descriptors from './descriptors.js';
import * as openConnections from './open-connections.js';
import * as fakeClocks from './testing/fake-clock.js';

const test = suite('descriptors');

function startWatch() {
  const state = { code: '' };
  const lines: string[] = [];
  const clock = fakeClocks.createFakeClock();
  const watch = descriptors.watchDescriptors({
    clock,
    onExhausted: () => lines.push('exhausted'),
    onAvailable: (exhaustedMs) => lines.push(`available after ${exhaustedMs}`),
    openFile: () => {
      if (state.code !== '') throw Object.assign(new Error(state.code), { code: state.code });
    },
  });
  return { clock, state, lines, watch };
}

// Guards against a bound from the hard limit, or none where one is set.
test('the soft limit counts', () => {
  const head = 'Limit                     Soft Limit           Hard Limit           Units\n';
  const line = (soft: string) => `${head}Max open files            ${soft}   1048576   files\n`;
  assert.is(descriptors.parseLimit(line('4100')), 4_100);
  assert.is(descriptors.parseLimit(line('unlimited')), Infinity);
  assert.is(descriptors.parseLimit(head), null);
});

// Guards against lost connections of which nothing tells: one line at the begin and one at the end, whatever the number of looks.
test('a lack of descriptors is counted and told once', async () => {
  const { clock, state, lines, watch } = startWatch();
  watch.look();
  state.code = 'EMFILE';
  watch.look();
  await clock.advance(300);
  watch.look();
  assert.is(watch.isExhausted(), true);
  state.code = 'EACCES';
  watch.look();
  assert.is(watch.isExhausted(), false);
  assert.is(watch.exhaustedCount(), 2);
  assert.equal(lines, ['exhausted', 'available after 300']);
  watch.stop();
});

// Guards against a daemon that cannot connect anywhere without a word of why.
test('own connections that fail for want of a descriptor are counted', () => {
  const { watch } = startWatch();
  const errors = ['EMFILE', 'ECONNREFUSED'].map((code) => {
    const socket = new net.Socket();
    socket.on('error', () => {});
    diagnosticsChannel.channel('net.client.socket').publish({ socket });
    return () => socket.emit('error', Object.assign(new Error(code), { code }));
  });
  errors.forEach((emit) => emit());
  assert.is(watch.failedConnectCount(), 1);
  watch.stop();
});

// Guards against a stop that closes its listener over connections which no descriptor was left to accept.
test('connections that cannot be accepted may wait', async () => {
  const { clock, state, watch } = startWatch();
  const server = new events.EventEmitter() as never;
  const loop = { pollCount: () => 9 };
  const open = openConnections.trackConnections(server, loop, clock, watch.look);
  assert.is(open.mayWait(8), false);
  state.code = 'ENFILE';
  assert.is(open.mayWait(8), true);
  watch.stop();
});

test.run();
