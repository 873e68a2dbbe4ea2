import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as batchHolding from '../../shared/batch-holding.js';
import type * as upstreamChoice from '../../shared/upstream-choice.js';
import type * as calls from '../../types/calls.js';
import * as settings from '../../types/settings.js';
import * as heldRequests from './held-requests.js';
import * as runs from './run.js';

const test = suite('held requests');

const OBJECTIVE_MS = 6_000;
const FULL: batchHolding.UpstreamLoad = {
  slots: 48,
  inFlightCount: 48,
  moreUrgentCount: 40,
  unreadMs: 300,
  ownPrefillMs: 50,
};
const FREE: batchHolding.UpstreamLoad = {
  ...FULL,
  inFlightCount: 4,
  moreUrgentCount: 2,
  unreadMs: 0,
};
const OVERLOADED: upstreamChoice.Choice = { kind: 'overloaded', predictedMs: 9_000 };
const SEND = { kind: 'send', predictedMs: 200, upstreamId: 'u1' } as upstreamChoice.Choice;

function createCall(latencyObjectiveMs: number, arrivedAtMs: number): calls.Call {
  return {
    requestId: 'r1',
    service: 's',
    route: { kind: 'stream', latencyObjectiveMs, priority: 1 },
    facts: { model: 'm' },
    body: Buffer.from('body'),
    arrivedAtMs,
    elapsedBeforeMs: 0,
    deadlineMs: arrivedAtMs + 20_000,
  } as unknown as calls.Call;
}

function createSink() {
  let callerGone: (() => void) | null = null;
  let isGone = false;
  return {
    onCallerGone: (task: (() => void) | null) => {
      callerGone = task;
    },
    isCallerGone: () => isGone,
    leave: () => {
      isGone = true;
      callerGone?.();
    },
  };
}

function createFixture(options: { isOn?: boolean } = {}) {
  const clock = fakeClocks.createFakeClock();
  const state = {
    places: [FULL],
    isStopping: false,
    givesWay: false,
    ends: [] as string[],
    lines: [] as string[],
  };
  const held = heldRequests.createHeldRequests({
    clock,
    log: {
      info: (event, fields) => {
        state.lines.push(`${event} ${'cause' in fields ? String(fields.cause) : ''}`.trim());
      },
    },
    metrics: { held: (cause) => state.ends.push(cause) },
    router: {
      needsModel: () => true,
      upstreamLoads: () => state.places,
      answerMs: (_call, predictedMs) => predictedMs,
      mustYield: () => state.givesWay,
    },
    isOn: () => options.isOn ?? true,
    gatewayCount: () => 3,
    isStopping: () => state.isStopping,
    holdingLimits: { requestsMax: 2, bytesMax: 1_000 },
  });
  function hold(choice: upstreamChoice.Choice, objectiveMs = OBJECTIVE_MS) {
    const sink = createSink();
    const run = runs.createRun();
    const outcome = { wasHeld: null as boolean | null, endedAtMs: -1 };
    void held.hold(createCall(objectiveMs, clock.nowMs()), run, sink, choice).then((wasHeld) => {
      outcome.wasHeld = wasHeld;
      outcome.endedAtMs = clock.nowMs();
    });
    return { outcome, run, sink };
  }
  return { clock, state, held, hold };
}

test('batch requests wait while their upstreams are full, and are sent when there is room', async () => {
  const fixture = createFixture();
  const { outcome } = fixture.hold(OVERLOADED);
  await fixture.clock.advance(1_000);
  assert.is(outcome.wasHeld, null);
  fixture.state.places = [FREE];
  await fixture.clock.advance(400);
  assert.is(outcome.wasHeld, true);
  assert.equal(fixture.state.ends, ['capacity']);
  assert.equal(fixture.state.lines, ['request-held', 'request-hold-ended capacity']);
  assert.is(fixture.clock.nextTimerMs(), null);
});

test('a request is held while it has to yield to others, even if there is room', async () => {
  const fixture = createFixture();
  fixture.state.places = [FREE];
  fixture.state.givesWay = true;
  const { outcome } = fixture.hold(SEND);
  await fixture.clock.advance(1_000);
  assert.is(outcome.wasHeld, null);
  fixture.state.givesWay = false;
  await fixture.clock.advance(400);
  assert.is(outcome.wasHeld, true);
});

test('interactive requests are not held, and no requests are where holding is switched off', async () => {
  const interactive = createFixture();
  const first = interactive.hold(OVERLOADED, 600);
  const off = createFixture({ isOn: false });
  const second = off.hold(OVERLOADED);
  await interactive.clock.settle();
  assert.is(first.outcome.wasHeld, false);
  assert.is(second.outcome.wasHeld, false);
  assert.equal([...interactive.state.lines, ...off.state.lines], []);
});

test('a request is not held if its upstreams are unavailable for another reason than a queue', async () => {
  const fixture = createFixture();
  const { outcome } = fixture.hold({ kind: 'model-missing' });
  await fixture.clock.settle();
  assert.is(outcome.wasHeld, false);
});

test('without room a request is released while its objective still leaves time for the answer', async () => {
  const fixture = createFixture();
  const { outcome } = fixture.hold(SEND);
  await fixture.clock.advance(OBJECTIVE_MS);
  assert.is(outcome.wasHeld, true);
  assert.ok(outcome.endedAtMs + 200 < OBJECTIVE_MS, `${outcome.endedAtMs}`);
  assert.equal(fixture.state.ends, ['latest-start']);
});

// Other requests may use up the room between a release and the choice of an upstream: the request is then held again.
test('a request that is held again keeps its latest start, and after that it is released for good', async () => {
  const fixture = createFixture();
  const { run, outcome } = fixture.hold(OVERLOADED);
  await fixture.clock.advance(OBJECTIVE_MS);
  assert.is(outcome.wasHeld, true);
  const call = createCall(OBJECTIVE_MS, 0);
  assert.is(await fixture.held.hold(call, run, createSink(), OVERLOADED), false);
  assert.is(await fixture.held.hold(call, run, createSink(), SEND), false);
});

test('a request is removed when its caller leaves', async () => {
  const fixture = createFixture();
  const { outcome, sink } = fixture.hold(OVERLOADED);
  await fixture.clock.advance(100);
  assert.is(fixture.held.count(), 1);
  sink.leave();
  await fixture.clock.settle();
  assert.is(outcome.wasHeld, true);
  assert.is(fixture.held.count(), 0);
  assert.equal(fixture.state.ends, ['caller-gone']);
});

// A gateway that stops exits within seconds, which would cut off the requests that it still held.
test('a gateway that stops releases the held requests and holds no more', async () => {
  const fixture = createFixture();
  const { outcome } = fixture.hold(OVERLOADED);
  await fixture.clock.advance(100);
  fixture.state.isStopping = true;
  await fixture.clock.advance(100);
  assert.is(outcome.wasHeld, true);
  const later = fixture.hold(OVERLOADED);
  await fixture.clock.settle();
  assert.is(later.outcome.wasHeld, false);
  assert.equal(fixture.state.ends, ['stopping']);
});

test('a request beyond the memory bound is not held', async () => {
  const fixture = createFixture();
  fixture.hold(OVERLOADED);
  fixture.hold(OVERLOADED);
  const third = fixture.hold(OVERLOADED);
  await fixture.clock.settle();
  assert.is(third.outcome.wasHeld, false);
  assert.is(fixture.held.count(), 2);
  assert.equal(fixture.state.ends, ['full']);
});

test('the default setting switches holding on only if the configuration has organisations', () => {
  assert.is(settings.isSwitchedOn('auto', true), true);
  assert.is(settings.isSwitchedOn('auto', false), false);
  assert.is(settings.isSwitchedOn('on', false), true);
  assert.is(settings.isSwitchedOn('off', true), false);
});

test.run();
