import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as requestCensus from '../../shared/crashes/request-census.js';
import * as crashWatches from './crash-watch.js';
import type * as livenessProbes from './liveness-probe.js';

const test = suite('crash watch');

const ADDRESS = 'u1.example:1';

function createFixture(isLeaving = false) {
  const clock = fakeClocks.createFakeClock();
  const census = requestCensus.createRequestCensus();
  const lost: crashWatches.LostUpstream[] = [];
  const returned: string[] = [];
  const probed: string[] = [];
  const state = { liveness: 'refuses' as livenessProbes.Liveness };
  const watch = crashWatches.createCrashWatch({
    clock,
    census,
    isLeaving: () => isLeaving,
    onLost: (one) => lost.push(one),
    onReturned: (upstreamId) => returned.push(upstreamId),
    probe: (address) => {
      probed.push(address);
      return Promise.resolve(state.liveness);
    },
  });
  const start = (...traits: string[]) => watch.started('u1', ADDRESS, { traits, pool: 'm1' });
  return { clock, census, lost, returned, probed, state, watch, start };
}

// Guards against suspects among requests that their upstream had answered for a while, and against one missed after its first event.
test('suspects are the requests whose answer had not begun when the upstream ended, or only just', async () => {
  const { clock, start, lost, census } = createFixture();
  const old = start('old');
  old.began();
  await clock.advance(crashWatches.SOUND_AFTER_MS);
  const young = start('young');
  young.began();
  const waiting = start('waiting');
  await clock.advance(50);
  young.ended('lost');
  await clock.advance(1);
  old.ended('lost');
  waiting.ended('lost');
  await clock.advance(100);
  assert.equal(
    lost.map(({ suspects, lostCount }) => ({ suspects, lostCount })),
    [{ suspects: [['young'], ['waiting']], lostCount: 3 }],
  );
  assert.is(census.lastSoundMs('old'), 0);
  assert.is(census.lastSoundMs('young'), null);
});

// Guards against the end of an upstream being seen in an answer that broke off, or behind a cut.
test('an upstream that accepts connections, or does not answer, has not ended', async () => {
  const { clock, start, lost, state } = createFixture();
  state.liveness = 'accepts';
  start('a').ended('lost');
  await clock.advance(1);
  state.liveness = 'unknown';
  start('b').ended('lost');
  await clock.advance(1);
  assert.equal(
    lost.map(({ liveness }) => liveness),
    ['accepts', 'unknown'],
  );
});

// Guards against a crash that looks like the regular end of an answer without a length.
test('an answer that ended with its connection shows nothing until its upstream is known to live', async () => {
  const { clock, start, lost, census, state } = createFixture();
  const first = start('bad');
  first.began();
  first.ended('unframed');
  assert.is(census.lastSoundMs('bad'), null);
  await clock.advance(100);
  assert.equal(lost[0]?.suspects, [['bad']]);
  state.liveness = 'accepts';
  const second = createFixture();
  second.state.liveness = 'accepts';
  const good = second.start('good');
  good.began();
  good.ended('unframed');
  await second.clock.advance(100);
  assert.is(second.census.lastSoundMs('good'), 0);
  assert.is(second.lost.length, 0);
});

// Guards against the end of an upstream that leaves being taken for a crash.
test('an upstream that leaves is not probed', async () => {
  const { clock, start, lost, probed } = createFixture(true);
  start('a').ended('lost');
  await clock.advance(100);
  assert.equal([lost.length, probed.length], [0, 0]);
});

// Guards against evidence of an end that was none.
test('an upstream that answers later has not ended', async () => {
  const { clock, start, watch, returned } = createFixture();
  start('a').ended('lost');
  await clock.advance(10);
  watch.noteAnswered('u1', -1);
  assert.equal(returned, []);
  watch.noteAnswered('u1', clock.nowMs());
  assert.equal(returned, ['u1']);
});

test.run();
