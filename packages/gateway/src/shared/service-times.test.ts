import { createRandom } from '@copperlever/runtime/randoms';
import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as times from './service-times.js';

const test = suite('service times');

const SLOTS = 48;

type Engine = { baseMs: number; msPerToken: number; aheadShare: number; msPerRequest: number };

const QUICK: Engine = { baseMs: 20, msPerToken: 0.025, aheadShare: 0.6, msPerRequest: 0.2 };
const SLOW: Engine = { baseMs: 60, msPerToken: 0.1, aheadShare: 0.8, msPerRequest: 1 };

const TYPICAL_INPUTS: times.PredictionInputs = {
  uncachedTokens: 800,
  prefillAheadMs: 40,
  inFlightCount: 10,
  slotWaiterCount: 0,
  slots: SLOTS,
};

function trueMs(engine: Engine, inputs: times.PredictionInputs): number {
  return (
    engine.baseMs +
    engine.msPerToken * inputs.uncachedTokens +
    engine.aheadShare * inputs.prefillAheadMs +
    engine.msPerRequest * inputs.inFlightCount
  );
}

/** Records answers of an engine at typical loads; times vary by a fifth. */
function recordAnswers(
  estimator: times.ServiceTimeEstimator,
  engine: Engine,
  count: number,
  model = 'm',
  seed = 3,
) {
  const random = createRandom(seed);
  for (let index = 0; index < count; index += 1) {
    const uncachedTokens = 100 + random.below(1_500);
    const prefillAheadMs = random.below(3) * engine.msPerToken * random.below(1_500);
    const inputs = {
      ...TYPICAL_INPUTS,
      uncachedTokens,
      prefillAheadMs,
      inFlightCount: random.below(30),
    };
    const firstChunkMs = trueMs(engine, inputs) * (0.8 + 0.4 * random.fraction());
    estimator.recordAnswer(
      { ...inputs, service: 's', model, firstChunkMs, tookMs: firstChunkMs + 1_000 },
      index,
    );
  }
}

function predictionRatio(estimator: times.ServiceTimeEstimator, engine: Engine): number {
  const inputs = { ...TYPICAL_INPUTS, prefillAheadMs: 800 * engine.msPerToken };
  return times.predictFirstChunkMs(estimator.estimate('s', 'm'), inputs) / trueMs(engine, inputs);
}

// Engines of one deployment prefill two or eight times as fast as another's, or a third as fast. Whatever their speed,
// some hundred answers bring the prediction to within a fifth of it.
test('predictions converge to the times of the engine, on any engine', () => {
  const engines = fc.record({
    baseMs: fc.double({ min: 5, max: 150, noNaN: true }),
    msPerToken: fc.double({ min: 0.002, max: 0.3, noNaN: true }),
    aheadShare: fc.double({ min: 0.2, max: 1, noNaN: true }),
    msPerRequest: fc.double({ min: 0, max: 3, noNaN: true }),
  });
  fc.assert(
    fc.property(engines, fc.integer(), (engine, seed) => {
      const estimator = times.createServiceTimeEstimator();
      recordAnswers(estimator, engine, 250, 'm', seed);
      const ratio = predictionRatio(estimator, engine);
      assert.ok(ratio > 0.8 && ratio < 1.25, `off by ${ratio}`);
    }),
  );
});

test('learned times are replaced when the engine changes', () => {
  const estimator = times.createServiceTimeEstimator();
  recordAnswers(estimator, QUICK, 300);
  recordAnswers(estimator, SLOW, 300);
  const ratio = predictionRatio(estimator, SLOW);
  assert.ok(ratio > 0.8 && ratio < 1.25, `off by ${ratio}`);
});

// A slow upstream among healthy ones answers one request in ten, seconds late. At full weight these answers would make
// every prediction too long, and requests to healthy upstreams would be refused.
test('some answers that are seconds late change little', () => {
  const estimator = times.createServiceTimeEstimator();
  recordAnswers(estimator, QUICK, 200);
  for (let index = 0; index < 10; index += 1) {
    recordAnswers(estimator, QUICK, 9, 'm', index);
    const late = {
      ...TYPICAL_INPUTS,
      service: 's',
      model: 'm',
      firstChunkMs: 4_000,
      tookMs: 6_000,
    };
    estimator.recordAnswer(late, 0);
  }
  assert.ok(predictionRatio(estimator, QUICK) < 1.6);
});

test('a model without answers starts from the times of its service', () => {
  const estimator = times.createServiceTimeEstimator();
  recordAnswers(estimator, SLOW, 200, 'other');
  const ratio = predictionRatio(estimator, SLOW);
  assert.ok(ratio > 0.7 && ratio < 1.4, `off by ${ratio}`);
});

// Requests queue for slots, and wait half as long as slots are held on average: that share is learned too.
test('the wait for a slot is learned', () => {
  const estimator = times.createServiceTimeEstimator();
  const random = createRandom(5);
  const holdMs = 2_000;
  for (let index = 0; index < 400; index += 1) {
    const slotWaiterCount = random.below(30);
    const firstChunkMs = 50 + 0.5 * ((slotWaiterCount * holdMs) / SLOTS);
    const inputs = {
      ...TYPICAL_INPUTS,
      prefillAheadMs: 0,
      inFlightCount: SLOTS + slotWaiterCount,
      slotWaiterCount,
    };
    estimator.recordAnswer(
      { ...inputs, service: 's', model: 'm', firstChunkMs, tookMs: holdMs },
      index,
    );
  }
  const inputs = {
    ...TYPICAL_INPUTS,
    prefillAheadMs: 0,
    inFlightCount: SLOTS + 20,
    slotWaiterCount: 20,
  };
  const ratio =
    times.predictFirstChunkMs(estimator.estimate('s', 'm'), inputs) /
    (50 + 20 * 0.5 * (2_000 / 48));
  assert.ok(ratio > 0.8 && ratio < 1.25, `off by ${ratio}`);
});

test('estimates stay non-negative and finite, whatever is observed', () => {
  const amount = fc.double({ min: 0, max: 1e6, noNaN: true });
  const sample = fc.record({
    uncachedTokens: amount,
    prefillAheadMs: amount,
    inFlightCount: fc.integer({ min: 0, max: 500 }),
    slotWaiterCount: fc.integer({ min: 0, max: 500 }),
    firstChunkMs: amount,
    tookMs: amount,
  });
  fc.assert(
    fc.property(fc.array(sample, { maxLength: 60 }), (samples) => {
      const estimator = times.createServiceTimeEstimator();
      samples.forEach((entry) => {
        estimator.recordAnswer({ ...entry, service: 's', model: 'm', slots: SLOTS }, 0);
      });
      const learnedTimes = estimator.estimate('s', 'm');
      [
        learnedTimes.baseMs,
        learnedTimes.msPerToken,
        learnedTimes.aheadShare,
        learnedTimes.msPerRequest,
        learnedTimes.holdMs,
      ].forEach((value) => {
        assert.ok(Number.isFinite(value) && value >= 0);
      });
    }),
  );
});

// Guards against service times that follow whichever upstream answers most and are wrong for all others.
test('the service times of uneven upstreams are those of one of average speed', () => {
  const estimator = times.createServiceTimeEstimator();
  const random = createRandom(7);
  for (let index = 0; index < 600; index += 1) {
    const speed = {
      latencyRatio: [0.6, 1, 1.6][index % 3] ?? 1,
      transientFactor: index % 7 === 0 ? 2.5 : 1,
    };
    const inputs = {
      ...TYPICAL_INPUTS,
      uncachedTokens: 100 + random.below(1_500),
      prefillAheadMs: 0,
    };
    const baselineMs = trueMs(QUICK, inputs);
    const factor = speed.latencyRatio * speed.transientFactor;
    const firstChunkMs = 3 + (baselineMs - 3) * factor;
    const durationMs = 1_000 * speed.latencyRatio;
    estimator.recordAnswer(
      {
        ...inputs,
        service: 's',
        model: 'm',
        firstChunkMs,
        tookMs: durationMs,
        speed,
      },
      index,
    );
  }
  const learnedTimes = estimator.estimate('s', 'm');
  const inputs = { ...TYPICAL_INPUTS, prefillAheadMs: 0 };
  const ratio = times.predictFirstChunkMs(learnedTimes, inputs) / trueMs(QUICK, inputs);
  assert.ok(ratio > 0.95 && ratio < 1.05, `off by ${ratio}`);
  assert.ok(Math.abs(learnedTimes.holdMs - 1_000) < 50, `${learnedTimes.holdMs}`);
  const slowMs = times.predictFirstChunkMsAtSpeed(learnedTimes, inputs, {
    latencyRatio: 1.6,
    transientFactor: 1,
  });
  assert.ok(Math.abs(slowMs / trueMs(QUICK, inputs) - 1.6) < 0.1, `${slowMs}`);
});

test.run();
