import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as retryBudgets from './retry-budget.js';

const test = suite('retry budget');

const LIMITS = { ratio: 0.2, slack: 50, windowMs: 10_000 };

function acquireAll(budget: retryBudgets.RetryBudget, gatewayCount: number, nowMs: number): number {
  let acquired = 0;
  while (acquired < 10_000 && budget.tryAcquire('desk', gatewayCount, nowMs)) acquired += 1;
  return acquired;
}

// All upstreams fail for some seconds and every request would be sent again. Four gateways know nothing about each
// other's retries; together they must stay within the operators' limit in any window.
test('four gateways together stay within the limit in every window', () => {
  const gateways = Array.from({ length: 4 }, () => retryBudgets.createRetryBudget(LIMITS));
  const retriesMs: number[] = [];
  for (let nowMs = 0; nowMs < 30_000; nowMs += 100) {
    gateways.forEach((budget) => {
      for (let count = 0; count < 3; count += 1) budget.recordRequest('desk', nowMs);
      for (let acquired = acquireAll(budget, 4, nowMs); acquired > 0; acquired -= 1)
        retriesMs.push(nowMs);
    });
  }
  for (let startMs = 0; startMs <= 20_000; startMs += 500) {
    const within = retriesMs.filter((atMs) => atMs >= startMs && atMs < startMs + 10_000).length;
    const requests = 4 * 3 * 100;
    assert.ok(within <= LIMITS.ratio * requests + LIMITS.slack, `${within} from ${startMs}`);
  }
});

test('a service with few requests still has its part of the slack', () => {
  const budget = retryBudgets.createRetryBudget(LIMITS);
  assert.ok(acquireAll(budget, 4, 0) >= 8);
});

// Guards against a slack that is divided by the gateways that each one knows, when they have lost one another.
test('gateways that know no other stay together within the limit in every window', () => {
  const gateways = Array.from({ length: 4 }, () => retryBudgets.createRetryBudget(LIMITS));
  let retries = 0;
  gateways.forEach((budget) => {
    for (let count = 0; count < 100; count += 1) budget.recordRequest('desk', 0);
    retries += acquireAll(budget, 1, 0);
  });
  assert.ok(retries <= LIMITS.ratio * 400 + LIMITS.slack, `${retries}`);
});

test.run();
