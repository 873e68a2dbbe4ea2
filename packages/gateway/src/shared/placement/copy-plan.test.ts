import { randoms } from '@copperlever/runtime';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as fixtures from '../../testing/fleet-fixtures.js';
import * as randomPlans from '../../testing/random-plans.js';
import type * as copyNeeds from './copy-needs.js';
import * as copyPlan from './copy-plan.js';
import type * as demandMeters from './demand-meter.js';

const test = suite('copy plan');

const NOW_MS = 100_000;
/** One copy serves about eighteen requests a second. */
const REQUEST_S = 0.055;

function figures(
  perSecond: number,
  overrides: Partial<demandMeters.DemandFigures> = {},
): demandMeters.DemandFigures {
  return {
    expectedPerSecond: perSecond,
    recentPerSecond: perSecond,
    recentCount: 4 * perSecond,
    delayTolerantPerSecond: 0,
    isFalling: false,
    lastRequestedMs: NOW_MS,
    missedCount: 0,
    ...overrides,
  };
}

function plan(
  upstreams: readonly copyNeeds.UpstreamView[],
  demand: Record<string, demandMeters.DemandFigures>,
  storeLoadsLeft = 4,
  latencyRatio: (upstreamId: string) => number = () => 1,
  only: copyNeeds.PlanInput['only'] = null,
): copyPlan.CopyChange | null {
  const names = ['hot', 'next', 'cold', 'rare', 'old', 'lone'];
  return copyPlan.planNext({
    engine: fixtures.engineSpec(names.map((name) => fixtures.modelSpec(name))),
    upstreams,
    demand: (model) => demand[model] ?? null,
    requestS: () => REQUEST_S,
    latencyRatio,
    holdMs: () => 1_500,
    hasDemand: true,
    storeLoadsLeft,
    nowMs: NOW_MS,
    only,
  });
}

// The demand for one model rises above what a copy serves in time, while another model has two copies and no more
// requests. The rising model must replace a copy of the idle one, not the last copy of a third model.
test('a model with rising demand replaces a surplus copy', () => {
  const upstreams = [
    fixtures.upstreamView('u1', ['hot', 'old', 'lone']),
    fixtures.upstreamView('u2', ['next', 'old', 'cold'], {
      diskModels: new Set(['next', 'old', 'cold', 'hot']),
    }),
  ];
  const change = plan(upstreams, { hot: figures(12), next: figures(2) });
  assert.is(change?.load, 'hot');
  assert.is(change?.upstreamId, 'u2');
  assert.is(change?.unload, 'old');
  assert.is(change?.level, 'disk');
});

// Several changes are planned in one run. Each must account for the copies that earlier changes unload; otherwise the
// busiest model could lose all its copies at once.
test('a copy that is being unloaded does not count as a copy', () => {
  const upstreams = [
    fixtures.upstreamView('u1', ['hot', 'next', 'cold'], { diskModels: new Set(['rare']) }),
    fixtures.upstreamView('u2', ['hot', 'lone', 'old'], {
      isChanging: true,
      copies: [
        { model: 'hot', inFlightCount: 0, isClosing: true, readyAtMs: 0 },
        { model: 'lone', inFlightCount: 0, isClosing: false, readyAtMs: 0 },
        { model: 'old', inFlightCount: 0, isClosing: false, readyAtMs: 0 },
      ],
    }),
  ];
  const change = plan(upstreams, { hot: figures(3), rare: figures(0.3, { missedCount: 2 }) });
  assert.is.not(change?.unload, 'hot');
});

// Guards against streams that are bound to a software version, at whose upstreams their model is never loaded since another
// version has a copy.
test('a model is loaded at the upstreams of a version that lacks it though others have copies', () => {
  const disk = new Set(['hot', 'next', 'cold', 'rare', 'old', 'lone']);
  const upstreams = [
    fixtures.upstreamView('u1', ['hot', 'rare', 'cold'], { diskModels: disk }),
    fixtures.upstreamView('u2', ['hot', 'rare', 'cold'], { diskModels: disk }),
    fixtures.upstreamView('u3', ['next', 'old', 'lone'], { diskModels: disk }),
  ];
  const demand = { hot: figures(3), rare: figures(0.2, { missedCount: 3 }), next: figures(3) };
  assert.is.not(plan(upstreams, demand)?.load, 'rare');
  const only = { model: 'rare', upstreamIds: new Set(['u3']) };
  const change = plan(upstreams, demand, 4, () => 1, only);
  assert.is(change?.load, 'rare');
  assert.is(change?.upstreamId, 'u3');
  assert.is.not(change?.unload, 'next');
  const full = { ...only, upstreamIds: new Set(['u1', 'u3']) };
  assert.is(
    plan(upstreams, demand, 4, () => 1, full),
    null,
  );
});

test('a requested model without a copy is loaded where it loads fastest', () => {
  const upstreams = [
    fixtures.upstreamView('u1', ['hot', 'old', 'lone']),
    fixtures.upstreamView('u2', ['next', 'old', 'cold'], {
      hostModels: new Set(['rare']),
      diskModels: new Set(['rare', 'next', 'old', 'cold']),
    }),
  ];
  const change = plan(upstreams, { hot: figures(2), rare: figures(0.25, { missedCount: 1 }) });
  assert.equal(
    { load: change?.load, at: change?.upstreamId, level: change?.level, unload: change?.unload },
    { load: 'rare', at: 'u2', level: 'host', unload: 'old' },
  );
});

test('a new copy is not evicted before its callers have retried', () => {
  const fresh = (model: string) => ({
    model,
    inFlightCount: 0,
    isClosing: false,
    readyAtMs: NOW_MS - 500,
  });
  const upstreams = [
    fixtures.upstreamView('u1', [], { copies: ['old', 'cold', 'lone'].map(fresh) }),
  ];
  assert.is(plan(upstreams, { rare: figures(0.3, { missedCount: 3 }) }), null);
});

test('without store loads left nothing is loaded from the store', () => {
  const upstreams = [fixtures.upstreamView('u1', ['old'])];
  assert.is(plan(upstreams, { hot: figures(9) }, 0), null);
  assert.is(plan(upstreams, { hot: figures(9) }, 1)?.level, 'store');
});

// Three models of 70 GB fill 230 GB; a fourth is loaded only in place of one of them.
test('memory is never allocated twice', () => {
  const full = fixtures.upstreamView('u1', ['old', 'cold', 'lone']);
  const change = plan([full], { hot: figures(9) });
  assert.ok(change !== null && change.unload !== null);
});

// Demand shifts to a model that a load from the weight store would provide in nine seconds. The only upstream that has
// it on disk is busy with another change for one more second. The load from the store would count as the copy for nine
// seconds, and all requests would be refused until it ends.
test('a staged load that is ready before one from the store is waited for', () => {
  const busy = fixtures.upstreamView('u1', ['old', 'cold'], {
    isChanging: true,
    loadingModel: 'lone',
    freeAtMs: NOW_MS + 1_000,
    diskModels: new Set(['old', 'cold', 'hot']),
  });
  const free = fixtures.upstreamView('u2', ['old', 'cold', 'lone']);
  // The other models have only delay-tolerant requests, so none of them is staged ahead of demand.
  const delayTolerant = figures(0, { delayTolerantPerSecond: 0.01 });
  const demand = { hot: figures(6), next: delayTolerant, rare: delayTolerant };
  assert.is(plan([busy, free], demand), null);
  const isFree = { ...busy, isChanging: false, loadingModel: null, freeAtMs: null };
  assert.is(plan([isFree, free], demand)?.upstreamId, 'u1');
  const longBusy = { ...busy, freeAtMs: NOW_MS + 8_000 };
  assert.is(plan([longBusy, free], demand)?.level, 'store');
});

// A model whose copy has just been loaded is requested with adapters. The next change there would start at once and
// prevent adapter loads for three seconds, while callers retry.
test('a new copy gets its adapters before the next change', () => {
  const models = ['hot', 'rare'].map((name) => fixtures.modelSpec(name, { adapterCount: 6 }));
  const planAt = (readyAtMs: number) =>
    copyPlan.planNext({
      engine: fixtures.engineSpec(models),
      upstreams: [
        fixtures.upstreamView('u1', [], {
          hostModels: new Set(['rare']),
          copies: [{ model: 'hot', inFlightCount: 0, isClosing: false, readyAtMs }],
        }),
      ],
      demand: (model) => (model === 'hot' ? figures(5) : figures(0.5, { missedCount: 2 })),
      requestS: () => REQUEST_S,
      latencyRatio: () => 1,
      holdMs: () => 1_500,
      hasDemand: true,
      storeLoadsLeft: 2,
      nowMs: NOW_MS,
    });
  assert.is(planAt(NOW_MS - 100), null);
  assert.is(planAt(NOW_MS - 1_000)?.load, 'rare');
});

// The model is in host memory at an upstream that has to unload another model first, and on disk at one with free
// memory. The unload pushes the model out of host memory, so the load would come from disk there as well, after the
// unload.
test('host memory counts only where no model has to be unloaded first', () => {
  const full = fixtures.upstreamView('u1', ['old', 'cold', 'lone'], {
    hostModels: new Set(['rare']),
    diskModels: new Set(['rare', 'old', 'cold', 'lone']),
  });
  const roomy = fixtures.upstreamView('u2', ['old', 'cold'], {
    diskModels: new Set(['rare', 'old', 'cold']),
  });
  const others = { old: figures(1), cold: figures(1), lone: figures(1) };
  const demand = { ...others, rare: figures(3, { missedCount: 3 }) };
  assert.is(plan([full, roomy], demand)?.upstreamId, 'u2');
  assert.is(plan([full], demand)?.loadMs, 2_400);
  const host = { ...roomy, hostModels: new Set(['rare']) };
  assert.is(plan([host], demand)?.loadMs, 1_200);
});

// Skewed demand at saturation: one model gets thirty requests a second on eight upstreams, many others a few. When no
// further change pays off, the busy model has several copies, and no model that is requested has lost its only copy to
// it.
test('with skewed demand the hot model gets several copies and every requested model keeps one', () => {
  const demand: Record<string, demandMeters.DemandFigures> = {
    hot: figures(30),
    next: figures(6),
    cold: figures(0.4),
    rare: figures(0.4),
    lone: figures(0.4),
  };
  let upstreams = Array.from({ length: 8 }, (_, index) =>
    fixtures.upstreamView(
      `u${index}`,
      index === 0 ? ['hot', 'next', 'cold'] : ['old', 'rare', 'lone'],
    ),
  );
  for (let step = 0; step < 40; step += 1) {
    const change = plan(upstreams, demand);
    if (change === null) break;
    upstreams = upstreams.map((view) => {
      if (view.upstreamId !== change.upstreamId) return view;
      const kept = view.copies.map(({ model }) => model).filter((name) => name !== change.unload);
      return fixtures.upstreamView(view.upstreamId, [...kept, change.load]);
    });
  }
  const count = (model: string) =>
    upstreams.filter(({ copies }) => copies.some((copy) => copy.model === model)).length;
  assert.ok(count('hot') >= 4, `${count('hot')} hot copies`);
  ['next', 'cold', 'rare', 'lone'].forEach((model) => assert.ok(count(model) >= 1, model));
});

// A large fleet is planned several times a second on the event loop that forwards requests. Evaluating every model at
// every upstream took tens of milliseconds, during which requests and messages of other gateways stayed buffered.
test('of a large fleet only a small part of all placements is evaluated', () => {
  const size = { upstreamCount: 84, modelCount: 198 };
  const random = randoms.createRandom(3);
  const counts = Array.from({ length: 20 }, () => {
    let evaluatedCount = 0;
    copyPlan.planNext(randomPlans.randomPlan(random, size), () => {
      evaluatedCount += 1;
    });
    return evaluatedCount;
  });
  const sorted = counts.sort((left, right) => left - right);
  const allCount = size.upstreamCount * size.modelCount;
  assert.ok((sorted[10] ?? Infinity) < allCount / 20, sorted.join(' '));
});

/** Before any demand: `busy` is resident on all upstreams and has adapters, `next` on none. */
function planBeforeDemand(
  upstreams: readonly copyNeeds.UpstreamView[],
): copyPlan.CopyChange | null {
  const models = [
    fixtures.modelSpec('busy', { adapterCount: 20 }),
    fixtures.modelSpec('next'),
    fixtures.modelSpec('cold'),
  ];
  const demand: Record<string, demandMeters.DemandFigures> = {
    busy: figures(20),
    next: figures(12),
  };
  return copyPlan.planNext({
    engine: fixtures.engineSpec(models),
    upstreams,
    demand: (model) => demand[model] ?? null,
    requestS: () => REQUEST_S,
    holdMs: () => 1_500,
    latencyRatio: () => 1,
    hasDemand: false,
    storeLoadsLeft: 9,
    nowMs: NOW_MS,
  });
}

// If all copies of a busy model loaded from the store at once, requests for its adapters would be refused for seconds.
test('one of several copies of a model still accepts adapters while others load from the store', () => {
  const changing = { isChanging: true, isLoadingFromStore: true, loadingModel: 'cold' };
  const upstreams = ['u1', 'u2', 'u3'].map((id) => fixtures.upstreamView(id, ['busy']));
  assert.is(planBeforeDemand(upstreams)?.level, 'store');
  const others = ['u1', 'u2'].map((id) => fixtures.upstreamView(id, ['busy'], changing));
  assert.is(planBeforeDemand([...others, fixtures.upstreamView('u3', ['busy'])]), null);
});

// A change that starts before the adapters of the resident copies are loaded would delay them until it ends.
test('before demand a change waits for adapters that are being loaded', () => {
  const view = (isLoadingAdapters: boolean) => [
    fixtures.upstreamView('u1', ['busy'], { isLoadingAdapters }),
    fixtures.upstreamView('u2', ['busy'], { isLoadingAdapters }),
  ];
  assert.is(planBeforeDemand(view(true)), null);
  assert.is.not(planBeforeDemand(view(false)), null);
});

/** Four upstreams with free disk space; two of them have a copy of `hot`. */
function twoHotCopies(): copyNeeds.UpstreamView[] {
  const onDisk = { diskModels: new Set(['hot', 'next', 'old', 'cold', 'lone']) };
  return [
    fixtures.upstreamView('u1', ['hot', 'old', 'lone'], onDisk),
    fixtures.upstreamView('u2', ['hot', 'old', 'cold'], onDisk),
    fixtures.upstreamView('u3', ['next', 'old', 'lone'], onDisk),
    fixtures.upstreamView('u4', ['next', 'old', 'cold'], onDisk),
  ];
}

// A model whose copies are all at slow upstreams must not count as served as well as one at average upstreams.
test('copies at slow upstreams count for less', () => {
  const demand = { hot: figures(9), next: figures(2) };
  assert.is.not(plan(twoHotCopies(), demand)?.load, 'hot');
  const isSlow = (upstreamId: string) => ['u1', 'u2'].includes(upstreamId);
  const change = plan(twoHotCopies(), demand, 4, (id) => (isSlow(id) ? 1.6 : 0.8));
  assert.is(change?.load, 'hot');
});

// Of two upstreams that could load a busy model, the slower one must not be chosen.
test('a busy model is loaded at the faster upstream', () => {
  const demand = { hot: figures(25), next: figures(2) };
  ['u3', 'u4'].forEach((fastId) => {
    const change = plan(twoHotCopies(), demand, 4, (id) => (id === fastId ? 0.6 : 1.2));
    assert.equal([change?.load, change?.upstreamId], ['hot', fastId]);
  });
});

// If learned speeds are one and a half times the baseline everywhere, or vary by a few percent, the plan must be the
// same as for upstreams of equal speed.
test('upstreams of equal speed are planned for as if speeds were not known', () => {
  const size = { upstreamCount: 29, modelCount: 40 };
  for (let seed = 1; seed <= 60; seed += 1) {
    const input = randomPlans.randomPlan(randoms.createRandom(seed), size);
    const expected = copyPlan.planNext(input);
    assert.equal(copyPlan.planNext({ ...input, latencyRatio: () => 1.37 }), expected);
    const wavering = randoms.createRandom(seed);
    const latencyRatio = () => 1.2 * (0.98 + 0.04 * wavering.fraction());
    assert.equal(copyPlan.planNext({ ...input, latencyRatio }), expected);
  }
});

test.run();
