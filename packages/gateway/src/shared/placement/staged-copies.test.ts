import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as fixtures from '../../testing/fleet-fixtures.js';
import * as copyNeeds from './copy-needs.js';
import * as copyPlan from './copy-plan.js';
import type * as demandMeters from './demand-meter.js';
import * as stagedCopies from './staged-copies.js';
import * as stagedIndexes from './staged-index.js';

const test = suite('staged copies');

const NOW_MS = 100_000;
const REQUEST_S = 0.055;

function figures(perSecond: number, delayTolerantPerSecond = 0): demandMeters.DemandFigures {
  return {
    expectedPerSecond: perSecond,
    recentPerSecond: perSecond,
    recentCount: 4 * perSecond,
    delayTolerantPerSecond,
    isFalling: false,
    lastRequestedMs: NOW_MS,
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
    latencyRatio: () => 1,
    holdMs: () => 1_500,
    hasDemand: true,
    storeLoadsLeft: 4,
    nowMs: NOW_MS,
    ...overrides,
  };
}

function createStaged(plan: copyNeeds.PlanInput): stagedCopies.StagedCopies {
  const index = stagedIndexes.createStagedIndex(plan.upstreams);
  return stagedCopies.createStagedCopies(plan, index, copyNeeds.needsOf(plan, index));
}

const BUSY = { busy: figures(40), second: figures(20), night: figures(0, 0.1) };

// Demand shifts: the second busiest model becomes the busiest within seconds and needs as many copies as the busiest
// has now. Models that only overnight work requests do not rise like this.
test('the most requested models are worth staging, those with only delay-tolerant requests are not', () => {
  const upstreams = [
    fixtures.upstreamView('u1', ['busy', 'second']),
    fixtures.upstreamView('u2', ['busy', 'night']),
  ];
  const staged = createStaged(input(upstreams, BUSY));
  assert.ok(staged.valueOfNext('second') > 10 * staged.valueOfNext('night'));
  assert.ok(staged.valueOfNext('second') > staged.valueOfNext('other'));
});

test('staging on a further upstream is worth less the more already have the model', () => {
  const some = Array.from({ length: 2 }, (_, index) =>
    fixtures.upstreamView(`u${index}`, ['busy', 'second']),
  );
  const many = Array.from({ length: 12 }, (_, index) =>
    fixtures.upstreamView(`u${index}`, ['busy', 'second']),
  );
  assert.ok(createStaged(input(some, BUSY)).valueOfNext('second') > 0);
  assert.is(createStaged(input(many, BUSY)).valueOfNext('second'), 0);
});

test('eviction costs nothing on a disk with room, and the value of its contents on a full one', () => {
  const room = fixtures.upstreamView('u1', ['night'], { diskModels: new Set(['night', 'second']) });
  const full = fixtures.upstreamView('u2', ['night'], {
    diskModels: new Set(['night', 'second', 'x1', 'x2', 'x3', 'x4']),
  });
  const staged = createStaged(input([room, full], BUSY));
  assert.is(staged.evictionCost(room), 0);
  assert.ok(staged.evictionCost(full) > 0);
});

// Before the first request the store is idle and loads disturb no request. Two models each have copies on several
// upstreams, which shows that they are the busy ones. When demand shifts between them, a copy loads from disk in two
// seconds and from the store in ten (simulated over the first shift of demand, with one copy for each upstream that has
// the model staged).
test('before demand the busy models are staged on all upstreams, with one load at each', () => {
  let upstreams = ['u1', 'u2', 'u3', 'u4'].map((id, index) =>
    fixtures.upstreamView(id, index < 2 ? ['busy', 'night'] : ['second', 'other']),
  );
  const demand = { busy: figures(30), second: figures(20) };
  const planned: copyPlan.CopyChange[] = [];
  for (;;) {
    const change = copyPlan.planNext(input(upstreams, demand, { hasDemand: false }));
    if (change === null) break;
    planned.push(change);
    upstreams = upstreams.map((upstream) =>
      upstream.upstreamId === change.upstreamId
        ? { ...upstream, isChanging: true, loadingModel: change.load, isLoadingFromStore: true }
        : upstream,
    );
  }
  const loads = (model: string) => planned.filter(({ load }) => load === model).length;
  assert.is(loads('second'), 2);
  assert.is(new Set(planned.map(({ upstreamId }) => upstreamId)).size, planned.length);
});

// Once there is demand, an upstream that loads from the store can load nothing else for seconds, so most upstreams must
// stay available for requested models.
test('with demand only some upstreams load for staging at once', () => {
  const upstreams = Array.from({ length: 8 }, (_, index) =>
    fixtures.upstreamView(`u${index}`, ['busy', 'night'], { isLoadingFromStore: index < 2 }),
  );
  const copies = { busy: figures(10), second: figures(1), night: figures(0, 0.1) };
  const engine = fixtures.engineSpec(
    ['busy', 'second', 'night'].map((name) => fixtures.modelSpec(name)),
  );
  const change = copyPlan.planNext(input(upstreams, copies, { engine }));
  assert.ok(change === null || change.load === 'second');
  assert.is(copyPlan.planNext(input(upstreams, { busy: figures(10) }, { engine })), null);
});

test.run();
