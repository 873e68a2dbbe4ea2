import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as upstreamChoice from '../../shared/upstream-choice.js';
import * as plainGates from './plain-gate.js';

const test = suite('gate before plain upstreams');

const CALL_MS = 60;
const FREE_IN_MS = 30;

const SEND: upstreamChoice.Choice = {
  kind: 'send',
  upstreamId: 'u1',
  predictedMs: CALL_MS,
  usualPredictedMs: CALL_MS,
  speed: { slowness: 1, momentFactor: 1 },
  needsAdapter: false,
  isQueued: false,
  work: { ownTokens: 0, readAheadMs: 0, inFlightCount: 0, overCount: 0, slots: 6 },
  passedOverIds: [],
};
const NO_ROOM: upstreamChoice.Choice = { kind: 'no-room', freeInMs: FREE_IN_MS };

/** Upstreams with `slots` for this gateway's calls; what `passed` lists has been let through in that order. */
function start(slots: number) {
  const clock = fakeClocks.createFakeClock();
  const gate = plainGates.createPlainGate({ clock });
  const state = { slots, running: 0, leftIds: new Set<string>() };
  const passed: string[] = [];
  const outcomes = new Map<string, plainGates.Passage>();
  const calls = new Map<string, plainGates.GateCall>();

  async function ask(name: string, overrides: Partial<plainGates.GateCall> = {}): Promise<void> {
    const call: plainGates.GateCall = {
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
    const passage = await gate.pass(call);
    outcomes.set(name, passage);
    if (passage.kind !== 'passed') return;
    state.running += 1;
    passed.push(name);
  }

  async function end(name: string): Promise<void> {
    const passage = outcomes.get(name);
    state.running -= 1;
    if (passage?.kind === 'passed') passage.ended();
    await clock.advance(1);
  }

  return { clock, gate, state, passed, outcomes, calls, ask, end };
}

test('a call passes at once while there is room', async () => {
  const { ask, passed, gate } = start(2);
  await ask('a');
  await ask('b');
  assert.equal(passed, ['a', 'b']);
  assert.is(gate.waitingCount(), 0);
});

// Failure: an urgent call waits in an upstream's queue, where it cannot overtake.
test('when an own call ends the most urgent one goes, then the one that can wait for the shorter time', async () => {
  const { ask, passed, end, clock } = start(1);
  await ask('first');
  void ask('patient', { priority: 1, latestStartMs: 230 });
  void ask('hurried', { priority: 1, latestStartMs: 200 });
  void ask('urgent');
  await clock.advance(5);
  assert.equal(passed, ['first']);
  await end('first');
  await end('urgent');
  await end('hurried');
  assert.equal(passed, ['first', 'urgent', 'hurried', 'patient']);
});

// Failure: two calls are let through for the one slot that has become free.
test('one free slot lets one call through', async () => {
  const { ask, passed, end, clock } = start(1);
  await ask('first');
  void ask('a');
  void ask('b');
  await end('first');
  await clock.advance(40);
  assert.equal(passed, ['first', 'a']);
});

// Failure: a gateway without calls of its own at the upstreams waits for an end that never comes.
test('news of a free slot lets a call through although no own call ended', async () => {
  const { ask, passed, state, clock } = start(0);
  void ask('a');
  await clock.advance(20);
  assert.equal(passed, []);
  state.slots = 1;
  await clock.advance(10);
  assert.equal(passed, ['a']);
});

// Failure: a call waits for a slot until it is late, and is refused then.
test('a call that cannot be in time is refused at once, with the time until there is a slot', async () => {
  const { ask, outcomes, gate } = start(1);
  await ask('first');
  void ask('a', { latestStartMs: 61 });
  await ask('hopeless', { latestStartMs: FREE_IN_MS - 1 });
  assert.equal(outcomes.get('hopeless'), { kind: 'refused', retryAfterMs: FREE_IN_MS });
  await ask('behind', { latestStartMs: 85, priority: 1 });
  assert.equal(outcomes.get('behind'), { kind: 'refused', retryAfterMs: FREE_IN_MS + CALL_MS });
  assert.is(gate.waitingCount(), 1);
});

// Failure: a call is held beyond the time at which it had to start.
test('no call is held beyond its latest start time', async () => {
  const { ask, outcomes, clock, gate } = start(1);
  await ask('first');
  void ask('a', { latestStartMs: 100 });
  await clock.advance(101);
  assert.is(outcomes.get('a')?.kind, 'refused');
  assert.is(gate.waitingCount(), 0);
  assert.is(clock.nextTimerMs(), null);
});

// Failure: a retry that is late is refused, although its first attempt may have run and only "failed" is true then.
test('a late call that has run goes where it is not rejected, another only where there is room', async () => {
  const { ask, passed, outcomes } = start(1);
  await ask('first');
  await ask('retry', { latestStartMs: -1, hasRun: true });
  await ask('hopeless retry', { latestStartMs: FREE_IN_MS - 1, hasRun: true });
  await ask('late', { latestStartMs: -1 });
  assert.equal(passed, ['first', 'retry', 'hopeless retry']);
  assert.equal(outcomes.get('late'), { kind: 'refused', retryAfterMs: FREE_IN_MS });
});

// Failure: a call is sent for a caller that has left, or its place is kept until it would have been sent.
test('a call leaves with its caller', async () => {
  const { ask, end, state, passed, outcomes, calls, gate, clock } = start(1);
  await ask('first');
  void ask('a');
  void ask('b');
  gate.callerGone(calls.get('a') as plainGates.GateCall);
  await clock.settle();
  assert.equal(outcomes.get('a'), { kind: 'caller-gone' });
  state.leftIds.add('b');
  await end('first');
  assert.equal(outcomes.get('b'), { kind: 'caller-gone' });
  assert.equal(passed, ['first']);
});

// Failure: the first in the queue failed at the only upstream with a free slot and holds up all others.
test('one that can go nowhere does not hold up the next one', async () => {
  const { ask, passed, end } = start(1);
  await ask('first');
  void ask('stuck', { choose: () => NO_ROOM });
  void ask('next', { priority: 1 });
  await end('first');
  assert.equal(passed, ['first', 'next']);
});

// Failure: an upstream that answers nothing has this gateway's call for seconds, and the others idle meanwhile.
test('an unresponsive upstream does not hold up the queue', async () => {
  const { ask, passed, end, state } = start(2);
  await ask('never answered');
  await ask('a');
  void ask('b');
  await end('a');
  await end('b');
  await ask('c');
  assert.equal(passed, ['never answered', 'a', 'b', 'c']);
  assert.is(state.running, 2);
});

test('services do not wait for each other', async () => {
  const { ask, passed, clock } = start(1);
  await ask('first');
  void ask('waiting');
  await ask('other', { service: 's2', choose: () => SEND });
  assert.equal(passed, ['first', 'other']);
  await clock.advance(300);
});

test.run();
