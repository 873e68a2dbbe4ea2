import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as listFleets from '../../testing/list-fleet.js';

const test = suite('removals from the list of upstreams');

const DRAIN_TIMEOUT_MS = 2_000;
const CUT_MS = 4_000;
const BACK_MS = 11_000;
/** A gateway that has reached the store again for this long must follow what is written there. */
const CONTACT_MS = 3_000;
const STEP_MS = 10;

function offers({ directory }: listFleets.ListGateway, upstreamId: string, nowMs: number): boolean {
  return directory.eligible('pool', nowMs).some((record) => record.upstreamId === upstreamId);
}

/**
 * The holder alone cannot reach the store from `CUT_MS` to `BACK_MS`; u1 is removed at `removedMs`. Returns how long after the
 * removal a gateway that has reached the store all the while, or again for long enough, still offered it.
 */
async function removeAfterCut(removedMs: number, seed: number): Promise<number> {
  const fleet = listFleets.createListFleet({
    gatewayCount: 5,
    drainTimeoutMs: DRAIN_TIMEOUT_MS,
    seed,
  });
  const { clock, store } = fleet;
  for (let count = 1; count <= 6; count += 1) store.put(listFleets.upstream(`u${count}`, 'ready'));
  await clock.advance(CUT_MS);
  const cut = fleet.holder();
  cut.faults.store = 'silent';
  let worstMs = 0;
  let isRemoved = false;
  while (clock.nowMs() < removedMs + 5_000) {
    const nowMs = clock.nowMs();
    if (nowMs >= BACK_MS) cut.faults.store = 'works';
    if (nowMs % 400 < STEP_MS) {
      store.put(listFleets.upstream(`u${2 + (Math.floor(nowMs / 400) % 5)}`, 'ready', nowMs % 60));
    }
    if (nowMs >= removedMs && !isRemoved) {
      isRemoved = true;
      store.remove('u1');
    }
    await clock.advance(STEP_MS);
    const bound = fleet.gateways.filter(
      (gateway) => gateway !== cut || clock.nowMs() >= BACK_MS + CONTACT_MS,
    );
    const isOffered = bound.some((gateway) => offers(gateway, 'u1', clock.nowMs()));
    if (isRemoved && isOffered) worstMs = clock.nowMs() - removedMs;
  }
  fleet.stop();
  return worstMs;
}

// Guards against a gateway that takes its own outage for the store's and keeps, for itself and others, what was removed.
test('an upstream removed around the return of a gateway to the store is dropped in time by all', async () => {
  const late: string[] = [];
  for (let seed = 1; seed <= 4; seed += 1) {
    for (let afterMs = -1_500; afterMs <= 2_500; afterMs += 250) {
      const worstMs = await removeAfterCut(BACK_MS + afterMs, seed);
      if (worstMs > DRAIN_TIMEOUT_MS) late.push(`seed ${seed}, ${afterMs} ms: ${worstMs} ms`);
    }
  }
  assert.equal(late, []);
});

// Guards against dropping upstreams that serve on, since their entries lapsed while nobody reached the store.
test('upstreams whose entries lapse in an outage of the store are offered until they are written again', async () => {
  for (let seed = 1; seed <= 4; seed += 1) {
    const fleet = listFleets.createListFleet({
      gatewayCount: 5,
      drainTimeoutMs: DRAIN_TIMEOUT_MS,
      seed,
    });
    const { clock, store } = fleet;
    const ids = ['u1', 'u2', 'u3', 'u4'];
    ids.forEach((id) => store.put(listFleets.upstream(id, 'ready')));
    await clock.advance(CUT_MS);
    fleet.gateways.forEach(({ faults }) => {
      faults.store = seed % 2 === 0 ? 'silent' : 'refused';
    });
    await clock.advance(5_000);
    ids.forEach((id) => store.remove(id));
    fleet.gateways.forEach(({ faults }) => {
      faults.store = 'works';
    });
    let missingMs = 0;
    for (let nowMs = 0; nowMs < 4_000; nowMs += STEP_MS) {
      if (nowMs % 450 === 0 && nowMs < 1_800) {
        store.put(listFleets.upstream(ids[nowMs / 450] ?? 'u1', 'ready'));
      }
      await clock.advance(STEP_MS);
      const isMissing = fleet.gateways.some(
        ({ directory }) => directory.eligible('pool', clock.nowMs()).length < ids.length,
      );
      if (isMissing) missingMs += STEP_MS;
    }
    fleet.stop();
    assert.is(missingMs, 0, `seed ${seed}`);
  }
});

test.run();
