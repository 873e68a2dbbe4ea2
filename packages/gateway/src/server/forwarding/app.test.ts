import * as net from 'node:net';

import { clocks } from '@copperlever/runtime';
import * as undici from 'undici';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as callersApps from '../../testing/callers-app.js';
import type * as calls from '../../types/calls.js';
import * as readDelays from './read-delay.js';

const test = suite('callers app');

async function request(
  port: number,
  headers: Record<string, string>,
): Promise<undici.Dispatcher.ResponseData> {
  const answer = await undici.request(`http://127.0.0.1:${port}/x`, {
    headers: { host: 'a.example', 't-id': 'r1', ...headers },
  });
  await answer.body.dump();
  return answer;
}

function send(socket: net.Socket, path: string): void {
  socket.write(callersApps.requestText(path));
}

function onceAnswered(socket: net.Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.once('data', () => resolve());
  });
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

/** Blocks the event loop, as when the process gets no processor time. */
function block(durationMs: number): void {
  const untilMs = Date.now() + durationMs;
  while (Date.now() < untilMs);
}

// A gateway that has just started reads a request half a second late, when its caller has already left. The close is read one
// turn after the request, so a request that is forwarded at once would run for a caller that is gone.
test('a request whose caller left while it was buffered is not served', async () => {
  const { port, served, close } = await callersApps.startCallersApp();
  try {
    const socket = net.connect(port, '127.0.0.1');
    send(socket, '/first');
    await onceAnswered(socket);
    const staying = net.connect(port, '127.0.0.1');
    send(staying, '/second');
    await onceAnswered(staying);
    send(socket, '/left');
    socket.destroy();
    const answered = onceAnswered(staying);
    send(staying, '/stays');
    block(400);
    await answered;
    await sleep(50);
    assert.equal(
      served.map(({ path }) => path),
      ['/first', '/second', '/stays'],
    );
    staying.destroy();
  } finally {
    await close();
  }
});

// A gateway that reads in time must not delay its time-outs for upstreams, and one that has stalled must.
test('data counts as stale only after a stall of the event loop', async () => {
  const loopAges = readDelays.createReadDelay(clocks.createSystemClock());
  await sleep(200);
  assert.is(loopAges.mayBeStale(), false);
  block(400);
  assert.is(loopAges.mayBeStale(), true);
  loopAges.stop();
});

// Guards against a pipelined request whose answer breaks off before the answer ahead of it has ended: its connection stayed open.
test('an answer that breaks off behind another one ends its connection once the other is whole', async () => {
  const app = await callersApps.startCallersApp({
    serve: async (call, sink) => {
      if (call.path === '/first') await sleep(60);
      if (call.path === '/second') {
        sink.begin(200, [], null).write(Buffer.from('part'));
        return { kind: 'cut', cause: 'upstream-lost', upstreamId: 'u1' };
      }
      const body = Buffer.from('whole');
      sink.sendWhole({ status: 200, headers: [], body, statedBytes: body.length });
      return { kind: 'answered', status: 200, upstreamId: 'u1' };
    },
  });
  try {
    const socket = net.connect(app.port, '127.0.0.1');
    let received = '';
    socket.on('data', (data) => {
      received += data.toString();
    });
    const closed = new Promise((resolve) => {
      socket.once('close', resolve);
    });
    socket.on('error', () => {});
    socket.write(callersApps.requestText('/first') + callersApps.requestText('/second'));
    const isClosed = await Promise.race([closed.then(() => true), sleep(1_000).then(() => false)]);
    assert.equal([isClosed, received.includes('whole')], [true, true]);
    assert.not(received.includes('0\r\n\r\n'));
    socket.destroy();
  } finally {
    await app.close();
  }
});

// Guards against a body that never ends, and that is read on after its request was refused.
test('a body that is too long is refused, and read no further', async () => {
  const app = await callersApps.startCallersApp();
  const socket = net.connect(app.port, '127.0.0.1');
  socket.on('error', () => {});
  let received = '';
  socket.on('data', (data) => {
    received += data.toString();
  });
  let isClosed = false;
  socket.once('close', () => {
    isClosed = true;
  });
  const headers = { 'transfer-encoding': 'chunked' };
  socket.write(callersApps.requestText('/endless', headers).replace('GET', 'POST'));
  const piece = `3e8\r\n${'x'.repeat(1_000)}\r\n`;
  const timer = setInterval(() => socket.write(piece), 1);
  await sleep(300);
  clearInterval(timer);
  assert.match(received, /^HTTP\/1\.1 413 /);
  assert.ok(isClosed);
  assert.equal(app.served, []);
  await app.close();
});

// The type of a body concerns only the upstream. A request with a missing or malformed type must not be refused here.
test('bodies of any type, or without one, are forwarded', async () => {
  const app = await callersApps.startCallersApp();
  try {
    const types: Record<string, string>[] = [
      {},
      { 'content-type': 'odd' },
      { 'content-type': 'a/b' },
    ];
    for (const headers of types) {
      const answer = await undici.request(`http://127.0.0.1:${app.port}/x`, {
        method: 'POST',
        headers: { host: 'a.example', 't-id': 'r1', ...headers },
        body: 'body',
      });
      await answer.body.dump();
      assert.is(answer.statusCode, 200, JSON.stringify(headers));
    }
    assert.equal(
      app.servedCalls.map(({ body }) => body.toString()),
      ['body', 'body', 'body'],
    );
  } finally {
    await app.close();
  }
});

// Requests with a missing or revoked key are refused and reach no upstream, where they would run without an organisation.
// Keys are not forwarded either, since anyone who can read requests at the upstream would learn them.
test('only keys of the configuration are accepted, and keys are not forwarded', async () => {
  const app = await callersApps.startCallersApp({
    organisations: [callersApps.ORGANISATION],
    quotas: callersApps.createQuotas([callersApps.ORGANISATION]),
  });
  try {
    assert.is((await request(app.port, { 't-key': 'taken-away' })).statusCode, 401);
    assert.is((await request(app.port, {})).statusCode, 401);
    assert.equal(app.served, []);
    const known = await request(app.port, { 't-key': 'k2', 't-organisation': 'someone-else' });
    assert.is(known.statusCode, 200);
    const [call] = app.servedCalls;
    assert.is(call?.organisation, 'o1');
    assert.is(call?.priority, 3);
    const names = call?.headers.map(([name]) => name.toLowerCase()) ?? [];
    assert.not(names.includes('t-key'));
    assert.not(names.includes('t-organisation'));
  } finally {
    await app.close();
  }
});

test('a public route requires no key', async () => {
  const app = await callersApps.startCallersApp({
    organisations: [callersApps.ORGANISATION],
    isPublic: true,
  });
  try {
    assert.is((await request(app.port, {})).statusCode, 200);
    assert.is(app.servedCalls[0]?.organisation, null);
  } finally {
    await app.close();
  }
});

test('an organisation beyond its quota gets a retry time, others are served', async () => {
  const other = { ...callersApps.ORGANISATION, name: 'o2', apiKeys: ['k3'] };
  const organisations = [callersApps.ORGANISATION, other];
  const app = await callersApps.startCallersApp({
    organisations,
    quotas: callersApps.createQuotas(organisations),
  });
  try {
    const statuses = [];
    for (let count = 0; count < 10; count += 1) {
      const answer = await request(app.port, { 't-key': 'k1', 't-tokens': '30' });
      statuses.push(answer.statusCode);
      if (answer.statusCode === 429) assert.ok(Number(answer.headers['retry-after']) > 0);
    }
    assert.equal([...new Set(statuses)], [200, 429]);
    assert.is((await request(app.port, { 't-key': 'k3', 't-tokens': '30' })).statusCode, 200);
  } finally {
    await app.close();
  }
});

// Requests that are refused because every upstream is full have not run, and must not use up their organisation's quota.
test('a request that did not run does not count against the quota', async () => {
  const ending: calls.Ending = { kind: 'not-run', cause: 'overloaded', retryAfterMs: 100 };
  const quotas = callersApps.createQuotas([callersApps.ORGANISATION]);
  const app = await callersApps.startCallersApp({
    organisations: [callersApps.ORGANISATION],
    ending,
    quotas,
  });
  try {
    for (let count = 0; count < 10; count += 1) {
      const answer = await request(app.port, { 't-key': 'k1', 't-tokens': '30' });
      assert.is(answer.statusCode, 503);
    }
  } finally {
    await app.close();
  }
});

test.run();
