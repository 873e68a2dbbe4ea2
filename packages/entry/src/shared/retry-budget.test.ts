import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as retryBudgets from './retry-budget.js';

const test = suite('retry-budget');

/** Attempts made for `count` requests a second that all fail, each tried again while it may. */
function attemptsUnderFault(requestsPerSecond: number, seconds: number): number {
  const budget = retryBudgets.createRetryBudget(0);
  let attemptCount = 0;
  for (let second = 0; second < seconds; second += 1) {
    for (let request = 0; request < requestsPerSecond; request += 1) {
      attemptCount += 1;
      for (let retry = 0; retry < 5 && budget.tryTake(second * 1_000); retry += 1) {
        attemptCount += 1;
      }
    }
  }
  return attemptCount;
}

test('when every request fails, retries cannot multiply the load', () => {
  // A switch fails and takes half of the agents. Each request would come six times to what is left.
  const requestCount = 200 * 60;
  const attemptCount = attemptsUnderFault(200, 60);
  assert.ok(attemptCount < requestCount * 1.1, String(attemptCount));
});

test('a lost agent among many: each of its requests finds another', () => {
  const budget = retryBudgets.createRetryBudget(0);
  let unmetCount = 0;
  for (let atMs = 0; atMs < 60_000; atMs += 100) {
    for (let request = 0; request < 10; request += 1) {
      const isLost = request === 0;
      if (isLost && !budget.tryTake(atMs)) unmetCount += 1;
      budget.noteSuccess(atMs);
    }
  }
  assert.is(unmetCount, 0);
});

test('an idle entry may still retry', () => {
  const budget = retryBudgets.createRetryBudget(0);
  while (budget.tryTake(0));
  assert.is(budget.tryTake(50), false);
  assert.is(budget.tryTake(1_000), true);
});

test.run();
