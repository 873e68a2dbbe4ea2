import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as upstreamStates from './upstream-states.js';

const test = suite('upstream-states');

const signal = (transientFactor: number | null) => ({
  runningCount: 3,
  waitingCount: 1,
  slots: 8,
  transientFactor,
});

// Guards against an absurd report with which an upstream gets no requests, or all of them, for good.
test('the harm of an absurd figure is bounded and temporary', () => {
  const states = upstreamStates.createUpstreamStates();
  states.applyLoadSignal('u1', signal(1e9), 0, 0);
  assert.is(states.state('u1', 0).transientFactor, 10);
  assert.is(states.state('u1', 600).transientFactor, 1);
  assert.is(states.state('u1', 600).transientAgeMs, null);
  assert.ok(states.state('u1', 600).reportsTransientFactor);
});

// Guards against an overtaken answer that restores a factor which no longer applies.
test('the answer to an earlier request does not replace a later signal', () => {
  const states = upstreamStates.createUpstreamStates();
  states.applyLoadSignal('u1', signal(2.5), 50, 100);
  states.applyLoadSignal('u1', signal(1), 10, 110);
  assert.is(states.state('u1', 100).transientFactor, 2.5);
});

test('figures that an upstream does not report are unknown', () => {
  const states = upstreamStates.createUpstreamStates();
  states.applyLoadSignal('u1', signal(null), 0, 0);
  const state = states.state('u1', 10);
  assert.is(state.reportsTransientFactor, false);
  assert.is(state.transientFactor, 1);
  assert.equal(state.load, { runningCount: 3, waitingCount: 1, slots: 8, atMs: 0, ageMs: 10 });
});

// Guards against taking a disturbance of the machine for a slow upstream.
test('the latency ratio of an upstream is learned separately from transient slowdowns', () => {
  const states = upstreamStates.createUpstreamStates();
  for (let nowMs = 0; nowMs < 10_000; nowMs += 50) {
    const factor = nowMs % 600 < 90 ? 2.5 : 1;
    states.applyLoadSignal('u1', signal(factor), nowMs, nowMs);
    states.recordFirstChunk('u1', 100, 160 * factor, nowMs);
  }
  const { latencyRatio: slowness } = states.state('u1', 10_000);
  assert.ok(Math.abs(slowness - 1.6) < 0.05, `${slowness}`);
});

const ofOneService = { serviceOf: () => 's' };

function answer(
  states: ReturnType<typeof upstreamStates.createUpstreamStates>,
  upstreamId: string,
  count: number,
  ratio: number,
): void {
  for (let index = 0; index < count; index += 1) {
    states.recordFirstChunk(upstreamId, 100, 100 * ratio, index);
  }
}

// Guards against ruling out an upstream for good because its first answers were late behind prompts that other gateways
// had sent at the same time.
test('few answers and outliers change little, and the learned ratio is bounded', () => {
  const states = upstreamStates.createUpstreamStates();
  answer(states, 'few', 2, 30);
  assert.is(states.state('few', 2).latencyRatio, 1);
  answer(states, 'outliers', 60, 1);
  answer(states, 'outliers', 3, 30);
  const { latencyRatio: slowness } = states.state('outliers', 60);
  assert.ok(slowness < 1.05, `${slowness}`);
  answer(states, 'always', 1_000, 30);
  assert.is(states.state('always', 1_000).latencyRatio, 3);
  answer(states, 'never', 1_000, 1e-6);
  assert.is(states.state('never', 1_000).latencyRatio, 1 / 3);
});

test('the learned ratio decays while an upstream gets no requests', () => {
  const states = upstreamStates.createUpstreamStates();
  answer(states, 'u1', 100, 1.6);
  assert.ok(states.state('u1', 100).latencyRatio > 1.4);
  assert.is(states.state('u1', 300_000).latencyRatio, 1);
});

// Guards against service times of a model and latency ratios of all its upstreams that drift apart without bound.
test('what all upstreams of a service have in common is not part of their ratios', () => {
  const states = upstreamStates.createUpstreamStates(ofOneService);
  ['a', 'b', 'c', 'd', 'e'].forEach((id) => answer(states, id, 100, 1.6));
  answer(states, 'slow', 100, 3.2);
  // The mean over answers is normalized to 1, and one answer in six comes from the slow upstream.
  assert.ok(Math.abs(states.state('a', 100).latencyRatio - 1) < 0.05);
  const { latencyRatio: slowness } = states.state('slow', 100);
  assert.ok(slowness > 1.5 && slowness < 2.1, `${slowness}`);
});

// Guards against reports that are wrong at all upstreams, make every prediction too long and have all requests refused.
test('a factor that most upstreams of a service report at once counts for none of them', () => {
  const states = upstreamStates.createUpstreamStates(ofOneService);
  const ids = ['a', 'b', 'c', 'd', 'e', 'f'];
  ids.forEach((id) => states.applyLoadSignal(id, signal(8), 0, 0));
  ids.forEach((id) => assert.ok(Math.abs(states.state(id, 0).transientFactor - 1) < 1e-9));
});

// Guards against an upstream that reports ten times its baseline, answers normally, and gets no requests.
test('a factor that first chunks contradict is not trusted for some time', () => {
  const states = upstreamStates.createUpstreamStates();
  for (let nowMs = 0; nowMs < 400; nowMs += 100) {
    states.applyLoadSignal('u1', signal(10), nowMs, nowMs);
    states.recordFirstChunk('u1', 100, 110, nowMs);
  }
  states.applyLoadSignal('u1', signal(10), 500, 500);
  assert.is(states.state('u1', 500).transientFactor, 1);
  assert.is(states.state('u1', 500).transientAgeMs, null);
  states.applyLoadSignal('u1', signal(2.5), 20_000, 20_000);
  assert.is(states.state('u1', 20_000).transientFactor, 2.5);
});

test('a factor that first chunks confirm stays trusted and becomes the baseline of its upstream', () => {
  const states = upstreamStates.createUpstreamStates();
  for (let nowMs = 0; nowMs < 3_000; nowMs += 100) {
    states.applyLoadSignal('u1', signal(2.5), nowMs, nowMs);
    states.recordFirstChunk('u1', 100, 250, nowMs);
  }
  const { latencyRatio: slowness, transientFactor: momentFactor } = states.state('u1', 2_900);
  assert.ok(Math.abs(slowness * momentFactor - 2.5) < 0.01, `${slowness} ${momentFactor}`);
});

// Guards against treating a slow upstream as one of average speed when its last report has expired.
test('the reported baseline persists, and disturbances are relative to it', () => {
  const states = upstreamStates.createUpstreamStates();
  for (let nowMs = 0; nowMs < 5_000; nowMs += 100) {
    states.applyLoadSignal('u1', signal(nowMs % 1_000 < 200 ? 4 : 1.6), nowMs, nowMs);
  }
  assert.is(states.state('u1', 20_000).latencyRatio, 1.6);
  states.applyLoadSignal('u1', signal(4), 20_000, 20_000);
  assert.is(states.state('u1', 20_000).transientFactor, 2.5);
});

test('a factor that is reported all the time is the baseline of its upstream', () => {
  const states = upstreamStates.createUpstreamStates();
  for (let nowMs = 0; nowMs <= 60_000; nowMs += 200)
    states.applyLoadSignal('u1', signal(2.5), nowMs, nowMs);
  const { transientFactor: momentFactor } = states.state('u1', 60_000);
  assert.ok(momentFactor < 1.2, `${momentFactor}`);
});

type States = ReturnType<typeof upstreamStates.createUpstreamStates>;

/** Runs of events of a stream, each with its smallest interval. */
function streamGaps(states: States, gapMs: number, fromMs: number, untilMs: number): void {
  for (let nowMs = fromMs; nowMs < untilMs; nowMs += 4 * gapMs) {
    states.recordEventInterval('u1', 'm', gapMs, nowMs);
  }
}

// Guards against a machine without reports that is slow for half a second and still gets its share of prompts.
test('intervals show the state of a machine that has reported nothing', () => {
  const states = upstreamStates.createUpstreamStates();
  streamGaps(states, 27, 0, 1_000);
  assert.is(
    states.state('u1', 1_000).transientAgeMs,
    null,
    'the baseline is known after two seconds',
  );
  streamGaps(states, 27, 1_000, 5_000);
  assert.is(states.state('u1', 5_000).transientFactor, 1);
  assert.ok((states.state('u1', 5_000).transientAgeMs ?? Infinity) < 200);
  streamGaps(states, 67, 5_000, 5_600);
  const { transientFactor: momentFactor, reportsTransientFactor: tellsMoment } = states.state(
    'u1',
    5_600,
  );
  assert.ok(momentFactor > 1.8 && momentFactor < 2.6, `${momentFactor}`);
  assert.is(tellsMoment, false);
  assert.ok(Math.abs((states.baselineIntervalMs('u1') ?? 0) - 27) < 3);
  assert.is(states.state('u1', 6_400).transientFactor, 1);
});

test('intervals that come after a report take precedence', () => {
  const states = upstreamStates.createUpstreamStates();
  streamGaps(states, 27, 0, 4_000);
  states.applyLoadSignal('u1', signal(2.5), 4_000, 4_000);
  assert.is(states.state('u1', 4_000).transientFactor, 2.5);
  streamGaps(states, 27, 4_000, 4_400);
  assert.is(states.state('u1', 4_300).transientFactor, 1);
  states.applyLoadSignal('u1', signal(1), 4_400, 4_400);
  streamGaps(states, 67, 4_400, 5_000);
  assert.ok(states.state('u1', 4_950).transientFactor > 1.8);
});

// Guards against false reports that are believed again and again, each time until the next event.
test('intervals of baseline length contradict a report until it is no longer trusted', () => {
  const states = upstreamStates.createUpstreamStates();
  streamGaps(states, 27, 0, 4_000);
  for (let nowMs = 4_000; nowMs < 5_000; nowMs += 200) {
    states.applyLoadSignal('u1', signal(10), nowMs, nowMs);
    states.recordEventInterval('u1', 'm', 27, nowMs + 50);
  }
  states.applyLoadSignal('u1', signal(10), 5_000, 5_000);
  assert.is(states.state('u1', 5_000).transientFactor, 1);
});

// Guards against a disturbance of some seconds that becomes the baseline.
test('long intervals do not become the baseline within seconds', () => {
  const states = upstreamStates.createUpstreamStates();
  streamGaps(states, 27, 0, 4_000);
  streamGaps(states, 67, 4_000, 6_000);
  streamGaps(states, 27, 6_000, 7_000);
  assert.is(states.state('u1', 7_000).transientFactor, 1);
  assert.ok(Math.abs((states.baselineIntervalMs('u1') ?? 0) - 27) < 3);
});

test.run();
