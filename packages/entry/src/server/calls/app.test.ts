import * as net from 'node:net';
import * as streamConsumers from 'node:stream/consumers';

import { longestTimes } from '@copperlever/decisions';
import { schema } from '@copperlever/configuration';
import { logs, metrics } from '@copperlever/runtime';
import * as stopTimes from '@copperlever/runtime/stop-times';
import * as testHolds from '@copperlever/runtime/testing/daemon-holds';
import * as fakeClock from '@copperlever/runtime/testing/fake-clock';
import type * as fastify from 'fastify';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as calls from '../../types/calls.js';
import * as openCalls from '../requests/open-calls.js';
import * as plannedStops from '../requests/planned-stop.js';
import type * as serving from '../requests/serve.js';
import * as app from './app.js';

const test = suite('calls');
const MAX_BODY_BYTES = 500;

const document = schema.documentSchema.parse({
  upstreams: {
    'jury-1': {
      kind: 'engine',
      pool: 'jury',
      failureDomain: 'd',
      region: 'r',
      acceleratorCount: 1,
      memoryBytes: 100,
      slotCount: 1,
      checksFencing: true,
    },
  },
  models: { draws: { version: 'v1', sizeBytes: 1, pools: ['jury'] } },
  services: {
    proofs: {
      pool: 'jury',
      nonIdempotentRoutes: [{ method: 'POST', pathPrefix: '/submissions' }],
    },
  },
});

const answering: serving.Serve = async (_call, sink) => {
  sink.head(200, [{ name: 'content-type', value: 'text/plain' }]);
  await sink.chunk(Buffer.from('lane 4'));
  return { kind: 'answered', status: 200, replayed: false };
};

function createApp(serve = answering, memoryMb?: number) {
  const clock = fakeClock.createFakeClock();
  const stop = plannedStops.createPlannedStop(clock, longestTimes.createLongestTimes());
  const served: calls.Call[] = [];
  const events: string[] = [];
  const state = { isStopping: false };
  const holds = testHolds.createTestHolds(memoryMb);
  const server = app.createCallerApp(
    {
      clock,
      log: logs.createSilentLogger(),
      metrics: metrics.createSilentMetrics(),
      journal: {
        record: (_requestId, event) => events.push(event),
        flush: async () => {},
        droppedCount: () => 0,
        start: () => {},
        stop: async () => {},
      },
      serve: (call, sink, signal) => {
        served.push(call);
        return serve(call, sink, signal);
      },
      configuration: () => ({ version: 3, document }),
      nextRequestId: () => 'r-1',
      openCalls: { count: 0 },
      holds,
      calls: openCalls.createOpenCalls(clock, logs.createSilentLogger()),
      stop,
    },
    { maxBodyBytes: MAX_BODY_BYTES, isStopping: () => state.isStopping },
  );
  return { server, served, events, state, clock, holds, stop };
}

const chat = { model: 'draws', messages: [{ role: 'user', content: 'draw' }] };

function post(url: string, payload: unknown, headers: Record<string, string> = {}) {
  const body = typeof payload === 'string' ? payload : JSON.stringify(payload);
  const allHeaders = { 'content-type': 'application/json', ...headers };
  return { method: 'POST', url, payload: body, headers: allHeaders } as const;
}

const CHAT = '/v1/chat/completions';

const badInputs: [string, fastify.InjectOptions, number, string][] = [
  ['malformed JSON', post(CHAT, '{'), 400, 'malformed-request'],
  ['no messages', post(CHAT, { model: 'draws' }), 400, 'malformed-request'],
  ['an unknown model', post(CHAT, { ...chat, model: 'none' }), 404, 'unknown-model'],
  ['a name of the prototype', post(CHAT, { ...chat, model: 'toString' }), 404, 'unknown-model'],
  ['an oversized body', post(CHAT, 'x'.repeat(501)), 413, 'body-too-large'],
  [
    'a deadline already past',
    post(CHAT, chat, { 'x-request-deadline': '2025-01-01T00:00:00Z' }),
    400,
    'deadline-passed',
  ],
  [
    'an unknown header value',
    post(CHAT, chat, { 'x-priority-class': 'urgent' }),
    400,
    'invalid-header',
  ],
  ['an unknown service', post('/services/none/a', ''), 404, 'unknown-service'],
  ['a prototype service', post('/services/__proto__/a', ''), 404, 'unknown-service'],
  ['an encoded slash', post('/services/proofs/a%2f..%2fb', ''), 400, 'malformed-request'],
  ['bad percent-encoding', post('/services/proofs/%zz', ''), 400, 'malformed-request'],
  ['an unknown route', { method: 'GET', url: '/v2/none' }, 404, 'unknown-route'],
  ['an unknown method', { method: 'PUT', url: CHAT }, 404, 'unknown-route'],
  ['HEAD of an unknown route', { method: 'HEAD', url: '/v2/none' }, 404, 'unknown-route'],
];

badInputs.forEach(([what, request, status, cause]) => {
  test(`${what} is refused at once with a typed problem`, async () => {
    const { server, served, events } = createApp();
    const answer = await server.inject(request);
    assert.is(answer.statusCode, status);
    assert.is(answer.headers['content-type'], 'application/problem+json');
    assert.is(answer.headers['x-request-id'], 'r-1');
    assert.equal(events, ['refused']);
    assert.is(served.length, 0);
    if (request.method === 'HEAD') return;
    const problem = answer.json<Record<string, unknown>>();
    assert.is(problem.type, `urn:copperlever:problem:${cause}`);
    assert.is(problem.outcome, 'not-run');
  });
});

test('a chat completion is answered with its request id', async () => {
  const { server, served } = createApp();
  const answer = await server.inject(post(CHAT, chat));
  assert.is(answer.body, 'lane 4');
  assert.is(answer.headers['x-request-id'], 'r-1');
  assert.is(served[0]?.idempotencyKey, null);
});

test('a route that must run at most once is recognised however it is written', async () => {
  const { server, served } = createApp();
  await server.inject(post('/services/proofs/%73ubmissions?a=1', {}));
  await server.inject(post('/services/proofs/checks', {}));
  assert.equal(
    served.map((call) => call.idempotencyKey),
    ['r-1', null],
  );
  assert.is(served[0]?.path, '/%73ubmissions?a=1');
});

test('a stream that fails half-way ends with an error event, never like a whole one', async () => {
  const { server } = createApp(async (_call, sink) => {
    sink.head(200, [{ name: 'content-type', value: 'text/event-stream' }]);
    await sink.chunk(Buffer.from('data: half\n\n'));
    return { kind: 'failed', cause: 'upstream-broken', retryAtMs: null, detail: 'lost' };
  });
  const answer = await server.inject(post(CHAT, { ...chat, stream: true }));
  assert.match(answer.body, /^data: half\n\nevent: error\ndata: /);
  assert.not.match(answer.body, /DONE/);
});

test('a refusal tells when to come back', async () => {
  const { server, clock } = createApp(async () => ({
    kind: 'not-run',
    cause: 'queue-full',
    retryAtMs: clock.nowMs() + 2_500,
    detail: '',
  }));
  const answer = await server.inject(post(CHAT, chat));
  assert.is(answer.statusCode, 429);
  assert.is(answer.headers['retry-after'], '3');
});

test('an entry that stops asks for its connections to be closed', async () => {
  const { server, state } = createApp();
  state.isStopping = true;
  const answer = await server.inject({ method: 'GET', url: '/v1/models' });
  assert.is(answer.headers.connection, 'close');
});

// Guards against callers of streams that go on using a connection which the stop closes between two requests.
test('an entry that stops asks for the connections of its streams to be closed', async () => {
  const { server, state } = createApp();
  state.isStopping = true;
  const answer = await server.inject(post(CHAT, { ...chat, stream: true }));
  assert.is(answer.statusCode, 200);
  assert.is(answer.headers.connection, 'close');
});

// Guards against the same for callers whose request came before the stop, and its answer after.
test('an answer that is sent in a stop asks for its connection to be closed', async () => {
  const fixture = createApp(async (_call, sink) => {
    fixture.state.isStopping = true;
    return answering(_call, sink, new AbortController().signal);
  });
  const answer = await fixture.server.inject(post(CHAT, chat));
  assert.is(answer.headers.connection, 'close');
});

// Guards against bodies of callers that together fill the memory of an entry.
test('bodies are bounded in sum: what finds no room is refused as not run', async () => {
  // Room for some 400 bytes.
  const { server, served, holds } = createApp(answering, 0.002);
  const large = { ...chat, user: 'x'.repeat(400) };
  const refused = await server.inject(post('/v1/chat/completions', large));
  assert.is(refused.statusCode, 503);
  assert.is(refused.json<{ outcome: string }>().outcome, 'not-run');
  assert.is(refused.headers['retry-after'], '1');
  assert.is(refused.headers.connection, 'close');
  assert.is(holds.closed[0]?.reader, 'caller-body');
  for (let count = 0; count < 20; count += 1) {
    assert.is((await server.inject(post('/v1/chat/completions', chat))).statusCode, 200);
  }
  assert.is(served.length, 20);
  assert.is(holds.bodies.heldBytes(), 0);
});

/** Sends a body in chunks that has no end; the answer's head, and what was sent by the time the connection was closed. */
async function sendEndlessly(server: ReturnType<typeof createApp>['server']) {
  await server.listen({ host: '127.0.0.1', port: 0 });
  const { port } = server.server.address() as net.AddressInfo;
  const socket = net.connect(port, '127.0.0.1');
  let answer = '';
  socket.on('data', (data) => {
    answer += data.toString();
  });
  socket.on('error', () => {});
  socket.write(
    'POST /v1/chat/completions HTTP/1.1\r\nhost: e\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n',
  );
  const timer = setInterval(() => socket.write(`64\r\n${'x'.repeat(100)}\r\n`), 1);
  await new Promise((resolve) => {
    socket.once('close', resolve);
  });
  clearInterval(timer);
  await server.close();
  return answer;
}

// Guards against a body in chunks that is read without an end, and a refusal that its caller never gets.
test('a body in chunks without end is refused at its bound, each or in sum, and its connection closed', async () => {
  const tooLarge = createApp(answering);
  assert.match(await sendEndlessly(tooLarge.server), /^HTTP\/1.1 413 [^]*"outcome":"not-run"/);
  const noRoom = createApp(answering, 0.002);
  assert.match(await sendEndlessly(noRoom.server), /^HTTP\/1.1 503 [^]*"outcome":"not-run"/);
  assert.equal([tooLarge.holds.bodies.heldBytes(), noRoom.holds.bodies.heldBytes()], [0, 0]);
});

const HALF = 'POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n{';

// Guards against a stop that closes the connection of a request whose body is still on its way, without a word.
test('a request whose body has not come at the end of a stop is refused as not run', async () => {
  const { server, state, stop, clock, served } = createApp();
  await server.listen({ host: '127.0.0.1', port: 0 });
  const socket = net.connect((server.server.address() as net.AddressInfo).port, '127.0.0.1');
  const read = new Promise<void>((resolve) => {
    server.server.once('request', () => resolve());
  });
  socket.write(HALF);
  await read;
  state.isStopping = true;
  stop.begin(stopTimes.drainTimes(0, 10_000, 2_000));
  const answer = streamConsumers.text(socket);
  await clock.advance(9_500);
  const text = await answer;
  assert.match(text, /^HTTP\/1.1 503 [^]*connection: close\r\nretry-after: 1\r\n[^]*"not-run"/i);
  assert.equal(served, []);
  await server.close();
});

// Guards against a call that never answers, as behind a caller that reads nothing, and that the stop leaves without a word.
test('a call of which nothing is known by the end of a stop is told that it may have run', async () => {
  const { server, stop, clock } = createApp(() => new Promise(() => {}));
  const asked = server.inject(post(CHAT, chat));
  await clock.settle();
  stop.begin(stopTimes.drainTimes(0, 10_000, 2_000));
  await clock.advance(10_000);
  const answer = await asked;
  assert.is(answer.statusCode, 504);
  assert.is(answer.json<{ outcome: string }>().outcome, 'failed');
});

test.run();
