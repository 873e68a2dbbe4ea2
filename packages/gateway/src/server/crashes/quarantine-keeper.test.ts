import { logs } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as quarantines from '../../shared/crashes/quarantine.js';
import * as memoryRecords from '../../testing/memory-records.js';
import * as quarantineKeepers from './quarantine-keeper.js';

const test = suite('quarantine keeper');

const MINUTE_MS = 60_000;

function createGateway(
  store: memoryRecords.MemoryRecords,
  gatewayId: string,
  clock = fakeClocks.createFakeClock(),
) {
  const quarantine = quarantines.createQuarantine();
  const state = { isHolder: false };
  const keeper = quarantineKeepers.createQuarantineKeeper({
    clock,
    store,
    gatewayId,
    quarantine,
    log: logs.createSilentLogger(),
    isHolder: () => state.isHolder,
    applyEntries: (entries) => entries.forEach((entry) => quarantine.apply(entry, clock.nowMs())),
  });
  const decide = (traits: string, epoch = 0) => {
    const nowMs = clock.nowMs();
    const untilMs = nowMs + quarantines.refusalMs(epoch, false);
    const decided = { crashCount: 3, isCommon: false, decidedBy: gatewayId };
    const entry = { traits: traits.split(' '), epoch, ...decided };
    quarantine.apply(
      { ...entry, state: 'refused', trialCount: epoch, decidedAtMs: nowMs, untilMs },
      nowMs,
    );
    keeper.wake();
  };
  keeper.start();
  const isRefused = (...traits: string[]) => quarantine.match(traits, clock.nowMs()) !== null;
  return { clock, quarantine, keeper, state, decide, isRefused };
}

// Guards against a decision that ends with the gateways that know it, and is forgotten when all start at once.
test('a gateway that starts knows what was decided before its start', async () => {
  const store = memoryRecords.createMemoryRecords();
  const first = createGateway(store, 'g1');
  await first.clock.advance(10);
  first.decide('bad');
  await first.clock.advance(10);
  first.keeper.stop();
  const second = createGateway(store, 'g2');
  assert.is(second.keeper.isKnown(), false);
  await second.clock.settle();
  assert.is(second.keeper.isKnown(), true);
  assert.ok(second.isRefused('bad', 'r1'));
  second.keeper.stop();
});

// Guards against a gateway that takes callers while the store that would tell it what is refused is away.
test('a gateway serves only once the store or another gateway has told it what is refused', async () => {
  const store = memoryRecords.createMemoryRecords();
  store.setFault('down');
  const gateway = createGateway(store, 'g1');
  await gateway.clock.advance(2_000);
  assert.is(gateway.keeper.isKnown(), false);
  store.setFault('none');
  await gateway.clock.advance(200);
  assert.is(gateway.keeper.isKnown(), true);
  gateway.keeper.stop();
});

// Guards against a decision that is lost since the store was away when it was made.
test('a decision is written once the store is back, also by the holder alone', async () => {
  const store = memoryRecords.createMemoryRecords();
  const clock = fakeClocks.createFakeClock();
  const first = createGateway(store, 'g1', clock);
  const holder = createGateway(store, 'g2', clock);
  holder.state.isHolder = true;
  await clock.advance(10);
  store.setFault('down');
  first.decide('bad');
  holder.quarantine.apply(first.quarantine.entries(clock.nowMs())[0] as never, clock.nowMs());
  await clock.advance(3_000);
  first.keeper.stop();
  store.setFault('none');
  await clock.advance(3_000);
  const listed = await store.list('quarantine', 0);
  assert.is(listed.ok && listed.val.records.length, 1);
  holder.keeper.stop();
});

// Guards against a write whose answer is lost, and against two gateways that decide the same at once.
test('a decision is written once, whoever decides and whichever answers are lost', async () => {
  const store = memoryRecords.createMemoryRecords();
  const clock = fakeClocks.createFakeClock();
  const gateways = ['g1', 'g2', 'g3'].map((id) => createGateway(store, id, clock));
  await clock.advance(10);
  store.setFault('lose-answers');
  gateways.forEach(({ decide }) => decide('bad'));
  await clock.advance(5_000);
  assert.is(store.writeCount(), 1);
  gateways.forEach(({ keeper }) => keeper.stop());
});

// Guards against a decision that is gone when the store comes back from an older copy.
test('the holder writes again what a copy of the store lacks', async () => {
  const store = memoryRecords.createMemoryRecords();
  const goBack = store.copy();
  const holder = createGateway(store, 'g1');
  holder.state.isHolder = true;
  await holder.clock.advance(10);
  holder.decide('bad');
  await holder.clock.advance(10);
  goBack();
  await holder.clock.advance(2_000);
  const listed = await store.list('quarantine', 0);
  assert.is(listed.ok && listed.val.records.length, 1);
  holder.keeper.stop();
});

// Guards against a wrong decision that an operator cannot end.
test('what an operator lifts in the store is served again', async () => {
  const store = memoryRecords.createMemoryRecords();
  const holder = createGateway(store, 'g1');
  holder.state.isHolder = true;
  await holder.clock.advance(10);
  holder.decide('bad');
  await holder.clock.advance(10);
  const listed = await store.list('quarantine', 0);
  const [record] = listed.ok ? listed.val.records : [];
  assert.ok(record !== undefined);
  const { name, value, revision } = record;
  await store.put('quarantine', name, { ...value, isLifted: true }, revision, 0);
  await holder.clock.advance(15_000);
  assert.is(holder.isRefused('bad'), false);
  holder.keeper.stop();
});

// Guards against a time of day that was set forward or back between the decision and the start.
test('a wrong time of day neither ends a decision nor makes it last longer than decided', async () => {
  const store = memoryRecords.createMemoryRecords();
  const wallMs = Date.UTC(2026, 0, 1);
  const first = createGateway(store, 'g1', fakeClocks.createFakeClock(wallMs));
  await first.clock.advance(10);
  first.decide('bad');
  await first.clock.advance(10);
  first.keeper.stop();
  for (const offsetMs of [-60 * MINUTE_MS, 60 * MINUTE_MS]) {
    const later = createGateway(store, 'g2', fakeClocks.createFakeClock(wallMs + offsetMs));
    await later.clock.settle();
    assert.ok(later.isRefused('bad'));
    const [entry] = later.quarantine.entries(later.clock.nowMs());
    assert.ok(
      (entry?.untilMs ?? Infinity) <= later.clock.nowMs() + quarantines.refusalMs(0, false),
    );
    later.keeper.stop();
  }
});

// Guards against all requests being refused, after the start of a mended build, by what the build before decided without proof.
test('a part that the build before refused for long is tried soon, a request is not', async () => {
  const store = memoryRecords.createMemoryRecords();
  const wallMs = fakeClocks.createFakeClock().wallMs();
  const decided = { trialCount: 0, crashCount: 4, decidedBy: 'g0', decidedAtWallMs: wallMs };
  const flags = { epoch: 0, isLifted: false, isSuspected: false, isCommon: null };
  const untilWallMs = wallMs + 15 * MINUTE_MS;
  for (const trait of ['part:a', 'request:f']) {
    const value = { ...flags, ...decided, traits: [trait], untilWallMs };
    await store.put('quarantine', trait, value, null, Infinity);
  }
  const gateway = createGateway(store, 'g1');
  await gateway.clock.settle();
  const untilMs = (key: string) => gateway.quarantine.find(key)?.untilMs ?? Infinity;
  assert.ok(untilMs('part:a') <= gateway.clock.nowMs() + quarantines.GUESS_MS);
  assert.ok(untilMs('request:f') >= gateway.clock.nowMs() + 14 * MINUTE_MS);
  gateway.keeper.stop();
});

// Guards against trials that are counted by one gateway alone, and made again by others or after a start.
test('a trial is claimed once, and not while the store does not take it down', async () => {
  const store = memoryRecords.createMemoryRecords();
  const first = createGateway(store, 'g1');
  const second = createGateway(store, 'g2', first.clock);
  await first.clock.advance(10);
  first.decide('bad');
  await first.clock.advance(10);
  const tried = { ...first.quarantine.entries(0)[0]!, epoch: 1, trialCount: 1 };
  store.setFault('down');
  assert.is(await first.keeper.claim(tried), false);
  store.setFault('none');
  assert.is(await first.keeper.claim(tried), true);
  assert.is(await second.keeper.claim({ ...tried, decidedBy: 'g2' }), false);
  assert.is(second.quarantine.find('bad')?.trialCount, 1);
  first.keeper.stop();
  second.keeper.stop();
});

test.run();
