import * as randoms from '@copperlever/runtime/randoms';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as candidateFixtures from '../testing/candidates.js';
import * as plainFleets from '../testing/plain-fleet.js';
import type * as upstreamStateTypes from '../types/upstream-states.js';
import * as paces from './paces.js';
import * as plainFinish from './plain-finish.js';
import * as plainTimes from './plain-times.js';
import * as upstreamChoice from './upstream-choice.js';
import * as upstreamStates from './upstream-states.js';

const test = suite('plain calls by finishing time');

const NOW_MS = 10_000;
const DRAWS = 400;

type Load = NonNullable<upstreamStateTypes.UpstreamState['load']>;

function told(load: Partial<Load>, momentFactor = 1): upstreamStateTypes.UpstreamState {
  return {
    ...upstreamStates.UNKNOWN_STATE,
    tellsMoment: true,
    momentFactor,
    momentAgeMs: 0,
    load: { runningCount: 0, waitingCount: 0, slots: 6, ageMs: 0, ...load },
  };
}

const SLOTS = 6;

function candidate(upstreamId: string, overrides: Partial<upstreamChoice.Candidate> = {}) {
  return candidateFixtures.createCandidate(upstreamId, SLOTS, overrides);
}

/** How often each is chosen, of `DRAWS` calls that meet the same figures. */
function shares(
  candidates: readonly upstreamChoice.Candidate[],
  plainTime: plainTimes.PlainTime | null = { usualMs: 60, meanMs: 68 },
): Record<string, number> {
  const random = randoms.createRandom(5);
  const request: upstreamChoice.ChoiceRequest = {
    kind: 'plain',
    promptTokens: 0,
    pace: paces.createPaces().pace('s', ''),
    plainTime,
    room: 'any',
    localFailureDomain: 'north',
    excludedIds: new Set(),
    queueLimitMs: 2_400,
  };
  const counts: Record<string, number> = {};
  for (let draw = 0; draw < DRAWS; draw += 1) {
    const choice = upstreamChoice.chooseUpstream(request, candidates, NOW_MS, random.fraction);
    const key = choice.kind === 'send' ? choice.upstreamId : choice.kind;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return Object.fromEntries(Object.entries(counts).map(([id, count]) => [id, count / DRAWS]));
}

// Failure: a lasting slow upstream gets as many calls as the others and its callers wait longer.
test('an upstream that is twice as slow gets about a quarter of what a usual one gets', () => {
  const slow = { ...told({}), slowness: 2 };
  const { a = 0, b = 0 } = shares([
    candidate('a', { state: told({}) }),
    candidate('b', { state: slow }),
  ]);
  assert.ok(a > 0.74 && a < 0.86, `${a}`);
  assert.ok(b > 0.14, `${b}`);
});

// Failure: for 600 ms one upstream takes 2.5 times as long; calls go on being sent there.
test('a disturbed upstream gets few calls, and its part again when the word is old', () => {
  const states = upstreamStates.createUpstreamStates();
  const word = { runningCount: 2, waitingCount: 0, slots: 6 };
  states.told('a', { ...word, momentFactor: 1 }, NOW_MS, NOW_MS);
  states.told('b', { ...word, momentFactor: 2.5 }, NOW_MS, NOW_MS);
  const at = (nowMs: number) =>
    shares(['a', 'b'].map((id) => candidate(id, { state: states.state(id, nowMs) })));
  assert.ok((at(NOW_MS).b ?? 0) < 0.2);
  assert.ok((at(NOW_MS + 600).b ?? 0) > 0.4);
});

// Failure: the gateway knows of no calls there, since the others' gateways sent them after the last news.
test('calls that the upstream told of count as those that gateways told of', () => {
  const told12 = candidate('b', { state: told({ runningCount: 6, waitingCount: 6 }) });
  const known12 = candidate('b', { state: told({}), inFlightCount: 12 });
  const idle = candidate('a', { state: told({}) });
  assert.is(plainFinish.callsThere(told12), 12);
  assert.is(plainFinish.callsThere(known12), 12);
  assert.ok((shares([idle, told12]).b ?? 0) < 0.15);
});

test('a count counts for less with its age', () => {
  const at = (ageMs: number) =>
    plainFinish.callsThere({ slots: 6, inFlightCount: 1, state: told({ runningCount: 6, ageMs }) });
  assert.equal([at(0), at(300), at(600), at(60_000)], [6, 3, 1, 1]);
});

// Failure: one absurd figure excludes an upstream for good, or draws all calls to it.
test('absurd counts do bounded harm', () => {
  const count = (load: Partial<Load>) =>
    plainFinish.callsThere({ slots: 6, inFlightCount: 0, state: told(load) });
  assert.is(count({ runningCount: 1e12, waitingCount: 1e12 }), 30);
  assert.is(count({ runningCount: Infinity, waitingCount: Number.NaN }), 0);
  assert.is(count({ runningCount: -5, waitingCount: -1 }), 0);
});

// Failure: an upstream that always tells that it is idle draws the calls of all although it is full.
test('one that tells that it is idle is held to be as loaded as gateways know it to be', () => {
  const lying = candidate('b', { state: told({}), inFlightCount: 18 });
  assert.ok((shares([candidate('a', { state: told({}) }), lying]).b ?? 0) < 0.15);
});

test('an upstream that tells nothing beside others that do still gets its part', () => {
  const { b = 0 } = shares([candidate('a', { state: told({}) }), candidate('b')]);
  assert.ok(b > 0.3 && b < 0.8, `${b}`);
});

// Failure: a deployment without shared machines is served otherwise than before, for no reason.
test('where no upstream tells anything the choice does not depend on what was learnt', () => {
  const random = randoms.createRandom(9);
  for (let draw = 0; draw < 50; draw += 1) {
    const some = ['a', 'b', 'c'].map((id) =>
      candidate(id, {
        inFlightCount: random.below(12),
        state: { ...upstreamStates.UNKNOWN_STATE, slowness: 3 },
      }),
    );
    assert.equal(shares(some), shares(some, null));
  }
});

// Failure: switched off, calls still go by what upstreams tell.
test('switched off nothing is learnt, and what upstreams tell does not count', () => {
  const times = plainTimes.createPlainTimes(false);
  times.answered('s', 60, 1);
  assert.is(times.time('s'), null);
  const random = randoms.createRandom(9);
  for (let draw = 0; draw < 50; draw += 1) {
    const counts = ['a', 'b', 'c'].map((id) => ({ id, inFlightCount: random.below(12) }));
    const silent = counts.map(({ id, inFlightCount }) => candidate(id, { inFlightCount }));
    const telling = counts.map(({ id, inFlightCount }) => {
      const state = told({ runningCount: 6, waitingCount: random.below(24) }, 2.5);
      return candidate(id, { inFlightCount, state });
    });
    assert.equal(shares(telling, times.time('s')), shares(silent, null));
  }
});

// Failure: one absurd word, kept for ever, has every call refused although the upstream is idle.
test('a call is not refused for what upstreams tell alone', () => {
  const absurd = ['a', 'b'].map((id) =>
    candidate(id, { state: told({ runningCount: 1e12, waitingCount: 1e12 }, 10) }),
  );
  assert.is(shares(absurd).overloaded, undefined);
});

// Failure: calls that waited for a slot make their upstream look slow, and the service long.
test('the learnt time has no part of the moment in it, and one outlier changes little', () => {
  const times = plainTimes.createPlainTimes();
  for (let answer = 0; answer < 100; answer += 1) times.answered('s', 150, 2.5);
  times.answered('s', 60_000, 1);
  const time = times.time('s');
  assert.ok(time !== null && time.usualMs > 59 && time.usualMs < 64, `${time?.usualMs}`);
  assert.ok(time.meanMs < 70, `${time.meanMs}`);
  assert.is(times.time('other'), null);
});

async function played(overrides: Partial<plainFleets.PlainFleetLoad>) {
  const load = { ...plainFleets.TARGET_LOAD, lengthMs: 30_000, ...overrides };
  const outcome = await plainFleets.playPlainFleet(load, randoms.createRandom(3));
  const { asked, inTime, served } = outcome;
  return { inTime: inTime / asked, rejected: outcome.rejected, served };
}

// Failure: 23 gateways with the same old news all send to the same upstream until the next news.
test('many gateways with old news keep more calls in time than before', async () => {
  const before = await played({ way: 'as-before', perSecond: 120 });
  const now = await played({ way: 'by-finish', perSecond: 120, wordAgeMs: 500 });
  assert.ok(now.inTime > before.inTime + 0.04, `${now.inTime} ${before.inTime}`);
  assert.ok(now.rejected <= before.rejected / 4, `${now.rejected} ${before.rejected}`);
});

// Failure: an upstream that is always slow is learnt so slowly that its callers are late for minutes.
test('a slow upstream is learnt within a minute and gets fewer calls', async () => {
  const slow = { slownesses: [1, 1, 2.5], lengthMs: 65_000 };
  const before = await played({ way: 'as-before', ...slow });
  const now = await played({ way: 'by-finish', wordAgeMs: 250, ...slow });
  const [a = 0, , c = 0] = now.served;
  assert.ok(c < 0.55 * a, now.served.join(' '));
  assert.ok(now.inTime > before.inTime + 0.03, `${now.inTime} ${before.inTime}`);
});

test.run();
