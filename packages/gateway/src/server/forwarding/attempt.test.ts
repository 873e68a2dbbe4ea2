import type * as net from 'node:net';

import { clocks } from '@copperlever/runtime';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as eventIntervals from '../../shared/event-intervals.js';
import * as rawUpstreams from '../../testing/raw-upstream.js';
import * as testDialects from '../../testing/test-dialect.js';
import type * as calls from '../../types/calls.js';
import type * as dialects from '../../types/dialects.js';
import type * as answers from './answers.js';
import * as attempts from './attempt.js';
import * as connectionsModule from './connections.js';
import * as heldAnswers from './held-answers.js';
import * as readDelays from './read-delay.js';

const test = suite('attempt');

const EVENT_BYTES_MAX = 100_000;

type Passed = { status: number; bodyBytes: number | null; body: string; hasEnded: boolean };

function createSink(): { sink: answers.AnswerSink; passed: Passed } {
  const passed: Passed = { status: 0, bodyBytes: null, body: '', hasEnded: false };
  const body: answers.AnswerBody = {
    write: (chunk) => {
      passed.body += chunk.toString();
      return true;
    },
    onceDrained: (task) => task(),
    end: () => {
      passed.hasEnded = true;
    },
  };
  const begin = (
    status: number,
    _headers: readonly dialects.HeaderPair[],
    bodyBytes: number | null,
  ) => {
    passed.status = status;
    passed.bodyBytes = bodyBytes;
    return body;
  };
  const sink: answers.AnswerSink = {
    hasBegun: () => passed.status !== 0,
    begin,
    begun: () => (passed.status === 0 ? null : body),
    sendWhole: (answer) => {
      begin(answer.status, answer.headers, answer.body.length);
      passed.body = answer.body.toString();
      passed.hasEnded = true;
    },
    refuse: () => {},
    refuseUnread: () => {},
    cut: () => {},
    onCallerGone: () => {},
    isCallerGone: () => false,
  };
  return { sink, passed };
}

function createCall(
  kind: 'idempotent' | 'at-most-once' | 'stream',
  isResumable = false,
): calls.Call {
  const dialect = testDialects.createTestDialect();
  return {
    requestId: 'r1',
    route: {
      name: 'route',
      host: 'a.example',
      pathPrefix: '/x/',
      kind,
      targets: [],
      maxAttempts: 1,
      timeoutMs: 30_000,
      latencyObjectiveMs: 100,
      pauseObjectiveMs: null,
      priority: 0,
      isResumable,
      isPublic: false,
    },
    service: 'desk',
    method: 'POST',
    path: '/x/1?q=%2F',
    headers: [['T-Id', 'r1']],
    body: Buffer.from('body'),
    facts: dialect.readCall({ 't-id': 'r1' }),
    organisation: null,
    priority: 0,
    arrivedAtMs: 0,
    bufferedMs: 0,
    elapsedBeforeMs: 0,
    deadlineMs: performance.now() + 30_000,
    fingerprint: 'f',
    resumeAfterId: null,
  };
}

async function attempt(
  answer: (socket: net.Socket, request: string) => void,
  call: calls.Call = createCall('at-most-once'),
  eventIntervals?: eventIntervals.EventIntervals,
  mayStart: () => boolean = () => true,
  firstByteInMs = 20_000,
  turnMs = 1,
  mayGiveUp: () => Promise<boolean> = async () => true,
  connectInMs = 0,
  heldBytesMax = 10_000_000,
) {
  const upstream = await rawUpstreams.startRawUpstream(answer);
  const clock = clocks.createSystemClock();
  const connections = connectionsModule.createConnections(clock);
  const loopAges = readDelays.createReadDelay(clock);
  const { sink, passed } = createSink();
  const errors: string[] = [];
  const held = heldAnswers.createHeldAnswers({ log: { warn: () => {} }, maxBytes: heldBytesMax });
  const error = (event: string, fields: object) => {
    errors.push(`${event} ${JSON.stringify(fields)}`);
  };
  const run = async () => {
    const acquired = connections.acquire(upstream.record, 4).unwrap();
    const connection: connectionsModule.AcquiredConnection = {
      ...acquired,
      dispatch: (...request) => {
        if (connectInMs === 0) acquired.dispatch(...request);
        else setTimeout(() => acquired.dispatch(...request), connectInMs);
      },
    };
    const result = await attempts.runAttempt(
      {
        clock,
        log: { error, warn: () => {} },
        loopAges: { ...loopAges, turnMs: () => turnMs },
        dialect: testDialects.createTestDialect(),
        eventBytesMax: EVENT_BYTES_MAX,
      },
      {
        call,
        upstreamName: 'u1',
        connection,
        sink,
        holds: held.forCall(call.requestId),
        priority: 0,
        resumeAfterId: null,
        onResponseHead: () => {},
        onCancelled: () => {},
        mayStart,
        ...(eventIntervals === undefined ? {} : { eventIntervals }),
        sendByMs: clock.nowMs() + 10_000,
        firstByteByMs: clock.nowMs() + firstByteInMs,
        mayGiveUp,
        onFirstChunk: () => {},
      },
    );
    connection.release(result.kind !== 'not-sent');
    loopAges.stop();
    return result;
  };
  const result = await run();
  return { result, passed, upstream, run, connections, errors, held };
}

const EVENT = 'id: 1\ndata: one\n\n';
const OK = 'HTTP/1.1 200 OK\r\nT-Id: r1\r\nT-Signed: s\r\n';

test('a whole answer is forwarded; the request is sent unchanged, with the deadline and the name of the upstream', async () => {
  const { result, passed, upstream, connections } = await attempt((socket) => {
    socket.write(`${OK}Content-Length: 5\r\n\r\nhello`);
  });
  assert.equal(result, { kind: 'answered', status: 200 });
  assert.is(passed.body, 'hello');
  const [request = ''] = upstream.requests;
  assert.match(request, /^POST \/x\/1\?q=%2F HTTP\/1\.1\r\n/);
  assert.match(request, /t-upstream: u1\r\n/);
  assert.match(request, /\r\n\r\nbody$/);
  upstream.close();
  await connections.close();
});

// Guards against an error in a decision made while the attempt goes on: it ended the process, or the request with its slot taken.
test('an error while another attempt is looked for leaves the attempt to its answer', async () => {
  const failures: [string, () => Promise<boolean>][] = [
    ['rejects', () => Promise.reject(new Error('no choice'))],
    [
      'throws',
      () => {
        throw new Error('no choice');
      },
    ],
  ];
  for (const [label, failing] of failures) {
    const late = (socket: net.Socket) => {
      setTimeout(() => socket.write(`${OK}Content-Length: 5\r\n\r\nhello`), 120);
    };
    const call = createCall('idempotent');
    const { result, passed, upstream, connections, errors } = await attempt(
      late,
      call,
      undefined,
      undefined,
      50,
      1,
      failing,
    );
    assert.equal([result.kind, passed.body], ['answered', 'hello'], label);
    assert.equal(errors, ['give-up-not-decided {"requestId":"r1","reason":"Error: no choice"}']);
    upstream.close();
    await connections.close();
  }
});

// Guards against a token that is spent, and a run that is counted, for a request that no upstream has received.
test('a request that is not sent yet is not taken for silent, and is once it was sent', async () => {
  const ANSWER = `${OK}Content-Length: 5\r\n\r\nhello`;
  for (const [answer, expected] of [
    [(socket: net.Socket) => socket.write(ANSWER), ['answered', 0, 1]],
    [() => {}, ['lost', 1, 1]],
  ] as const) {
    let questionCount = 0;
    const mayGiveUp = async () => {
      questionCount += 1;
      return true;
    };
    const call = createCall('idempotent');
    const { result, upstream, connections } = await attempt(
      answer,
      call,
      undefined,
      undefined,
      50,
      1,
      mayGiveUp,
      120,
    );
    assert.equal([result.kind, questionCount, upstream.requests.length], expected);
    upstream.close();
    await connections.close();
  }
});

// Timers fire before sockets are read: after a stall, an upstream that has answered would be called silent and the request
// sent twice.
test('an answer that came during a stall of the loop is read before its upstream is called silent', async () => {
  const { result, upstream, connections } = await attempt(
    (socket) => {
      socket.write(`${OK}Content-Length: 5\r\n\r\nhello`);
      const untilMs = performance.now() + 400;
      while (performance.now() < untilMs);
    },
    createCall('idempotent'),
    undefined,
    undefined,
    100,
  );
  assert.equal(result, { kind: 'answered', status: 200 });
  upstream.close();
  await connections.close();
});

// An upstream breaks off an answer that has a length. If it were forwarded, the caller would wait for the rest, or take a part
// for the whole.
test('a request with a truncated answer is lost, and may have run', async () => {
  const { result, passed, upstream } = await attempt((socket) => {
    socket.end(`${OK}Content-Length: 50\r\n\r\nhello`);
  });
  assert.is(result.kind, 'lost');
  assert.is(passed.hasEnded, false);
  upstream.close();
});

// The same with chunked framing: only the end of the connection shows that the last chunk is missing.
test('a chunked answer without its last chunk is lost', async () => {
  const { result, passed, upstream } = await attempt((socket) => {
    socket.end(`${OK}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n`);
  });
  assert.is(result.kind, 'lost');
  assert.is(passed.hasEnded, false);
  upstream.close();
});

test('an answer that ends with its connection is forwarded whole, with its length', async () => {
  const { result, passed, upstream } = await attempt((socket) => {
    socket.end(`${OK}Connection: close\r\n\r\nhello`);
  });
  assert.equal(result, { kind: 'answered', status: 200 });
  assert.equal([passed.body, passed.bodyBytes], ['hello', 5]);
  upstream.close();
});

// Guards against a part of an answer that is forwarded as the whole, because its connection has ended.
test('an answer that is reset on the way is never forwarded as complete', async () => {
  const { result, passed, upstream } = await attempt((socket) => {
    socket.write(`${OK}Connection: close\r\n\r\nhel`, () => {
      setImmediate(() => socket.resetAndDestroy());
    });
  });
  assert.equal([result.kind, passed.status], ['lost', 0]);
  upstream.close();
});

// A late answer to another request arrives in place of this one's. If it were forwarded, a caller would read the answer of
// another caller.
test('an answer to another request is dropped, and its connection is not reused', async () => {
  const { result, passed, upstream, run } = await attempt((socket) => {
    socket.write('HTTP/1.1 200 OK\r\nT-Id: r0\r\nT-Signed: s\r\nContent-Length: 2\r\n\r\nno');
  });
  assert.ok(result.kind === 'lost' && result.reason === 'garbled');
  assert.is(passed.status, 0);
  await run();
  assert.is(upstream.requests.length, 2);
  upstream.close();
});

const INVALID = ['000', '001', '099', '600', '700', '999'];

// Guards against an answer whose status no answer may have that reaches a caller, is believed, or leaves its connection in use.
test('an answer with an invalid status is none, whatever it says and whatever comes behind it', async () => {
  for (const status of [...INVALID, '1000', '20']) {
    for (const kind of ['at-most-once', 'stream'] as const) {
      const head = `HTTP/1.1 ${status} Trouble\r\nT-Id: r1\r\nT-Signed: s\r\nT-Not-Run: 1\r\n`;
      const sockets = new Set<net.Socket>();
      const { result, passed, upstream, run } = await attempt((socket) => {
        sockets.add(socket);
        socket.write(`${head}Content-Length: 4\r\n\r\noops${OK}Content-Length: 2\r\n\r\nok`);
      }, createCall(kind));
      const reason = status.length === 3 ? 'invalid' : 'connection';
      assert.equal(
        [status, result.kind, 'reason' in result && result.reason],
        [status, 'lost', reason],
      );
      assert.equal([passed.status, passed.body], [0, '']);
      await run();
      assert.is(sockets.size, 2);
      upstream.close();
    }
  }
});

// Guards against an answer that only announces another one being taken for it.
test('an interim answer is passed over, and one that asks for another protocol is none', async () => {
  const sound = `${OK}Content-Length: 2\r\n\r\nok`;
  for (const [status, kind] of [
    ['102', 'answered'],
    ['199', 'answered'],
    ['100', 'lost'],
    ['101', 'lost'],
  ]) {
    const { result, passed, upstream } = await attempt((socket) => {
      socket.write(`HTTP/1.1 ${status} Trouble\r\n\r\n${sound}`);
    });
    assert.equal([status, result.kind], [status, kind]);
    assert.is(passed.status, kind === 'answered' ? 200 : 0);
    upstream.close();
  }
});

test('a second answer behind the first is dropped', async () => {
  const { result, passed, upstream, run } = await attempt((socket) => {
    socket.write(`${OK}Content-Length: 2\r\n\r\nok${OK}Content-Length: 3\r\n\r\nbad`);
  });
  assert.is(result.kind, 'answered');
  const again = await run();
  assert.is(again.kind, 'answered');
  assert.is(passed.body, 'ok');
  upstream.close();
});

test('an unsigned success and bytes that are not an HTTP answer are rejected', async () => {
  const unsigned = await attempt((socket) => {
    socket.write('HTTP/1.1 200 OK\r\nT-Id: r1\r\nContent-Length: 2\r\n\r\nok');
  });
  assert.is(unsigned.result.kind, 'lost');
  unsigned.upstream.close();
  const noise = await attempt((socket) => {
    socket.write('\x00\x01 this is no answer\r\n\r\n');
  });
  assert.is(noise.result.kind, 'lost');
  noise.upstream.close();
});

test('only the guarantee of the upstream shows that the request did not run', async () => {
  const promised = await attempt((socket) => {
    socket.write('HTTP/1.1 503 No\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n');
  });
  assert.is(promised.result.kind, 'rejected');
  promised.upstream.close();
  const closed = await attempt((socket) => {
    socket.end();
  });
  assert.is(closed.result.kind, 'lost');
  closed.upstream.close();
});

// Guards against a connection that is read on, and counted as free, after its request was rejected in a body that never ends.
test('a rejection whose body never ends is settled at once, and its connection is closed soon', async () => {
  let isClosed = false;
  let sentBytes = 0;
  const { result, upstream, run } = await attempt((socket) => {
    socket.write('HTTP/1.1 503 No\r\nT-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n');
    const piece = Buffer.alloc(10_000, 'x');
    const timer = setInterval(() => {
      socket.write(Buffer.concat([Buffer.from('2710\r\n'), piece, Buffer.from('\r\n')]));
      sentBytes += piece.length;
    }, 1);
    socket.once('close', () => {
      clearInterval(timer);
      isClosed = true;
    });
  });
  assert.is(result.kind, 'rejected');
  assert.is((await run()).kind, 'rejected');
  await new Promise((resolve) => {
    setTimeout(resolve, 150);
  });
  assert.ok(isClosed);
  const sentBeforeBytes = sentBytes;
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  assert.is(sentBytes, sentBeforeBytes);
  upstream.close();
});

// Guards against new connections for each rejection: upstreams that are full reject often.
test('a rejection whose body ends soon leaves its connection to the next request', async () => {
  const ports = new Set<number | undefined>();
  const { run, upstream, connections } = await attempt((socket) => {
    ports.add(socket.remotePort);
    socket.write('HTTP/1.1 503 No\r\nT-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfu');
    setTimeout(() => socket.write('ll'), 10);
  });
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  assert.is((await run()).kind, 'rejected');
  assert.is(ports.size, 1);
  upstream.close();
  await connections.close();
});

// Guards against sending to an upstream that leaves while the connection to it is being opened.
test('nothing is sent to an upstream that has left since it was chosen', async () => {
  const requests: string[] = [];
  let checkCount = 0;
  const { result, passed, upstream } = await attempt(
    (socket, request) => {
      requests.push(request);
      socket.end();
    },
    createCall('idempotent'),
    undefined,
    () => {
      checkCount += 1;
      return false;
    },
  );
  assert.equal(result, { kind: 'not-sent', reason: 'upstream left' });
  assert.is(checkCount, 1);
  assert.is(passed.status, 0);
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  assert.equal(requests, []);
  upstream.close();
});

test('a request whose connection was refused was not sent', async () => {
  const first = await attempt((socket) => {
    socket.end(`${OK}Connection: close\r\nContent-Length: 0\r\n\r\n`);
  });
  first.upstream.close();
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  const { kind } = await first.run();
  assert.is(kind, 'not-sent');
});

// A resumable stream breaks off within an event. The forwarded part ends with the event before, so that another upstream can
// resume after it.
test('a resumable stream is forwarded in whole events', async () => {
  const { result, passed, upstream } = await attempt(
    (socket) => {
      const events = 'id: 1\ndata: a\n\nid: 2\nda';
      socket.write(
        `${OK}Transfer-Encoding: chunked\r\n\r\n${events.length.toString(16)}\r\n${events}\r\n`,
        () => socket.end(),
      );
    },
    createCall('stream', true),
  );
  assert.is(passed.body, 'id: 1\ndata: a\n\n');
  assert.ok(result.kind === 'lost' && result.hasBegun && result.lastEventId === '1');
  upstream.close();
});

// Guards against an event that never ends, and that is held until the gateway has no memory or processor time left.
test('an event of a resumable stream that is too long ends the stream as broken off, and its connection', async () => {
  let sentBytes = 0;
  let isClosed = false;
  const { result, passed, upstream } = await attempt(
    (socket) => {
      socket.write(`${OK}Connection: close\r\n\r\n${EVENT}id: 2\ndata: `);
      const piece = Buffer.alloc(10_000, 'x');
      const timer = setInterval(() => {
        socket.write(piece);
        sentBytes += piece.length;
      }, 1);
      socket.once('close', () => {
        clearInterval(timer);
        isClosed = true;
      });
    },
    createCall('stream', true),
  );
  assert.equal(result, { kind: 'lost', reason: 'oversized', hasBegun: true, lastEventId: '1' });
  assert.is(passed.body, EVENT);
  assert.ok(sentBytes <= 10 * EVENT_BYTES_MAX, `${sentBytes}`);
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  assert.ok(isClosed);
  upstream.close();
});

// A gateway whose own event loop is late would take its upstreams for slow, report that to the others and send them less.
test('intervals that the local event loop has stretched are not attributed to the upstream', async () => {
  const seen: string[] = [];
  const eventIntervals = {
    event: () => seen.push('event'),
    interrupted: () => seen.push('interrupted'),
  };
  const { upstream, connections } = await attempt(
    (socket) => {
      socket.write(`${OK}Content-Length: 10\r\n\r\ndata: `);
      setTimeout(() => socket.write('one\n'), 30);
    },
    createCall('stream'),
    eventIntervals,
    undefined,
    undefined,
    40,
  );
  assert.equal(seen, ['interrupted', 'event', 'interrupted', 'event']);
  upstream.close();
  await connections.close();
});

// Guards against missing the events of streams, and against counting those of buffered answers.
test('the events of a forwarded stream are measured, those of a whole answer are not', async () => {
  let count = 0;
  const eventIntervals = {
    event: () => {
      count += 1;
    },
    interrupted: () => {},
  };
  const event = '5\r\ndata\n\r\n';
  const stream = await attempt(
    (socket) => {
      socket.write(`${OK}Transfer-Encoding: chunked\r\n\r\n${event}${event}0\r\n\r\n`);
    },
    createCall('stream'),
    eventIntervals,
  );
  assert.is(stream.result.kind, 'answered');
  assert.is(count, 2);
  stream.upstream.close();
  const whole = await attempt(
    (socket) => {
      socket.write(`${OK}Content-Length: 5\r\n\r\nhello`);
    },
    createCall('at-most-once'),
    eventIntervals,
  );
  assert.is(whole.result.kind, 'answered');
  assert.is(count, 2);
  whole.upstream.close();
});

const UNFRAMED = `${OK}Connection: close\r\nContent-Type: text/event-stream\r\n\r\n`;

// Guards against half an event that is passed on as the end of a whole stream, since its connection ended regularly.
test('a stream without length or chunks that ends inside an event has broken off', async () => {
  for (const rest of ['id: 2\nda', 'id: 2\ndata: two', 'id: 2\ndata: two\n']) {
    const answer = (socket: net.Socket) => socket.end(`${UNFRAMED}${EVENT}${rest}`);
    const resumable = await attempt(answer, createCall('stream', true));
    assert.equal(resumable.result, {
      kind: 'lost',
      reason: 'connection',
      hasBegun: true,
      lastEventId: '1',
    });
    assert.equal([resumable.passed.body, resumable.passed.hasEnded], [EVENT, false]);
    const other = await attempt(answer, createCall('stream'));
    assert.is(other.result.kind, 'lost');
    assert.is(other.passed.hasEnded, false);
    resumable.upstream.close();
    other.upstream.close();
  }
});

// Guards against a stream that is taken for broken off although its last event is whole.
test('a stream without length or chunks that ends after an event is whole, whatever its line ends', async () => {
  for (const events of [EVENT, `${EVENT}id: 2\ndata: two\n\n`, 'id: 1\r\ndata: one\r\n\r\n']) {
    const answer = (socket: net.Socket) => socket.end(`${UNFRAMED}${events}`);
    const { result, passed, upstream } = await attempt(answer, createCall('stream'));
    assert.equal(result, { kind: 'answered', status: 200 });
    assert.equal([passed.body, passed.hasEnded], [events, true]);
    upstream.close();
  }
});

// Guards against an empty stream that is passed on as an answer, when its upstream ended before the first event.
test('a stream without length or chunks that ends before its first event has broken off', async () => {
  const { result, passed, upstream } = await attempt(
    (socket) => socket.end(UNFRAMED),
    createCall('stream', true),
  );
  assert.equal([result.kind, passed.status], ['lost', 0]);
  upstream.close();
});

// Guards against an error that is written into the caller's stream as if it were events.
test('an error in answer to a stream that goes on is none of its caller', async () => {
  for (const [head, bytes] of [
    ['500 No', 300_000],
    ['500 No', 12],
    ['400 Bad', 12],
  ] as const) {
    const failure = `HTTP/1.1 ${head}\r\nT-Id: r1\r\nT-Signed: s\r\nContent-Length: ${bytes}\r\n\r\n`;
    const writes = [`${UNFRAMED}${EVENT}id: 2`, failure + 'no\n\n'.repeat(bytes / 4)];
    const { upstream, run, passed, connections } = await attempt(
      (socket) => socket.end(writes.shift() ?? ''),
      createCall('stream', true),
    );
    const { kind } = await run();
    assert.equal([kind, passed.body, passed.hasEnded], ['lost', EVENT, false], head);
    upstream.close();
    await connections.close();
  }
});

/** An attempt whose answer may be held up to 4,000 bytes. */
function attemptInLittleRoom(
  answer: (socket: net.Socket) => void,
  call = createCall('at-most-once'),
) {
  const mayGiveUp = async () => true;
  const started = () => true;
  return attempt(answer, call, undefined, started, 20_000, 1, mayGiveUp, 0, 4_000);
}

// Guards against answers that are held in sum until the gateway has no memory left.
test('without room to hold it a plain answer is passed on or closed, a failure kept as its head, a long event given up', async () => {
  const piece = 'x'.repeat(3_000);
  const sendTwo = (head: string) => (socket: net.Socket) => {
    socket.write(`${head}${piece}`);
    setTimeout(() => socket.end(piece), 50);
  };
  const length = `Content-Length: ${2 * piece.length}\r\n\r\n`;
  const plain = await attemptInLittleRoom(sendTwo(`${OK}${length}`));
  assert.equal(plain.result, { kind: 'answered', status: 200 });
  assert.equal([plain.passed.body.length, plain.passed.hasEnded], [6_000, true]);
  const endless = await attemptInLittleRoom(sendTwo(`${OK}Connection: close\r\n\r\n`));
  assert.equal([endless.result, endless.passed.body], [{ kind: 'no-room' }, '']);
  const failed = OK.replace('200 OK', '500 Bad').concat('Content-Encoding: gzip\r\n');
  const failure = await attemptInLittleRoom(sendTwo(`${failed}${length}`));
  assert.is(failure.result.kind, 'held-failure');
  if (failure.result.kind === 'held-failure') {
    const { status, statedBytes, headers, body } = failure.result.answer;
    assert.equal([status, statedBytes, body.length], [500, 0, 0]);
    assert.not.ok(headers.some(([name]) => name === 'content-encoding'));
  }
  const event = `${OK}Connection: close\r\n\r\n${EVENT}id: 2\ndata: `;
  const streamed = await attemptInLittleRoom(sendTwo(event), createCall('stream', true));
  const lost = { kind: 'lost', reason: 'oversized', hasBegun: true, lastEventId: '1' };
  assert.equal(streamed.result, lost);
  for (const { held, upstream, connections } of [plain, endless, failure, streamed]) {
    assert.is(held.heldBytes(), 0);
    upstream.close();
    await connections.close();
  }
});

test.run();
