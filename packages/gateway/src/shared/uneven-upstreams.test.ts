/** Simulates gateways that choose among upstreams of uneven speed, on a virtual clock. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as unevenFleet from '../testing/uneven-fleet.js';

const test = suite('uneven upstreams');

const LATENCY_RATIOS = [0.6, 1, 1.6];
const TRUE_REPORT = (trueFactor: number) => trueFactor;
const NO_REPORT = () => null;

function machines(
  latencyRatioAt: (index: number) => number,
  reports: unevenFleet.Machine['reports'],
): unevenFleet.Machine[] {
  return Array.from({ length: 9 }, (_, index) => ({ slowness: latencyRatioAt(index), reports }));
}

const unevenRatio = (index: number) => LATENCY_RATIOS[index % LATENCY_RATIOS.length] ?? 1;

/** The same load with and without upstream states. */
function compare(upstreams: readonly unevenFleet.Machine[]) {
  const simulate = (usesStates: boolean) => {
    const outcomes = [4, 5, 6].map((seed) =>
      unevenFleet.run({
        seed,
        machines: upstreams,
        gatewayCount: 3,
        perSecond: 72,
        forMs: 30_000,
        disturbedShare: 0.15,
        usesStates,
        tellsOthers: usesStates,
        queueLimitMs: 560,
      }),
    );
    const firstEventsMs = outcomes.flatMap((outcome) => outcome.firstEventsMs);
    return {
      medianMs: unevenFleet.quantile(firstEventsMs, 0.5),
      tenthMs: unevenFleet.quantile(firstEventsMs, 0.9),
      refusedShare:
        outcomes.reduce((sum, { refusedCount }) => sum + refusedCount, 0) / firstEventsMs.length,
    };
  };
  return { before: simulate(false), after: simulate(true) };
}

// Guards against requests that are spread evenly over uneven upstreams, and prompts that go to disturbed machines.
test('uneven and disturbed upstreams answer sooner', () => {
  const { before, after } = compare(machines(unevenRatio, TRUE_REPORT));
  const details = JSON.stringify({ before, after });
  assert.ok(after.tenthMs < 0.9 * before.tenthMs, details);
  assert.ok(after.medianMs < before.medianMs, details);
});

// Guards against learning random variation of a few answers as a difference in speed.
test('upstreams of equal speed that report nothing are served as before', () => {
  const { before, after } = compare(machines(() => 1, NO_REPORT));
  const details = JSON.stringify({ before, after });
  assert.ok(after.tenthMs < 1.05 * before.tenthMs, details);
  assert.ok(after.medianMs < 1.05 * before.medianMs, details);
  assert.ok(after.refusedShare <= before.refusedShare + 0.002, details);
});

test('the harm of false reports is bounded', () => {
  const falseReports: Record<string, unevenFleet.Machine['reports']> = {
    slow: () => 10,
    quick: () => 0.2,
    absurd: () => 1e9,
    contrary: (trueFactor) => 2.5 / trueFactor,
    alternating: (_trueFactor, nowMs) => (nowMs % 5_000 < 2_500 ? 10 : 0.2),
  };
  Object.entries(falseReports).forEach(([name, reports]) => {
    const { before, after } = compare(machines(unevenRatio, reports));
    const details = JSON.stringify({ name, before, after });
    assert.ok(after.tenthMs < 1.15 * before.tenthMs, details);
    assert.ok(after.refusedShare <= before.refusedShare + 0.01, details);
  });
});

// All upstreams of a small service report absurd factors, and are too few for these to be distinguished from a real
// disturbance. Guards against refusing their requests because of it.
test('requests to a few upstreams that all report absurd factors are not refused because of it', () => {
  [1, 2].forEach((count) => {
    const upstreams = machines(
      () => 1,
      () => 10,
    ).slice(0, count);
    const refused = (usesStates: boolean) =>
      unevenFleet.run({
        seed: 3,
        machines: upstreams,
        gatewayCount: 3,
        perSecond: 5 * count,
        forMs: 30_000,
        disturbedShare: 0.15,
        usesStates,
        tellsOthers: usesStates,
        queueLimitMs: 270,
      }).refusedCount;
    const [before, after] = [refused(false), refused(true)];
    assert.ok(after <= before + 3, JSON.stringify({ count, before, after }));
  });
});

test.run();
