import { randoms } from '@copperlever/runtime';
import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as limitFleets from '../testing/limit-fleet.js';

const test = suite('limits over all gateways');

const USED_SHARE = 0.9;

const gatewayEvent = fc.record({
  kind: fc.constantFrom('restart', 'join', 'leave', 'cut'),
  atMs: fc.integer({ min: 100, max: 2_400 }).map((tick) => tick * limitFleets.STEP_MS),
  gateway: fc.nat(20),
  forMs: fc.integer({ min: 500, max: 8_000 }),
}) as fc.Arbitrary<limitFleets.GatewayEvent>;

const gatewayCounts = fc.oneof(fc.integer({ min: 1, max: 6 }), fc.constantFrom(12, 23, 68));

const loads = fc
  .record({
    gatewayCount: gatewayCounts,
    isOneSided: fc.boolean(),
    limits: fc.array(fc.constantFrom(0, 0.1, 0.7, 1.4, 1.7, 4, 11, 40), {
      minLength: 1,
      maxLength: 3,
    }),
    askedPerSecond: fc.constantFrom(5, 30, 120),
    events: fc.array(gatewayEvent, { maxLength: 6 }),
    seed: fc.nat(),
  })
  .map(({ gatewayCount, isOneSided, limits, askedPerSecond, events, seed }) => ({
    seed,
    load: {
      gatewayCount,
      weights: Array.from({ length: gatewayCount }, (_unused, index) =>
        isOneSided && index > 0 ? 0.02 : 1,
      ),
      askedPerSecond,
      limitAt: (atMs: number) => {
        if (atMs < limitFleets.NAMED_FROM_MS) return null;
        const at = Math.floor((atMs - limitFleets.NAMED_FROM_MS) / 8_000);
        return limits[Math.min(at, limits.length - 1)] ?? null;
      },
      events,
      lengthMs: 26_000,
    },
  }));

// Guards against gateways that each keep to the limit, or to their part of it, but together send an overloaded
// upstream more than it takes.
test('within any four seconds an upstream gets no more from all gateways than its limit allows', async () => {
  await fc.assert(
    fc.asyncProperty(loads, async ({ load, seed }) => {
      const outcome = await limitFleets.playLimit(load, randoms.createRandom(seed));
      assert.equal(limitFleets.findExcess(load, outcome), []);
    }),
    { numRuns: 150, seed: 29 },
  );
});

const SHARE_CASES = [1, 3, 4, 12, 23, 68].flatMap((gatewayCount) =>
  [0.7, 1.4, 4, 11].flatMap((perSecond) =>
    [1, 0].map((othersWeight) => ({ gatewayCount, perSecond, othersWeight })),
  ),
);

async function usedShare({ gatewayCount, perSecond, othersWeight }: (typeof SHARE_CASES)[number]) {
  const load: limitFleets.LimitLoad = {
    gatewayCount,
    weights: Array.from({ length: gatewayCount }, (_unused, index) =>
      index === 0 ? 1 : othersWeight,
    ),
    askedPerSecond: 3 * perSecond,
    limitAt: (atMs) => (atMs < limitFleets.NAMED_FROM_MS ? null : perSecond),
    events: [],
    lengthMs: 62_000,
  };
  const { arrivals } = await limitFleets.playLimit(load, randoms.createRandom(gatewayCount));
  const settledMs = limitFleets.NAMED_FROM_MS + limitFleets.CONTACT_MS;
  const count = arrivals.filter(({ atMs }) => atMs >= settledMs).length;
  return count / ((perSecond * (load.lengthMs - settledMs)) / 1_000);
}

// Guards against dividing a limit among gateways of which few have callers, which leaves most of the limit unused.
test('with all gateways connected, nine tenths of a limit are used', async () => {
  for (const shareCase of SHARE_CASES) {
    const share = await usedShare(shareCase);
    assert.ok(share >= USED_SHARE, `${share.toFixed(3)} of ${JSON.stringify(shareCase)}`);
  }
});

test.run();
