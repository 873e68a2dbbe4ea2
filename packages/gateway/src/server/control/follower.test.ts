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

function createRig() {
  const clock = fakeClocks.createFakeClock();
  const state = { isFed: false, calls: 0, names: ['u1'], listedNames: [] as string[] };
  const records = memoryRecords.createMemoryRecords();
  const store: stores.RecordStore = {
    ...records,
    list: () => {
      state.calls += 1;
      const listed = state.names.map((name) => ({
        name,
        revision: 3,
        value: fixtures.upstreamRecord(name),
      }));
      return Promise.resolve(results.Ok({ records: listed, unreadable: [], revision: 3 }) as never);
    },
    // Nothing changes while it waits.
    watch: async () => {
      state.calls += 1;
      await clocks.sleepUntil(clock, clock.nowMs() + WAIT_MS);
      return results.Ok({ changes: [], revision: 3 });
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
    },
    onChange: () => {},
    onRegained: () => {},
    waitMs: () => WAIT_MS,
    pauseMs: () => 600,
    isFed: () => state.isFed,
    onFed: () => {},
  });
  return { clock, state, follower };
}

// The holder tells of all changes, then falls silent. Until then no call is made; from then on the list must be the
// store's own again, with what has changed meanwhile.
test('while others tell of changes the store is not asked, and at once when they no longer do', async () => {
  const { clock, state, follower } = createRig();
  follower.start();
  await clock.advance(3_000);
  assert.ok(state.calls >= 2);
  assert.ok(follower.isLive());
  state.isFed = true;
  await clock.advance(2_000);
  assert.not(follower.isLive());
  state.calls = 0;
  await clock.advance(20_000);
  assert.is(state.calls, 0);
  state.names = ['u9'];
  state.isFed = false;
  await clock.advance(200);
  assert.equal(state.listedNames, ['u9']);
  assert.ok(follower.isLive());
  follower.stop();
});

test.run();
