/** Gateways that choose among upstreams of uneven speed, on a virtual clock. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as unevenFleet from '../testing/uneven-fleet.js';

const test = suite('uneven upstreams');

const SLOWNESS = [0.6, 1, 1.6];
const TRUE = (trueFactor: number) => trueFactor;
const SILENT = () => null;

function machines(
  slownessAt: (index: number) => number,
  reports: unevenFleet.Machine['reports'],
): unevenFleet.Machine[] {
  return Array.from({ length: 9 }, (_, index) => ({ slowness: slownessAt(index), reports }));
}

const uneven = (index: number) => SLOWNESS[index % SLOWNESS.length] ?? 1;

/** The same load with and without states. */
function compare(upstreams: readonly unevenFleet.Machine[]) {
  const play = (usesStates: boolean) => {
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
  return { before: play(false), after: play(true) };
}

// Failure: work goes evenly to uneven upstreams, and prompts to machines that are disturbed at the moment.
test('uneven and disturbed upstreams answer sooner', () => {
  const { before, after } = compare(machines(uneven, TRUE));
  const told = JSON.stringify({ before, after });
  assert.ok(after.tenthMs < 0.9 * before.tenthMs, told);
  assert.ok(after.medianMs < before.medianMs, told);
});

// Failure: what chance has made of a few answers is learnt as a difference in speed.
test('upstreams that are alike and report nothing are served as before', () => {
  const { before, after } = compare(machines(() => 1, SILENT));
  const told = JSON.stringify({ before, after });
  assert.ok(after.tenthMs < 1.05 * before.tenthMs, told);
  assert.ok(after.medianMs < 1.05 * before.medianMs, told);
  assert.ok(after.refusedShare <= before.refusedShare + 0.002, told);
});

test('false reports do bounded harm', () => {
  const liars: Record<string, unevenFleet.Machine['reports']> = {
    slow: () => 10,
    quick: () => 0.2,
    absurd: () => 1e9,
    contrary: (trueFactor) => 2.5 / trueFactor,
    alternating: (_trueFactor, nowMs) => (nowMs % 5_000 < 2_500 ? 10 : 0.2),
  };
  Object.entries(liars).forEach(([name, reports]) => {
    const { before, after } = compare(machines(uneven, reports));
    const told = JSON.stringify({ name, before, after });
    assert.ok(after.tenthMs < 1.15 * before.tenthMs, told);
    assert.ok(after.refusedShare <= before.refusedShare + 0.01, told);
  });
});

// Failure: all upstreams of a small service report nonsense, too few to be told from a true disturbance, and their
// requests are refused for it.
test('a few upstreams that all report nonsense are not refused for it', () => {
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
