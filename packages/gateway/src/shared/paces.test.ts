import { createRandom } from '@copperlever/runtime/randoms';
import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as pacesModule from './paces.js';

const test = suite('paces');

const SLOTS = 48;

type Engine = { baseMs: number; msPerToken: number; aheadShare: number; msPerRequest: number };

const QUICK: Engine = { baseMs: 20, msPerToken: 0.025, aheadShare: 0.6, msPerRequest: 0.2 };
const SLOW: Engine = { baseMs: 60, msPerToken: 0.1, aheadShare: 0.8, msPerRequest: 1 };

const USUAL: pacesModule.Work = {
  ownTokens: 800,
  readAheadMs: 40,
  inFlightCount: 10,
  overCount: 0,
  slots: SLOTS,
};

function truthMs(engine: Engine, work: pacesModule.Work): number {
  return (
    engine.baseMs +
    engine.msPerToken * work.ownTokens +
    engine.aheadShare * work.readAheadMs +
    engine.msPerRequest * work.inFlightCount
  );
}

/** Feeds answers of an engine at usual loads; times vary by a fifth. */
function feed(paces: pacesModule.Paces, engine: Engine, count: number, model = 'm', seed = 3) {
  const random = createRandom(seed);
  for (let index = 0; index < count; index += 1) {
    const ownTokens = 100 + random.below(1_500);
    const readAheadMs = random.below(3) * engine.msPerToken * random.below(1_500);
    const work = { ...USUAL, ownTokens, readAheadMs, inFlightCount: random.below(30) };
    const firstPieceMs = truthMs(engine, work) * (0.8 + 0.4 * random.fraction());
    paces.answered(
      { ...work, service: 's', model, firstPieceMs, tookMs: firstPieceMs + 1_000 },
      index,
    );
  }
}

function ratioOf(paces: pacesModule.Paces, engine: Engine): number {
  const work = { ...USUAL, readAheadMs: 800 * engine.msPerToken };
  return pacesModule.firstPieceMs(paces.pace('s', 'm'), work) / truthMs(engine, work);
}

// Engines of one deployment read twice or eight times as fast as another's, or a third as fast. Whatever they do,
// some hundred answers bring the prediction to within a fifth of it.
test('predictions come to what engines take, on any engine', () => {
  const engines = fc.record({
    baseMs: fc.double({ min: 5, max: 150, noNaN: true }),
    msPerToken: fc.double({ min: 0.002, max: 0.3, noNaN: true }),
    aheadShare: fc.double({ min: 0.2, max: 1, noNaN: true }),
    msPerRequest: fc.double({ min: 0, max: 3, noNaN: true }),
  });
  fc.assert(
    fc.property(engines, fc.integer(), (engine, seed) => {
      const paces = pacesModule.createPaces();
      feed(paces, engine, 250, 'm', seed);
      const ratio = ratioOf(paces, engine);
      assert.ok(ratio > 0.8 && ratio < 1.25, `off by ${ratio}`);
    }),
  );
});

test('what has been learnt is forgotten when the engine changes', () => {
  const paces = pacesModule.createPaces();
  feed(paces, QUICK, 300);
  feed(paces, SLOW, 300);
  const ratio = ratioOf(paces, SLOW);
  assert.ok(ratio > 0.8 && ratio < 1.25, `off by ${ratio}`);
});

// A slow upstream among sound ones answers one request in ten, seconds late. Taken at its word it would make every
// prediction too long, and sound upstreams would refuse.
test('some answers that are late by seconds change little', () => {
  const paces = pacesModule.createPaces();
  feed(paces, QUICK, 200);
  for (let index = 0; index < 10; index += 1) {
    feed(paces, QUICK, 9, 'm', index);
    const late = { ...USUAL, service: 's', model: 'm', firstPieceMs: 4_000, tookMs: 6_000 };
    paces.answered(late, 0);
  }
  assert.ok(ratioOf(paces, QUICK) < 1.6);
});

test('a model without answers starts from what its service shows', () => {
  const paces = pacesModule.createPaces();
  feed(paces, SLOW, 200, 'other');
  const ratio = ratioOf(paces, SLOW);
  assert.ok(ratio > 0.7 && ratio < 1.4, `off by ${ratio}`);
});

// Requests queue for slots, and half as long as slots are held on average: that is learnt too.
test('the wait for a slot is learnt', () => {
  const paces = pacesModule.createPaces();
  const random = createRandom(5);
  const holdMs = 2_000;
  for (let index = 0; index < 400; index += 1) {
    const overCount = random.below(30);
    const firstPieceMs = 50 + 0.5 * ((overCount * holdMs) / SLOTS);
    const work = { ...USUAL, readAheadMs: 0, inFlightCount: SLOTS + overCount, overCount };
    paces.answered({ ...work, service: 's', model: 'm', firstPieceMs, tookMs: holdMs }, index);
  }
  const work = { ...USUAL, readAheadMs: 0, inFlightCount: SLOTS + 20, overCount: 20 };
  const ratio =
    pacesModule.firstPieceMs(paces.pace('s', 'm'), work) / (50 + 20 * 0.5 * (2_000 / 48));
  assert.ok(ratio > 0.8 && ratio < 1.25, `off by ${ratio}`);
});

test('estimates stay positive and finite, whatever is observed', () => {
  const amount = fc.double({ min: 0, max: 1e6, noNaN: true });
  const sample = fc.record({
    ownTokens: amount,
    readAheadMs: amount,
    inFlightCount: fc.integer({ min: 0, max: 500 }),
    overCount: fc.integer({ min: 0, max: 500 }),
    firstPieceMs: amount,
    tookMs: amount,
  });
  fc.assert(
    fc.property(fc.array(sample, { maxLength: 60 }), (samples) => {
      const paces = pacesModule.createPaces();
      samples.forEach((entry) => {
        paces.answered({ ...entry, service: 's', model: 'm', slots: SLOTS }, 0);
      });
      const pace = paces.pace('s', 'm');
      [pace.baseMs, pace.msPerToken, pace.aheadShare, pace.msPerRequest, pace.holdMs].forEach(
        (value) => {
          assert.ok(Number.isFinite(value) && value >= 0);
        },
      );
    }),
  );
});

// Failure: the pace of a model follows whichever upstream answers most, and is wrong for all others.
test('the pace of uneven upstreams is that of one of usual speed', () => {
  const paces = pacesModule.createPaces();
  const random = createRandom(7);
  for (let index = 0; index < 600; index += 1) {
    const speed = {
      slowness: [0.6, 1, 1.6][index % 3] ?? 1,
      momentFactor: index % 7 === 0 ? 2.5 : 1,
    };
    const work = { ...USUAL, ownTokens: 100 + random.below(1_500), readAheadMs: 0 };
    const usualMs = truthMs(QUICK, work);
    const factor = speed.slowness * speed.momentFactor;
    const firstPieceMs = 3 + (usualMs - 3) * factor;
    const tookMs = 1_000 * speed.slowness;
    paces.answered({ ...work, service: 's', model: 'm', firstPieceMs, tookMs, speed }, index);
  }
  const pace = paces.pace('s', 'm');
  const work = { ...USUAL, readAheadMs: 0 };
  const ratio = pacesModule.firstPieceMs(pace, work) / truthMs(QUICK, work);
  assert.ok(ratio > 0.95 && ratio < 1.05, `off by ${ratio}`);
  assert.ok(Math.abs(pace.holdMs - 1_000) < 50, `${pace.holdMs}`);
  const slowMs = pacesModule.firstPieceMsAt(pace, work, { slowness: 1.6, momentFactor: 1 });
  assert.ok(Math.abs(slowMs / truthMs(QUICK, work) - 1.6) < 0.1, `${slowMs}`);
});

test.run();
