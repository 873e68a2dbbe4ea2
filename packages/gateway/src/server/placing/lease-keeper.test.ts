import { logs, randoms, results } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as peerBooks from '../../shared/peer-book.js';
import * as memoryRecords from '../../testing/memory-records.js';
import * as leaseKeepers from './lease-keeper.js';

const test = suite('lease keeper');

const LEASE_MS = 3_000;

function createRig() {
  const steady = fakeClocks.createFakeClock();
  const state = { sleptMs: 0, cutOffIds: new Set<string>() };
  const clock = { ...steady, wallMs: () => steady.wallMs() + state.sleptMs };
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
    const book = peerBooks.createPeerBook(gatewayId);
    const cutOff = () => Promise.resolve(results.Err({ kind: 'unavailable', reason: '' } as const));
    const ownStore: memoryRecords.MemoryRecords = {
      ...store,
      get: (...args) => (state.cutOffIds.has(gatewayId) ? cutOff() : store.get(...args)),
      put: (...args) => (state.cutOffIds.has(gatewayId) ? cutOff() : store.put(...args)),
    };
    const scarce: string[] = [];
    const written: string[][] = [];
    const keeper = leaseKeepers.createLeaseKeeper({
      clock,
      log: logs.createSilentLogger(),
      random: randoms.createRandom(3),
      store: ownStore,
      book,
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
    return { book, keeper, scarce, written };
  };
  return { clock, state, store, gets, join };
}

// Failure: the store comes back from a copy without the latest renewals, or without the lease; its holder gives it up or goes on
// beside another, and the term, which fences orders, is given out again.
for (const [age, takenBefore] of [
  ['of before the lease', false],
  ['of before the latest renewals', true],
] as const) {
  test(`a holder that lives keeps the lease when the store comes back from a copy ${age}`, async () => {
    const { clock, store, join } = createRig();
    const first = join('g1');
    const second = join('g2');
    const copyOfStart = store.copy();
    first.keeper.start();
    await clock.advance(1_500);
    const goBack = takenBefore ? store.copy() : copyOfStart;
    second.keeper.start();
    await clock.advance(5_000);
    goBack();
    for (let atMs = 0; atMs < 6_000; atMs += 100) {
      first.book.heardFrom({ gatewayId: 'g2', address: 'g2:7000', millicores: 1 }, clock.nowMs());
      second.book.heardFrom({ gatewayId: 'g1', address: 'g1:7000', millicores: 1 }, clock.nowMs());
      await clock.advance(100);
      assert.is(first.keeper.orderTerm(), 1);
      assert.is(second.keeper.heldTerm(), null);
    }
    // One that hears nobody yet has only the store to go by.
    const third = join('g3');
    third.keeper.start();
    await clock.advance(2_000);
    assert.is(third.book.addressOf('g1'), 'g1:7000');
    assert.is(third.keeper.heldTerm(), null);
    assert.is(first.keeper.orderTerm(), 1);
    await third.keeper.handBack(clock.nowMs());
    await Promise.all([first, second].map(({ keeper }) => keeper.handBack(clock.nowMs())));
  });
}

// Failure: a renewal that was meant for a lease of the era before lands on another holder's, at a revision given out again.
test('a renewal of the era before does not land on the record of the next holder', async () => {
  const { clock, state, store, join } = createRig();
  const revisions = async () => {
    const listed = await store.list('leases', 0);
    return listed.ok ? listed.val.records.map(({ revision }) => revision) : [];
  };
  const first = join('g1', false);
  first.keeper.start();
  await clock.advance(1_500);
  const goBack = store.copy();
  await clock.advance(15_000);
  const [known = 0] = await revisions();
  state.cutOffIds.add('g1');
  goBack();
  const second = join('g2', false);
  second.keeper.start();
  let isReused = false;
  for (let atMs = 0; atMs < 40_000; atMs += 50) {
    await clock.advance(50);
    if (second.keeper.orderTerm() !== null && (await revisions()).includes(known)) {
      isReused = true;
      state.cutOffIds.delete('g1');
    }
    assert.not(first.keeper.orderTerm() !== null && second.keeper.orderTerm() !== null, `${atMs}`);
    if (isReused) assert.ok(second.keeper.orderTerm() !== null, `${atMs}`);
  }
  assert.ok(isReused);
  await Promise.all([first, second].map(({ keeper }) => keeper.handBack(clock.nowMs())));
});

// Failure: a holder sleeps through its lease, another takes it over, the copy has neither, and both give orders on waking.
test('a holder that slept does not carry its lease over a return', async () => {
  const { clock, state, store, join } = createRig();
  const first = join('g1', false);
  first.keeper.start();
  await clock.advance(1_500);
  assert.is(first.keeper.orderTerm(), 1);
  const goBack = store.copy();
  state.sleptMs += 8_000;
  goBack();
  await clock.advance(1_000);
  assert.is(first.keeper.heldTerm(), null);
  await first.keeper.handBack(clock.nowMs());
});

// Failure: all gateways start again when the store is back from a copy of before the last holders, and a term that
// upstreams have seen is given out once more.
test('whoever holds the lease after a return has a higher term than all before, whatever the copy has', async () => {
  const { clock, store, join } = createRig();
  const goBack = store.copy();
  const terms: number[] = [];
  for (const gatewayId of ['g1', 'g2', 'g3']) {
    const { keeper } = join(gatewayId);
    keeper.start();
    await clock.advance(12_000);
    terms.push(keeper.orderTerm() ?? -1);
    await keeper.handBack(clock.nowMs());
  }
  for (let returns = 0; returns < 3; returns += 1) {
    goBack();
    const { keeper } = join('g4');
    keeper.start();
    await clock.advance(12_000);
    terms.push(keeper.orderTerm() ?? -1);
    await keeper.handBack(clock.nowMs());
  }
  assert.equal(
    terms,
    [...terms].sort((left, right) => left - right),
  );
  assert.is(new Set(terms).size, terms.length);
  assert.ok(terms.every((term) => term > 0));
});

// Failure: a holder that was cut off believes in its lease of the era before, renews a record that is another's by now, and
// both give orders.
test('after a return a holder that was away does not take the lease from the one that holds it', async () => {
  const { clock, store, join } = createRig();
  const first = join('g1', false);
  first.keeper.start();
  await clock.advance(1_500);
  const goBack = store.copy();
  store.setFault('down');
  await clock.advance(3_000);
  goBack();
  store.setFault('none');
  const second = join('g2', false);
  const orders: string[] = [];
  second.keeper.start();
  for (let atMs = 0; atMs < 15_000; atMs += 50) {
    await clock.advance(50);
    const holders = [first, second].filter(({ keeper }) => keeper.orderTerm() !== null);
    assert.ok(holders.length <= 1, `${atMs}`);
    holders.forEach(({ keeper }) => orders.push(String(keeper.orderTerm())));
  }
  assert.ok(orders.length > 0);
  const changes = orders.filter((term, index) => index > 0 && term !== orders[index - 1]);
  assert.ok(changes.length <= 1, orders.join(' ').slice(0, 80));
  await Promise.all([first, second].map(({ keeper }) => keeper.handBack(clock.nowMs())));
});

test('one takes the lease and keeps it', async () => {
  const { clock, join } = createRig();
  const first = join('g1');
  first.keeper.start();
  await clock.advance(1_500);
  assert.is(first.keeper.orderTerm(), 1);
  const second = join('g2');
  second.keeper.start();
  await clock.advance(20_000);
  assert.is(first.keeper.orderTerm(), 1);
  assert.is(second.keeper.orderTerm(), null);
  await Promise.all([first, second].map(({ keeper }) => keeper.handBack(clock.nowMs())));
});

// All seeds of a new gateway are gone. The lease tells where its holder is, or the gateway would neither learn of
// copies nor tell of its demand.
test('who looks at the lease learns where its holder is', async () => {
  const { clock, join } = createRig();
  const first = join('g1');
  first.keeper.start();
  await clock.advance(1_500);
  const second = join('g2');
  second.keeper.start();
  await clock.advance(1_500);
  assert.is(second.book.addressOf('g1'), 'g1:7000');
  await Promise.all([first, second].map(({ keeper }) => keeper.handBack(clock.nowMs())));
});

// All gateways are killed at once in a rush of one organisation. Those that start know nobody yet: without a word of the
// rush each would admit what it may of an organisation that asks for little.
test('who looks at the lease learns whose quota is nearly used up, and how many gateways there are', async () => {
  const { clock, join } = createRig();
  const first = join('g1');
  first.keeper.start();
  await clock.advance(1_500);
  first.scarce.push('o1');
  first.book.learned([{ gatewayId: 'g3', address: 'g3:7000', millicores: 0 }], clock.nowMs());
  await clock.advance(1_500);
  const second = join('g2');
  second.keeper.start();
  await clock.advance(1_500);
  assert.equal(second.written.at(-1), ['o1']);
  assert.is(second.book.fleetSize(clock.nowMs()), 2);
  await Promise.all([first, second].map(({ keeper }) => keeper.handBack(clock.nowMs())));
});

// A gateway has started and knows the configuration; callers wait. The lease's record tells it what it may admit: it is
// read at once, and each further look is a call that is paid for.
test('a gateway that starts looks at the lease as soon as it may, and then no more often than others', async () => {
  const { clock, gets, join } = createRig();
  const startMs = clock.nowMs();
  const { keeper } = join('g1', true, 243, startMs + 110);
  keeper.start();
  await clock.advance(1_000);
  assert.ok((gets[0] ?? Infinity) <= startMs + 160, `${gets[0]}`);
  assert.ok(gets.length <= 6, `${gets.length} looks`);
  await keeper.handBack(clock.nowMs());
});

// All gateways are killed at once and start again. The one whose lease it was need not wait for itself; the others
// cannot know that it was killed.
test('a gateway that starts again takes its own lease at once, another waits', async () => {
  const { clock, store, join } = createRig();
  const value = {
    holderId: 'g1',
    address: 'g1:7000',
    term: 4,
    gatewayCount: 2,
    scarceOrganisations: [],
    renewals: 9,
    isReleased: false,
  };
  await store.put('leases', 'placing', value, null, 0);
  const other = join('g2');
  other.keeper.start();
  await clock.advance(1_500);
  assert.is(other.keeper.heldTerm(), null);
  const again = join('g1');
  again.keeper.start();
  await clock.advance(300);
  assert.is(again.keeper.orderTerm(), 5);
  await Promise.all([again, other].map(({ keeper }) => keeper.handBack(clock.nowMs())));
});

// The holder gives its lease back and stops. Its successor may order only once the lease time has passed
// since the last order that the holder may have given: earlier, two would take turns at one upstream.
test('a successor takes over with a higher term, and waits before its first order', async () => {
  const { clock, join } = createRig();
  const first = join('g1', false);
  first.keeper.start();
  await clock.advance(1_500);
  const second = join('g2', false);
  second.keeper.start();
  await clock.advance(4_000);
  await first.keeper.handBack(clock.nowMs() + 1_000);
  await clock.advance(1_500);
  assert.is(second.keeper.heldTerm(), 2);
  assert.is(second.keeper.orderTerm(), null);
  await clock.advance(LEASE_MS);
  assert.is(second.keeper.orderTerm(), 2);
  await second.keeper.handBack(clock.nowMs());
});

// The answer to a renewal is lost after it took effect; the next renewal conflicts with the holder's own.
test('a holder whose answers are lost knows its own lease again', async () => {
  const { clock, store, join } = createRig();
  const { keeper } = join('g1');
  keeper.start();
  await clock.advance(1_500);
  store.setFault('lose-answers');
  await clock.advance(3_000);
  store.setFault('none');
  await clock.advance(2_000);
  assert.is(keeper.heldTerm(), 1);
  assert.is(keeper.orderTerm(), 1);
  await keeper.handBack(clock.nowMs());
});

test('while the store is away the holder goes on only where fences are checked', async () => {
  for (const checksFences of [true, false]) {
    const { clock, store, join } = createRig();
    const { keeper } = join('g1', checksFences);
    keeper.start();
    await clock.advance(1_500);
    store.setFault('down');
    await clock.advance(8_000);
    assert.is(keeper.orderTerm(), checksFences ? 1 : null);
    await keeper.handBack(clock.nowMs());
  }
});

test('word of a newer term ends the lease at once', async () => {
  const { clock, store, join } = createRig();
  const { book, keeper } = join('g1');
  keeper.start();
  await clock.advance(1_500);
  store.setFault('down');
  await clock.advance(1_000);
  book.noteLease({ holderId: 'g2', term: 2 });
  await clock.advance(300);
  assert.is(keeper.heldTerm(), null);
  await keeper.handBack(clock.nowMs());
});

// The holder is stopped while the store is away, and cannot give its lease back: nobody else can take it. A
// holder that fell silent at once would leave every model where it is until the store returns, and callers of
// models that demand moves to meanwhile would be refused for seconds.
test('a holder that cannot give its lease back goes on placing while it drains', async () => {
  const { clock, store, join } = createRig();
  const { keeper } = join('g1');
  keeper.start();
  await clock.advance(1_500);
  store.setFault('down');
  await clock.advance(1_000);
  const state = { isHandedBack: false };
  const endMs = clock.nowMs() + 7_000;
  void keeper.handBack(endMs).then(() => {
    state.isHandedBack = true;
  });
  await clock.advance(4_000);
  assert.is(keeper.orderTerm(), 1);
  assert.not(state.isHandedBack);
  store.setFault('none');
  await clock.advance(1_500);
  assert.ok(state.isHandedBack);
  assert.is(keeper.heldTerm(), null);
  const found = await store.get('leases', 'placing', clock.nowMs() + 100);
  assert.is(found.unwrap()?.value.isReleased, true);
});

test('handing back ends at its deadline where the store stays away', async () => {
  const { clock, store, join } = createRig();
  const { keeper } = join('g1');
  keeper.start();
  await clock.advance(1_500);
  store.setFault('down');
  const state = { endedAtMs: -1 };
  const endMs = clock.nowMs() + 4_000;
  void keeper.handBack(endMs).then(() => {
    state.endedAtMs = clock.nowMs();
  });
  await clock.advance(6_000);
  assert.ok(state.endedAtMs >= endMs && state.endedAtMs < endMs + 500, `${state.endedAtMs}`);
  assert.is(keeper.heldTerm(), null);
});

// The lease has been given back, its answer was lost, and another gateway may hold it already. To go on giving
// orders would be to take turns with the new holder.
test('an answer lost while handing back ends the orders', async () => {
  const { clock, store, join } = createRig();
  const { keeper } = join('g1');
  keeper.start();
  await clock.advance(1_500);
  store.setFault('lose-answers');
  void keeper.handBack(clock.nowMs() + 5_000);
  await clock.advance(100);
  assert.is(keeper.orderTerm(), null);
  await clock.advance(1_500);
  assert.is(keeper.heldTerm(), null);
});

test('a gateway that stops takes no lease', async () => {
  const { clock, join } = createRig();
  const first = join('g1');
  const second = join('g2');
  first.keeper.start();
  await clock.advance(1_500);
  second.keeper.start();
  await clock.advance(500);
  await second.keeper.handBack(clock.nowMs() + 8_000);
  await first.keeper.handBack(clock.nowMs() + 8_000);
  await clock.advance(6_000);
  assert.is(second.keeper.heldTerm(), null);
});

// The machine of the holder is suspended for seconds, in which another may have taken over. Its steady clock has
// stood still, so its lease looks fresh; its first order on waking would cross the new holder's.
test('after a suspension the lease is renewed before the next order', async () => {
  const { clock, state, join } = createRig();
  const { keeper } = join('g1', false);
  keeper.start();
  await clock.advance(1_500);
  assert.is(keeper.orderTerm(), 1);
  state.sleptMs = 5_000;
  assert.is(keeper.orderTerm(), null);
  await clock.advance(500);
  assert.is(keeper.orderTerm(), 1);
  await keeper.handBack(clock.nowMs());
});

test.run();
