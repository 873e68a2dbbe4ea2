import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as modelWaits from './model-waits.js';

const test = suite('model waits');

const OVERNIGHT: modelWaits.MissingModel = {
  nowMs: 1_000,
  arrivedAtMs: 1_000,
  deadlineMs: 31_000,
  latencyObjectiveMs: 10_000,
  pauseObjectiveMs: null,
  readyInMs: 3_000,
  isOrdered: false,
  isLate: false,
  waitingCount: 0,
  isStopping: false,
};

/** Simulates a request until it is refused or its model is ready; returns which, and when. */
function simulate(request: modelWaits.MissingModel, readyAtMs: number) {
  let { nowMs } = request;
  for (;;) {
    if (nowMs >= readyAtMs) return { kind: 'served', nowMs };
    const readyInMs = Math.max(0, readyAtMs - nowMs);
    const decision = modelWaits.decideMissingModel({ ...request, nowMs, readyInMs });
    if (decision.kind === 'refuse') return { kind: 'refused', nowMs };
    nowMs = decision.untilMs;
  }
}

test('batch work waits for a load that fits its objective', () => {
  const outcome = simulate(OVERNIGHT, 7_000);
  assert.is(outcome.kind, 'served');
  assert.ok(outcome.nowMs < 7_200);
});

// The load takes longer than expected again and again. The request is refused while its caller can still come back, and
// not held until its deadline.
test('a wait for a load that never completes ends within the objective', () => {
  let { nowMs } = OVERNIGHT;
  for (;;) {
    const decision = modelWaits.decideMissingModel({ ...OVERNIGHT, nowMs, readyInMs: 2_000 });
    if (decision.kind === 'refuse') break;
    nowMs = decision.untilMs;
  }
  assert.ok(nowMs < OVERNIGHT.arrivedAtMs + 0.8 * OVERNIGHT.latencyObjectiveMs);
});

test('interactive work is refused at once, with the time when the model is ready', () => {
  const interactive = {
    ...OVERNIGHT,
    latencyObjectiveMs: 500,
    readyInMs: 1_200,
  };
  const decision = modelWaits.decideMissingModel(interactive);
  assert.ok(decision.kind === 'refuse' && decision.retryAfterMs >= 1_200);
});

test('a load from the store is too long to wait for', () => {
  assert.is(simulate(OVERNIGHT, 11_000).kind, 'refused');
});

// If refused, its caller would come back once after a third of its time, late at best, and might find the model gone
// again.
test('batch work waits beyond its objective for a load that has been ordered', () => {
  const outcome = simulate({ ...OVERNIGHT, isOrdered: true }, 13_000);
  assert.equal(outcome, { kind: 'served', nowMs: 13_000 });
  const late = simulate({ ...OVERNIGHT, isOrdered: true }, 25_000);
  assert.is(late.kind, 'refused');
  assert.ok(late.nowMs < 20_000);
});

test('interactive work does not wait for a load that has been ordered', () => {
  const request = { ...OVERNIGHT, isOrdered: true, latencyObjectiveMs: 500 };
  assert.is(modelWaits.decideMissingModel(request).kind, 'refuse');
});

// It was refused once with the time when the model would be ready, and the load has taken a second longer. Refused
// again it is lost, and its caller stays for two seconds.
test('interactive work that has come back waits for a copy that is ready before its caller leaves', () => {
  const returned = { ...OVERNIGHT, isOrdered: true, isLate: true, latencyObjectiveMs: 500 };
  assert.is(simulate(returned, 1_700).kind, 'served');
  assert.is(simulate(returned, 4_000).kind, 'refused');
  assert.is(simulate({ ...returned, isOrdered: false }, 1_700).kind, 'refused');
});

// In a burst of batch work for one model without a copy, the number of waiting requests is bounded.
test('the number of waiting requests is bounded', () => {
  const crowded = { ...OVERNIGHT, waitingCount: 1_000 };
  assert.is(modelWaits.decideMissingModel(crowded).kind, 'refuse');
});

// The gateway stops while a request waits. It ends long before the load does, and the caller would see its connection
// close without an answer.
test('no request waits at a gateway that is stopping', () => {
  assert.is(modelWaits.decideMissingModel({ ...OVERNIGHT, isStopping: true }).kind, 'refuse');
});

test.run();
