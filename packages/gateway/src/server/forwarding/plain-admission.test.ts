import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as upstreamChoice from '../../shared/upstream-choice.js';
import * as plainAdmissions from './plain-admission.js';

const test = suite('admission of plain calls');

const CALL_MS = 60;
const FREE_IN_MS = 30;

const SEND: upstreamChoice.Choice = {
  kind: 'send',
  upstreamId: 'u1',
  predictedMs: CALL_MS,
  baselinePredictedMs: CALL_MS,
  speed: { latencyRatio: 1, transientFactor: 1 },
  needsAdapter: false,
  isQueued: false,
  predictionInputs: {
    uncachedTokens: 0,
    prefillAheadMs: 0,
    inFlightCount: 0,
    slotWaiterCount: 0,
    slots: 6,
  },
  passedOverIds: [],
};
const NO_ROOM: upstreamChoice.Choice = { kind: 'no-room', freeInMs: FREE_IN_MS };

/** Upstreams with `slots` for this gateway's calls; `passed` lists the admitted calls in order. */
function start(slots: number) {
  const clock = fakeClocks.createFakeClock();
  const gate = plainAdmissions.createPlainAdmission({ clock });
  const state = { slots, running: 0, leftIds: new Set<string>() };
  const passed: string[] = [];
  const outcomes = new Map<string, plainAdmissions.PlainAdmissionResult>();
  const calls = new Map<string, plainAdmissions.PlainAdmissionRequest>();

  async function request(
    name: string,
    overrides: Partial<plainAdmissions.PlainAdmissionRequest> = {},
  ): Promise<void> {
    const call: plainAdmissions.PlainAdmissionRequest = {
      service: 's',
      priority: 0,
      latestStartMs: clock.nowMs() + 240,
      bodyBytes: 0,
      callMs: CALL_MS,
      hasRun: false,
      choose: (room) => (room === 'slot' && state.running >= state.slots ? NO_ROOM : SEND),
      isCallerGone: () => state.leftIds.has(name),
      ...overrides,
    };
    calls.set(name, call);
    const result = await gate.admit(call);
    outcomes.set(name, result);
    if (result.kind !== 'passed') return;
    state.running += 1;
    passed.push(name);
  }

  async function end(name: string): Promise<void> {
    const result = outcomes.get(name);
    state.running -= 1;
    if (result?.kind === 'passed') result.ended();
    await clock.advance(1);
  }

  return { clock, gate, state, passed, outcomes, calls, request, end };
}

test('a call is admitted at once while there is room', async () => {
  const { request, passed, gate } = start(2);
  await request('a');
  await request('b');
  assert.equal(passed, ['a', 'b']);
  assert.is(gate.waitingCount(), 0);
});

// In an upstream's queue an urgent call could not overtake the others.
test('when a call ends the most urgent one is admitted, then the one that can wait for the shorter time', async () => {
  const { request, passed, end, clock } = start(1);
  await request('first');
  void request('tolerant', { priority: 1, latestStartMs: 230 });
  void request('hurried', { priority: 1, latestStartMs: 200 });
  void request('urgent');
  await clock.advance(5);
  assert.equal(passed, ['first']);
  await end('first');
  await end('urgent');
  await end('hurried');
  assert.equal(passed, ['first', 'urgent', 'hurried', 'tolerant']);
});

// Guards against admitting two calls for one slot that has become free.
test('one free slot admits one call', async () => {
  const { request, passed, end, clock } = start(1);
  await request('first');
  void request('a');
  void request('b');
  await end('first');
  await clock.advance(40);
  assert.equal(passed, ['first', 'a']);
});

// A gateway that has no calls at the upstreams would otherwise wait for one to end, which never happens.
test('a free slot that is reported admits a call although no local call ended', async () => {
  const { request, passed, state, clock } = start(0);
  void request('a');
  await clock.advance(20);
  assert.equal(passed, []);
  state.slots = 1;
  await clock.advance(10);
  assert.equal(passed, ['a']);
});

// Guards against refusing a call only after it has waited until it is late.
test('a call that cannot be in time is refused at once, with the time until there is a slot', async () => {
  const { request, outcomes, gate } = start(1);
  await request('first');
  void request('a', { latestStartMs: 61 });
  await request('hopeless', { latestStartMs: FREE_IN_MS - 1 });
  assert.equal(outcomes.get('hopeless'), { kind: 'refused', retryAfterMs: FREE_IN_MS });
  await request('behind', { latestStartMs: 85, priority: 1 });
  assert.equal(outcomes.get('behind'), { kind: 'refused', retryAfterMs: FREE_IN_MS + CALL_MS });
  assert.is(gate.waitingCount(), 1);
});

// Guards against holding a call after the time by which it has to start.
test('no call is held beyond its latest start time', async () => {
  const { request, outcomes, clock, gate } = start(1);
  await request('first');
  void request('a', { latestStartMs: 100 });
  await clock.advance(101);
  assert.is(outcomes.get('a')?.kind, 'refused');
  assert.is(gate.waitingCount(), 0);
  assert.is(clock.nextTimerMs(), null);
});

// A refusal of a late retry would be reported as a failure, because its first attempt may have run.
test('a late call that has run is sent where it is not rejected, another one only to a free slot', async () => {
  const { request, passed, outcomes } = start(1);
  await request('first');
  await request('retry', { latestStartMs: -1, hasRun: true });
  await request('hopeless retry', { latestStartMs: FREE_IN_MS - 1, hasRun: true });
  await request('late', { latestStartMs: -1 });
  assert.equal(passed, ['first', 'retry', 'hopeless retry']);
  assert.equal(outcomes.get('late'), { kind: 'refused', retryAfterMs: FREE_IN_MS });
});

// Guards against sending a call whose caller has left, and against keeping it in the queue until it would have been sent.
test('a call is removed when its caller leaves', async () => {
  const { request, end, state, passed, outcomes, calls, gate, clock } = start(1);
  await request('first');
  void request('a');
  void request('b');
  gate.cancel(calls.get('a') as plainAdmissions.PlainAdmissionRequest);
  await clock.settle();
  assert.equal(outcomes.get('a'), { kind: 'caller-gone' });
  state.leftIds.add('b');
  await end('first');
  assert.equal(outcomes.get('b'), { kind: 'caller-gone' });
  assert.equal(passed, ['first']);
});

// The first call of the queue has failed at the only upstream with a free slot, and must not block the others.
test('a call that can be sent nowhere does not block the next one', async () => {
  const { request, passed, end } = start(1);
  await request('first');
  void request('stuck', { choose: () => NO_ROOM });
  void request('next', { priority: 1 });
  await end('first');
  assert.equal(passed, ['first', 'next']);
});

// An upstream that doesn't answer keeps a call for seconds; the other upstreams must not idle meanwhile.
test('an unresponsive upstream does not block the queue', async () => {
  const { request, passed, end, state } = start(2);
  await request('never answered');
  await request('a');
  void request('b');
  await end('a');
  await end('b');
  await request('c');
  assert.equal(passed, ['never answered', 'a', 'b', 'c']);
  assert.is(state.running, 2);
});

test('services do not wait for each other', async () => {
  const { request, passed, clock } = start(1);
  await request('first');
  void request('waiting');
  await request('other', { service: 's2', choose: () => SEND });
  assert.equal(passed, ['first', 'other']);
  await clock.advance(300);
});

test.run();
