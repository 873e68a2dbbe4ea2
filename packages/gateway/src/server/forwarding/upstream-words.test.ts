import { logs } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as directories from '../../shared/upstream-directory.js';
import * as upstreamLimitsModule from '../../shared/upstream-limits.js';
import * as upstreamPauses from '../../shared/upstream-pauses.js';
import type * as dialects from '../../types/dialects.js';
import * as upstreamStates from '../../shared/upstream-states.js';
import * as upstreamWords from './upstream-words.js';

const test = suite('upstream words');

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

function createWords() {
  const clock = fakeClocks.createFakeClock();
  const upstreamLimits = upstreamLimitsModule.createUpstreamLimits();
  const directory = directories.createUpstreamDirectory();
  const pauses = upstreamPauses.createUpstreamPauses();
  const states = upstreamStates.createUpstreamStates();
  const log = logs.createSilentLogger();
  const words = upstreamWords.createUpstreamWords({
    clock,
    log,
    upstreamLimits,
    directory,
    pauses,
    states,
  });
  const heard = (facts: Partial<dialects.AnswerFacts>) =>
    words.heard({
      upstreamId: 'u1',
      facts: { ...PLAIN, ...facts },
      sentMs: clock.nowMs(),
      source: 'r1',
    });
  return { clock, upstreamLimits, directory, pauses, states, words, heard };
}

// Failure: a report without a word on the limit lifts one that answers to requests go on naming.
test('a report names a limit, and its silence lifts none', () => {
  const { clock, upstreamLimits, words } = createWords();
  words.reported('u1', { limit: { kind: 'named', perSecond: 3 } }, clock.nowMs());
  assert.is(upstreamLimits.perSecond('u1'), 3);
  words.reported('u1', { limit: { kind: 'unlimited' } }, clock.nowMs() + 1);
  assert.is(upstreamLimits.perSecond('u1'), 3);
});

// Failure: another upstream has the address now, and its limit is taken for that of the one before.
test('the limit of an upstream that was not meant counts for nobody', () => {
  const { upstreamLimits, heard } = createWords();
  heard({ limit: { kind: 'named', perSecond: 1 }, isMisdirected: true });
  assert.is(upstreamLimits.perSecond('u1'), null);
  heard({ limit: { kind: 'named', perSecond: 1 } });
  assert.is(upstreamLimits.perSecond('u1'), 1);
});

// Failure: another upstream has the address now and leaves, and the one before is taken out.
test('the leaving of an upstream that was not meant counts for nobody', () => {
  const { directory, heard } = createWords();
  heard({ isLeaving: true, isMisdirected: true });
  assert.equal(directory.leavingIds(), []);
  heard({ isLeaving: true });
  assert.equal(directory.leavingIds(), ['u1']);
});

// Failure: another upstream has the address now and wants nothing, and the one before is left alone.
test('the pause of an upstream that was not meant counts for nobody', () => {
  const { clock, pauses, heard } = createWords();
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
  hostModels: [],
  diskModels: [],
};

test('what a report says of tokens is kept, and its counts stand in for older ones only', async () => {
  const { clock, states, words, heard } = createWords();
  const limit = { kind: 'unlimited' as const };
  words.reported('u1', { limit, report: { ...REPORT, tokens: null } }, clock.nowMs());
  assert.is(states.state('u1', clock.nowMs()).tokens, null);
  words.reported('u1', { limit, report: REPORT }, clock.nowMs());
  assert.is(states.state('u1', clock.nowMs()).tokens?.used, 300);
  heard({ load: { runningCount: 1, waitingCount: 0, slots: 8, momentFactor: null } });
  words.reported('u1', { limit, report: REPORT }, clock.nowMs());
  assert.is(states.state('u1', clock.nowMs()).load?.runningCount, 1);
  await clock.advance(1_000);
  words.reported('u1', { limit, report: REPORT }, clock.nowMs());
  const { load } = states.state('u1', clock.nowMs());
  assert.equal([load?.runningCount, load?.waitingCount, load?.slots], [7, 4, 8]);
});

test.run();
