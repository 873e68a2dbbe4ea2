import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as fixtures from '../../testing/fleet-fixtures.js';
import * as copyNeeds from './copy-needs.js';
import * as copyPlan from './copy-plan.js';
import type * as demandMeters from './demand-meter.js';
import * as nearCopies from './near-copies.js';
import * as nearIndexes from './near-index.js';

const test = suite('near copies');

const NOW_MS = 100_000;
const REQUEST_S = 0.055;

function asked(perSecond: number, patientPerSecond = 0): demandMeters.DemandFigures {
  return {
    expectedPerSecond: perSecond,
    recentPerSecond: perSecond,
    recentCount: 4 * perSecond,
    patientPerSecond,
    isFalling: false,
    lastAskedMs: NOW_MS,
    missedCount: 0,
  };
}

function input(
  upstreams: readonly copyNeeds.UpstreamView[],
  demand: Record<string, demandMeters.DemandFigures>,
  overrides: Partial<copyNeeds.PlanInput> = {},
): copyNeeds.PlanInput {
  const names = ['busy', 'second', 'night', 'other', 'lone'];
  return {
    engine: fixtures.engineSpec(names.map((name) => fixtures.modelSpec(name))),
    upstreams,
    demand: (model) => demand[model] ?? null,
    requestS: () => REQUEST_S,
    slowness: () => 1,
    holdMs: () => 1_500,
    hasDemand: true,
    storeLoadsLeft: 4,
    nowMs: NOW_MS,
    ...overrides,
  };
}

function worths(plan: copyNeeds.PlanInput): nearCopies.NearCopies {
  const index = nearIndexes.createNearIndex(plan.upstreams);
  return nearCopies.createNearCopies(plan, index, copyNeeds.needsOf(plan, index));
}

const BUSY = { busy: asked(40), second: asked(20), night: asked(0, 0.1) };

// Demand moves on: the second model becomes the busiest within seconds and needs as many copies as the first has.
// What only overnight work asks for is not what rises.
test('what is asked for most is worth having near, what can wait is not', () => {
  const upstreams = [
    fixtures.upstreamView('u1', ['busy', 'second']),
    fixtures.upstreamView('u2', ['busy', 'night']),
  ];
  const near = worths(input(upstreams, BUSY));
  assert.ok(near.worthOfNext('second') > 10 * near.worthOfNext('night'));
  assert.ok(near.worthOfNext('second') > near.worthOfNext('other'));
});

test('the next upstream is worth less the more have it near', () => {
  const some = Array.from({ length: 2 }, (_, index) =>
    fixtures.upstreamView(`u${index}`, ['busy', 'second']),
  );
  const many = Array.from({ length: 12 }, (_, index) =>
    fixtures.upstreamView(`u${index}`, ['busy', 'second']),
  );
  assert.ok(worths(input(some, BUSY)).worthOfNext('second') > 0);
  assert.is(worths(input(many, BUSY)).worthOfNext('second'), 0);
});

test('a disk with room loses nothing, a full one what it has of use to others', () => {
  const room = fixtures.upstreamView('u1', ['night'], { diskModels: new Set(['night', 'second']) });
  const full = fixtures.upstreamView('u2', ['night'], {
    diskModels: new Set(['night', 'second', 'x1', 'x2', 'x3', 'x4']),
  });
  const near = worths(input([room, full], BUSY));
  assert.is(near.evictionLoss(room), 0);
  assert.ok(near.evictionLoss(full) > 0);
});

// Before the first request the store idles and nobody is disturbed. Two models stand on several upstreams, which
// says that they are the busy ones. When demand moves between them a copy from the disk is there in two seconds,
// one from the store in ten: played over the first shift of demand with a copy per upstream that has it near.
test('before demand the busy models come near to all upstreams, one load at each', () => {
  let upstreams = ['u1', 'u2', 'u3', 'u4'].map((id, index) =>
    fixtures.upstreamView(id, index < 2 ? ['busy', 'night'] : ['second', 'other']),
  );
  const demand = { busy: asked(30), second: asked(20) };
  const planned: copyPlan.CopyChange[] = [];
  for (;;) {
    const change = copyPlan.planNext(input(upstreams, demand, { hasDemand: false }));
    if (change === null) break;
    planned.push(change);
    upstreams = upstreams.map((upstream) =>
      upstream.upstreamId === change.upstreamId
        ? { ...upstream, isChanging: true, arriving: change.load, isLoadingFromStore: true }
        : upstream,
    );
  }
  const loads = (model: string) => planned.filter(({ load }) => load === model).length;
  assert.is(loads('second'), 2);
  assert.is(new Set(planned.map(({ upstreamId }) => upstreamId)).size, planned.length);
});

// With demand, an upstream that loads from the store brings nothing else for seconds: most stay free for what
// callers wait for.
test('with demand only some upstreams spread at once', () => {
  const upstreams = Array.from({ length: 8 }, (_, index) =>
    fixtures.upstreamView(`u${index}`, ['busy', 'night'], { isLoadingFromStore: index < 2 }),
  );
  const copies = { busy: asked(10), second: asked(1), night: asked(0, 0.1) };
  const engine = fixtures.engineSpec(
    ['busy', 'second', 'night'].map((name) => fixtures.modelSpec(name)),
  );
  const change = copyPlan.planNext(input(upstreams, copies, { engine }));
  assert.ok(change === null || change.load === 'second');
  assert.is(copyPlan.planNext(input(upstreams, { busy: asked(10) }, { engine })), null);
});

test.run();
