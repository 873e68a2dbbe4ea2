import { logs } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as serviceTimesModule from '../../shared/service-times.js';
import * as upstreamHealthModule from '../../shared/upstream-health.js';
import * as directories from '../../shared/upstream-directory.js';
import * as plainCapacity from '../../shared/plain-capacity.js';
import * as plainServiceTimes from '../../shared/plain-service-times.js';
import * as upstreamStates from '../../shared/upstream-states.js';
import type * as calls from '../../types/calls.js';
import type * as placementTypes from '../../types/placement.js';
import * as attemptOutcomes from './attempt-outcomes.js';

const test = suite('attempt outcomes');

const WORK: serviceTimesModule.PredictionInputs = {
  uncachedTokens: 1_000,
  prefillAheadMs: 0,
  inFlightCount: 3,
  slotWaiterCount: 0,
  slots: 32,
};

function createFixture() {
  const clock = fakeClocks.createFakeClock();
  const states = upstreamStates.createUpstreamStates();
  const answered: number[] = [];
  const paces = serviceTimesModule.createServiceTimeEstimator();
  const beliefs = upstreamHealthModule.createUpstreamHealthTracker();
  const outcomes = attemptOutcomes.createAttemptOutcomes({
    clock,
    log: logs.createSilentLogger(),
    directory: directories.createUpstreamDirectory(),
    beliefs,
    placement: {} as placementTypes.Placement,
    paces,
    states: {
      state: states.state,
      recordFirstChunk: (_upstreamId, predictedMs) => answered.push(predictedMs),
    },
    metrics: { predicted: () => {} },
    plainTimes: plainServiceTimes.createPlainServiceTimes(false),
    plainPlaces: plainCapacity.createPlainCapacity(),
    needsModel: () => true,
  });
  const attempt = (prefillAheadMs = 0, isResumed = false) => ({
    call: { service: 's', facts: { model: 'm' }, route: {} } as calls.Call,
    upstreamId: 'u1',
    isResumed,
    choice: {
      kind: 'send' as const,
      upstreamId: 'u1',
      predictedMs: 160,
      baselinePredictedMs: 100,
      speed: { latencyRatio: 1.6, transientFactor: 1 },
      needsAdapter: false,
      isQueued: false,
      predictionInputs: { ...WORK, prefillAheadMs },
      passedOverIds: [],
    },
  });
  return { clock, states, answered, paces, beliefs, outcomes, attempt };
}

// Compared with a prediction that already contains it, a latency ratio would be learned back to 1.
test('speeds are learned against the prediction for baseline speed, from streams that show them', () => {
  const { outcomes, attempt, answered } = createFixture();
  outcomes.recordFirstChunk(attempt(), 'event', 150);
  assert.equal(answered, [100]);
  outcomes.recordFirstChunk(attempt(), 'whole', 900);
  outcomes.recordFirstChunk(attempt(0, true), 'event', 20);
  outcomes.recordFirstChunk(attempt(500), 'event', 600);
  assert.equal(answered, [100]);
});

// Guards against avoiding an upstream for seconds after a transient slowdown of its machine has passed.
test('an answer whose delay is explained by the transient factor that its upstream reported is not late', () => {
  const excessAfter = (transientFactor: number | null) => {
    const { clock, states, beliefs, outcomes, attempt } = createFixture();
    const load = { runningCount: 1, waitingCount: 0, slots: 8, transientFactor };
    states.applyLoadSignal('u1', load, 0, clock.nowMs());
    const firstChunk = outcomes.recordFirstChunk(attempt(), 'event', 240);
    outcomes.ended({
      ...attempt(),
      result: { kind: 'answered', status: 200 },
      firstChunk,
      wasSilent: false,
      tookMs: 1_500,
    });
    return beliefs.health('u1', clock.nowMs()).excessLatencyMs;
  };
  assert.ok(excessAfter(null) > 5);
  assert.is(excessAfter(2.5), 0);
});

test('service times are learned as those of an upstream of baseline speed', () => {
  const firstChunkMsAfter = (transientFactor: number, tookMs: number) => {
    const { clock, states, paces, outcomes, attempt } = createFixture();
    for (let count = 0; count < 50; count += 1) {
      const load = { runningCount: 1, waitingCount: 0, slots: 8, transientFactor };
      states.applyLoadSignal('u1', load, count, clock.nowMs());
      const firstChunk = outcomes.recordFirstChunk(attempt(), 'event', tookMs);
      const result = { kind: 'answered' as const, status: 200 };
      outcomes.ended({ ...attempt(), result, firstChunk, wasSilent: false, tookMs: 1_500 });
    }
    return serviceTimesModule.predictFirstChunkMs(paces.estimate('s', 'm'), WORK);
  };
  const baselineMs = firstChunkMsAfter(1, 100);
  assert.ok(Math.abs(firstChunkMsAfter(2, 197) / baselineMs - 1) < 0.05);
});

test.run();
