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
const FULL: batchHolding.Place = {
  slots: 48,
  inFlightCount: 48,
  moreUrgentCount: 40,
  unreadMs: 300,
  ownReadMs: 50,
};
const FREE: batchHolding.Place = { ...FULL, inFlightCount: 4, moreUrgentCount: 2, unreadMs: 0 };
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

function createRig(options: { isOn?: boolean } = {}) {
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
      places: () => state.places,
      answerMs: (_call, predictedMs) => predictedMs,
      givesWay: () => state.givesWay,
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

test('batch work waits while its upstreams are needed, and is sent when there is room', async () => {
  const rig = createRig();
  const { outcome } = rig.hold(OVERLOADED);
  await rig.clock.advance(1_000);
  assert.is(outcome.wasHeld, null);
  rig.state.places = [FREE];
  await rig.clock.advance(400);
  assert.is(outcome.wasHeld, true);
  assert.equal(rig.state.ends, ['capacity']);
  assert.equal(rig.state.lines, ['request-held', 'request-hold-ended capacity']);
  assert.is(rig.clock.nextTimerMs(), null);
});

test('it waits on while it gives way to others, whatever room there is', async () => {
  const rig = createRig();
  rig.state.places = [FREE];
  rig.state.givesWay = true;
  const { outcome } = rig.hold(SEND);
  await rig.clock.advance(1_000);
  assert.is(outcome.wasHeld, null);
  rig.state.givesWay = false;
  await rig.clock.advance(400);
  assert.is(outcome.wasHeld, true);
});

test('interactive work, and all work where it is switched off, is decided on at once', async () => {
  const interactive = createRig();
  const first = interactive.hold(OVERLOADED, 600);
  const off = createRig({ isOn: false });
  const second = off.hold(OVERLOADED);
  await interactive.clock.settle();
  assert.is(first.outcome.wasHeld, false);
  assert.is(second.outcome.wasHeld, false);
  assert.equal([...interactive.state.lines, ...off.state.lines], []);
});

test('a choice that says more than that there is a queue is not waited on', async () => {
  const rig = createRig();
  const { outcome } = rig.hold({ kind: 'model-missing' });
  await rig.clock.settle();
  assert.is(outcome.wasHeld, false);
});

test('without room it is released before its objective leaves no time for the answer', async () => {
  const rig = createRig();
  const { outcome } = rig.hold(SEND);
  await rig.clock.advance(OBJECTIVE_MS);
  assert.is(outcome.wasHeld, true);
  assert.ok(outcome.endedAtMs + 200 < OBJECTIVE_MS, `${outcome.endedAtMs}`);
  assert.equal(rig.state.ends, ['latest-start']);
});

// A released request whose place another one took meanwhile: it is held again, and sent at its first latest start.
test('held again, it keeps its latest start, and a second release is final', async () => {
  const rig = createRig();
  const { run, outcome } = rig.hold(OVERLOADED);
  await rig.clock.advance(OBJECTIVE_MS);
  assert.is(outcome.wasHeld, true);
  const call = createCall(OBJECTIVE_MS, 0);
  assert.is(await rig.held.hold(call, run, createSink(), OVERLOADED), false);
  assert.is(await rig.held.hold(call, run, createSink(), SEND), false);
});

test('a caller that leaves frees its place', async () => {
  const rig = createRig();
  const { outcome, sink } = rig.hold(OVERLOADED);
  await rig.clock.advance(100);
  assert.is(rig.held.count(), 1);
  sink.leave();
  await rig.clock.settle();
  assert.is(outcome.wasHeld, true);
  assert.is(rig.held.count(), 0);
  assert.equal(rig.state.ends, ['caller-gone']);
});

// A gateway that stops exits within seconds: what it still held would be cut off with it.
test('a gateway that stops releases what it holds, and holds nothing more', async () => {
  const rig = createRig();
  const { outcome } = rig.hold(OVERLOADED);
  await rig.clock.advance(100);
  rig.state.isStopping = true;
  await rig.clock.advance(100);
  assert.is(outcome.wasHeld, true);
  const later = rig.hold(OVERLOADED);
  await rig.clock.settle();
  assert.is(later.outcome.wasHeld, false);
  assert.equal(rig.state.ends, ['stopping']);
});

test('beyond the bound of memory a request is decided on as if nothing were held', async () => {
  const rig = createRig();
  rig.hold(OVERLOADED);
  rig.hold(OVERLOADED);
  const third = rig.hold(OVERLOADED);
  await rig.clock.settle();
  assert.is(third.outcome.wasHeld, false);
  assert.is(rig.held.count(), 2);
  assert.equal(rig.state.ends, ['full']);
});

test('holding is on by itself only where the configuration has organisations', () => {
  assert.is(settings.isSwitchedOn('auto', true), true);
  assert.is(settings.isSwitchedOn('auto', false), false);
  assert.is(settings.isSwitchedOn('on', false), true);
  assert.is(settings.isSwitchedOn('off', true), false);
});

test.run();
