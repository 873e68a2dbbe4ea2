import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as demands from './demands.js';
import * as eviction from './eviction.js';
import * as placement from './placement.js';

const test = suite('placing');

const NOW_MS = 3_600_000;
const LIMITS = { moveCostMs: 2_000 };

function copy(upstreamId: string, fields: Partial<placement.CopyView> = {}): placement.CopyView {
  return { upstreamId, failureDomain: 'tay-ho', isReady: true, availableSlots: 8, ...fields };
}

function offer(upstreamId: string, fields: Partial<placement.Offer> = {}): placement.Offer {
  return {
    upstreamId,
    failureDomain: 'long-bien',
    freeBytes: 100,
    availableSlots: 8,
    eviction: { models: [], lostSlots: 0 },
    ...fields,
  };
}

function demand(
  neededSlots: number,
  fields: Partial<placement.DemandView> = {},
): placement.DemandView {
  return {
    model: 'draws',
    sizeBytes: 10,
    neededSlots,
    minimumCopies: 1,
    changedAtMs: -Infinity,
    ...fields,
  };
}

function held(model: string, fields: Partial<eviction.HeldCopy> = {}): eviction.HeldCopy {
  return {
    model,
    sizeBytes: 10,
    isFloor: false,
    activeCount: 0,
    busySlots: 0,
    spareSlotsElsewhere: 0,
    lastUsedAtMs: 0,
    loadedAtMs: 0,
    ...fields,
  };
}

test('a model that lost its last copy is loaded, whatever the move costs', () => {
  const plan = placement.planCopies(demand(0), [], [offer('jury-1')], { moveCostMs: 1e9 }, NOW_MS);
  assert.is(plan.kind, 'add');
  assert.is(plan.reason, 'unreachable');
});

test('a copy is added before targets are missed, in another failure domain', () => {
  // Demand has risen to seven of the eight slots, so few callers wait yet. The new copy is ordered now, since its
  // weights take most of a minute to load, and in another failure domain, so that the loss of one domain does not take
  // both copies.
  const offers = [offer('jury-2', { failureDomain: 'tay-ho' }), offer('jury-3')];
  const plan = placement.planCopies(demand(7), [copy('jury-1')], offers, LIMITS, NOW_MS);
  assert.equal(plan, {
    kind: 'add',
    reason: 'short-of-slots',
    upstreamId: 'jury-3',
    displaced: [],
  });
});

test('copies follow demand that grows tenfold within an hour before the slots run out', () => {
  // Demand grows from 0.8 slots to 8 within an hour. The planned copies must hold more slots than the demand at all
  // times, although each takes a minute to load.
  const tracker = demands.createDemands();
  const copies = [copy('jury-0')];
  const last = { changedAtMs: -Infinity };
  for (let nowMs = 0; nowMs < 3_600_000; nowMs += 1_000) {
    const slots = 0.8 * 10 ** (nowMs / 3_600_000);
    tracker.observe('draws', slots * 1_000, nowMs);
    assert.ok(slots < copies.filter((one) => one.isReady).length * 4);
    copies.forEach((one) => {
      if (nowMs - last.changedAtMs >= 60_000) one.isReady = true;
      one.availableSlots = 4;
    });
    const view = demand(tracker.neededSlots('draws', nowMs), last);
    const next = offer(`jury-${copies.length}`, { availableSlots: 4 });
    if (placement.planCopies(view, copies, [next], LIMITS, nowMs).kind !== 'add') continue;
    last.changedAtMs = nowMs;
    copies.push(copy(next.upstreamId, { isReady: false, failureDomain: 'long-bien' }));
  }
  assert.ok(copies.length >= 3 && copies.length <= 4);
});

test('the same shortage justifies a move for the consortium but not for the guild, whose moves cost more', () => {
  const copies = [copy('a', { failureDomain: 'x' }), copy('b')];
  const short = demand(0.85 * 16 + 0.1);
  const plan = (moveCostMs: number) =>
    placement.planCopies(short, copies, [offer('c')], { moveCostMs }, NOW_MS);
  assert.is(plan(2_000).kind, 'add');
  assert.equal(plan(20_000), { kind: 'none', reason: 'does-not-pay' });
});

test('when every upstream is full no copy is moved, since it would gain nothing', () => {
  const full = [offer('jury-2', { availableSlots: 0 }), offer('jury-3', { availableSlots: 0 })];
  const copies = [copy('jury-1', { availableSlots: 2 })];
  assert.is(placement.planCopies(demand(9), copies, full, LIMITS, NOW_MS).kind, 'none');
});

test('a surplus copy is removed late, and the last one never', () => {
  const copies = [copy('a'), copy('b', { failureDomain: 'x' }), copy('c', { failureDomain: 'y' })];
  const at = (changedAtMs: number) =>
    placement.planCopies(demand(0.1, { changedAtMs }), copies, [], LIMITS, NOW_MS);
  assert.is(at(NOW_MS - 60_000).kind, 'none');
  assert.is(at(NOW_MS - 700_000).kind, 'remove');
  const last = placement.planCopies(demand(0), [copy('a')], [], LIMITS, NOW_MS);
  assert.is(last.kind, 'none');
});

test('a new version is loaded before the old one is unloaded, or on another upstream first', () => {
  const displace = (neededBytes: number) =>
    eviction.chooseEvicted([held('idle')], neededBytes, NOW_MS);
  assert.equal(placement.planVersionChange(10, 10, displace), { kind: 'make-before-break' });
  assert.equal(placement.planVersionChange(15, 10, displace), {
    kind: 'displace-first',
    displaced: ['idle'],
  });
  assert.equal(placement.planVersionChange(25, 10, displace), { kind: 'elsewhere-first' });
});

test('the evicted copy is the one whose work another copy can take over', () => {
  const copies = [
    held('busy-and-alone', { busySlots: 2 }),
    held('busy-elsewhere-too', { busySlots: 2, spareSlotsElsewhere: 5 }),
  ];
  assert.equal(eviction.chooseEvicted(copies, 10, NOW_MS), {
    models: ['busy-elsewhere-too'],
    lostSlots: 0,
  });
});

test('two models that are busy alternately do not evict each other', () => {
  const fresh = held('fresh', { loadedAtMs: NOW_MS - 1_000 });
  assert.is(eviction.chooseEvicted([fresh], 10, NOW_MS), null);
});

test('whatever an upstream holds, floors stay and no more copies than needed are evicted', () => {
  const anyCopy = fc.record({
    sizeBytes: fc.integer({ min: 1, max: 50 }),
    isFloor: fc.boolean(),
    busySlots: fc.double({ min: 0, max: 8, noNaN: true }),
    spareSlotsElsewhere: fc.double({ min: 0, max: 8, noNaN: true }),
    lastUsedAtMs: fc.integer({ min: 0, max: NOW_MS }),
  });
  fc.assert(
    fc.property(fc.array(anyCopy), fc.integer({ min: 1, max: 100 }), (fields, neededBytes) => {
      const copies = fields.map((one, index) => held(`model-${index}`, one));
      const chosen = eviction.chooseEvicted(copies, neededBytes, NOW_MS);
      const movable = copies.filter((one) => !one.isFloor);
      const sumBytes = (list: readonly eviction.HeldCopy[]) =>
        list.reduce((sum, one) => sum + one.sizeBytes, 0);
      if (chosen === null) {
        assert.ok(sumBytes(movable) < neededBytes);
        return;
      }
      const leaving = copies.filter((one) => chosen.models.includes(one.model));
      assert.not.ok(leaving.some((one) => one.isFloor));
      assert.ok(sumBytes(leaving) >= neededBytes);
      leaving.forEach((one) => assert.ok(sumBytes(leaving) - one.sizeBytes < neededBytes));
    }),
    { seed: 5 },
  );
});

test('no plan removes the last copy or goes below the minimum', () => {
  const anyView = fc.record({
    failureDomain: fc.constantFrom('x', 'y', 'z'),
    isReady: fc.boolean(),
    availableSlots: fc.double({ min: 0, max: 16, noNaN: true }),
  });
  fc.assert(
    fc.property(
      fc.array(anyView, { maxLength: 6 }),
      fc.double({ min: 0, max: 40, noNaN: true }),
      fc.integer({ min: 1, max: 3 }),
      (views, neededSlots, minimumCopies) => {
        const copies = views.map((view, index) => copy(`u-${index}`, view));
        const plan = placement.planCopies(
          demand(neededSlots, { minimumCopies }),
          copies,
          [],
          LIMITS,
          NOW_MS,
        );
        if (plan.kind !== 'remove') return;
        assert.ok(copies.length - 1 >= minimumCopies);
        const rest = copies.filter((one) => one.upstreamId !== plan.upstreamId);
        const slots = rest.reduce((sum, one) => sum + one.availableSlots, 0);
        assert.ok(neededSlots < slots);
      },
    ),
    { seed: 5 },
  );
});

test.run();
