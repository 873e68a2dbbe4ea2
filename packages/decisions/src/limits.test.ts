import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as loadAllowance from './load-allowance.js';
import * as retryBudgets from './retry-budgets.js';
import * as modelRotation from './model-rotation.js';
import * as latencyRatios from './latency-ratios.js';

const test = suite('limits');

test('retries of a failing service are limited to a tenth of its successes', () => {
  // Half of all requests fail under overload, and each failure causes a retry. Callers see more failures, but the load
  // of the service rises by a tenth instead of doubling.
  const budget = retryBudgets.createRetryBudget();
  let retryCount = 0;
  for (let index = 0; index < 10_000; index += 1) {
    if (index % 2 === 0) budget.recordSuccess();
    else if (budget.tryAcquire(index)) retryCount += 1;
  }
  assert.ok(retryCount <= 0.1 * 5_000 + 20);
  assert.ok(retryCount >= 0.1 * 5_000);
});

test('a service with few requests still gets a retry now and then', () => {
  const budget = retryBudgets.createRetryBudget();
  while (budget.tryAcquire(0));
  assert.is(budget.tryAcquire(5_000), false);
  assert.is(budget.tryAcquire(11_000), true);
});

test('one slow upstream is detected, and a slowdown of all is not taken for one', () => {
  const ratios = latencyRatios.createLatencyRatios();
  for (let round = 0; round < 30; round += 1) {
    ratios.observe('jury-1', 200, 100);
    ratios.observe('jury-2', 210, 100);
    ratios.observe('jury-3', 1_000, 100);
  }
  assert.ok(ratios.latencyRatio('jury-1') < 1.1);
  assert.ok(ratios.latencyRatio('jury-3') > 4);
  assert.is(ratios.latencyRatio('never-seen'), 1);
});

test('loads are ordered at most at the rate of the weight store, and first for models without a copy', () => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          stepMs: fc.integer({ min: 0, max: 2_000 }),
          purpose: fc.constantFrom('reachability' as const, 'demand' as const),
          isRefused: fc.boolean(),
        }),
      ),
      (steps) => {
        const limits = { loadsPerSecond: 2, concurrentLoads: 25 };
        const allowance = loadAllowance.createLoadAllowance(limits);
        let nowMs = 0;
        let takenCount = 0;
        steps.forEach(({ stepMs, purpose, isRefused }) => {
          nowMs += stepMs;
          if (!allowance.tryAcquire(purpose, nowMs)) return;
          takenCount += 1;
          if (isRefused) allowance.recordRefused(nowMs);
        });
        assert.ok(takenCount <= 2 + (nowMs / 1_000) * limits.loadsPerSecond);
      },
    ),
    { seed: 5 },
  );
  const allowance = loadAllowance.createLoadAllowance({ loadsPerSecond: 2, concurrentLoads: 25 });
  assert.is(allowance.tryAcquire('demand', 0), true);
  assert.is(allowance.tryAcquire('demand', 0), false);
  assert.is(allowance.tryAcquire('reachability', 0), true);
});

test('models that cannot all be resident take turns, the earliest deadline first, and none starves', () => {
  // Five models share memory for two, and each always has work waiting. Every model must be served again and again, and
  // no model is evicted before it has been resident for twice its load time.
  const LOAD_MS = 10_000;
  const names = ['a', 'b', 'c', 'd', 'e'];
  const servedAtMs = new Map(names.map((name) => [name, 0]));
  const state: { resident: modelRotation.ResidentModel[] } = { resident: [] };
  for (let nowMs = 0; nowMs < 1_000_000; nowMs += 1_000) {
    state.resident.forEach((one) => {
      if (nowMs >= one.loadedAtMs) servedAtMs.set(one.model, nowMs);
    });
    const toWaiting = (name: string) => ({
      model: name,
      sizeBytes: 10,
      oldestDeadlineMs: (servedAtMs.get(name) ?? 0) + 60_000,
    });
    const waiting = names
      .filter((name) => !state.resident.some((one) => one.model === name))
      .map(toWaiting);
    state.resident.forEach((one) => {
      one.oldestDeadlineMs = toWaiting(one.model).oldestDeadlineMs;
    });
    const turn = modelRotation.chooseRotationStep(
      waiting,
      state.resident,
      20 - 10 * state.resident.length,
      nowMs,
    );
    if (turn.kind !== 'load') continue;
    state.resident = state.resident.filter((one) => !turn.displaced.includes(one.model));
    state.resident.push({
      ...toWaiting(turn.model),
      loadedAtMs: nowMs + LOAD_MS,
      loadTookMs: LOAD_MS,
      runningCount: 0,
    });
    assert.ok(state.resident.length <= 2);
  }
  servedAtMs.forEach((atMs) => assert.ok(atMs > 1_000_000 - 5 * 3 * LOAD_MS));
});

test('a model with work running is drained before it is unloaded', () => {
  const busy = {
    model: 'busy',
    sizeBytes: 10,
    loadedAtMs: 0,
    loadTookMs: 1_000,
    runningCount: 1,
    oldestDeadlineMs: Infinity,
  };
  const waiting = [{ model: 'next', sizeBytes: 10, oldestDeadlineMs: 90_000 }];
  assert.equal(modelRotation.chooseRotationStep(waiting, [busy], 0, 60_000), {
    kind: 'drain',
    model: 'next',
    draining: ['busy'],
  });
});

test.run();
