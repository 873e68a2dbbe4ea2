import { randoms } from '@copperlever/runtime';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as listFleets from '../../testing/list-fleet.js';
import type * as listStores from '../../testing/list-store.js';

const test = suite('upstream list');

const DRAIN_TIMEOUT_MS = 2_000;
/** Whoever reaches the store for so long is bound by its word. */
const CONTACT_MS = 3_000;
const STEP_MS = 10;
const PLAY_MS = 60_000;

type Leave = { upstreamId: string; atMs: number };

/** Faults that come and go, one every few seconds, and upstreams that leave at any moment. */
function createTrouble(fleet: listFleets.ListFleet, random: randoms.Random) {
  const { clock, store } = fleet;
  /** Gateways that do not reach the store. */
  const cutOffIds = new Set<string>();
  /** Since when each gateway reaches the store. */
  const reachesSinceMs = new Map<string, number>();
  const endings: { atMs: number; end: () => void }[] = [];

  function breakStore(gateway: listFleets.ListGateway, how: listStores.StoreLink, forMs: number) {
    gateway.faults.store = how;
    cutOffIds.add(gateway.gatewayId);
    endings.push({
      atMs: clock.nowMs() + forMs,
      end: () => {
        gateway.faults.store = 'works';
        cutOffIds.delete(gateway.gatewayId);
        reachesSinceMs.set(gateway.gatewayId, clock.nowMs());
      },
    });
  }

  function isolate(gateway: listFleets.ListGateway, forMs: number) {
    gateway.faults.isIsolated = true;
    endings.push({
      atMs: clock.nowMs() + forMs,
      end: () => {
        gateway.faults.isIsolated = false;
      },
    });
  }

  function slowDown(gateway: listFleets.ListGateway, forMs: number) {
    gateway.faults.slowMs = 100 + random.below(450);
    endings.push({
      atMs: clock.nowMs() + forMs,
      end: () => {
        gateway.faults.slowMs = 0;
      },
    });
  }

  function anyGateway(): listFleets.ListGateway {
    const picked = randoms.pick(random, fleet.gateways);
    return picked ?? fleet.holder();
  }

  function strike(): void {
    const forMs = 300 + random.below(5_000);
    const how = random.below(2) === 0 ? 'refused' : 'silent';
    const isolated = anyGateway();
    switch (random.below(8)) {
      case 0:
        breakStore(fleet.holder(), how, forMs);
        return;
      case 1:
        breakStore(anyGateway(), how, forMs);
        return;
      case 2:
        isolate(isolated, forMs);
        return;
      case 3:
        // The holder loses the store, and soon after one of them loses all others.
        breakStore(fleet.holder(), 'silent', forMs + 1_500);
        endings.push({
          atMs: clock.nowMs() + random.below(1_500),
          end: () => isolate(isolated, forMs),
        });
        return;
      case 4:
        slowDown(fleet.holder(), forMs);
        return;
      case 5:
        fleet.moveLease();
        return;
      case 6:
        if (fleet.gateways.length < 8) {
          const added = fleet.addGateway();
          reachesSinceMs.set(added.gatewayId, clock.nowMs());
        }
        return;
      default:
        store.silenceWatches();
        // For the rule that is a reset of everybody's connections.
        fleet.gateways.forEach(({ gatewayId }) => reachesSinceMs.set(gatewayId, clock.nowMs()));
    }
  }

  return {
    strike,
    endDue: () => {
      const due = endings.filter(({ atMs }) => atMs <= clock.nowMs());
      due.forEach((ending) => endings.splice(endings.indexOf(ending), 1));
      due.forEach(({ end }) => end());
    },
    /** Reaches the store for long enough to be bound by its word. */
    isInTouch: ({ gatewayId }: listFleets.ListGateway) =>
      !cutOffIds.has(gatewayId) &&
      clock.nowMs() - (reachesSinceMs.get(gatewayId) ?? 0) >= CONTACT_MS,
  };
}

/** The latest that a gateway in touch still offered an upstream after the store had its word. */
async function playLeaving(seed: number): Promise<{ worstMs: number; story: string }> {
  const random = randoms.createRandom(seed);
  const fleet = listFleets.createListFleet({
    gatewayCount: 3 + random.below(3),
    drainTimeoutMs: DRAIN_TIMEOUT_MS,
    seed,
  });
  const { clock, store } = fleet;
  const changeEveryMs = 100 + random.below(1_500);
  const trouble = createTrouble(fleet, random);
  let leaves: Leave[] = [];
  let nextUpstream = 0;
  const ids: string[] = [];
  const addUpstream = () => {
    nextUpstream += 1;
    ids.push(`u${nextUpstream}`);
    store.put(listFleets.upstream(`u${nextUpstream}`, 'ready'));
  };
  for (let count = 0; count < 6; count += 1) addUpstream();
  let nextStrikeMs = 3_000;
  let nextLeaveMs = 4_000;
  let nextChangeMs = 0;
  let worst = { worstMs: 0, story: '' };
  await clock.advance(2_000);
  while (clock.nowMs() < PLAY_MS) {
    const nowMs = clock.nowMs();
    trouble.endDue();
    if (nowMs >= nextStrikeMs) {
      trouble.strike();
      nextStrikeMs = nowMs + 500 + random.below(4_000);
    }
    if (nowMs >= nextChangeMs) {
      store.put(
        listFleets.upstream(ids[random.below(ids.length)] ?? 'u1', 'ready', random.below(60)),
      );
      nextChangeMs = nowMs + random.below(changeEveryMs);
    }
    if (nowMs >= nextLeaveMs) {
      const [upstreamId] = ids.splice(random.below(ids.length), 1);
      addUpstream();
      if (upstreamId !== undefined) {
        store.put(listFleets.upstream(upstreamId, 'draining'));
        leaves.push({ upstreamId, atMs: nowMs });
      }
      nextLeaveMs = nowMs + 300 + random.below(3_000);
    }
    await clock.advance(STEP_MS);
    const lateMs = (leave: Leave) => clock.nowMs() - leave.atMs;
    leaves = leaves.filter((leave) => lateMs(leave) < 8_000);
    for (const gateway of fleet.gateways.filter(trouble.isInTouch)) {
      const offered = new Set(
        gateway.directory.eligible('pool', clock.nowMs()).map(({ upstreamId }) => upstreamId),
      );
      for (const leave of leaves) {
        const isWorse = offered.has(leave.upstreamId) && lateMs(leave) > worst.worstMs;
        const story = `${gateway.gatewayId} of ${fleet.gateways.length}, at ${clock.nowMs()}`;
        if (isWorse) worst = { worstMs: lateMs(leave), story };
      }
    }
  }
  fleet.stop();
  return worst;
}

for (const seed of [23, 34, 40, 41, 43, 48, 51, 53, 54, 60, 88, 93, 94]) {
  // Failure: the word of an upstream that leaves comes late by one of its ways, and requests go there until it ends.
  test(`whoever reaches the store knows in time who leaves (seed ${seed})`, async () => {
    const { worstMs, story } = await playLeaving(seed);
    assert.ok(worstMs <= DRAIN_TIMEOUT_MS, `${worstMs} ms: ${story}`);
  });
}

/** What was written since the copy is written again within this time of the return. */
const WRITTEN_AGAIN_MS = 2_000;

/** The latest that any gateway offered an upstream after the store had its word, through returns of the store from copies. */
async function playReturns(
  seed: number,
): Promise<{ worstMs: number; missingMs: number; backCount: number }> {
  const random = randoms.createRandom(seed);
  const fleet = listFleets.createListFleet({
    gatewayCount: 3 + random.below(3),
    drainTimeoutMs: DRAIN_TIMEOUT_MS,
    seed,
  });
  const { clock, store } = fleet;
  const written = new Map<string, 'ready' | 'draining'>();
  /** Since when the store has the word of each that leaves; what it lost counts from when it is written again. */
  const saidMs = new Map<string, number>();
  const tasks: { atMs: number; run: () => void }[] = [];
  const later = (inMs: number, run: () => void) => tasks.push({ atMs: clock.nowMs() + inMs, run });
  const write = (upstreamId: string, state: 'ready' | 'draining') => {
    written.set(upstreamId, state);
    if (state === 'draining') saidMs.set(upstreamId, clock.nowMs());
    store.put(listFleets.upstream(upstreamId, state, random.below(60)));
  };
  const ready = () => [...written].filter(([, state]) => state === 'ready').map(([id]) => id);
  const copyAndReturn = () => {
    const goBack = store.copy();
    const copiedAtMs = clock.nowMs();
    later(500 + random.below(4_000), () => {
      goBack();
      for (const [id, atMs] of saidMs) if (atMs >= copiedAtMs) saidMs.set(id, Infinity);
      if (random.below(2) === 0) fleet.moveLease();
      written.forEach((state, id) => {
        later(random.below(WRITTEN_AGAIN_MS), () => {
          if (written.get(id) !== state) return;
          if (saidMs.get(id) === Infinity) saidMs.set(id, clock.nowMs());
          store.put(listFleets.upstream(id, state, random.below(60)));
        });
      });
    });
    later(6_000 + random.below(4_000), copyAndReturn);
  };
  const leaveAndCome = () => {
    const leaving = randoms.pick(random, ready());
    if (leaving !== undefined) write(leaving, 'draining');
    write(`u${written.size + 1}`, 'ready');
    later(200 + random.below(1_500), leaveAndCome);
  };
  for (let count = 1; count <= 6; count += 1) write(`u${count}`, 'ready');
  later(3_000, leaveAndCome);
  later(4_000, copyAndReturn);
  let worstMs = 0;
  let missingMs = 0;
  const known = new Map<string, Set<string>>();
  let backCount = 0;
  await clock.advance(2_000);
  while (clock.nowMs() < PLAY_MS) {
    const due = tasks.filter(({ atMs }) => atMs <= clock.nowMs());
    due.forEach((task) => tasks.splice(tasks.indexOf(task), 1));
    due.forEach(({ run }) => run());
    await clock.advance(STEP_MS);
    const nowMs = clock.nowMs();
    for (const { directory, gatewayId } of fleet.gateways) {
      const leaving = known.get(gatewayId) ?? new Set<string>();
      known.set(gatewayId, leaving);
      directory
        .all()
        .filter(({ state }) => state === 'draining')
        .forEach(({ upstreamId }) => leaving.add(upstreamId));
      const offered = directory.eligible('pool', nowMs).map(({ upstreamId }) => upstreamId);
      const lateMs = offered.map((id) => nowMs - (saidMs.get(id) ?? nowMs));
      worstMs = Math.max(worstMs, ...lateMs);
      backCount += offered.filter((id) => leaving.has(id)).length;
      if (offered.length === 0) missingMs += STEP_MS;
    }
  }
  fleet.stop();
  return { worstMs, missingMs, backCount };
}

for (let seed = 1; seed <= 10; seed += 1) {
  // Failure: revisions are given out again, and who has left comes back by the copy or its leaving is dropped as old.
  test(`returns of the store from copies bring nobody back and hide nobody's leaving (seed ${seed})`, async () => {
    const { worstMs, missingMs, backCount } = await playReturns(seed);
    assert.is(backCount, 0);
    assert.ok(worstMs <= DRAIN_TIMEOUT_MS, `${worstMs} ms`);
    assert.is(missingMs, 0);
  });
}

test.run();
