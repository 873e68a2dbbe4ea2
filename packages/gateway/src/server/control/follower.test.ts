import { clocks, logs, randoms, results } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as fixtures from '../../testing/fleet-fixtures.js';
import * as memoryRecords from '../../testing/memory-records.js';
import type * as stores from '../../types/stores.js';
import * as followers from './follower.js';

const test = suite('follower');

const WAIT_MS = 1_000;

function createHarness({ waitMs, answersAfterMs } = { waitMs: WAIT_MS, answersAfterMs: WAIT_MS }) {
  const clock = fakeClocks.createFakeClock();
  const state = {
    isRelayed: false,
    isSilent: false,
    calls: 0,
    names: ['u1'],
    /** Told by the next watch. */
    changes: [] as stores.Change<never>[],
    /** Records that cannot be applied: what applies them throws. */
    refused: [] as string[],
    appliedNames: [] as string[],
    listedNames: [] as string[],
    era: 0,
    /** Whether all answers are of the era before the latest. */
    isOfEarlierEra: false,
    /** The time up to which the store has last confirmed the records. */
    asOfMs: -Infinity,
  };
  const records = memoryRecords.createMemoryRecords();
  const store: stores.RecordStore = {
    ...records,
    era: () => (state.isOfEarlierEra ? state.era + 1 : state.era),
    list: () => {
      state.calls += 1;
      const listed = state.names.map((name) => ({
        name,
        era: state.era,
        revision: 3,
        value: fixtures.upstreamRecord(name),
      }));
      return Promise.resolve(
        results.Ok({ records: listed, unreadable: [], era: state.era, revision: 3 }) as never,
      );
    },
    // Watches sent while the store is silent are never answered.
    watch: async (_kind, _revision, _waitMs, deadlineMs) => {
      state.calls += 1;
      if (state.isSilent) {
        await clocks.sleepUntil(clock, deadlineMs);
        return results.Err({ kind: 'unavailable', reason: 'deadline' });
      }
      await clocks.sleepUntil(clock, clock.nowMs() + answersAfterMs);
      const changes = state.changes.splice(0);
      return results.Ok({ changes, era: state.era, revision: 3 });
    },
  };
  const follower = followers.createFollower({
    kind: 'upstreams',
    store,
    clock,
    random: randoms.createRandom(2),
    log: logs.createSilentLogger(),
    onListing: (listing) => {
      state.listedNames = listing.records.map(({ name }) => name);
      if (state.listedNames.some((name) => state.refused.includes(name))) throw new Error('odd');
    },
    onChange: (change) => {
      if (change.kind !== 'deleted') return;
      if (state.refused.includes(change.name)) throw new Error('odd');
      state.appliedNames.push(change.name);
    },
    onFailed: () => {},
    trailMs: 0,
    onConfirmed: (asOfMs) => {
      state.asOfMs = asOfMs;
    },
    waitMs: () => waitMs,
    pauseMs: () => 600,
    graceMs: 400,
    listTimeoutMs: 300,
    isRelayed: () => state.isRelayed,
    onRelayed: () => {},
  });
  return { clock, state, follower };
}

// The holder relays the list and then falls silent. Until then no call is made; from then on the list must come from
// the store again, with what has changed meanwhile.
test('the store is not called while the list is relayed, and is called at once when that ends', async () => {
  const { clock, state, follower } = createHarness();
  follower.start();
  await clock.advance(3_000);
  assert.ok(state.calls >= 2);
  assert.ok(clock.nowMs() - state.asOfMs <= WAIT_MS, `${clock.nowMs() - state.asOfMs}`);
  state.isRelayed = true;
  await clock.advance(2_000);
  state.calls = 0;
  await clock.advance(20_000);
  assert.is(state.calls, 0);
  assert.ok(clock.nowMs() - state.asOfMs >= 20_000);
  state.names = ['u9'];
  state.isRelayed = false;
  await clock.advance(200);
  assert.equal(state.listedNames, ['u9']);
  assert.ok(clock.nowMs() - state.asOfMs <= 200);
  follower.stop();
});

// Failure: what is thrown while one record is applied ends the following, and the process with it.
test('a record that cannot be applied hides no other, and ends no following', async () => {
  const { clock, state, follower } = createHarness();
  state.refused = ['odd'];
  state.names = ['odd'];
  follower.start();
  await clock.advance(3_000);
  assert.ok(state.calls >= 3, `${state.calls}`);
  state.names = ['u2'];
  await clock.advance(2_000);
  assert.equal(state.listedNames, ['u2']);
  const gone = (name: string) => ({ kind: 'deleted', name, era: 0, revision: 4 }) as const;
  state.changes = ['u3', 'odd', 'u4'].map(gone);
  await clock.advance(4 * WAIT_MS);
  state.changes = ['u5'].map(gone);
  await clock.advance(4 * WAIT_MS);
  assert.equal(state.appliedNames, ['u3', 'u4', 'u5']);
  follower.stop();
});

// A watch that is sent while the store is silent is never answered. With a long wait, the gateway would miss changes
// long after the outage.
test('the store is followed again soon after it has been silent, however long a watch may wait', async () => {
  const { clock, state, follower } = createHarness({ waitMs: 15_000, answersAfterMs: 400 });
  follower.start();
  await clock.advance(1_000);
  state.isSilent = true;
  await clock.advance(22_000);
  assert.not(follower.isConnected());
  state.isSilent = false;
  await clock.advance(2_000);
  assert.ok(follower.isConnected());
  follower.stop();
});

// After a restore the store gives out revisions again. A watch that goes on from a revision of the earlier era misses
// what was written before that revision in the new era.
test('a watch that is answered in a later era is followed by a listing', async () => {
  const { clock, state, follower } = createHarness();
  follower.start();
  await clock.advance(1_500);
  assert.equal(state.listedNames, ['u1']);
  state.era = 1;
  state.names = ['u1', 'u7'];
  await clock.advance(1_000);
  assert.equal(state.listedNames, ['u1', 'u7']);
  follower.stop();
});

// Answers of an earlier era must not be taken for the present list, nor requested again without a pause.
test('answers of an earlier era are ignored, and the store is not flooded with repeated calls', async () => {
  const { clock, state, follower } = createHarness();
  follower.start();
  await clock.advance(1_500);
  state.names = ['u9'];
  const { calls } = state;
  state.isOfEarlierEra = true;
  await clock.advance(5_000);
  assert.equal(state.listedNames, ['u1']);
  assert.not(follower.isConnected());
  assert.ok(state.calls - calls < 20, `${state.calls - calls} calls`);
  follower.stop();
});

test.run();
