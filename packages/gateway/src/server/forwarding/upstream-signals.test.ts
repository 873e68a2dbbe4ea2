import { logs } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as directories from '../../shared/upstream-directory.js';
import * as upstreamLimitsModule from '../../shared/upstream-limits.js';
import * as upstreamPauses from '../../shared/upstream-pauses.js';
import type * as dialects from '../../types/dialects.js';
import * as upstreamStates from '../../shared/upstream-states.js';
import * as upstreamSignals from './upstream-signals.js';

const test = suite('upstream signals');

const PLAIN: dialects.AnswerFacts = {
  requestId: 'r1',
  isSigned: true,
  didNotRun: false,
  isMisdirected: false,
  limit: { kind: 'unlimited' },
  isLeaving: false,
  pauseMs: null,
  load: null,
};

function createFixture() {
  const clock = fakeClocks.createFakeClock();
  const upstreamLimits = upstreamLimitsModule.createUpstreamLimits();
  const directory = directories.createUpstreamDirectory();
  const pauses = upstreamPauses.createUpstreamPauses();
  const states = upstreamStates.createUpstreamStates();
  const log = logs.createSilentLogger();
  const signals = upstreamSignals.createUpstreamSignals({
    clock,
    log,
    upstreamLimits,
    directory,
    pauses,
    states,
  });
  const heard = (facts: Partial<dialects.AnswerFacts>) =>
    signals.applyAnswerHead({
      upstreamId: 'u1',
      facts: { ...PLAIN, ...facts },
      sentMs: clock.nowMs(),
      source: 'r1',
    });
  return { clock, upstreamLimits, directory, pauses, states, signals, heard };
}

// A report without a limit must not end one that the answers to requests still state.
test('a report can set a limit, but one without a limit does not end it', () => {
  const { clock, upstreamLimits, signals } = createFixture();
  signals.applyReport('u1', { limit: { kind: 'named', perSecond: 3 } }, clock.nowMs());
  assert.is(upstreamLimits.perSecond('u1'), 3);
  signals.applyReport('u1', { limit: { kind: 'unlimited' } }, clock.nowMs() + 1);
  assert.is(upstreamLimits.perSecond('u1'), 3);
});

// Another upstream has the address now: its limit must not be applied to the one that was addressed.
test('the limit of a misdirected answer is ignored', () => {
  const { upstreamLimits, heard } = createFixture();
  heard({ limit: { kind: 'named', perSecond: 1 }, isMisdirected: true });
  assert.is(upstreamLimits.perSecond('u1'), null);
  heard({ limit: { kind: 'named', perSecond: 1 } });
  assert.is(upstreamLimits.perSecond('u1'), 1);
});

// Another upstream has the address now and leaves: the one that was addressed must not be removed.
test('the leaving signal of a misdirected answer is ignored', () => {
  const { directory, heard } = createFixture();
  heard({ isLeaving: true, isMisdirected: true });
  assert.equal(directory.leavingIds(), []);
  heard({ isLeaving: true });
  assert.equal(directory.leavingIds(), ['u1']);
});

// Another upstream has the address now and wants a pause: the one that was addressed must still get requests.
test('the pause of a misdirected answer is ignored', () => {
  const { clock, pauses, heard } = createFixture();
  heard({ pauseMs: 5_000, isMisdirected: true });
  assert.is(pauses.leftMs('u1', clock.nowMs()), 0);
  heard({ pauseMs: 5_000 });
  assert.is(pauses.leftMs('u1', clock.nowMs()), 5_000);
});

const REPORT = {
  models: [],
  isBusy: false,
  orderCount: 0,
  runningCount: 7,
  waitingCount: 4,
  tokens: { used: 300, total: 900 },
  arrivingAdapters: [],
  softwareVersion: 'v1',
  hostModels: [],
  diskModels: [],
};

test('token counts of a report are applied, and its request counts replace only older ones', async () => {
  const { clock, states, signals, heard } = createFixture();
  const limit = { kind: 'unlimited' as const };
  signals.applyReport('u1', { limit, report: { ...REPORT, tokens: null } }, clock.nowMs());
  assert.is(states.state('u1', clock.nowMs()).tokens, null);
  signals.applyReport('u1', { limit, report: REPORT }, clock.nowMs());
  assert.is(states.state('u1', clock.nowMs()).tokens?.used, 300);
  heard({ load: { runningCount: 1, waitingCount: 0, slots: 8, transientFactor: null } });
  signals.applyReport('u1', { limit, report: REPORT }, clock.nowMs());
  assert.is(states.state('u1', clock.nowMs()).load?.runningCount, 1);
  await clock.advance(1_000);
  signals.applyReport('u1', { limit, report: REPORT }, clock.nowMs());
  const { load } = states.state('u1', clock.nowMs());
  assert.equal([load?.runningCount, load?.waitingCount, load?.slots], [7, 4, 8]);
});

test.run();
