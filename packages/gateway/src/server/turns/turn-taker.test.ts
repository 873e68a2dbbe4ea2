import { clocks, logs } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as serviceTimesModule from '../../shared/service-times.js';
import * as statesModule from '../../shared/upstream-states.js';
import type * as upstreamChoice from '../../shared/upstream-choice.js';
import type * as calls from '../../types/calls.js';
import type * as logEvents from '../../types/log-events.js';
import * as runs from '../forwarding/run.js';
import * as turnTakers from './turn-taker.js';
import type * as turnsModule from './turns.js';

const test = suite('turns for requests');

const ROUTE: calls.Call['route'] = {
  name: 'chat',
  host: 'a.example',
  pathPrefix: '/',
  kind: 'stream',
  targets: [],
  maxAttempts: 2,
  timeoutMs: 10_000,
  latencyObjectiveMs: 800,
  pauseObjectiveMs: 300,
  priority: 1,
  isResumable: false,
  isPublic: false,
};

function createCall(overrides: Partial<calls.Call> = {}): calls.Call {
  return {
    requestId: 'r1',
    route: ROUTE,
    service: 'pool',
    method: 'POST',
    path: '/',
    headers: [],
    body: Buffer.alloc(0),
    facts: {
      requestId: 'r1',
      remainingMs: null,
      model: 'm1',
      adapter: null,
      promptTokens: 2_000,
      outputTokens: 100,
      promptParts: [],
      tokenCount: null,
      apiKey: null,
      originRequestId: null,
    },
    organisation: null,
    priority: 1,
    arrivedAtMs: 0,
    bufferedMs: 0,
    elapsedBeforeMs: 0,
    deadlineMs: 10_000,
    fingerprint: 'f',
    resumeAfterId: null,
    ...overrides,
  };
}

function choiceOf(upstreamId: string, ownTokens = 2_000): turnTakers.SendChoice {
  return {
    kind: 'send',
    upstreamId,
    predictedMs: 100,
    baselinePredictedMs: 100,
    speed: { latencyRatio: 1, transientFactor: 1 },
    needsAdapter: false,
    isQueued: false,
    predictionInputs: {
      uncachedTokens: ownTokens,
      prefillAheadMs: 0,
      inFlightCount: 0,
      slotWaiterCount: 0,
      slots: 64,
    },
    passedOverIds: [],
  };
}

type Reply =
  | { kind: 'given' }
  | { kind: 'wait'; waitMs: number }
  | { kind: 'full'; retryAfterMs: number }
  | { kind: 'unanswered' };

type Setup = {
  isWanted?: (upstreamId: string) => boolean;
  /** Answers in turn; the last one stands for all later ones. */
  replies?: Record<string, readonly Reply[]>;
  /** Upstreams with the model, the best first. */
  upstreamIds?: readonly string[];
  chooseOnly?: () => upstreamChoice.Choice;
  answerMs?: number;
};

function createRig(setup: Setup = {}) {
  const { upstreamIds = ['u1'], replies = {} } = setup;
  const clock = fakeClocks.createFakeClock();
  const asked: { upstreamId: string; turnId: number; atMs: number; canWaitMs: number }[] = [];
  const ended: { turnId: number; isPrefilled: boolean }[] = [];
  const outcomes: string[] = [];
  let callerGone: (() => void) | null = null;
  let isGone = false;
  let lastTurnId = 0;
  const counts = new Map<string, number>();
  const turns: Pick<turnsModule.Turns, 'isWanted' | 'nextTurnId' | 'ask' | 'end'> = {
    isWanted: setup.isWanted ?? (() => true),
    nextTurnId: () => {
      lastTurnId += 1;
      return lastTurnId;
    },
    ask: async ({ upstreamId, turnId, canWaitMs }) => {
      asked.push({ upstreamId, turnId, atMs: clock.nowMs(), canWaitMs });
      if (setup.answerMs !== undefined) {
        await clocks.sleepUntil(clock, clock.nowMs() + setup.answerMs);
      }
      const at = counts.get(upstreamId) ?? 0;
      counts.set(upstreamId, at + 1);
      const list = replies[upstreamId] ?? [{ kind: 'given' }];
      return { ownerId: 'g9', ...(list[Math.min(at, list.length - 1)] as Reply) };
    },
    end: (_ownerId, { turnId, isPrefilled }) => ended.push({ turnId, isPrefilled }),
  };
  const isLate = (call: calls.Call) =>
    call.elapsedBeforeMs + clock.nowMs() - call.arrivedAtMs > call.route.latencyObjectiveMs;
  const take = turnTakers.createTurnTaker({
    clock,
    log: logs.createSilentLogger() as logEvents.GatewayLog,
    metrics: { turnWaited: (outcome) => outcomes.push(outcome) },
    turns,
    states: statesModule.createUpstreamStates(),
    paces: serviceTimesModule.createServiceTimeEstimator(),
    router: {
      needsModel: () => true,
      priorityOf: ({ priority }) => priority,
      isLate,
      choose: (_call, { excludedIds }) => {
        const upstreamId = upstreamIds.find((id) => !excludedIds.has(id));
        return upstreamId === undefined ? { kind: 'no-upstream' } : choiceOf(upstreamId);
      },
      chooseOnly:
        setup.chooseOnly === undefined
          ? (_call, _run, upstreamId) => choiceOf(upstreamId)
          : setup.chooseOnly,
    },
  });
  const sink = {
    isCallerGone: () => isGone,
    onCallerGone: (task: (() => void) | null) => {
      callerGone = task;
    },
  };
  return {
    clock,
    asked,
    ended,
    outcomes,
    leave: () => {
      isGone = true;
      callerGone?.();
    },
    hasListener: () => callerGone !== null,
    start: (call: calls.Call, run = runs.createRun(), choice = choiceOf('u1')) => {
      const state: { verdict: turnTakers.TurnVerdict | null } = { verdict: null };
      void take(call, run, sink, choice).then((verdict) => {
        state.verdict = verdict;
      });
      return state;
    },
  };
}

// Failure: the new part changes how a deployment is served that does not call for it.
test('where no turn is wanted the choice is sent as it is, without a question or a wait', async () => {
  const choice = choiceOf('u1');
  const cases = [
    { call: createCall(), rig: createRig({ isWanted: () => false }), choice },
    { call: createCall({ route: { ...ROUTE, kind: 'idempotent' } }), rig: createRig(), choice },
    { call: createCall(), rig: createRig(), choice: choiceOf('u1', 10) },
  ];
  for (const { call, rig, choice: chosen } of cases) {
    const state = rig.start(call, runs.createRun(), chosen);
    await rig.clock.settle();
    const { verdict } = state;
    assert.is(verdict?.kind, 'send');
    if (verdict?.kind === 'send') {
      assert.is(verdict.choice, chosen);
      verdict.turn.ended(true, null);
    }
    assert.equal([rig.asked, rig.ended, rig.outcomes], [[], [], []]);
    assert.is(rig.clock.nextTimerMs(), null);
  }
});

test('a turn that is given is ended once, at the first event', async () => {
  const rig = createRig();
  const state = rig.start(createCall());
  await rig.clock.settle();
  const { verdict } = state;
  assert.is(verdict?.kind, 'send');
  if (verdict?.kind !== 'send') return;
  await rig.clock.advance(80);
  verdict.turn.ended(true, null);
  verdict.turn.ended(false, null);
  assert.equal(rig.ended, [{ turnId: 1, isPrefilled: true }]);
});

test('it waits and asks again with the same id', async () => {
  const rig = createRig({ replies: { u1: [{ kind: 'wait', waitMs: 30 }, { kind: 'given' }] } });
  const state = rig.start(createCall());
  await rig.clock.advance(29);
  assert.is(state.verdict, null);
  await rig.clock.advance(1);
  assert.is(state.verdict?.kind, 'send');
  assert.equal(
    rig.asked.map(({ turnId, atMs }) => ({ turnId, atMs })),
    [
      { turnId: 1, atMs: 0 },
      { turnId: 1, atMs: 30 },
    ],
  );
  assert.equal(rig.outcomes, ['given']);
});

// Failure: a request runs at an upstream for a caller that left while it waited for its turn.
test('a caller that leaves during the wait is not sent for, and its place is given up at once', async () => {
  const rig = createRig({ replies: { u1: [{ kind: 'wait', waitMs: 90 }] } });
  const state = rig.start(createCall());
  await rig.clock.advance(10);
  rig.leave();
  await rig.clock.settle();
  assert.is(state.verdict?.kind, 'caller-gone');
  assert.equal(rig.ended, [{ turnId: 1, isPrefilled: false }]);
  assert.is(rig.hasListener(), false);
});

test('a caller that leaves while the owner is asked gives its turn back', async () => {
  const rig = createRig({ answerMs: 2 });
  const state = rig.start(createCall());
  await rig.clock.advance(1);
  rig.leave();
  await rig.clock.advance(1);
  assert.is(state.verdict?.kind, 'caller-gone');
  assert.equal(rig.ended, [{ turnId: 1, isPrefilled: false }]);
});

test('after full the next best upstream is asked; at none it is refused with the shortest time', async () => {
  const full = (retryAfterMs: number): Reply => ({ kind: 'full', retryAfterMs });
  const upstreamIds = ['u1', 'u2', 'u3'];
  const rig = createRig({ upstreamIds, replies: { u1: [full(500)] } });
  const state = rig.start(createCall());
  await rig.clock.settle();
  const { verdict } = state;
  assert.is(verdict?.kind === 'send' && verdict.choice.upstreamId, 'u2');

  const replies = { u1: [full(500)], u2: [full(300)], u3: [full(700)] };
  const refusing = createRig({ upstreamIds, replies });
  const refused = refusing.start(createCall());
  await refusing.clock.settle();
  assert.equal(refused.verdict, { kind: 'refuse', predictedMs: 300 });
});

test('with a long wait two upstreams are asked, no more, and the place at the other is given up', async () => {
  const wait: Reply = { kind: 'wait', waitMs: 60 };
  const upstreamIds = ['u1', 'u2', 'u3'];
  const replies = { u1: [wait], u2: [wait, { kind: 'given' } as const], u3: [wait] };
  const rig = createRig({ upstreamIds, replies });
  const state = rig.start(createCall());
  await rig.clock.advance(59);
  assert.equal(
    rig.asked.map(({ upstreamId }) => upstreamId),
    ['u1', 'u2'],
  );
  await rig.clock.advance(2);
  const { verdict } = state;
  assert.is(verdict?.kind === 'send' && verdict.choice.upstreamId, 'u2');
  assert.equal(rig.ended, [{ turnId: 1, isPrefilled: false }]);
});

test('an upstream that asks for no turns takes the request at once', async () => {
  const rig = createRig({
    upstreamIds: ['u1', 'u2'],
    isWanted: (id) => id === 'u1',
    replies: { u1: [{ kind: 'wait', waitMs: 60 }] },
  });
  const state = rig.start(createCall());
  await rig.clock.settle();
  const { verdict } = state;
  assert.is(verdict?.kind === 'send' && verdict.choice.upstreamId, 'u2');
  assert.equal(rig.ended, [{ turnId: 1, isPrefilled: false }]);
});

// Failure: a request is held beyond the time at which it could still be answered in time.
test('no request is held beyond its objective less the time its answer takes', async () => {
  const rig = createRig({ replies: { u1: [{ kind: 'wait', waitMs: 20 }] } });
  const state = rig.start(createCall({ elapsedBeforeMs: 100 }));
  await rig.clock.advance(800);
  assert.is(state.verdict?.kind, 'refuse');
  const last = rig.asked.at(-1);
  assert.ok(last !== undefined && last.atMs < 700 - 70, String(last?.atMs));
  assert.ok(rig.asked.every(({ canWaitMs }) => canWaitMs <= 700));
  assert.equal(rig.ended, [{ turnId: 1, isPrefilled: false }]);
});

// Failure: a caller that came back after a refusal, late already, is refused again; or it is held long for nothing.
test("what is late already waits for half of its caller's patience at most and is then sent", async () => {
  const replies = { u1: [{ kind: 'wait', waitMs: 40 } as const] };
  const late = createRig({ replies });
  const state = late.start(createCall({ elapsedBeforeMs: 900 }));
  await late.clock.advance(1_700);
  assert.is(state.verdict?.kind, 'send');
  // Callers with an objective of 800 ms stay for 3.2 s without an event.
  assert.ok((late.asked.at(-1)?.atMs ?? Infinity) <= 1_610);

  const resumed = createRig({ replies: { u1: [{ kind: 'full', retryAfterMs: 900 }] } });
  const run = { ...runs.createRun(), hasBegun: true, resumeAfterId: '7' };
  const resumedState = resumed.start(createCall(), run);
  await resumed.clock.settle();
  assert.is(resumedState.verdict?.kind, 'send');
});

// Failure: without an owner requests are refused, or wait.
test('without an answer of the owner it is sent', async () => {
  const rig = createRig({ replies: { u1: [{ kind: 'unanswered' }] } });
  const state = rig.start(createCall());
  await rig.clock.settle();
  const { verdict } = state;
  assert.is(verdict?.kind, 'send');
  if (verdict?.kind !== 'send') return;
  // The owner may have given a turn that nobody heard of.
  verdict.turn.ended(true, null);
  assert.equal(rig.ended, [{ turnId: 1, isPrefilled: true }]);
});

// Failure: a request goes to an upstream that began to drain while it waited for its turn there.
test('an upstream that has closed during the wait gets nothing, and the turn is given back', async () => {
  const rig = createRig({
    replies: { u1: [{ kind: 'wait', waitMs: 30 }, { kind: 'given' }] },
    chooseOnly: () => ({ kind: 'no-upstream' }),
  });
  const state = rig.start(createCall());
  await rig.clock.advance(30);
  assert.is(state.verdict?.kind, 'choose-again');
  assert.equal(rig.ended, [{ turnId: 1, isPrefilled: false }]);
});

// Failure: an owner answers with an absurd time, and the request is held until its caller leaves.
test('no answer of an owner holds a request longer than it can wait', async () => {
  const rig = createRig({ replies: { u1: [{ kind: 'wait', waitMs: 60_000 }] } });
  const state = rig.start(createCall());
  await rig.clock.advance(800);
  assert.is(state.verdict?.kind, 'refuse');
  const late = createRig({ replies: { u1: [{ kind: 'wait', waitMs: 60_000 }] } });
  const lateState = late.start(createCall({ elapsedBeforeMs: 900 }));
  await late.clock.advance(1_601);
  assert.is(lateState.verdict?.kind, 'send');
});

// Failure: each waiting request keeps its body; a flood of them fills the memory.
test('beyond a bound requests do not wait', async () => {
  const rig = createRig({ replies: { u1: [{ kind: 'wait', waitMs: 39 }] } });
  const states = Array.from({ length: 230 }, () => rig.start(createCall()));
  await rig.clock.settle();
  assert.is(states.filter(({ verdict }) => verdict === null).length, 200);
  assert.is(states.filter(({ verdict }) => verdict?.kind === 'refuse').length, 30);
});

test.run();
