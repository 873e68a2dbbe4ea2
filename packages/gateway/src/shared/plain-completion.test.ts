import * as randoms from '@copperlever/runtime/randoms';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as candidateFixtures from '../testing/candidates.js';
import * as plainFleets from '../testing/plain-fleet.js';
import type * as upstreamStateTypes from '../types/upstream-states.js';
import * as serviceTimes from './service-times.js';
import * as plainCompletion from './plain-completion.js';
import * as plainServiceTimes from './plain-service-times.js';
import * as upstreamChoice from './upstream-choice.js';
import * as upstreamStates from './upstream-states.js';

const test = suite('plain calls by completion time');

const NOW_MS = 10_000;
const DRAWS = 400;

type Load = NonNullable<upstreamStateTypes.UpstreamState['load']>;

function reportedState(load: Partial<Load>, transientFactor = 1): upstreamStateTypes.UpstreamState {
  return {
    ...upstreamStates.UNKNOWN_STATE,
    reportsTransientFactor: true,
    transientFactor,
    transientAgeMs: 0,
    load: { runningCount: 0, waitingCount: 0, slots: 6, ageMs: 0, ...load },
  };
}

const SLOTS = 6;

function candidate(upstreamId: string, overrides: Partial<upstreamChoice.Candidate> = {}) {
  return candidateFixtures.createCandidate(upstreamId, SLOTS, overrides);
}

/** The share of `DRAWS` calls that each upstream gets, all with the same inputs. */
function choiceShares(
  candidates: readonly upstreamChoice.Candidate[],
  plainTime: plainServiceTimes.PlainServiceTime | null = { geometricMeanMs: 60, meanMs: 68 },
): Record<string, number> {
  const random = randoms.createRandom(5);
  const request: upstreamChoice.ChoiceRequest = {
    kind: 'plain',
    promptTokens: 0,
    serviceTimes: serviceTimes.createServiceTimeEstimator().estimate('s', ''),
    plainServiceTime: plainTime,
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

// Guards against a permanently slow upstream getting as many calls as the others, whose callers then wait longer.
test('an upstream that is twice as slow gets about a quarter of the calls of an average one', () => {
  const slow = { ...reportedState({}), latencyRatio: 2 };
  const { a = 0, b = 0 } = choiceShares([
    candidate('a', { state: reportedState({}) }),
    candidate('b', { state: slow }),
  ]);
  assert.ok(a > 0.74 && a < 0.86, `${a}`);
  assert.ok(b > 0.14, `${b}`);
});

// One upstream takes 2.5 times as long for 600 ms. Guards against sending calls there all the same.
test('a disturbed upstream gets few calls, and its share again once the report has expired', () => {
  const states = upstreamStates.createUpstreamStates();
  const signal = { runningCount: 2, waitingCount: 0, slots: 6 };
  states.applyLoadSignal('a', { ...signal, transientFactor: 1 }, NOW_MS, NOW_MS);
  states.applyLoadSignal('b', { ...signal, transientFactor: 2.5 }, NOW_MS, NOW_MS);
  const at = (nowMs: number) =>
    choiceShares(['a', 'b'].map((id) => candidate(id, { state: states.state(id, nowMs) })));
  assert.ok((at(NOW_MS).b ?? 0) < 0.2);
  assert.ok((at(NOW_MS + 600).b ?? 0) > 0.4);
});

// Guards against overlooking calls that other gateways have sent there since their last update.
test('calls that the upstream reports count like those that gateways report', () => {
  const reported12 = candidate('b', { state: reportedState({ runningCount: 6, waitingCount: 6 }) });
  const known12 = candidate('b', { state: reportedState({}), inFlightCount: 12 });
  const idle = candidate('a', { state: reportedState({}) });
  assert.is(plainCompletion.callCount(reported12), 12);
  assert.is(plainCompletion.callCount(known12), 12);
  assert.ok((choiceShares([idle, reported12]).b ?? 0) < 0.15);
});

test('a reported count decays with its age', () => {
  const at = (ageMs: number) =>
    plainCompletion.callCount({
      slots: 6,
      inFlightCount: 1,
      state: reportedState({ runningCount: 6, ageMs }),
    });
  assert.equal([at(0), at(300), at(600), at(60_000)], [6, 3, 1, 1]);
});

// Guards against one absurd count that excludes an upstream for good, or attracts all calls to it.
test('the effect of absurd counts is bounded', () => {
  const count = (load: Partial<Load>) =>
    plainCompletion.callCount({ slots: 6, inFlightCount: 0, state: reportedState(load) });
  assert.is(count({ runningCount: 1e12, waitingCount: 1e12 }), 30);
  assert.is(count({ runningCount: Infinity, waitingCount: Number.NaN }), 0);
  assert.is(count({ runningCount: -5, waitingCount: -1 }), 0);
});

// Guards against an upstream that always reports that it is idle and attracts all calls although it is full.
test('an upstream that reports that it is idle still counts as loaded as gateways know it to be', () => {
  const misreporting = candidate('b', { state: reportedState({}), inFlightCount: 18 });
  assert.ok(
    (choiceShares([candidate('a', { state: reportedState({}) }), misreporting]).b ?? 0) < 0.15,
  );
});

test('an upstream without reports still gets its share beside others that report', () => {
  const { b = 0 } = choiceShares([candidate('a', { state: reportedState({}) }), candidate('b')]);
  assert.ok(b > 0.3 && b < 0.8, `${b}`);
});

// Guards against a change in behaviour for deployments without shared machines.
test('where no upstream reports its state the choice does not depend on what was learned', () => {
  const random = randoms.createRandom(9);
  for (let draw = 0; draw < 50; draw += 1) {
    const some = ['a', 'b', 'c'].map((id) =>
      candidate(id, {
        inFlightCount: random.below(12),
        state: { ...upstreamStates.UNKNOWN_STATE, latencyRatio: 3 },
      }),
    );
    assert.equal(choiceShares(some), choiceShares(some, null));
  }
});

// Guards against reports that still count although the feature is switched off.
test('when switched off nothing is learned, and reports of upstreams do not count', () => {
  const times = plainServiceTimes.createPlainServiceTimes(false);
  times.recordAnswer('s', 60, 1);
  assert.is(times.serviceTime('s'), null);
  const random = randoms.createRandom(9);
  for (let draw = 0; draw < 50; draw += 1) {
    const counts = ['a', 'b', 'c'].map((id) => ({ id, inFlightCount: random.below(12) }));
    const silent = counts.map(({ id, inFlightCount }) => candidate(id, { inFlightCount }));
    const reporting = counts.map(({ id, inFlightCount }) => {
      const state = reportedState({ runningCount: 6, waitingCount: random.below(24) }, 2.5);
      return candidate(id, { inFlightCount, state });
    });
    assert.equal(choiceShares(reporting, times.serviceTime('s')), choiceShares(silent, null));
  }
});

// Guards against an absurd report that persists and has every call refused although the upstream is idle.
test('a call is not refused because of reports alone', () => {
  const absurd = ['a', 'b'].map((id) =>
    candidate(id, { state: reportedState({ runningCount: 1e12, waitingCount: 1e12 }, 10) }),
  );
  assert.is(choiceShares(absurd).overloaded, undefined);
});

// Guards against disturbed or late answers that make the learned time of the service too long.
test('the learned time excludes the transient factor, and one outlier changes little', () => {
  const times = plainServiceTimes.createPlainServiceTimes();
  for (let answer = 0; answer < 100; answer += 1) times.recordAnswer('s', 150, 2.5);
  times.recordAnswer('s', 60_000, 1);
  const time = times.serviceTime('s');
  assert.ok(
    time !== null && time.geometricMeanMs > 59 && time.geometricMeanMs < 64,
    `${time?.geometricMeanMs}`,
  );
  assert.ok(time.meanMs < 70, `${time.meanMs}`);
  assert.is(times.serviceTime('other'), null);
});

async function simulate(overrides: Partial<plainFleets.PlainFleetLoad>) {
  const load = { ...plainFleets.TARGET_LOAD, lengthMs: 30_000, ...overrides };
  const outcome = await plainFleets.playPlainFleet(load, randoms.createRandom(3));
  const { asked, inTime, served } = outcome;
  return { inTime: inTime / asked, rejected: outcome.rejected, served };
}

// Guards against 23 gateways with the same outdated reports that all send to the same upstream until the next update.
test('many gateways with old reports keep more calls in time than before', async () => {
  const before = await simulate({ way: 'as-before', perSecond: 120 });
  const now = await simulate({ way: 'by-finish', perSecond: 120, wordAgeMs: 500 });
  assert.ok(now.inTime > before.inTime + 0.04, `${now.inTime} ${before.inTime}`);
  assert.ok(now.rejected <= before.rejected / 4, `${now.rejected} ${before.rejected}`);
});

// Guards against learning a permanently slow upstream so late that its callers wait too long for minutes.
test('a slow upstream is detected within a minute and gets fewer calls', async () => {
  const slow = { slownesses: [1, 1, 2.5], lengthMs: 65_000 };
  const before = await simulate({ way: 'as-before', ...slow });
  const now = await simulate({ way: 'by-finish', wordAgeMs: 250, ...slow });
  const [a = 0, , c = 0] = now.served;
  assert.ok(c < 0.55 * a, now.served.join(' '));
  assert.ok(now.inTime > before.inTime + 0.03, `${now.inTime} ${before.inTime}`);
});

test.run();
