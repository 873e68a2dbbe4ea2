import * as randoms from '@copperlever/runtime/randoms';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as plainFleets from '../testing/plain-fleet.js';
import * as plainCapacity from './plain-capacity.js';
import * as plainQueues from './plain-queue.js';

const test = suite('queue for plain calls');

const BOUNDS = { maxEntries: 4, maxBytes: 1_000 };

function waitingCall(name: string, priority: number, latestStartMs: number, bodyBytes = 10) {
  return { name, priority, latestStartMs, bodyBytes };
}

// Guards against an urgent call that waits behind one that has time left.
test('more urgent calls go first, and among equals those with the earlier latest start', () => {
  const queue = plainQueues.createPlainQueue<ReturnType<typeof waitingCall>>(BOUNDS);
  const calls = [
    waitingCall('a', 1, 500),
    waitingCall('b', 0, 900),
    waitingCall('c', 1, 400),
    waitingCall('d', 0, 900),
  ];
  calls.forEach((call) => assert.ok(queue.add(call)));
  assert.equal(
    queue.entries().map(({ name }) => name),
    ['b', 'd', 'c', 'a'],
  );
  assert.is(queue.aheadCount({ priority: 1, latestStartMs: 450 }), 3);
  assert.is(queue.aheadCount({ priority: 0, latestStartMs: 100 }), 0);
});

// Guards against an overload that fills the gateway's memory with waiting calls.
test('its memory is bounded, by calls and by their bodies', () => {
  const queue = plainQueues.createPlainQueue<ReturnType<typeof waitingCall>>(BOUNDS);
  const large = waitingCall('large', 0, 100, 990);
  assert.ok(queue.add(large));
  assert.not(queue.add(waitingCall('over', 0, 100, 11)));
  queue.remove(large);
  queue.remove(large);
  for (let call = 0; call < BOUNDS.maxEntries; call += 1)
    assert.ok(queue.add(waitingCall('', 0, 1)));
  assert.not(queue.add(waitingCall('over', 0, 100)));
});

test('a single gateway has all slots, and each of many at least one call at each upstream', () => {
  const localShare = (gatewayCount: number) => plainQueues.localShare({ slots: 6, gatewayCount });
  assert.equal([1, 2, 6, 23, 410].map(localShare), [12, 6, 2, 1, 1]);
});

test('the wait ends when own calls complete, or when a slot is known to be free', () => {
  const start = { freeInMs: 500, aheadCount: 0, localCount: 3, callMs: 60 };
  assert.is(plainQueues.expectedWaitMs(start), 20);
  assert.is(plainQueues.expectedWaitMs({ ...start, aheadCount: 4 }), 100);
  assert.is(plainQueues.expectedWaitMs({ ...start, freeInMs: 0 }), 0);
  assert.is(plainQueues.expectedWaitMs({ ...start, localCount: 0 }), 60);
});

// Guards against sending calls to an upstream that has just rejected one because it is full.
test('the capacity of an upstream is learned from its rejections, unless its report is absurd', () => {
  const tracker = plainCapacity.createPlainCapacity();
  const load = { runningCount: 6, waitingCount: 24, slots: 6, ageMs: 0 };
  assert.is(tracker.capacity('u', 0), null);
  tracker.recordRejection('u', { ...load, runningCount: 2, waitingCount: 0 }, 0);
  tracker.recordRejection('u', { ...load, waitingCount: Number.NaN }, 0);
  tracker.recordRejection('u', { ...load, ageMs: 300 }, 0);
  tracker.recordRejection('u', null, 0);
  assert.is(tracker.capacity('u', 0), null);
  tracker.recordRejection('u', load, 1_000);
  assert.is(tracker.capacity('u', 2_000), 30);
  assert.is(tracker.capacity('u', 61_000), null);
});

/** Simulations of 35 s differ by up to a percentage point in the share in time, so the mean of three counts. */
const SEEDS = [1, 2, 3];

async function simulate(overrides: Partial<plainFleets.PlainFleetLoad>) {
  const load = { ...plainFleets.TARGET_LOAD, lengthMs: 40_000, ...overrides };
  const outcomes: plainFleets.PlainOutcome[] = [];
  for (const seed of SEEDS) {
    outcomes.push(await plainFleets.playPlainFleet(load, randoms.createRandom(seed)));
  }
  const sum = (of: (outcome: plainFleets.PlainOutcome) => number) =>
    outcomes.reduce((total, outcome) => total + of(outcome), 0);
  const asked = sum((outcome) => outcome.asked);
  return {
    asked,
    inTimeShare: sum(({ inTime }) => inTime) / asked,
    late: sum(({ late }) => late),
    lost: sum(({ lost }) => lost),
    refused: sum(({ refused }) => refused),
    rejected: sum(({ rejected }) => rejected),
    served: load.slownesses.map((_unused, index) => sum(({ served }) => served[index] ?? 0)),
  };
}

// Guards against a disturbed upstream that gets as many calls as the others until its queue is full and it rejects
// calls.
test('gateways that receive reports with their own answers only cause no rejections at the planned load', async () => {
  const before = await simulate({ way: 'as-before', perSecond: 120 });
  const now = await simulate({ way: 'queue', perSecond: 120 });
  assert.ok(before.rejected > 60, `${before.rejected}`);
  assert.is(now.rejected, 0);
  assert.ok(now.inTimeShare > 0.97, `${now.inTimeShare}`);
  assert.ok(now.inTimeShare > before.inTimeShare + 0.03, `${before.inTimeShare}`);
});

// Guards against calls that wait at upstreams during an overload, behind others that are late already.
test('in an overload calls are refused at once by the gateway, and hardly any are rejected', async () => {
  const before = await simulate({ way: 'as-before', perSecond: 200 });
  const now = await simulate({ way: 'queue', perSecond: 200 });
  assert.ok(before.rejected > 1_500, `${before.rejected}`);
  assert.ok(now.rejected <= 5, `${now.rejected}`);
  assert.ok(now.inTimeShare > before.inTimeShare + 0.02, `${now.inTimeShare}`);
  assert.ok(now.late < 0.8 * before.late, `${now.late} ${before.late}`);
});

// Guards against idle slots because each gateway stays within its share while the others have no calls.
test('gateways use the slots that others leave free', async () => {
  for (const askedGatewayCount of [1, 3]) {
    const now = await simulate({ way: 'queue', perSecond: 120, askedGatewayCount });
    assert.ok(now.inTimeShare > 0.96, `${now.inTimeShare}`);
    assert.ok(now.refused < 0.005 * now.asked, `${now.refused}`);
  }
});

type ReportsSignal = plainFleets.PlainFleetLoad['tells'];

const ABSURD = { runningCount: 1e9, waitingCount: 1e9, transientFactor: 1_000 };
const IDLE = { runningCount: 0, waitingCount: 0, transientFactor: 0.01 };

const REPORT_CASES: Record<string, ReportsSignal> = {
  'no upstream reports anything': () => null,
  'one upstream reports nothing': (upstream, signal) => (upstream === 0 ? null : signal),
  'one always reports that it is idle and fast': (upstream, signal) =>
    upstream === 0 ? { ...signal, ...IDLE } : signal,
  'one always reports absurd figures': (upstream, signal) =>
    upstream === 0 ? { ...signal, ...ABSURD } : signal,
  'all always report absurd figures': (_upstream, signal) => ({ ...signal, ...ABSURD }),
  'all always report that they are idle': (_upstream, signal) => ({ ...signal, ...IDLE }),
};

// Guards against a false or absent report that has calls refused, or all sent to one upstream.
Object.entries(REPORT_CASES).forEach(([name, tells]) => {
  test(`reports: ${name}`, async () => {
    const now = await simulate({ way: 'queue', perSecond: 120, tells });
    assert.ok(now.inTimeShare > 0.94, `${now.inTimeShare}`);
    assert.ok(now.refused < 0.01 * now.asked, `${now.refused}`);
    assert.ok(now.rejected <= 2, `${now.rejected}`);
    assert.ok(Math.min(...now.served) > 0.5 * Math.max(...now.served), now.served.join(' '));
  });
});

// Guards against calls to an unresponsive upstream that hold up those for the others.
test('an upstream that answers nothing for ten seconds costs fewer calls than before', async () => {
  const silent = { upstream: 0, fromMs: 15_000, untilMs: 25_000 };
  const before = await simulate({ way: 'as-before', perSecond: 120, silent });
  const now = await simulate({ way: 'queue', perSecond: 120, silent });
  assert.ok(now.inTimeShare > before.inTimeShare + 0.03, `${now.inTimeShare}`);
  assert.ok(now.lost < before.lost, `${now.lost} ${before.lost}`);
});

// Guards against a gateway without reports from others that holds calls back for slots which it believes taken.
test('gateways that receive nothing from others serve as well as before', async () => {
  const before = await simulate({ way: 'as-before', perSecond: 120, isAlone: true });
  const now = await simulate({ way: 'queue', perSecond: 120, isAlone: true });
  assert.ok(now.inTimeShare > before.inTimeShare, `${now.inTimeShare}`);
  assert.is(now.refused, 0);
});

test.run();
