import type * as net from 'node:net';
import * as timers from 'node:timers/promises';

import { clocks, randoms } from '@copperlever/runtime';
import * as stopTimes from '@copperlever/runtime/stop-times';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as inFlightModule from '../../shared/in-flight.js';
import * as serviceTimesModule from '../../shared/service-times.js';
import * as quarantines from '../../shared/crashes/quarantine.js';
import * as promptCaches from '../../shared/prompt-caches.js';
import * as restartDoubts from '../../shared/restart-doubts.js';
import * as retryLedgers from '../../shared/retries/retry-ledger.js';
import * as upstreamHealthModule from '../../shared/upstream-health.js';
import * as directories from '../../shared/upstream-directory.js';
import * as upstreamPauses from '../../shared/upstream-pauses.js';
import * as statesModule from '../../shared/upstream-states.js';
import * as rawUpstreams from '../../testing/raw-upstream.js';
import * as streamCalls from '../../testing/stream-calls.js';
import * as testDialects from '../../testing/test-dialect.js';
import * as unwatched from '../../testing/unwatched.js';
import type * as calls from '../../types/calls.js';
import type * as fleet from '../../types/fleet.js';
import * as answerTimes from '../../shared/answer-times.js';
import * as plainCapacity from '../../shared/plain-capacity.js';
import * as plainServiceTimes from '../../shared/plain-service-times.js';
import type * as logEvents from '../../types/log-events.js';
import * as metricsModule from '../metrics/metrics.js';
import * as retriesModule from '../retries/retries.js';
import type * as turnsModule from '../turns/turns.js';
import type * as answers from './answers.js';
import * as connectionsModule from './connections.js';
import * as preSendChecks from './pre-send-check.js';
import * as readDelays from './read-delay.js';
import * as plainAdmissions from './plain-admission.js';
import * as heldAnswersModule from './held-answers.js';
import * as serving from './serve.js';
import * as stopAdmissions from './stop-admission.js';
import * as unsentRequests from './unsent-requests.js';

const test = suite('serving streams with prefill turns');

const STREAM =
  'HTTP/1.1 200 OK\r\nt-id: r1\r\nt-signed: 1\r\ncontent-type: text/event-stream\r\n' +
  'content-length: 15\r\n\r\ndata: one event';
const INVALID = 'HTTP/1.1 400 Bad\r\nt-id: r1\r\nt-signed: 1\r\ncontent-length: 2\r\n\r\nno';
const REJECTED = 'HTTP/1.1 503 Full\r\nt-id: r1\r\nt-not-run: 1\r\ncontent-length: 0\r\n\r\n';

const GOOD_HEAD = 'HTTP/1.1 200 OK\r\nt-id: r1\r\nt-signed: 1';

type Answer = (socket: net.Socket) => void;

type RequestTurn = (
  question: turnsModule.TurnQuestion,
  count: number,
) => Promise<turnsModule.TurnAnswer>;

const GRANTED = async () => ({ kind: 'given', ownerId: 'g2' }) as const;

type Setup = {
  ask?: RequestTurn;
  isWanted?: boolean;
  answer?: Answer;
  /** Set if the upstream has a rate limit: waits for a permit. */
  takePermit?: () => Promise<boolean>;
  retryLimits?: retryLedgers.RetryLimits;
  /** Whether the first request that is refused is let through on trial. */
  isOnTrial?: boolean;
  /** Set if another gateway holds the retry budget: its reply, after some time, to the question with that number. */
  askHolder?: (count: number) => Promise<retriesModule.RetryReply | null>;
  /** Set if plain calls queue: what is known of their duration. */
  plainCallMs?: number;
};

const RETRY_LIMITS = { ratio: 1, slack: 10, windowMs: 1_000 };

function createRetries(
  clock: Pick<clocks.Clock, 'nowMs'>,
  log: logEvents.GatewayLog,
  { retryLimits: limits = RETRY_LIMITS, askHolder }: Setup,
): retriesModule.Retries {
  let askedCount = 0;
  return retriesModule.createRetries({
    clock,
    limits,
    log,
    gatewayId: 'g1',
    incarnation: 1,
    heldTerm: () => (askHolder === undefined ? 1 : null),
    secureLease: () => ({ sinceMs: 0, isFirst: true }),
    holderAgeMs: () => 0,
    ask: async () => {
      askedCount += 1;
      return askHolder === undefined ? null : askHolder(askedCount);
    },
  });
}

async function createFixture(setup: Setup = {}) {
  const { ask = GRANTED, isWanted = true, answer = (socket) => socket.write(STREAM) } = setup;
  const { takePermit, isOnTrial = false, plainCallMs } = setup;
  const upstream = await rawUpstreams.startRawUpstream(answer);
  const clock = clocks.createSystemClock();
  const lines: string[] = [];
  const note = (event: string, fields: object) => lines.push(`${event} ${JSON.stringify(fields)}`);
  const log: logEvents.GatewayLog = { info: note, warn: note, error: note };
  const directory = directories.createUpstreamDirectory();
  const service: fleet.Service = {
    name: 'pool',
    connectionsMax: 20,
    engine: {
      slots: 8,
      weightsMb: 1,
      adaptersMax: 1,
      hostMb: 1,
      diskMb: 1,
      loadsPerSecond: 1,
      models: [],
    },
  };
  const list = (records: readonly fleet.UpstreamRecord[], revision: number) => {
    const stored = records.map((value) => ({ name: value.name, era: 0, revision, value }));
    directory.applyListing({ records: stored, unreadable: [], era: 0, revision }, clock.nowMs());
  };
  list([upstream.record], 1);
  const asked: turnsModule.TurnQuestion[] = [];
  const ended: turnsModule.TurnEnd[] = [];
  let lastTurnId = 0;
  let trialCount = 0;
  const quarantine = quarantines.createQuarantine();
  const refuseAll = () => {
    const entry = {
      traits: ['request:f'],
      epoch: 0,
      state: 'refused',
      trialCount: 0,
      crashCount: 3,
      isCommon: false,
    } as const;
    const untilMs = clock.nowMs() + 60_000;
    const decided = { decidedBy: 'g2', decidedAtMs: clock.nowMs(), untilMs };
    quarantine.apply({ ...entry, ...decided }, clock.nowMs());
  };
  const connections = connectionsModule.createConnections(clock);
  const loopAges = readDelays.createReadDelay(clock);
  const unsent = unsentRequests.createUnsentRequests();
  const stopping: { times: stopTimes.StopTimes | null } = { times: null };
  const beliefs = upstreamHealthModule.createUpstreamHealthTracker();
  const inFlight = inFlightModule.createInFlight();
  const plainTimes = plainServiceTimes.createPlainServiceTimes(plainCallMs !== undefined);
  plainTimes.recordAnswer('pool', plainCallMs ?? 0, 1);
  const heldAnswers = heldAnswersModule.createHeldAnswers({ log, maxBytes: 1_000_000 });
  const serve = serving.createServe({
    clock,
    heldAnswers,
    log,
    directory,
    connections,
    crashWatch: unwatched.createUnwatched(),
    random: randoms.createRandom(3),
    dialect: testDialects.createTestDialect(),
    beliefs,
    inFlight,
    caches: promptCaches.createPromptCaches(),
    paces: serviceTimesModule.createServiceTimeEstimator(),
    retries: createRetries(clock, log, setup),
    quarantine,
    crashTrials: {
      mayTry: () => isOnTrial && trialCount === 0,
      admit: async ({ upstreamId }) => {
        if (!isOnTrial || trialCount > 0) return { kind: 'free' };
        trialCount += 1;
        const trial = { key: 'request:f', trait: 'request:f', upstreamId, startedMs: 0 };
        return { kind: 'trial', trial };
      },
      ended: () => {},
    },
    words: {
      applyAnswerHead: () => {},
      applyReport: () => {},
      applyRemoteLimits: () => {},
      applyRemoteLeaving: () => {},
    },
    limits: {
      isLimited: () => takePermit !== undefined,
      closedForMs: () => null,
      basis: () => null,
      take: takePermit ?? (async () => true),
      give: () => ({ kind: 'taken' }),
      isStarved: () => false,
    },
    turns: {
      isWanted: () => isWanted,
      nextTurnId: () => {
        lastTurnId += 1;
        return lastTurnId;
      },
      ask: (question) => {
        asked.push(question);
        return ask(question, asked.length);
      },
      end: (_ownerId, one) => ended.push(one),
    },
    states: statesModule.createUpstreamStates(),
    plainTimes,
    plainPlaces: plainCapacity.createPlainCapacity(),
    plainAdmission: plainAdmissions.createPlainAdmission({ clock }),
    plainQueues: plainCallMs === undefined ? 'off' : 'on',
    holdsBatch: () => false,
    ordersAdmission: () => false,
    sharesFairly: () => false,
    weightOf: () => 1,
    pauses: upstreamPauses.createUpstreamPauses(),
    placement: {
      version: () => ({ term: 1, version: 1, ageMs: 0 }),
      copyAt: () => 'ready',
      noteAbsent: () => {},
      noteDemand: () => {},
      expectedReady: () => ({ kind: 'not-ordered', inMs: 1_000 }),
      nextCopyInMs: () => null,
      ensureAdapter: async () => false,
      blockedForMs: () => 0,
    },
    metrics: metricsModule.createGatewayMetrics(() => {
      throw new Error('metrics are not read in this test');
    }),
    streams: streamCalls.createUnboundStreams(),
    doubts: restartDoubts.createRestartDoubts(),
    preSendCheck: preSendChecks.createPreSendCheck({ clock, loopAges }),
    loopAges,
    eventBytesMax: 100_000,
    serviceOf: () => service,
    listAgeMs: () => 0,
    gatewayCount: () => 1,
    isStopping: () => false,
    unsent,
    stopAdmission: stopAdmissions.createStopAdmission({
      clock,
      log,
      stopTimes: () => stopping.times,
      answerTimes: answerTimes.createAnswerTimes(),
    }),
    gatewayId: 'g1',
    failureDomain: 'north',
  });
  const close = async () => {
    loopAges.stop();
    upstream.close();
    await connections.close();
  };
  return {
    serve,
    upstream,
    asked,
    ended,
    list,
    refuseAll,
    unsent,
    stopping,
    beliefs,
    inFlight,
    lines,
    close,
  };
}

function createSink() {
  const state = { hasBegun: false, body: '', isGone: false };
  let callerGone: (() => void) | null = null;
  const body: answers.AnswerBody = {
    write: (chunk) => {
      state.body += chunk.toString();
      return true;
    },
    onceDrained: (task) => task(),
    end: () => {},
  };
  const sink: answers.AnswerSink = {
    hasBegun: () => state.hasBegun,
    begin: () => {
      state.hasBegun = true;
      return body;
    },
    begun: () => (state.hasBegun ? body : null),
    sendWhole: (answer) => {
      state.hasBegun = true;
      state.body = answer.body.toString();
    },
    refuse: () => {},
    refuseUnread: () => {},
    cut: () => {},
    onCallerGone: (task) => {
      callerGone = task;
      if (task !== null && state.isGone) task();
    },
    isCallerGone: () => state.isGone,
  };
  const leave = () => {
    state.isGone = true;
    callerGone?.();
  };
  return { sink, state, leave };
}

function createCall(): calls.Call {
  const nowMs = performance.now();
  const headers = { 't-id': 'r1', 't-model': 'm1', 't-tokens': '2000' };
  return {
    requestId: 'r1',
    route: {
      name: 'chat',
      host: 'a.example',
      pathPrefix: '/',
      kind: 'stream',
      targets: [],
      maxAttempts: 2,
      timeoutMs: 30_000,
      latencyObjectiveMs: 1_000,
      pauseObjectiveMs: 300,
      priority: 0,
      isResumable: false,
      isPublic: false,
    },
    service: 'pool',
    method: 'POST',
    path: '/x',
    headers: [['T-Id', 'r1']],
    body: Buffer.from('body'),
    facts: testDialects.createTestDialect().readCall(headers),
    organisation: null,
    priority: 0,
    arrivedAtMs: nowMs,
    bufferedMs: 0,
    elapsedBeforeMs: 0,
    deadlineMs: nowMs + 30_000,
    fingerprint: 'f',
    resumeAfterId: null,
  };
}

test('a stream requests a prefill turn, and ends it with its first event', async () => {
  const { serve, upstream, asked, ended, close } = await createFixture();
  try {
    const { sink, state } = createSink();
    const ending = await serve(createCall(), sink);
    assert.is(ending.kind, 'answered');
    assert.is(state.body, 'data: one event');
    assert.is(upstream.requests.length, 1);
    assert.equal(
      asked.map(({ upstreamId, promptTokens }) => ({ upstreamId, promptTokens })),
      [{ upstreamId: 'u1', promptTokens: 2_000 }],
    );
    assert.equal(
      ended.map(({ isPrefilled }) => isPrefilled),
      [true],
    );
  } finally {
    await close();
  }
});

// Prefill turns must not change how a deployment is served that doesn't need them.
test('where no turn is needed the upstream gets the same request, and no turn is requested', async () => {
  const without = await createFixture({ isWanted: false });
  const withTurns = await createFixture();
  try {
    await without.serve(createCall(), createSink().sink);
    await withTurns.serve(createCall(), createSink().sink);
    const normal = (text: string | undefined) => text?.replace(/t-wait: \d+|host: \S+/gi, '');
    assert.is(
      normal(without.upstream.requests[0]?.toLowerCase()),
      normal(withTurns.upstream.requests[0]?.toLowerCase()),
    );
    assert.equal([without.asked, without.ended], [[], []]);
  } finally {
    await without.close();
    await withTurns.close();
  }
});

// Guards against running a request whose caller left while it waited for its turn.
test('a request whose caller leaves during the wait is sent to no upstream', async () => {
  const { sink, leave } = createSink();
  const fixture = await createFixture({
    ask: async () => {
      setImmediate(leave);
      return { kind: 'wait', waitMs: 15_000, ownerId: 'g2' };
    },
  });
  try {
    assert.equal(await fixture.serve(createCall(), sink), { kind: 'caller-gone', stage: 'turn' });
    assert.equal(fixture.upstream.requests, []);
    assert.equal(
      fixture.ended.map(({ isPrefilled }) => isPrefilled),
      [false],
    );
  } finally {
    await fixture.close();
  }
});

/** Longer than the half second after which work for a caller that has left counts as wasted. */
const STALL_MS = 600;

/** Stalls the event loop; the close of the caller, which arrived at the beginning, is read in the next poll. */
function stallWhile(leave: () => void): void {
  const untilMs = performance.now() + STALL_MS;
  while (performance.now() < untilMs);
  setImmediate(() => setImmediate(leave));
}

const STALLS: Record<string, (leave: () => void) => Setup> = {
  'the answer to its request for a turn': (leave) => ({
    ask: async () => {
      stallWhile(leave);
      return { kind: 'given', ownerId: 'g2' };
    },
  }),
  'the end of its wait for a turn': (leave) => ({
    ask: async (_question, count) => {
      if (count === 1) return { kind: 'wait', waitMs: 20, ownerId: 'g2' };
      stallWhile(leave);
      return { kind: 'given', ownerId: 'g2' };
    },
  }),
  'a permit': (leave) => ({
    takePermit: async () => {
      stallWhile(leave);
      return true;
    },
  }),
};

// After a stall of the event loop the event that ends the wait is handled before the close of a caller that left meanwhile.
Object.entries(STALLS).forEach(([name, setupFor]) => {
  test(`a request whose caller left in a stall before ${name} is sent to no upstream`, async () => {
    const { sink, leave } = createSink();
    const fixture = await createFixture(setupFor(leave));
    try {
      const ending = await fixture.serve(createCall(), sink);
      assert.is(ending.kind, 'caller-gone');
      assert.equal(fixture.upstream.requests, []);
    } finally {
      await fixture.close();
    }
  });
});

// Guards against sending to an upstream that began to drain while the request waited for its turn there.
test('a draining upstream gets no requests that have waited for it', async () => {
  const fixture = await createFixture({
    ask: async (_question, count) => {
      if (count === 1) return { kind: 'wait', waitMs: 10, ownerId: 'g2' };
      fixture.list([{ ...fixture.upstream.record, state: 'draining' }], 2);
      return { kind: 'given', ownerId: 'g2' };
    },
  });
  try {
    const ending = await fixture.serve(createCall(), createSink().sink);
    assert.is(ending.kind, 'not-run');
    assert.equal(fixture.upstream.requests, []);
    assert.equal(
      fixture.ended.map(({ isPrefilled }) => isPrefilled),
      [false],
    );
  } finally {
    await fixture.close();
  }
});

test('a request that gets no turn in time anywhere is refused as overloaded, with a retry time', async () => {
  const fixture = await createFixture({
    ask: async () => ({ kind: 'full', retryAfterMs: 700, ownerId: 'g2' }),
  });
  try {
    const ending = await fixture.serve(createCall(), createSink().sink);
    assert.equal(ending, { kind: 'not-run', cause: 'overloaded', retryAfterMs: 700 });
    assert.equal(fixture.upstream.requests, []);
  } finally {
    await fixture.close();
  }
});

// Guards against counting the turn of a rejected request until it expires.
test('a turn ends when the upstream has not run the request', async () => {
  const fixture = await createFixture({ answer: (socket) => socket.write(REJECTED) });
  try {
    const ending = await fixture.serve(createCall(), createSink().sink);
    assert.is(ending.kind, 'not-run');
    assert.equal(
      fixture.ended.map(({ isPrefilled }) => isPrefilled),
      [false],
    );
  } finally {
    await fixture.close();
  }
});

// Guards against a turn that is held for a request whose upstream has stopped inside the head of its answer.
test('a turn ends when the upstream ends within the head of its answer', async () => {
  const half = `${GOOD_HEAD}\r\n`;
  const endings: Answer[] = [
    (socket) => socket.end(half),
    (socket) => socket.write(half, () => setTimeout(() => socket.resetAndDestroy(), 20)),
    (socket) => socket.write(half),
  ];
  for (const answer of endings) {
    const { serve, ended, close } = await createFixture({ answer });
    try {
      const { sink, state } = createSink();
      const deadlineMs = performance.now() + 300;
      const ending = await serve({ ...createCall(), deadlineMs }, sink);
      assert.equal([ending.kind, state.hasBegun], ['failed', false]);
      assert.equal(
        ended.map(({ isPrefilled }) => isPrefilled),
        [false],
      );
    } finally {
      await close();
    }
  }
});

// Answers to invalid requests arrive at once; the turn owner would learn from them that the upstream prefills quickly.
test('a turn that ends with an error is not reported as prefilled', async () => {
  const fixture = await createFixture({ answer: (socket) => socket.write(INVALID) });
  try {
    const ending = await fixture.serve(createCall(), createSink().sink);
    assert.equal(ending, { kind: 'answered', status: 400, upstreamId: 'u1' });
    assert.equal(
      fixture.ended.map(({ isPrefilled }) => isPrefilled),
      [false],
    );
  } finally {
    await fixture.close();
  }
});

// Guards against requests that were admitted before it was known what ends upstreams, and are sent afterwards.
test('a request that waits for its turn or permit is not sent if it is refused meanwhile', async () => {
  for (const waitsFor of ['turn', 'permit']) {
    const refuse = { now: () => {} };
    const fixture = await createFixture({
      ask: async () => {
        if (waitsFor === 'turn') refuse.now();
        return GRANTED();
      },
      takePermit: async () => {
        if (waitsFor === 'permit') refuse.now();
        return true;
      },
    });
    refuse.now = fixture.refuseAll;
    try {
      const ending = await fixture.serve(createCall(), createSink().sink);
      assert.equal([ending.kind, 'cause' in ending && ending.cause], ['not-run', 'quarantined']);
      assert.is(fixture.upstream.requests.length, 0);
    } finally {
      await fixture.close();
    }
  }
});

// Guards against an attempt after a crash by a request that is known to cause them.
test('a request whose attempt was lost is not sent again if it is refused meanwhile', async () => {
  const refuse = { now: () => {} };
  const fixture = await createFixture({
    answer: (socket) => {
      refuse.now();
      socket.destroy();
    },
  });
  refuse.now = fixture.refuseAll;
  const { record } = fixture.upstream;
  fixture.list([record, { ...record, upstreamId: 'u2', name: 'u2' }], 2);
  try {
    const call = createCall();
    const route = { ...call.route, kind: 'idempotent', maxAttempts: 3 } as const;
    const ending = await fixture.serve({ ...call, route }, createSink().sink);
    assert.equal([ending.kind, 'cause' in ending && ending.cause], ['failed', 'upstream-lost']);
    assert.is(fixture.upstream.requests.length, 1);
  } finally {
    await fixture.close();
  }
});

// Guards against a trial that ends two upstreams: that of its attempt, and that of the retry after it.
test('a request on trial is sent once', async () => {
  const fixture = await createFixture({ isOnTrial: true, answer: (socket) => socket.destroy() });
  fixture.refuseAll();
  const { record } = fixture.upstream;
  fixture.list([record, { ...record, upstreamId: 'u2', name: 'u2' }], 2);
  try {
    const call = createCall();
    const route = { ...call.route, kind: 'idempotent', maxAttempts: 3 } as const;
    const ending = await fixture.serve({ ...call, route }, createSink().sink);
    assert.is(ending.kind, 'failed');
    assert.is(fixture.upstream.requests.length, 1);
  } finally {
    await fixture.close();
  }
});

/** Answers after which the request may have run: only the upstream's own word that it has not would show otherwise. */
const POSSIBLY_RUN: Record<string, Answer> = {
  '500 without a signature': answerWith('HTTP/1.1 500 Error\r\nt-id: r1'),
  '502 without a signature': answerWith('HTTP/1.1 502 Error\r\nt-id: r1'),
  '503 without a signature': answerWith('HTTP/1.1 503 Error\r\nt-id: r1'),
  '504 without a signature': answerWith('HTTP/1.1 504 Error\r\nt-id: r1'),
  '500 without an id': answerWith('HTTP/1.1 500 Error'),
  'a signed 500': answerWith('HTTP/1.1 500 Error\r\nt-id: r1\r\nt-signed: 1'),
  'a signed 504': answerWith('HTTP/1.1 504 Error\r\nt-id: r1\r\nt-signed: 1'),
  '408 without a signature': answerWith('HTTP/1.1 408 Timeout\r\nt-id: r1'),
  '429 without a word': answerWith('HTTP/1.1 429 Many\r\nt-id: r1'),
  '200 without a signature': answerWith('HTTP/1.1 200 OK\r\nt-id: r1'),
  'an answer to another': answerWith('HTTP/1.1 200 OK\r\nt-id: r0\r\nt-signed: 1'),
  'bytes that are no answer': (socket) => socket.end('no answer\r\n\r\n'),
  'a closed connection': (socket) => socket.end(),
  'a reset': (socket) => socket.resetAndDestroy(),
};

function answerWith(head: string): Answer {
  return (socket) => socket.write(`${head}\r\ncontent-length: 0\r\n\r\n`);
}

// Guards against a second run of what may run once, after any end of its first attempt.
test('what may run once is sent once, however its attempt has ended', async () => {
  for (const kind of ['at-most-once', 'stream'] as const) {
    for (const [name, answer] of Object.entries(POSSIBLY_RUN)) {
      const fixture = await createFixture({ isWanted: false, answer });
      const { record } = fixture.upstream;
      fixture.list([record, { ...record, upstreamId: 'u2', name: 'u2' }], 2);
      try {
        const call = createCall();
        const route = { ...call.route, kind, isResumable: false, maxAttempts: 3 };
        const ending = await fixture.serve({ ...call, route }, createSink().sink);
        assert.is(fixture.upstream.requests.length, 1, `${kind}: ${name}`);
        assert.is.not(ending.kind, 'not-run', `${kind}: ${name}`);
      } finally {
        await fixture.close();
      }
    }
  }
});

// Guards against giving up what another upstream could serve.
test('what may run again is sent to another upstream after a failure', async () => {
  for (const kind of ['idempotent', 'stream'] as const) {
    const answers = [POSSIBLY_RUN['500 without a signature'], answerWith(GOOD_HEAD)];
    const answer: Answer = (socket) => answers.shift()?.(socket);
    const fixture = await createFixture({ isWanted: false, answer });
    const { record } = fixture.upstream;
    fixture.list([record, { ...record, upstreamId: 'u2', name: 'u2' }], 2);
    try {
      const call = createCall();
      const route = { ...call.route, kind, isResumable: true, maxAttempts: 2 };
      const ending = await fixture.serve({ ...call, route }, createSink().sink);
      assert.equal([ending.kind, fixture.upstream.requests.length], ['answered', 2], kind);
    } finally {
      await fixture.close();
    }
  }
});

// Guards against requests that end without an answer since what is thrown for one upstream ends them: the connection, or the dispatch.
test('a request goes to another upstream where one cannot be connected to', async () => {
  type Changes = (id: string) => Partial<fleet.UpstreamRecord>;
  const unusable: [string, Changes, RegExp][] = [
    ['address', (id) => ({ name: id, address: '999.0.0.1:80' }), /upstream-unusable.*Invalid URL/],
    ['port', (id) => ({ name: id, address: '127.0.0.1:70000' }), /upstream-unusable.*Invalid URL/],
    ['name', (id) => ({ name: `${id}\n` }), /attempt-ended.*not-sent.*invalid .* header/],
  ];
  for (const kind of ['idempotent', 'at-most-once', 'stream'] as const) {
    for (const [label, odd, cause] of unusable) {
      const fixture = await createFixture({ isWanted: false });
      const { record } = fixture.upstream;
      const others = ['u2', 'u3', 'u4'].map((id) => ({ ...record, upstreamId: id, ...odd(id) }));
      fixture.list([record, ...others], 2);
      try {
        const call = createCall();
        const route = { ...call.route, kind, maxAttempts: 1 };
        const endings = [];
        for (let count = 0; count < 4; count += 1) {
          endings.push(await fixture.serve({ ...call, route }, createSink().sink));
        }
        assert.equal(
          endings.map((ending) => [ending.kind, 'upstreamId' in ending && ending.upstreamId]),
          endings.map(() => ['answered', 'u1']),
          `${kind}: ${label}`,
        );
        assert.ok(
          fixture.lines.some((line) => cause.test(line)),
          `${kind}: ${label}`,
        );
      } finally {
        await fixture.close();
      }
    }
  }
});

// Guards against retries that are counted when they are decided and arrive later, those of several windows at once.
test('retries that waited are counted when they are sent', async () => {
  const retryLimits = { ratio: 0, slack: 6, windowMs: 300 };
  const callCount = 4;
  let permitCount = 0;
  let open: () => void = () => {};
  const opened = new Promise<void>((resolve) => {
    open = resolve;
  });
  const fixture = await createFixture({
    isWanted: false,
    retryLimits,
    answer: (socket) => socket.write(REJECTED),
    takePermit: async () => {
      permitCount += 1;
      // In turn, the first sends and the retries of the early calls, and those of the late ones.
      const isRetry = Math.ceil(permitCount / callCount) % 2 === 0;
      if (isRetry) await opened;
      return true;
    },
  });
  try {
    const { record } = fixture.upstream;
    fixture.list([record, { ...record, upstreamId: 'u2', name: 'u2' }], 2);
    const serveAll = () =>
      Array.from({ length: callCount }, () => fixture.serve(createCall(), createSink().sink));
    const early = serveAll();
    await timers.setTimeout(2 * retryLimits.windowMs);
    const late = serveAll();
    await timers.setTimeout(retryLimits.windowMs / 2);
    const firstCount = fixture.upstream.requests.length;
    open();
    await timers.setTimeout(retryLimits.windowMs / 2);
    const retryCount = fixture.upstream.requests.length - firstCount;
    assert.is(firstCount, 2 * callCount);
    await Promise.all([...early, ...late]);
    assert.ok(retryCount <= retryLimits.slack, `${retryCount}`);
  } finally {
    await fixture.close();
  }
});

const REFUSED_RETRY: retriesModule.RetryReply = { isAllowed: false, retryAfterMs: 50 };
const ALLOWED_RETRY: retriesModule.RetryReply = { isAllowed: true, retryAfterMs: 0 };
const NO_RETRIES = { ratio: 0, slack: 0, windowMs: 1_000 };

function answerAfter(delayMs: number): Answer {
  return (socket) => {
    setTimeout(() => answerWith(GOOD_HEAD)(socket), delayMs);
  };
}

/** Serves one call that may run again, beside as many upstreams at one address, of which the sends are answered in turn. */
async function serveSilent(
  setup: Omit<Setup, 'answer'> & { answers: Answer[]; upstreamCount?: number; timeoutMs?: number },
  during: (
    fixture: Awaited<ReturnType<typeof createFixture>>,
    leave: () => void,
  ) => void = () => {},
) {
  const { answers: pending, upstreamCount = 2, timeoutMs = 3_000 } = setup;
  const answer: Answer = (socket) => pending.shift()?.(socket);
  const fixture = await createFixture({ ...setup, isWanted: false, answer });
  const { record } = fixture.upstream;
  const ids = ['u1', 'u2'].slice(0, upstreamCount);
  fixture.list(
    ids.map((id) => ({ ...record, upstreamId: id, name: id })),
    2,
  );
  // An answer that takes longer than the shortest such time is unusual there.
  const usual = { kind: 'good', firstChunkMs: 10, predictedMs: 10 } as const;
  ids.forEach((id) => fixture.beliefs.recordOutcome(id, usual, performance.now()));
  try {
    const call = createCall();
    const route = { ...call.route, kind: 'idempotent', maxAttempts: 2 } as const;
    const model = setup.plainCallMs === undefined ? call.facts.model : null;
    const facts = { ...call.facts, model };
    const { sink, leave } = createSink();
    const startedMs = performance.now();
    const served = fixture.serve(
      { ...call, route, facts, deadlineMs: startedMs + timeoutMs },
      sink,
    );
    during(fixture, leave);
    const ending = await served;
    const cause = 'cause' in ending ? ending.cause : undefined;
    const questionCount = fixture.lines.filter((line) => /^retry-decided/.test(line)).length;
    const tookMs = performance.now() - startedMs;
    const sentCount = fixture.upstream.requests.length;
    return { kind: ending.kind, cause, sentCount, questionCount, tookMs };
  } finally {
    await fixture.close();
  }
}

/** Why no other attempt can follow while an upstream is late. */
const NO_OTHER: Record<string, Omit<Setup, 'answer'> & { upstreamCount?: number }> = {
  'its budget is spent': { retryLimits: NO_RETRIES },
  'the holder refuses': { askHolder: async () => REFUSED_RETRY },
  'the holder does not answer': { askHolder: async () => null },
  'the holder answers later than the upstream': {
    askHolder: async () => {
      await timers.setTimeout(400);
      return ALLOWED_RETRY;
    },
  },
  'there is no other upstream': { upstreamCount: 1 },
};

// Guards against breaking off an attempt for another one that can't be made: the caller got an error in place of a late answer.
Object.entries(NO_OTHER).forEach(([name, setup]) => {
  test(`a late answer reaches its caller if ${name}`, async () => {
    const served = await serveSilent({ ...setup, answers: [answerAfter(500)] });
    assert.equal([served.kind, served.sentCount], ['answered', 1]);
  });
});

// Guards against an attempt that is broken off at the end of a stop, where it can't be followed by another.
test('a late answer reaches its caller at the end of a stop', async () => {
  const served = await serveSilent({ answers: [answerAfter(500)] }, ({ unsent }) => {
    setTimeout(unsent.refuseAll, 100);
  });
  assert.equal([served.kind, served.sentCount], ['answered', 1]);
});

// Guards against an attempt that is broken off for one that then waits in the queue of plain calls until its token has lapsed.
test('a late answer reaches its caller if another attempt would be queued', async () => {
  const setup = { plainCallMs: 60, retryLimits: { ratio: 0, slack: 2, windowMs: 60_000 } };
  const served = await serveSilent({ ...setup, answers: [answerAfter(700)] }, ({ inFlight }) => {
    const other = { model: '', priority: 0, promptTokens: 0 };
    const crowd = () =>
      ['u1', 'u2'].forEach((upstreamId) => {
        for (let count = 0; count < 32; count += 1) inFlight.start({ ...other, upstreamId });
      });
    setTimeout(crowd, 50);
  });
  assert.equal([served.kind, served.sentCount, served.questionCount], ['answered', 1, 0]);
  const free = await serveSilent({ plainCallMs: 60, answers: [() => {}, answerAfter(0)] });
  assert.equal([free.kind, free.sentCount, free.questionCount], ['answered', 2, 1]);
  assert.ok(free.tookMs < 400, `${free.tookMs}`);
});

// Guards against waiting for the deadline at an upstream that is dead.
test('a request at a silent upstream is sent to another as soon as it has a token', async () => {
  const first = await serveSilent({ answers: [() => {}, answerAfter(0)] });
  assert.equal([first.kind, first.sentCount, first.questionCount], ['answered', 2, 1]);
  assert.ok(first.tookMs < 400, `${first.tookMs}`);
  const later = await serveSilent({
    answers: [() => {}, answerAfter(0)],
    askHolder: async (count) => (count === 1 ? REFUSED_RETRY : ALLOWED_RETRY),
  });
  assert.equal([later.kind, later.sentCount, later.questionCount], ['answered', 2, 2]);
  assert.ok(later.tookMs < 900, `${later.tookMs}`);
});

// Guards against a holder that is flooded by silent requests, and against a request without an answer at its deadline.
test('a request that stays silent asks for a token at doubling intervals, and ends at its deadline', async () => {
  const timeoutMs = 2_200;
  const served = await serveSilent({
    answers: [],
    askHolder: async () => REFUSED_RETRY,
    timeoutMs,
  });
  assert.equal([served.kind, served.cause, served.sentCount], ['failed', 'timeout', 1]);
  assert.ok(served.questionCount >= 2 && served.questionCount <= 4, `${served.questionCount}`);
  assert.ok(served.tookMs >= timeoutMs - 5 && served.tookMs < timeoutMs + 200, `${served.tookMs}`);
});

test('a caller that leaves while the token is asked for ends the attempt', async () => {
  const askHolder = async () => {
    await timers.setTimeout(300);
    return ALLOWED_RETRY;
  };
  const served = await serveSilent({ answers: [], askHolder }, (_fixture, leave) => {
    setTimeout(leave, 350);
  });
  assert.equal([served.kind, served.sentCount], ['caller-gone', 1]);
  assert.ok(served.tookMs < 450, `${served.tookMs}`);
});

const STOPPING: calls.Ending = { kind: 'not-run', cause: 'stopping', retryAfterMs: 100 };

/** A stop that refuses what may take longer than what is left. */
function lateStop(): stopTimes.StopTimes {
  const nowMs = performance.now();
  const endMs = nowMs + 1_500;
  return { stopAtMs: nowMs - 5_000, takesAllUntilMs: nowMs, refusesUnsentMs: endMs - 500, endMs };
}

// Guards against another attempt that the end of a stop cuts off, whether the first one was lost, turned away or is only silent.
test('a request is not sent again where a stop leaves no time for it', async () => {
  const whileLate = (answer: Answer) =>
    serveSilent({ answers: [answer, answerAfter(0)] }, ({ stopping }) => {
      setTimeout(() => {
        stopping.times = lateStop();
      }, 100);
    });
  const later =
    (act: Answer): Answer =>
    (socket) =>
      setTimeout(act, 300, socket);
  const silent = await whileLate(answerAfter(600));
  assert.equal([silent.kind, silent.sentCount], ['answered', 1]);
  const lost = await whileLate(later((socket) => socket.destroy()));
  assert.equal([lost.kind, lost.cause, lost.sentCount], ['failed', 'upstream-lost', 1]);
  const rejected = await whileLate(later((socket) => socket.write(REJECTED)));
  assert.equal([rejected.kind, rejected.cause, rejected.sentCount], ['not-run', 'stopping', 1]);
});

// Guards against an error in place of a late answer, where an attempt is given up just before a stop leaves no time for the next.
test('an attempt that was given up for another is followed by it, in a stop too', async () => {
  let permitCount = 0;
  const takePermit = async () => {
    permitCount += 1;
    if (permitCount > 1) await timers.setTimeout(300);
    return true;
  };
  const pending = { answers: [() => {}, answerAfter(0)], takePermit };
  const served = await serveSilent(pending, ({ stopping }) => {
    const times = lateStop();
    stopping.times = { ...times, takesAllUntilMs: performance.now() + 400 };
  });
  assert.equal([served.kind, served.sentCount], ['answered', 2]);
});

// Guards against a request that waits on until the end of a stop, although it could not be over by then any more.
test('a request that waits is refused as soon as a stop leaves no time for it', async () => {
  const waiting = async () => ({ kind: 'wait', ownerId: 'g2', waitMs: 10_000 }) as const;
  const fixture = await createFixture({ ask: waiting });
  try {
    const served = fixture.serve(createCall(), createSink().sink);
    await timers.setTimeout(50);
    fixture.unsent.refuseLate();
    await timers.setTimeout(20);
    fixture.stopping.times = lateStop();
    const early = await Promise.race([served, timers.setTimeout(20, 'goes on' as const)]);
    fixture.unsent.refuseLate();
    assert.equal([early, await served], ['goes on', STOPPING]);
    const line = fixture.lines.find((one) => one.startsWith('ended-by-stop')) ?? '';
    assert.match(line, /"requestId":"r1","outcome":"refused","readSinceStopMs":4\d\d\d,/);
  } finally {
    await fixture.close();
  }
});

/** Serves a call that is under way when the end of a stop comes; `release` ends what it waits for after that. */
async function serveAtStop(setup: Setup, release: () => void = () => {}) {
  const fixture = await createFixture(setup);
  const { sink, state } = createSink();
  const served = fixture.serve(createCall(), sink);
  await timers.setTimeout(50);
  fixture.unsent.refuseAll();
  release();
  const ending = await Promise.race([served, timers.setTimeout(100, 'goes on' as const)]);
  await timers.setTimeout(50);
  const sentCount = fixture.upstream.requests.length;
  await fixture.close();
  return { ending, sentCount, body: state.body };
}

// Guards against a stop that cuts off a request that waits for an upstream, and against one that is refused and sent all the same.
test('at the end of a stop a request that waits for a turn or a permit is refused, and never sent', async () => {
  const waiting = async () => ({ kind: 'wait', ownerId: 'g2', waitMs: 60 }) as const;
  assert.equal(await serveAtStop({ ask: waiting }), { ending: STOPPING, sentCount: 0, body: '' });
  let grant: (isGranted: boolean) => void = () => {};
  const takePermit = () =>
    new Promise<boolean>((resolve) => {
      grant = resolve;
    });
  const permitted = await serveAtStop({ takePermit }, () => grant(true));
  assert.equal(permitted, { ending: STOPPING, sentCount: 0, body: '' });
});

// Guards against a refusal of what an upstream may be running, which its caller would send again.
test('at the end of a stop a request at an upstream goes on, and is refused once that has rejected it', async () => {
  const { ending, sentCount } = await serveAtStop({ answer: () => {} });
  assert.equal([ending, sentCount], ['goes on', 1]);
  let answer = () => {};
  const rejected = await serveAtStop(
    {
      answer: (socket) => {
        answer = () => socket.write(REJECTED);
      },
    },
    () => answer(),
  );
  assert.equal(rejected, { ending: STOPPING, sentCount: 1, body: '' });
});

// Guards against a close without an answer at the end of a stop, and against an upstream that works on for nobody.
test('at the end of a stop a request at an upstream is answered, and its connection there closed', async () => {
  const state = { isClosed: false };
  const fixture = await createFixture({
    answer: (socket) => {
      socket.once('close', () => Object.assign(state, { isClosed: true }));
    },
  });
  try {
    const served = fixture.serve(createCall(), createSink().sink);
    await timers.setTimeout(50);
    fixture.unsent.refuseAll();
    await timers.setTimeout(20);
    assert.is(state.isClosed, false);
    fixture.unsent.endAll();
    assert.equal(await served, { kind: 'failed', cause: 'stopping', upstreamId: 'u1' });
    await timers.setTimeout(20);
    assert.is(state.isClosed, true);
  } finally {
    await fixture.close();
  }
});

test.run();
