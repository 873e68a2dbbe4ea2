import * as http from 'node:http';
import type * as net from 'node:net';

import { clocks, randoms } from '@copperlever/runtime';
import * as fakeClock from '@copperlever/runtime/testing/fake-clock';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import * as faultyStore from './faulty-store.js';
import * as httpStore from './http-store.js';
import * as memoryStore from './memory-store.js';
import * as ownWrites from './own-writes.js';
import * as resilientStore from './resilient-store.js';
import type * as types from './types.js';

const ABSENT: types.WriteCondition = { kind: 'absent' };

function createParts() {
  const clock = fakeClock.createFakeClock();
  const memory = memoryStore.createMemoryStore(clock);
  const faulty = faultyStore.createFaultyStore(memory, clock);
  return { clock, memory, faulty, random: randoms.createRandom(1) };
}

test('a conditional write succeeds only at its version', async () => {
  const { memory } = createParts();
  const first = (await memory.put('a', Buffer.from('1'), ABSENT, 10)).unwrap();
  assert.is((await memory.put('a', Buffer.from('2'), ABSENT, 10)).err, true);
  const second = await memory.put('a', Buffer.from('2'), { kind: 'version', version: first }, 10);
  assert.ok(second.unwrap() > first);
  const late = await memory.put('a', Buffer.from('3'), { kind: 'version', version: first }, 10);
  assert.equal(late.val, { kind: 'conflict', key: 'a' });
});

test('a key that was removed and created again never repeats a version', async () => {
  const { memory } = createParts();
  const first = (await memory.put('a', Buffer.from('1'), ABSENT, 10)).unwrap();
  await memory.remove('a', 10);
  assert.ok((await memory.put('a', Buffer.from('1'), ABSENT, 10)).unwrap() > first);
});

test('a watch reports a change, and ends empty at its deadline', async () => {
  const { clock, memory } = createParts();
  const changed = memory.watch('a/', 0, 1_000);
  await memory.put('b/1', Buffer.from('1'), ABSENT, 10);
  await memory.put('a/1', Buffer.from('1'), ABSENT, 10);
  const reply = (await changed).unwrap();
  assert.equal(reply.changedKeys, ['a/1']);
  const empty = memory.watch('a/', reply.revision, 1_000);
  await clock.advance(1_000);
  assert.equal((await empty).unwrap().changedKeys, []);
});

test('an outage ends before the deadline: the call succeeds after few retries', async () => {
  // The API names a time for the next call. Until then nothing is sent, and afterwards retries are spread by jitter.
  const { clock, faulty, random } = createParts();
  const store = resilientStore.createResilientStore(faulty, {
    clock,
    random,
    callsPerSecond: 100,
    burstCalls: 10,
  });
  faulty.setFault({ kind: 'outage', retryAfterMs: 500 });
  const pending = store.put('a', Buffer.from('1'), ABSENT, 10_000);
  await clock.advance(2_000);
  assert.ok(faulty.callCount() <= 4, `${faulty.callCount()} calls`);
  faulty.setFault({ kind: 'none' });
  await clock.advance(2_000);
  assert.ok((await pending).ok);
});

test('a burst of calls stays within the budget', async () => {
  const { clock, faulty, random } = createParts();
  const store = resilientStore.createResilientStore(faulty, {
    clock,
    random,
    callsPerSecond: 10,
    burstCalls: 5,
  });
  const pending = Array.from({ length: 100 }, () => store.get('a', 2_000));
  await clock.advance(2_000);
  const answers = await Promise.all(pending);
  assert.ok(faulty.callCount() <= 25, `${faulty.callCount()} calls`);
  assert.is(answers.filter((answer) => answer.ok).length, faulty.callCount());
});

test('of two writers whose answers are lost, exactly one learns that its write took effect', async () => {
  // The store accepts the first write, but both answers are lost. Each writer retries until it reads the stored object,
  // and only the writer whose nonce is stored may report success.
  const { clock, faulty, random } = createParts();
  const tools = { store: faulty, clock, random };
  faulty.setFault({ kind: 'answers-lost', count: 2 });
  const writes = ['x', 'y'].map((nonce) =>
    ownWrites.writeOwn(
      tools,
      {
        key: 'a',
        value: Buffer.from(nonce),
        condition: ABSENT,
        isOwn: (stored) => stored.toString() === nonce,
      },
      10_000,
    ),
  );
  await clock.advance(10_000);
  const [first, second] = await Promise.all(writes);
  assert.is(first?.ok, true);
  assert.is(second?.err, true);
});

/** Runs `use` with a server that breaks the connection of each PUT and never answers a GET. */
async function withBrokenServer(use: (baseUrl: string) => Promise<void>): Promise<void> {
  const server = http.createServer((request) => {
    if (request.method === 'PUT') request.socket.destroy();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  await use(`http://127.0.0.1:${port}`);
  server.closeAllConnections();
  await new Promise((resolve) => {
    server.close(resolve);
  });
}

test('over HTTP a broken write has an unknown outcome, and an unanswered read is unavailable', async () => {
  await withBrokenServer(async (baseUrl) => {
    const clock = clocks.createSystemClock();
    const store = httpStore.createHttpObjectStore({ baseUrl, clock });
    const written = await store.put('a', Buffer.from('1'), ABSENT, clock.nowMs() + 60_000);
    const read = await store.get('a', clock.nowMs() + 20);
    assert.is(written.err && written.val.kind, 'outcome-unknown');
    assert.is(read.err && read.val.kind, 'unavailable');
    await store.close();
  });
});

test('each segment of a key is encoded separately', () => {
  assert.is(httpStore.objectPath('claims/a b/ü'), '/objects/claims/a%20b/%C3%BC');
});

test.run();
