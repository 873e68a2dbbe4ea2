import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as exchangePace from './exchange-pace.js';
import * as listBudgets from './list-budget.js';

const test = suite('list budget');

/** The call of a follower to the holder and the holder's answer. */
const ANSWER_MS = 50;

for (const drainTimeoutMs of [2_000, 3_000, 4_000, 10_000]) {
  // Failure: the parts of one of its ways add up to more, and an upstream that has left goes on getting work.
  test(`each way from the store to a gateway ends within the time that is left (${drainTimeoutMs} ms)`, () => {
    const budget = listBudgets.listBudget(drainTimeoutMs);
    assert.ok(listBudgets.worstOwnMs(budget) <= drainTimeoutMs);
    assert.ok(listBudgets.worstFedMs(budget) <= drainTimeoutMs);
  });
}

// Failure: what the holder tells is too old for its followers all the time, and each of them watches the store.
for (const [gatewayCount, drainTimeoutMs] of [
  [5, 2_000],
  [23, 3_000],
  [68, 4_000],
  [410, 4_000],
] as const) {
  test(`the list of a holder that is answered is young enough for ${gatewayCount} gateways`, () => {
    const { pauseMs, waitMs, askAtAgeMs } = listBudgets.listBudget(drainTimeoutMs);
    const oldestMs = pauseMs + waitMs + exchangePace.periodMs(gatewayCount) + ANSWER_MS;
    assert.ok(oldestMs < askAtAgeMs, `${oldestMs} ms of ${askAtAgeMs}`);
  });
}

test.run();
