import * as net from 'node:net';

import { clocks } from '@copperlever/runtime';
import * as realTime from '@copperlever/runtime/testing/real-time';
import * as undici from 'undici';
import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as callersApps from '../../testing/callers-app.js';
import type * as calls from '../../types/calls.js';
import * as readDelays from './read-delay.js';

const UPLOAD_PLAYS = Number(process.env.UPLOAD_PLAYS ?? 400);

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

// Guards against a time-out that closes a kept connection on which a whole request lies unread.
test('a kept connection is not closed as idle while a request lies on it unread', async () => {
  const { port, server, close } = await callersApps.startCallersApp();
  server.keepAliveTimeout = 100;
  try {
    const socket = net.connect(port, '127.0.0.1');
    send(socket, '/first');
    await onceAnswered(socket);
    // Node closes it a second after the time that callers are told.
    await realTime.sleep(900);
    const answered = new Promise((resolve) => {
      socket.once('data', () => resolve('answered'));
      socket.once('close', () => resolve('closed'));
      socket.once('error', (error) => resolve(error.message));
    });
    // Timers that have become due at the end of a turn run before the next poll.
    await new Promise(setImmediate);
    send(socket, '/second');
    realTime.block(400);
    assert.is(await answered, 'answered');
    await realTime.sleep(1_500);
    assert.ok(socket.destroyed);
  } finally {
    await close();
  }
});

// Guards against a stop that drops what it can't serve any more, so that a caller may not send it again.
test('what a stop takes no more is refused, and may be sent again at once', async () => {
  const { port, served, close } = await callersApps.startCallersApp({ mayTake: () => false });
  try {
    const answer = await request(port, {});
    assert.is(answer.statusCode, 503);
    assert.is(answer.headers['retry-after'], '0.10');
    assert.is(served.length, 0);
  } finally {
    await close();
  }
});

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
    realTime.block(400);
    await answered;
    await realTime.sleep(50);
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
  await realTime.sleep(200);
  assert.is(loopAges.mayBeStale(), false);
  realTime.block(400);
  assert.is(loopAges.mayBeStale(), true);
  loopAges.stop();
});

// Guards against a pipelined request whose answer breaks off before the answer ahead of it has ended: its connection stayed open.
test('an answer that breaks off behind another one ends its connection once the other is whole', async () => {
  const app = await callersApps.startCallersApp({
    serve: async (call, sink) => {
      if (call.path === '/first') await realTime.sleep(60);
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
    const isClosed = await Promise.race([
      closed.then(() => true),
      realTime.sleep(1_000).then(() => false),
    ]);
    assert.equal([isClosed, received.includes('whole')], [true, true]);
    assert.not(received.includes('0\r\n\r\n'));
    socket.destroy();
  } finally {
    await app.close();
  }
});

function statusesOf(received: string): string[] {
  return [...received.matchAll(/HTTP\/1\.1 (\d+) /g)].map(([, status = '']) => status);
}

// Guards against an answer that announces the close of its connection before one behind it, which runs and is never sent.
test('of pipelined requests on a connection that is to be closed each is answered, and the last answer says so', async () => {
  const app = await callersApps.startCallersApp({
    closesConnections: () => true,
    serve: async (call, sink) => {
      await realTime.sleep(call.path === '/first' ? 60 : 20);
      sink.sendWhole({ status: 200, headers: [], body: Buffer.from('ok'), statedBytes: 2 });
      return { kind: 'answered', status: 200, upstreamId: 'u1' };
    },
  });
  try {
    const paths = ['/first', '/second', '/third'];
    const requests = paths.map((path) => callersApps.requestText(path)).join('');
    const { answer, isClosed } = await exchange(app.port, [requests]);
    assert.equal([statusesOf(answer), app.served.length], [['200', '200', '200'], 3]);
    assert.is(isClosed, true);
    assert.is(answer.match(/connection: close/gi)?.length, 1);
    assert.ok(answer.lastIndexOf('connection: close') > answer.lastIndexOf('HTTP/1.1'));
  } finally {
    await app.close();
  }
});

// Guards against a request that runs although the answer before it has announced that its connection ends.
test('a request behind an answer that has announced the close does not run, and the answer is whole', async () => {
  const app = await callersApps.startCallersApp({
    closesConnections: () => true,
    serve: async (_call, sink) => {
      const body = sink.begin(200, [], null);
      body.write(Buffer.from('first part '));
      await realTime.sleep(60);
      body.write(Buffer.from('last part'));
      body.end();
      return { kind: 'answered', status: 200, upstreamId: 'u1' };
    },
  });
  try {
    const requests = ['/first', '/second'].map((path) => callersApps.requestText(path));
    const { answer, isClosed } = await exchange(app.port, requests, { everyMs: 20 });
    assert.equal([statusesOf(answer), app.served.length], [['200'], 1]);
    assert.ok(answer.endsWith('last part\r\n0\r\n\r\n'));
    assert.equal([isClosed, app.counts.dropped], [true, 1]);
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
  await realTime.sleep(300);
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

type Exchange = { answer: string; isClosed: boolean };

/** Writes the pieces, one each `everyMs`, and reads for a while. */
async function exchange(
  port: number,
  pieces: readonly string[],
  { everyMs = 1, forMs = 150 } = {},
): Promise<Exchange> {
  const socket = net.connect(port, '127.0.0.1');
  const got = { answer: '', isClosed: false };
  socket.on('error', () => {});
  socket.on('data', (data) => {
    got.answer += data.toString();
  });
  socket.once('close', () => {
    got.isClosed = true;
  });
  for (const piece of pieces) {
    socket.write(piece);
    await realTime.sleep(everyMs);
  }
  await realTime.sleep(forMs);
  const { answer, isClosed } = got;
  socket.destroy();
  return { answer, isClosed };
}

function postHead(path: string, headers: Record<string, string>): string {
  return callersApps.requestText(path, headers).replace('GET', 'POST');
}

// Guards against bodies that together take all memory: the gateway is killed, and what it had accepted is lost.
test('a body for which there is no room is refused at once, and those that were accepted are served', async () => {
  let release = () => {};
  const released = new Promise<void>((resolve) => {
    release = resolve;
  });
  const app = await callersApps.startCallersApp({
    bodyBytesMax: 2_500,
    serve: async (_call, sink) => {
      await released;
      sink.sendWhole({ status: 200, headers: [], body: Buffer.from('ok'), statedBytes: 2 });
      return { kind: 'answered', status: 200, upstreamId: 'u1' };
    },
  });
  try {
    const whole = [postHead('/a', { 'content-length': '1000' }), 'x'.repeat(1_000)];
    const accepted = [1, 2].map(() => exchange(app.port, whole, { forMs: 400 }));
    await realTime.sleep(50);
    const [refused] = await Promise.all([exchange(app.port, whole.slice(0, 1))]);
    assert.match(refused.answer, /^HTTP\/1\.1 503 /);
    assert.match(refused.answer, /retry-after: 1\.00/);
    release();
    for (const { answer } of await Promise.all(accepted)) assert.match(answer, /^HTTP\/1\.1 200 /);
    assert.equal([app.served.length, app.bodyBudget.heldBytes()], [2, 0]);
  } finally {
    await app.close();
  }
});

// Guards against reading bodies of requests that their head alone has refused already.
test('a request that its head decides is answered before its body has come', async () => {
  const keyed = await callersApps.startCallersApp({ organisations: [callersApps.ORGANISATION] });
  const starting = await callersApps.startCallersApp({ isConfigured: false });
  const elsewhere = await callersApps.startCallersApp({ route: { pathPrefix: '/here/' } });
  try {
    for (const [app, status] of [
      [keyed, 401],
      [starting, 503],
      [elsewhere, 404],
    ] as const) {
      for (const length of ['1000', '100000']) {
        const { answer } = await exchange(app.port, [postHead('/x', { 'content-length': length })]);
        assert.match(answer, new RegExp(`^HTTP/1\\.1 ${status} `), `${status} ${length}`);
      }
    }
  } finally {
    await Promise.all([keyed, starting, elsewhere].map((app) => app.close()));
  }
});

// Guards against the rest of a refused body that is taken for the next request, and against a new connection for each refusal.
test('a connection goes on after a refusal whose short body was not read', async () => {
  const app = await callersApps.startCallersApp({ route: { pathPrefix: '/here/' } });
  try {
    const refused = postHead('/x', { 'content-length': '1000' });
    const pieces = [refused, 'x'.repeat(400), 'x'.repeat(600), callersApps.requestText('/here/1')];
    const { answer, isClosed } = await exchange(app.port, pieces, { everyMs: 20 });
    const statuses = [...answer.matchAll(/HTTP\/1\.1 (\d+) /g)].map(([, status]) => status);
    assert.equal([statuses, isClosed, app.served.length], [['404', '200'], false, 1]);
  } finally {
    await app.close();
  }
});

function never<Value>(): Promise<Value> {
  return new Promise(() => {});
}

const WAITS: Record<string, { options: callersApps.AppOptions; pieces: readonly string[] }> = {
  'for its body': {
    options: {},
    pieces: [postHead('/x', { 'content-length': '1000' }), 'part'],
  },
  'for its start': {
    options: { requestQueue: { waitForStart: never } },
    pieces: [callersApps.requestText('/x')],
  },
  'for its quota': {
    options: { quotas: { ...callersApps.createQuotas([]), admit: never } },
    pieces: [callersApps.requestText('/x')],
  },
};

// Guards against a stop that cuts off requests that it has read and could still refuse.
for (const [what, { options, pieces }] of Object.entries(WAITS)) {
  test(`a request that waits ${what} at the end of a stop is refused`, async () => {
    const app = await callersApps.startCallersApp(options);
    try {
      const exchanged = exchange(app.port, pieces);
      await realTime.sleep(50);
      app.unsent.refuseAll();
      const { answer } = await exchanged;
      assert.match(answer, /^HTTP\/1\.1 503 /);
      assert.match(answer, /retry-after: 0\.10/);
      assert.equal([app.denied, app.served, app.bodyBudget.heldBytes()], [['stopping'], [], 0]);
    } finally {
      await app.close();
    }
  });
}

// Guards against 413, after which no caller comes back, from a gateway that doesn't know yet what is allowed.
test('a long body before the first configuration is told when to come back', async () => {
  const app = await callersApps.startCallersApp({ isConfigured: false });
  try {
    const pieces = [postHead('/x', { 'content-length': '70000' }), 'x'.repeat(70_000)];
    const { answer } = await exchange(app.port, pieces);
    assert.match(answer, /^HTTP\/1\.1 503 /);
    assert.match(answer, /retry-after/);
  } finally {
    await app.close();
  }
});

// Guards against a reset that overtakes the refusal of a body that is still being sent.
test('a caller that is still sending gets its refusal, and then the end of the connection', async () => {
  const app = await callersApps.startCallersApp({ bodyBytesMax: 100 });
  try {
    const pieces = [postHead('/x', { 'content-length': '100000' })];
    for (let count = 0; count < 100; count += 1) pieces.push('x'.repeat(1_000));
    const { answer, isClosed } = await exchange(app.port, pieces, { forMs: 300 });
    assert.match(answer, /^HTTP\/1\.1 413 /);
    assert.ok(isClosed);
  } finally {
    await app.close();
  }
});

const SLOW_CALLERS = 60;

// Guards against a reset that overtakes the refusal of a short body which is still being sent, where the connection is closed.
test('callers that still send short bodies to a gateway that stops get their refusals', async () => {
  const app = await callersApps.startCallersApp({
    mayTake: () => false,
    closesConnections: () => true,
  });
  try {
    const pieces = [postHead('/x', { 'content-length': '60000' })];
    for (let count = 0; count < 30; count += 1) pieces.push('x'.repeat(2_000));
    const exchanges = await Promise.all(
      Array.from({ length: SLOW_CALLERS }, () => exchange(app.port, pieces, { everyMs: 2 })),
    );
    const refused = exchanges.filter(({ answer }) => answer.startsWith('HTTP/1.1 503 '));
    assert.is(refused.length, SLOW_CALLERS);
    assert.ok(exchanges.every(({ isClosed }) => isClosed));
  } finally {
    await app.close();
  }
});

// Guards against callers that hold room for bodies that never come to their end.
test('a body that comes too slowly is given up at its deadline, and not run', async () => {
  const app = await callersApps.startCallersApp();
  try {
    const head = postHead('/x', { 'content-length': '1000', 't-wait': '100' });
    const pieces = [head, ...Array.from({ length: 20 }, () => 'x')];
    const { answer, isClosed } = await exchange(app.port, pieces, { everyMs: 20 });
    assert.match(answer, /^HTTP\/1\.1 408 /);
    assert.ok(isClosed);
    assert.equal([app.served, app.bodyBudget.heldBytes()], [[], 0]);
  } finally {
    await app.close();
  }
});

const uploads = fc.record({
  lengthBytes: fc.integer({ min: 0, max: 1_200 }),
  isChunked: fc.boolean(),
  pieceCount: fc.integer({ min: 1, max: 6 }),
  /** It leaves after so many pieces. */
  leavesAfter: fc.integer({ min: 0, max: 12 }),
  everyMs: fc.constantFrom(0, 1, 30),
  waitMs: fc.constantFrom('50', '1000'),
  pauseMs: fc.integer({ min: 0, max: 10 }),
});

// Guards against room that is taken twice or never given back, however bodies come and end.
test('the bodies that are held never exceed the bound, and none is held once all have ended', async () => {
  const maxBytes = 5_000;
  const app = await callersApps.startCallersApp({
    bodyBytesMax: maxBytes,
    serve: async (call, sink) => {
      await realTime.sleep(call.body.length % 20);
      sink.sendWhole({ status: 200, headers: [], body: Buffer.from('ok'), statedBytes: 2 });
      return { kind: 'answered', status: 200, upstreamId: 'u1' };
    },
  });
  let mostBytes = 0;
  const statuses = new Map<string, number>();
  const sampler = setInterval(() => {
    mostBytes = Math.max(mostBytes, app.bodyBudget.heldBytes());
  }, 1);
  try {
    const drawn = fc.sample(uploads, { numRuns: UPLOAD_PLAYS, seed: 68 });
    const played: Promise<void>[] = [];
    for (const one of drawn) {
      const { isChunked, lengthBytes, pieceCount } = one;
      const framing: Record<string, string> = isChunked
        ? { 'transfer-encoding': 'chunked' }
        : { 'content-length': String(lengthBytes) };
      const sizeBytes = Math.ceil(lengthBytes / pieceCount);
      const pieces = Array.from({ length: pieceCount }, (_, index) => {
        const bytes = Math.max(0, Math.min(sizeBytes, lengthBytes - index * sizeBytes));
        if (!isChunked) return 'x'.repeat(bytes);
        return bytes === 0 ? '' : `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
      });
      if (isChunked) pieces.push('0\r\n\r\n');
      const head = postHead('/x', { ...framing, 't-wait': one.waitMs });
      const sent = [head, ...pieces].slice(0, 1 + one.leavesAfter);
      const forMs = one.leavesAfter > pieces.length ? 150 : 0;
      played.push(
        exchange(app.port, sent, { everyMs: one.everyMs, forMs }).then(({ answer }) => {
          const status = answer.slice(9, 12) || 'none';
          statuses.set(status, (statuses.get(status) ?? 0) + 1);
        }),
      );
      await realTime.sleep(one.pauseMs);
    }
    await Promise.all(played);
    await realTime.sleep(50);
    const counted = [...statuses].sort().map((entry) => entry.join(': '));
    process.stdout.write(
      `${drawn.length} bodies, at most ${mostBytes} bytes: ${counted.join(', ')}\n`,
    );
    assert.ok(mostBytes > maxBytes / 2 && mostBytes <= maxBytes, `${mostBytes}`);
    assert.is(app.bodyBudget.heldBytes(), 0);
    for (const status of ['200', '503', '408', '413']) assert.ok(statuses.has(status), status);
  } finally {
    clearInterval(sampler);
    await app.close();
  }
});

test.run();
