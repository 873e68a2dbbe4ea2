import { clocks, logs, randoms, results } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as peerRegistries from '../../shared/peer-registry.js';
import * as memoryRecords from '../../testing/memory-records.js';
import * as leaseManagers from './lease-manager.js';

const test = suite('lease manager');

const LEASE_MS = 3_000;

function createHarness() {
  const steady = fakeClocks.createFakeClock();
  const state = {
    suspendedMs: 0,
    cutOffIds: new Set<string>(),
    answersAfterMs: 0,
    waitingCount: 0,
  };
  const clock = { ...steady, wallMs: () => steady.wallMs() + state.suspendedMs };
  const records = memoryRecords.createMemoryRecords();
  const gets: number[] = [];
  const store: memoryRecords.MemoryRecords = {
    ...records,
    get: (...args) => {
      gets.push(steady.nowMs());
      return records.get(...args);
    },
  };
  const join = (
    gatewayId: string,
    upstreamsCheckFences = true,
    millicores = 1_000,
    eligibleFromMs = 0,
  ) => {
    const peers = peerRegistries.createPeerRegistry(gatewayId);
    let isKilled = false;
    const cutOff = () => Promise.resolve(results.Err({ kind: 'unavailable', reason: '' } as const));
    const never = () => new Promise<never>(() => {});
    const reach = async <Answer>(call: () => Promise<Answer>) => {
      if (isKilled) return never();
      if (state.cutOffIds.has(gatewayId)) return cutOff();
      const answer = await call();
      if (state.answersAfterMs > 0) {
        state.waitingCount += 1;
        await clocks.sleepUntil(clock, clock.nowMs() + state.answersAfterMs);
        state.waitingCount -= 1;
      }
      return answer;
    };
    const ownStore: memoryRecords.MemoryRecords = {
      ...store,
      get: (...args) => reach(() => store.get(...args)),
      put: (...args) => reach(() => store.put(...args)),
      list: (...args) => reach(() => store.list(...args)),
    };
    /** Ends it without a word, as a SIGKILL does. */
    const kill = () => {
      isKilled = true;
      void manager.release(clock.nowMs());
    };
    const scarce: string[] = [];
    const written: string[][] = [];
    const manager = leaseManagers.createLeaseManager({
      clock,
      log: logs.createSilentLogger(),
      random: randoms.createRandom(3),
      store: ownStore,
      peerRegistry: peers,
      quotas: {
        scarce: () => scarce,
        noteWritten: (names) => {
          written.push([...names]);
        },
      },
      gatewayId,
      address: `${gatewayId}:7000`,
      leaseMs: LEASE_MS,
      upstreamsCheckFences,
      millicores,
      isEligible: () => clock.nowMs() >= eligibleFromMs,
    });
    return { peers, manager, scarce, written, kill };
  };
  return { clock, state, store, gets, join };
}

// The store is restored from a backup that lacks the latest renewals, or the lease itself. The holder must neither drop
// the lease nor go on beside another holder, and its term, which fences orders, must not be given out again.
for (const [age, takenBefore] of [
  ['from before the lease', false],
  ['from before the latest renewals', true],
] as const) {
  test(`a live holder keeps the lease when the store is restored from a backup ${age}`, async () => {
    const { clock, store, join } = createHarness();
    const first = join('g1');
    const second = join('g2');
    const restoreFirstBackup = store.copy();
    first.manager.start();
    await clock.advance(1_500);
    const restoreBackup = takenBefore ? store.copy() : restoreFirstBackup;
    second.manager.start();
    await clock.advance(5_000);
    restoreBackup();
    for (let atMs = 0; atMs < 6_000; atMs += 100) {
      first.peers.noteContact(
        { gatewayId: 'g2', address: 'g2:7000', millicores: 1 },
        clock.nowMs(),
      );
      second.peers.noteContact(
        { gatewayId: 'g1', address: 'g1:7000', millicores: 1 },
        clock.nowMs(),
      );
      await clock.advance(100);
      assert.is(first.manager.orderTerm(), 1);
      assert.is(second.manager.heldTerm(), null);
    }
    // A gateway that has received nothing from others yet has only the store to go by.
    const third = join('g3');
    third.manager.start();
    await clock.advance(2_000);
    assert.is(third.peers.addressOf('g1'), 'g1:7000');
    assert.is(third.manager.heldTerm(), null);
    assert.is(first.manager.orderTerm(), 1);
    await third.manager.release(clock.nowMs());
    await Promise.all([first, second].map(({ manager }) => manager.release(clock.nowMs())));
  });
}

// After a restore the store gives out revisions again. A renewal of the previous era's lease could match the revision
// of another holder's record and overwrite it.
test('a renewal of the previous era does not overwrite the record of the next holder', async () => {
  const { clock, state, store, join } = createHarness();
  const revisions = async () => {
    const listed = await store.list('leases', 0);
    return listed.ok ? listed.val.records.map(({ revision }) => revision) : [];
  };
  const first = join('g1', false);
  first.manager.start();
  await clock.advance(1_500);
  const restoreBackup = store.copy();
  await clock.advance(15_000);
  const [known = 0] = await revisions();
  state.cutOffIds.add('g1');
  restoreBackup();
  const second = join('g2', false);
  second.manager.start();
  let isReused = false;
  for (let atMs = 0; atMs < 40_000; atMs += 50) {
    await clock.advance(50);
    if (second.manager.orderTerm() !== null && (await revisions()).includes(known)) {
      isReused = true;
      state.cutOffIds.delete('g1');
    }
    assert.not(
      first.manager.orderTerm() !== null && second.manager.orderTerm() !== null,
      `${atMs}`,
    );
    if (isReused) assert.ok(second.manager.orderTerm() !== null, `${atMs}`);
  }
  assert.ok(isReused);
  await Promise.all([first, second].map(({ manager }) => manager.release(clock.nowMs())));
});

// The holder's VM is suspended past the end of its lease, another gateway takes over, and the backup that the store is
// restored from has neither lease. On resuming, both would give orders.
test('a holder that was suspended does not carry its lease over a restore', async () => {
  const { clock, state, store, join } = createHarness();
  const first = join('g1', false);
  first.manager.start();
  await clock.advance(1_500);
  assert.is(first.manager.orderTerm(), 1);
  const restoreBackup = store.copy();
  state.suspendedMs += 8_000;
  restoreBackup();
  await clock.advance(1_000);
  assert.is(first.manager.heldTerm(), null);
  await first.manager.release(clock.nowMs());
});

// All gateways restart after the store was restored from a backup that is older than the last holders. A term that
// upstreams have already seen must not be given out again.
test('a holder after a restore has a higher term than all before it, whatever the backup contains', async () => {
  const { clock, store, join } = createHarness();
  const restoreBackup = store.copy();
  const terms: number[] = [];
  for (const gatewayId of ['g1', 'g2', 'g3']) {
    const { manager } = join(gatewayId);
    manager.start();
    await clock.advance(12_000);
    terms.push(manager.orderTerm() ?? -1);
    await manager.release(clock.nowMs());
  }
  for (let returns = 0; returns < 3; returns += 1) {
    restoreBackup();
    const { manager } = join('g4');
    manager.start();
    await clock.advance(12_000);
    terms.push(manager.orderTerm() ?? -1);
    await manager.release(clock.nowMs());
  }
  assert.equal(
    terms,
    [...terms].sort((left, right) => left - right),
  );
  assert.is(new Set(terms).size, terms.length);
  assert.ok(terms.every((term) => term > 0));
});

// A holder that could not reach the store relies on its lease of the previous era and renews a record that belongs to
// another gateway by now, so that both would give orders.
test('after a restore a holder that was cut off does not take the lease from the present holder', async () => {
  const { clock, store, join } = createHarness();
  const first = join('g1', false);
  first.manager.start();
  await clock.advance(1_500);
  const restoreBackup = store.copy();
  store.setFault('down');
  await clock.advance(3_000);
  restoreBackup();
  store.setFault('none');
  const second = join('g2', false);
  const orders: string[] = [];
  second.manager.start();
  for (let atMs = 0; atMs < 15_000; atMs += 50) {
    await clock.advance(50);
    const holders = [first, second].filter(({ manager }) => manager.orderTerm() !== null);
    assert.ok(holders.length <= 1, `${atMs}`);
    holders.forEach(({ manager }) => orders.push(String(manager.orderTerm())));
  }
  assert.ok(orders.length > 0);
  const changes = orders.filter((term, index) => index > 0 && term !== orders[index - 1]);
  assert.ok(changes.length <= 1, orders.join(' ').slice(0, 80));
  await Promise.all([first, second].map(({ manager }) => manager.release(clock.nowMs())));
});

test('one gateway acquires the lease and keeps it', async () => {
  const { clock, join } = createHarness();
  const first = join('g1');
  first.manager.start();
  await clock.advance(1_500);
  assert.is(first.manager.orderTerm(), 1);
  const second = join('g2');
  second.manager.start();
  await clock.advance(20_000);
  assert.is(first.manager.orderTerm(), 1);
  assert.is(second.manager.orderTerm(), null);
  await Promise.all([first, second].map(({ manager }) => manager.release(clock.nowMs())));
});

// None of the seed addresses of a new gateway answers. Without the holder's address from the lease record, the gateway
// would neither learn where copies are nor report its demand.
test("a gateway that reads the lease learns its holder's address", async () => {
  const { clock, join } = createHarness();
  const first = join('g1');
  first.manager.start();
  await clock.advance(1_500);
  const second = join('g2');
  second.manager.start();
  await clock.advance(1_500);
  assert.is(second.peers.addressOf('g1'), 'g1:7000');
  await Promise.all([first, second].map(({ manager }) => manager.release(clock.nowMs())));
});

// All gateways are killed during a burst of one organisation. After the restart they know no peers: without the nearly
// exhausted quotas in the lease record, each would admit as much as it may of an organisation with little demand.
test('a gateway that reads the lease learns the nearly exhausted quotas and the number of gateways', async () => {
  const { clock, join } = createHarness();
  const first = join('g1');
  first.manager.start();
  await clock.advance(1_500);
  first.scarce.push('o1');
  first.peers.applyPeers([{ gatewayId: 'g3', address: 'g3:7000', millicores: 0 }], clock.nowMs());
  await clock.advance(1_500);
  const second = join('g2');
  second.manager.start();
  await clock.advance(1_500);
  assert.equal(second.written.at(-1), ['o1']);
  assert.is(second.peers.fleetSize(clock.nowMs()), 2);
  await Promise.all([first, second].map(({ manager }) => manager.release(clock.nowMs())));
});

// Callers wait for a gateway that has started and knows the configuration. The lease record shows what it may admit, so
// it is read at once; each further read is a store call that is paid for.
test('a starting gateway reads the lease as soon as it is eligible, then no more often than others', async () => {
  const { clock, gets, join } = createHarness();
  const startMs = clock.nowMs();
  const { manager } = join('g1', true, 243, startMs + 110);
  manager.start();
  await clock.advance(1_000);
  assert.ok((gets[0] ?? Infinity) <= startMs + 160, `${gets[0]}`);
  assert.ok(gets.length <= 6, `${gets.length} reads`);
  await manager.release(clock.nowMs());
});

// All gateways are killed at once and restart. The previous holder need not wait for its own lease to expire; the
// others cannot know that it was killed.
test('a gateway that restarts takes its own lease over at once, another waits', async () => {
  const { clock, store, join } = createHarness();
  const value = {
    holderId: 'g1',
    address: 'g1:7000',
    term: 4,
    gatewayCount: 2,
    scarceOrganisations: [],
    renewals: 9,
    isReleased: false,
    orderDelayMs: 0,
  };
  await store.put('leases', 'placing', value, null, 0);
  const other = join('g2');
  other.manager.start();
  await clock.advance(1_500);
  assert.is(other.manager.heldTerm(), null);
  const again = join('g1');
  again.manager.start();
  await clock.advance(300);
  assert.is(again.manager.orderTerm(), 5);
  await Promise.all([again, other].map(({ manager }) => manager.release(clock.nowMs())));
});

/** `g1` gives orders until it releases its lease, and `g2` has just taken it over. */
async function startHandOver(harness: ReturnType<typeof createHarness>, checksFences = false) {
  const { clock, join } = harness;
  const first = join('g1', checksFences);
  first.manager.start();
  await clock.advance(1_500);
  const second = join('g2', checksFences);
  second.manager.start();
  await clock.advance(4_000);
  assert.is(first.manager.orderTerm(), 1);
  const lastOrderMs = clock.nowMs();
  await first.manager.release(clock.nowMs() + 1_000);
  while (second.manager.heldTerm() === null) await clock.advance(50);
  return { second, lastOrderMs };
}

async function untilOrders(
  { clock }: ReturnType<typeof createHarness>,
  { manager }: { manager: leaseManagers.LeaseManager },
): Promise<number> {
  while (manager.orderTerm() === null) await clock.advance(25);
  return clock.nowMs();
}

// Guards against a life that takes its own name in the record for orders of its own, while the life before was still waiting.
test('a gateway that is killed while it must not give orders yet waits again when it is back', async () => {
  for (const checksFences of [false, true]) {
    const harness = createHarness();
    const { second, lastOrderMs } = await startHandOver(harness, checksFences);
    await harness.clock.advance(100);
    second.kill();
    await harness.clock.advance(200);
    const again = harness.join('g2', checksFences);
    again.manager.start();
    const apartMs = (await untilOrders(harness, again)) - lastOrderMs;
    assert.ok(apartMs >= LEASE_MS, `${apartMs}`);
    assert.ok(apartMs <= 2 * LEASE_MS, `${apartMs}`);
    await again.manager.release(harness.clock.nowMs());
  }
});

// Guards against a wait that is forgotten, or that begins anew for good, in a row of lives that are each killed while they wait.
test('the wait lasts over a row of killed lives, and gets shorter with each renewal', async () => {
  const harness = createHarness();
  const { second, lastOrderMs } = await startHandOver(harness);
  let life = second;
  const livesMs = 1_300;
  let killAtMs = harness.clock.nowMs() + livesMs;
  while (life.manager.orderTerm() === null) {
    await harness.clock.advance(25);
    if (harness.clock.nowMs() < killAtMs) continue;
    life.kill();
    killAtMs += livesMs;
    life = harness.join('g2', false);
    life.manager.start();
  }
  const apartMs = harness.clock.nowMs() - lastOrderMs;
  assert.ok(apartMs >= LEASE_MS, `${apartMs}`);
  assert.ok(apartMs <= 3 * LEASE_MS, `${apartMs}`);
  await life.manager.release(harness.clock.nowMs());
});

// Guards against a delay after all gateways were killed at once, when no other one has given orders.
test('a gateway that is killed while it gives orders goes on at once when it is back', async () => {
  const harness = createHarness();
  const { second } = await startHandOver(harness);
  await harness.clock.advance(LEASE_MS + 1_500);
  assert.is(second.manager.orderTerm(), 2);
  second.kill();
  await harness.clock.advance(200);
  const startedMs = harness.clock.nowMs();
  const again = harness.join('g2', false);
  again.manager.start();
  const tookMs = (await untilOrders(harness, again)) - startedMs;
  assert.ok(tookMs <= 300, `${tookMs}`);
  await again.manager.release(harness.clock.nowMs());
});

// Guards against a take-over whose answer was lost, and that is taken for an earlier lease of this gateway's own.
test('a gateway that reads its own take-over, since its answer was lost, waits as after any take-over', async () => {
  const harness = createHarness();
  const { clock, store, join } = harness;
  const first = join('g1', false);
  first.manager.start();
  await clock.advance(1_500);
  const second = join('g2', false);
  await clock.advance(4_000);
  const lastOrderMs = clock.nowMs();
  await first.manager.release(clock.nowMs() + 1_000);
  store.setFault('lose-answers');
  second.manager.start();
  await clock.advance(100);
  store.setFault('none');
  const apartMs = (await untilOrders(harness, second)) - lastOrderMs;
  assert.ok(apartMs >= LEASE_MS, `${apartMs}`);
  await second.manager.release(clock.nowMs());
});

// Guards against a lease that is carried over to a new era while its holder still waits, and reads as one that has ordered.
test('the wait lasts when the lease is carried over and its holder is killed', async () => {
  const harness = createHarness();
  const { clock, store } = harness;
  const { second, lastOrderMs } = await startHandOver(harness);
  store.copy()();
  await clock.advance(300);
  second.kill();
  await clock.advance(100);
  const again = harness.join('g2', false);
  again.manager.start();
  const apartMs = (await untilOrders(harness, again)) - lastOrderMs;
  assert.ok(apartMs >= LEASE_MS, `${apartMs}`);
  await again.manager.release(clock.nowMs());
});

// Guards against a gateway that takes the store's copy without a lease for a fleet that never had a holder.
test('after a restore without any lease a gateway that knows no holder waits for one that may still give orders', async () => {
  const harness = createHarness();
  const { clock, store, join } = harness;
  const restoreBackup = store.copy();
  const first = join('g1', false);
  first.manager.start();
  await clock.advance(5_000);
  const lastOrderMs = clock.nowMs();
  assert.is(first.manager.orderTerm(), 1);
  first.kill();
  restoreBackup();
  const second = join('g2', false);
  second.manager.start();
  const apartMs = (await untilOrders(harness, second)) - lastOrderMs;
  assert.ok(apartMs >= LEASE_MS, `${apartMs}`);
  assert.is(second.manager.secureLease()?.isFirst, false);
  await second.manager.release(clock.nowMs());
});

// The holder releases its lease and stops. Its successor may give orders only once the lease time has passed since the
// last order that the holder may have given; earlier, both could give orders to the same upstream.
test('a successor takes over with a higher term, and waits before its first order', async () => {
  const { clock, join } = createHarness();
  const first = join('g1', false);
  first.manager.start();
  await clock.advance(1_500);
  const second = join('g2', false);
  second.manager.start();
  await clock.advance(4_000);
  await first.manager.release(clock.nowMs() + 1_000);
  await clock.advance(1_500);
  assert.is(second.manager.heldTerm(), 2);
  assert.is(second.manager.orderTerm(), null);
  await clock.advance(LEASE_MS);
  assert.is(second.manager.orderTerm(), 2);
  await second.manager.release(clock.nowMs());
});

// The answer to a renewal is lost after it took effect, so that the next renewal conflicts with it.
test('a holder recognises its own lease after the answers to renewals were lost', async () => {
  const { clock, store, join } = createHarness();
  const { manager } = join('g1');
  manager.start();
  await clock.advance(1_500);
  store.setFault('lose-answers');
  await clock.advance(3_000);
  store.setFault('none');
  await clock.advance(2_000);
  assert.is(manager.heldTerm(), 1);
  assert.is(manager.orderTerm(), 1);
  await manager.release(clock.nowMs());
});

test('while the store is unavailable the holder gives orders only where fences are checked', async () => {
  for (const checksFences of [true, false]) {
    const { clock, store, join } = createHarness();
    const { manager } = join('g1', checksFences);
    manager.start();
    await clock.advance(1_500);
    store.setFault('down');
    await clock.advance(8_000);
    assert.is(manager.orderTerm(), checksFences ? 1 : null);
    await manager.release(clock.nowMs());
  }
});

test('a holder that learns of a newer term drops its lease at once', async () => {
  const { clock, store, join } = createHarness();
  const { peers, manager } = join('g1');
  manager.start();
  await clock.advance(1_500);
  store.setFault('down');
  await clock.advance(1_000);
  peers.applyLease({ holderId: 'g2', term: 2 });
  await clock.advance(300);
  assert.is(manager.heldTerm(), null);
  await manager.release(clock.nowMs());
});

// The holder is stopped while the store is unavailable: it cannot release its lease, and no other gateway can take it
// over. If it stopped giving orders at once, no copies would be loaded or unloaded until the store is back, and callers
// of models whose demand rises meanwhile would be refused for seconds.
test('a holder that cannot release its lease goes on giving orders while it drains', async () => {
  const { clock, store, join } = createHarness();
  const { manager } = join('g1');
  manager.start();
  await clock.advance(1_500);
  store.setFault('down');
  await clock.advance(1_000);
  const state = { isReleaseDone: false };
  const endMs = clock.nowMs() + 7_000;
  void manager.release(endMs).then(() => {
    state.isReleaseDone = true;
  });
  await clock.advance(4_000);
  assert.is(manager.orderTerm(), 1);
  assert.not(state.isReleaseDone);
  store.setFault('none');
  await clock.advance(1_500);
  assert.ok(state.isReleaseDone);
  assert.is(manager.heldTerm(), null);
  const found = await store.get('leases', 'placing', clock.nowMs() + 100);
  assert.is(found.unwrap()?.value.isReleased, true);
});

test('a release ends at its deadline if the store stays unavailable', async () => {
  const { clock, store, join } = createHarness();
  const { manager } = join('g1');
  manager.start();
  await clock.advance(1_500);
  store.setFault('down');
  const state = { endedAtMs: -1 };
  const endMs = clock.nowMs() + 4_000;
  void manager.release(endMs).then(() => {
    state.endedAtMs = clock.nowMs();
  });
  await clock.advance(6_000);
  assert.ok(state.endedAtMs >= endMs && state.endedAtMs < endMs + 500, `${state.endedAtMs}`);
  assert.is(manager.heldTerm(), null);
});

// The release took effect but its answer was lost, and another gateway may hold the lease already. Both would give
// orders if this one went on.
test('a holder gives no more orders after the answer to its release was lost', async () => {
  const { clock, store, join } = createHarness();
  const { manager } = join('g1');
  manager.start();
  await clock.advance(1_500);
  store.setFault('lose-answers');
  void manager.release(clock.nowMs() + 5_000);
  await clock.advance(100);
  assert.is(manager.orderTerm(), null);
  await clock.advance(1_500);
  assert.is(manager.heldTerm(), null);
});

test('a gateway that stops does not acquire the lease', async () => {
  const { clock, join } = createHarness();
  const first = join('g1');
  const second = join('g2');
  first.manager.start();
  await clock.advance(1_500);
  second.manager.start();
  await clock.advance(500);
  await second.manager.release(clock.nowMs() + 8_000);
  await first.manager.release(clock.nowMs() + 8_000);
  await clock.advance(6_000);
  assert.is(second.manager.heldTerm(), null);
});

// The holder's VM is suspended for seconds, in which another gateway may have taken over. Its steady clock stood still,
// so its lease looks valid, and its first order on resuming could conflict with those of the new holder.
test('after a suspension the lease is renewed before the next order', async () => {
  const { clock, state, join } = createHarness();
  const { manager } = join('g1', false);
  manager.start();
  await clock.advance(1_500);
  assert.is(manager.orderTerm(), 1);
  state.suspendedMs = 5_000;
  assert.is(manager.orderTerm(), null);
  await clock.advance(500);
  assert.is(manager.orderTerm(), 1);
  await manager.release(clock.nowMs());
});

// Guards against a renewal that was sent before a suspension, and whose answer is taken as a sign that there was none.
test('an answer that comes after a suspension does not hide it', async () => {
  const { clock, state, join } = createHarness();
  const { manager } = join('g1', false);
  manager.start();
  await clock.advance(1_500);
  state.answersAfterMs = 100;
  while (state.waitingCount === 0) await clock.advance(10);
  state.suspendedMs = 5_000;
  await clock.advance(120);
  assert.is(manager.orderTerm(), null);
  await clock.advance(600);
  assert.is(manager.orderTerm(), 1);
  state.answersAfterMs = 0;
  await manager.release(clock.nowMs());
});

// Guards against two gateways that each take the lease for theirs, while what only one may give is given.
test('a lease is secure only while no other gateway can have taken it over', async () => {
  const { clock, state, join } = createHarness();
  const first = join('g1');
  const second = join('g2');
  first.manager.start();
  await clock.advance(1_500);
  assert.is(first.manager.secureLease()?.isFirst, true);
  second.manager.start();
  state.cutOffIds.add('g1');
  let secondSinceMs: number | null = null;
  for (let atMs = 0; atMs < 8_000; atMs += 50) {
    await clock.advance(50);
    const secure = [first, second].map(({ manager }) => manager.secureLease());
    assert.ok(secure.filter((lease) => lease !== null).length <= 1, `${atMs}`);
    secondSinceMs ??= secure[1]?.sinceMs ?? null;
  }
  assert.ok(secondSinceMs !== null);
  assert.is(first.manager.secureLease(), null);
  assert.equal(second.manager.secureLease(), { sinceMs: secondSinceMs, isFirst: false });
  await Promise.all([first, second].map(({ manager }) => manager.release(clock.nowMs())));
});

test('a lease is not secure after a suspension until it has been renewed', async () => {
  const { clock, state, join } = createHarness();
  const { manager } = join('g1');
  manager.start();
  await clock.advance(1_500);
  state.suspendedMs = 4_000;
  assert.is(manager.secureLease(), null);
  await clock.advance(1_500);
  assert.is.not(manager.secureLease(), null);
  await manager.release(clock.nowMs());
});

test.run();
