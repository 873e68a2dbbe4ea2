import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as exchangeIntervals from './exchange-interval.js';
import * as listBudgets from './list-budget.js';

const test = suite('list budget');

/** A follower's call to the holder and the holder's reply. */
const ANSWER_MS = 50;

for (const drainTimeoutMs of [2_000, 3_000, 4_000, 10_000]) {
  // Guards against a path whose steps add up to more than the budget, so that an upstream that has left still gets
  // work.
  test(`each path from the store to a gateway takes no longer than the drain time-out (${drainTimeoutMs} ms)`, () => {
    const budget = listBudgets.listBudget(drainTimeoutMs);
    assert.ok(listBudgets.worstDirectMs(budget) <= drainTimeoutMs);
    assert.ok(listBudgets.worstRelayedMs(budget) <= drainTimeoutMs);
  });
}

// Guards against a relayed list that is always too old for the followers, so that each of them watches the store.
for (const [gatewayCount, drainTimeoutMs] of [
  [5, 2_000],
  [23, 3_000],
  [68, 4_000],
  [410, 4_000],
] as const) {
  test(`the list that a holder relays is recent enough for ${gatewayCount} gateways`, () => {
    const { pauseMs, waitMs, maxRelayedAgeMs: askAtAgeMs } = listBudgets.listBudget(drainTimeoutMs);
    const oldestMs =
      pauseMs + waitMs + exchangeIntervals.regularIntervalMs(gatewayCount) + ANSWER_MS;
    assert.ok(oldestMs < askAtAgeMs, `${oldestMs} ms of ${askAtAgeMs}`);
  });
}

test.run();
