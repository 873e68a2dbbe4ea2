import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as upstreamStates from './upstream-states.js';

const test = suite('upstream-states');

const word = (momentFactor: number | null) => ({
  runningCount: 3,
  waitingCount: 1,
  slots: 8,
  momentFactor,
});

// Failure: an upstream that tells nonsense of its machine gets nothing, or everything, for good.
test('an absurd figure does bounded harm and passes', () => {
  const states = upstreamStates.createUpstreamStates();
  states.told('u1', word(1e9), 0, 0);
  assert.is(states.state('u1', 0).momentFactor, 10);
  assert.is(states.state('u1', 600).momentFactor, 1);
  assert.is(states.state('u1', 600).momentAgeMs, null);
  assert.ok(states.state('u1', 600).tellsMoment);
});

// Failure: an answer that was overtaken brings back a figure that no longer holds.
test('the answer to an earlier request does not replace a later word', () => {
  const states = upstreamStates.createUpstreamStates();
  states.told('u1', word(2.5), 50, 100);
  states.told('u1', word(1), 10, 110);
  assert.is(states.state('u1', 100).momentFactor, 2.5);
});

test('what an upstream does not tell is unknown', () => {
  const states = upstreamStates.createUpstreamStates();
  states.told('u1', word(null), 0, 0);
  const state = states.state('u1', 10);
  assert.is(state.tellsMoment, false);
  assert.is(state.momentFactor, 1);
  assert.equal(state.load, { runningCount: 3, waitingCount: 1, slots: 8, atMs: 0, ageMs: 10 });
});

// Failure: a moment in which the machine is disturbed passes for a slow upstream.
test('the slowness of an upstream is learnt apart from moments', () => {
  const states = upstreamStates.createUpstreamStates();
  for (let nowMs = 0; nowMs < 10_000; nowMs += 50) {
    const factor = nowMs % 600 < 90 ? 2.5 : 1;
    states.told('u1', word(factor), nowMs, nowMs);
    states.answered('u1', 100, 160 * factor, nowMs);
  }
  const { slowness } = states.state('u1', 10_000);
  assert.ok(Math.abs(slowness - 1.6) < 0.05, `${slowness}`);
});

test.run();
