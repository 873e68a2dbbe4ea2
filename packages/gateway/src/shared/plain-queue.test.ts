import * as randoms from '@copperlever/runtime/randoms';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as plainFleets from '../testing/plain-fleet.js';
import * as plainPlaces from './plain-places.js';
import * as plainQueues from './plain-queue.js';

const test = suite('queue for plain calls');

const BOUNDS = { entriesMax: 4, bytesMax: 1_000 };

function waiting(name: string, priority: number, latestStartMs: number, bodyBytes = 10) {
  return { name, priority, latestStartMs, bodyBytes };
}

// Failure: an urgent call waits behind one that has time left.
test('more urgent calls go first, and among equals those that can wait for the shorter time', () => {
  const queue = plainQueues.createPlainQueue<ReturnType<typeof waiting>>(BOUNDS);
  const calls = [
    waiting('a', 1, 500),
    waiting('b', 0, 900),
    waiting('c', 1, 400),
    waiting('d', 0, 900),
  ];
  calls.forEach((call) => assert.ok(queue.add(call)));
  assert.equal(
    queue.entries().map(({ name }) => name),
    ['b', 'd', 'c', 'a'],
  );
  assert.is(queue.aheadCount({ priority: 1, latestStartMs: 450 }), 3);
  assert.is(queue.aheadCount({ priority: 0, latestStartMs: 100 }), 0);
});

// Failure: an overload fills the memory of a gateway with waiting calls.
test('its memory is bounded, by calls and by their bodies', () => {
  const queue = plainQueues.createPlainQueue<ReturnType<typeof waiting>>(BOUNDS);
  const large = waiting('large', 0, 100, 990);
  assert.ok(queue.add(large));
  assert.not(queue.add(waiting('over', 0, 100, 11)));
  queue.remove(large);
  queue.remove(large);
  for (let call = 0; call < BOUNDS.entriesMax; call += 1) assert.ok(queue.add(waiting('', 0, 1)));
  assert.not(queue.add(waiting('over', 0, 100)));
});

test('a gateway alone has all slots, and each of many at least one call at each upstream', () => {
  const share = (gatewayCount: number) => plainQueues.ownShare({ slots: 6, gatewayCount });
  assert.equal([1, 2, 6, 23, 410].map(share), [12, 6, 2, 1, 1]);
});

test('the wait ends with the ends of the own calls, or when a slot is known to be free', () => {
  const start = { freeInMs: 500, aheadCount: 0, ownCount: 3, callMs: 60 };
  assert.is(plainQueues.startInMs(start), 20);
  assert.is(plainQueues.startInMs({ ...start, aheadCount: 4 }), 100);
  assert.is(plainQueues.startInMs({ ...start, freeInMs: 0 }), 0);
  assert.is(plainQueues.startInMs({ ...start, ownCount: 0 }), 60);
});

// Failure: calls are sent to an upstream that has just rejected one for want of a place.
test('what an upstream takes is learnt from its rejections, unless it tells nonsense', () => {
  const places = plainPlaces.createPlainPlaces();
  const load = { runningCount: 6, waitingCount: 24, slots: 6, ageMs: 0 };
  assert.is(places.places('u', 0), null);
  places.rejected('u', { ...load, runningCount: 2, waitingCount: 0 }, 0);
  places.rejected('u', { ...load, waitingCount: Number.NaN }, 0);
  places.rejected('u', { ...load, ageMs: 300 }, 0);
  places.rejected('u', null, 0);
  assert.is(places.places('u', 0), null);
  places.rejected('u', load, 1_000);
  assert.is(places.places('u', 2_000), 30);
  assert.is(places.places('u', 61_000), null);
});

/** Plays of 35 s differ by up to a point of the share in time: the mean of three counts. */
const SEEDS = [1, 2, 3];

async function played(overrides: Partial<plainFleets.PlainFleetLoad>) {
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

// Failure: a disturbed upstream gets as many calls as the others until its queue is full and it rejects.
test('gateways that hear words of their own answers alone cause no rejection at the planned load', async () => {
  const before = await played({ way: 'as-before', perSecond: 120 });
  const now = await played({ way: 'queue', perSecond: 120 });
  assert.ok(before.rejected > 60, `${before.rejected}`);
  assert.is(now.rejected, 0);
  assert.ok(now.inTimeShare > 0.97, `${now.inTimeShare}`);
  assert.ok(now.inTimeShare > before.inTimeShare + 0.03, `${before.inTimeShare}`);
});

// Failure: in an overload all calls wait at upstreams behind others that are late already.
test('an overload is refused at once and not rejected', async () => {
  const before = await played({ way: 'as-before', perSecond: 200 });
  const now = await played({ way: 'queue', perSecond: 200 });
  assert.ok(before.rejected > 1_500, `${before.rejected}`);
  assert.ok(now.rejected <= 5, `${now.rejected}`);
  assert.ok(now.inTimeShare > before.inTimeShare + 0.02, `${now.inTimeShare}`);
  assert.ok(now.late < 0.8 * before.late, `${now.late} ${before.late}`);
});

// Failure: slots idle because each gateway keeps to its share while the others have no calls.
test('gateways use what the others leave', async () => {
  for (const askedGatewayCount of [1, 3]) {
    const now = await played({ way: 'queue', perSecond: 120, askedGatewayCount });
    assert.ok(now.inTimeShare > 0.96, `${now.inTimeShare}`);
    assert.ok(now.refused < 0.005 * now.asked, `${now.refused}`);
  }
});

type Tells = plainFleets.PlainFleetLoad['tells'];

const ABSURD = { runningCount: 1e9, waitingCount: 1e9, momentFactor: 1_000 };
const IDLE = { runningCount: 0, waitingCount: 0, momentFactor: 0.01 };

const WORDS: Record<string, Tells> = {
  'no upstream tells anything': () => null,
  'one upstream tells nothing': (upstream, word) => (upstream === 0 ? null : word),
  'one always tells that it is idle and quick': (upstream, word) =>
    upstream === 0 ? { ...word, ...IDLE } : word,
  'one always tells absurd figures': (upstream, word) =>
    upstream === 0 ? { ...word, ...ABSURD } : word,
  'all always tell absurd figures': (_upstream, word) => ({ ...word, ...ABSURD }),
  'all always tell that they are idle': (_upstream, word) => ({ ...word, ...IDLE }),
};

// Failure: a false or absent figure has calls refused, or all sent to one upstream.
Object.entries(WORDS).forEach(([name, tells]) => {
  test(`words: ${name}`, async () => {
    const now = await played({ way: 'queue', perSecond: 120, tells });
    assert.ok(now.inTimeShare > 0.94, `${now.inTimeShare}`);
    assert.ok(now.refused < 0.01 * now.asked, `${now.refused}`);
    assert.ok(now.rejected <= 2, `${now.rejected}`);
    assert.ok(Math.min(...now.served) > 0.5 * Math.max(...now.served), now.served.join(' '));
  });
});

// Failure: calls to an upstream that answers nothing hold up those for the others.
test('an upstream that answers nothing for ten seconds costs fewer calls than before', async () => {
  const silent = { upstream: 0, fromMs: 15_000, untilMs: 25_000 };
  const before = await played({ way: 'as-before', perSecond: 120, silent });
  const now = await played({ way: 'queue', perSecond: 120, silent });
  assert.ok(now.inTimeShare > before.inTimeShare + 0.03, `${now.inTimeShare}`);
  assert.ok(now.lost < before.lost, `${now.lost} ${before.lost}`);
});

// Failure: a gateway that hears from no other holds calls for slots that it believes taken.
test('gateways that hear from no other serve as well as before', async () => {
  const before = await played({ way: 'as-before', perSecond: 120, isAlone: true });
  const now = await played({ way: 'queue', perSecond: 120, isAlone: true });
  assert.ok(now.inTimeShare > before.inTimeShare, `${now.inTimeShare}`);
  assert.is(now.refused, 0);
});

test.run();
