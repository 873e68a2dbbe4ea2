import { createRandom } from '@copperlever/runtime/randoms';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as scarcityFleet from '../testing/scarcity-fleet.js';
import * as queueLimits from './queue-limits.js';
import * as retrySchedules from './retry-schedule.js';

const test = suite('retry schedule');

function refusal(
  overrides: Partial<retrySchedules.RefusedCaller> = {},
): retrySchedules.RefusedCaller {
  return {
    group: 's m',
    priority: 1,
    earliestMs: 400,
    latestMs: 5_000,
    intervalMs: 50,
    phase: 0,
    ...overrides,
  };
}

function range(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index);
}

test('callers that are refused together come back one after the other, the first without delay', () => {
  const schedule = retrySchedules.createRetrySchedule();
  const instants = range(5).map(() => schedule.scheduleNext(refusal(), 0));
  assert.equal(instants, [400, 450, 500, 550, 600]);
});

// Each gateway refuses one caller of a burst: without a phase all of these come back together.
test('gateways that begin to refuse together start at different parts of the interval', () => {
  const firsts = [0, 0.25, 0.75].map((phase) =>
    retrySchedules.createRetrySchedule().scheduleNext(refusal({ intervalMs: 2_000, phase }), 0),
  );
  assert.equal(firsts, [400, 900, 1_900]);
});

test('more urgent callers come back before less urgent ones that were refused earlier', () => {
  const schedule = retrySchedules.createRetrySchedule();
  const less = range(10).map(() => schedule.scheduleNext(refusal({ priority: 3 }), 0));
  const more = range(4).map(() => schedule.scheduleNext(refusal({ priority: 0 }), 0));
  assert.ok(Math.max(...more) <= 550, String(more));
  // The capacity that they use is not available to those that are refused after them.
  const next = schedule.scheduleNext(refusal({ priority: 3 }), 0);
  assert.ok(next >= Math.max(...less) + 5 * 50, `${next}`);
});

test('no caller gets a later time than it would follow, and a flood does not delay those that come later', () => {
  const schedule = retrySchedules.createRetrySchedule();
  const instants = range(1_000).map(() => schedule.scheduleNext(refusal(), 0));
  assert.is(Math.max(...instants), 5_000);
  assert.is(schedule.scheduleNext(refusal({ earliestMs: 6_000, latestMs: 9_000 }), 5_600), 6_000);
});

test('other models have their own times, and old ones are removed', () => {
  const schedule = retrySchedules.createRetrySchedule();
  range(100).forEach(() => schedule.scheduleNext(refusal(), 0));
  assert.is(schedule.scheduleNext(refusal({ group: 's other' }), 0), 400);
  assert.is(
    schedule.scheduleNext(refusal({ earliestMs: 20_400, latestMs: 30_000 }), 20_000),
    20_400,
  );
});

test('the retries of all gateways together leave a part of what the copies serve', () => {
  const requestS = 0.2;
  const intervalMs = retrySchedules.retryIntervalMs({
    requestSeconds: requestS,
    copyCount: 4,
    gatewayCount: 30,
  });
  const returnsPerSecond = (30 * 1_000) / intervalMs;
  assert.ok(returnsPerSecond < 4 / requestS, `${returnsPerSecond}`);
  assert.ok(
    Number.isFinite(
      retrySchedules.retryIntervalMs({ requestSeconds: 0, copyCount: 0, gatewayCount: 0 }),
    ),
  );
});

type Caller = { priority: number; attempts: number };

const SERVE_MS = 50;
const QUEUE_MAX_MS = 400;
const BACKGROUND_PER_MS = 0.6 / SERVE_MS;
const CALLER_TIMEOUT_MS = 12_000;

/**
 * Simulates a burst at one copy that serves a request each 50 ms, more urgent ones first, and of which other requests
 * use six tenths. Requests that would wait for more than 400 ms are refused and come back once.
 */
function simulateBurst(isSpread: boolean, gatewayCount: number, seed: number) {
  const random = createRandom(seed);
  const gateways = range(gatewayCount).map(() => retrySchedules.createRetrySchedule());
  const waiting: Caller[] = [];
  const coming: { atMs: number; caller: Caller }[] = [];
  const refusedTwice = [0, 0];
  const asked = [0, 0];

  function handleArrival(caller: Caller, nowMs: number): void {
    const ahead = waiting.filter(({ priority }) => priority <= caller.priority).length;
    const waitMs = (ahead + 1) * SERVE_MS;
    caller.attempts += 1;
    if (waitMs <= QUEUE_MAX_MS) {
      waiting.push(caller);
      return;
    }
    if (caller.attempts > 1) {
      refusedTwice[caller.priority] = (refusedTwice[caller.priority] ?? 0) + 1;
      return;
    }
    const earliestMs =
      nowMs + queueLimits.overloadRetryMs({ predictedMs: waitMs, nextCopyInMs: null });
    const of = refusal({
      priority: caller.priority,
      phase: random.fraction(),
      earliestMs,
      latestMs: nowMs + CALLER_TIMEOUT_MS / 3,
      intervalMs: retrySchedules.retryIntervalMs({
        requestSeconds: SERVE_MS / 1_000,
        copyCount: 1,
        gatewayCount: gateways.length,
      }),
    });
    const gateway = gateways[random.below(gateways.length)] as retrySchedules.RetrySchedule;
    coming.push({ atMs: isSpread ? gateway.scheduleNext(of, nowMs) : earliestMs, caller });
  }

  function addRequest(priority: number, nowMs: number): void {
    asked[priority] = (asked[priority] ?? 0) + 1;
    handleArrival({ priority, attempts: 0 }, nowMs);
  }

  for (let nowMs = 0; nowMs < 10_000; nowMs += 1) {
    if (nowMs === 1_000) range(45).forEach((index) => addRequest(index % 3 === 0 ? 0 : 1, nowMs));
    if (random.fraction() < BACKGROUND_PER_MS) addRequest(random.below(3) === 0 ? 0 : 1, nowMs);
    const due = coming.filter(({ atMs }) => atMs <= nowMs);
    due.forEach((back) => {
      coming.splice(coming.indexOf(back), 1);
      handleArrival(back.caller, nowMs);
    });
    if (nowMs % SERVE_MS === 0) {
      waiting.sort((left, right) => left.priority - right.priority);
      waiting.shift();
    }
  }
  return { asked, refusedTwice };
}

// A burst is refused within one moment. If its callers got the same time, they would come back together and be refused
// again.
test('of a refused burst fewer are refused twice, the most urgent ones least', () => {
  const sum = (isSpread: boolean, gatewayCount: number, priority: number) =>
    range(20)
      .map((seed) => simulateBurst(isSpread, gatewayCount, seed).refusedTwice[priority] ?? 0)
      .reduce((total, count) => total + count, 0);
  [4, 30].forEach((gatewayCount) => {
    const before = [sum(false, gatewayCount, 0), sum(false, gatewayCount, 1)] as const;
    const after = [sum(true, gatewayCount, 0), sum(true, gatewayCount, 1)] as const;
    const details = JSON.stringify({ gatewayCount, before, after });
    assert.ok(after[0] + after[1] < 0.3 * (before[0] + before[1]), details);
    assert.ok(after[0] <= before[0], details);
    assert.ok(after[0] <= after[1] / 2, details);
  });
});

/** Chance alone makes this much of a difference over four seeds. */
const TOLERANCE = 0.005;

/** Sums over seeds, as shares of the requests. */
function simulateFleet(spreadsReturns: boolean, promptTokens: number, outputTokens: number) {
  const outcomes = [1, 2, 3, 4].map((seed) =>
    scarcityFleet.playScarcity(
      {
        gatewayCount: 4,
        upstreamCount: 4,
        slots: 48,
        classes: scarcityFleet.threeClasses(promptTokens, outputTokens),
        demandAt: scarcityFleet.wavesAndBursts,
        lengthMs: 60_000,
        holdsBatch: true,
        spreadsReturns,
        ordersClasses: false,
        sharesFairly: false,
      },
      seed,
    ),
  );
  const share = (key: keyof scarcityFleet.ClassOutcome, names: readonly string[]) => {
    const classes = outcomes.flatMap(({ classes: byName }) =>
      names.flatMap((name) => byName[name] ?? []),
    );
    const total = classes.reduce((sum, of) => sum + of[key], 0);
    return total / classes.reduce((sum, of) => sum + of.asked, 0);
  };
  const all = ['urgent', 'standard', 'batch'];
  return {
    refusedTwice: share('refusedTwice', all),
    inTime: share('inTime', all),
    urgentInTime: share('inTime', ['urgent']),
    urgentRefusedTwice: share('refusedTwice', ['urgent']),
  };
}

// Callers that have missed their objective and are admitted to long queues take slots and prefill time from those that
// may still be in time; if they are all given the same time, they are refused again.
test('in waves beyond the capacity fewer are refused twice, and no fewer are in time', () => {
  [
    [2_300, 300],
    [3_000, 300],
    [1_000, 1_100],
  ].forEach(([promptTokens = 0, outputTokens = 0]) => {
    const before = simulateFleet(false, promptTokens, outputTokens);
    const after = simulateFleet(true, promptTokens, outputTokens);
    const details = JSON.stringify({ promptTokens, before, after });
    assert.ok(after.refusedTwice < before.refusedTwice, details);
    assert.ok(after.inTime > before.inTime - TOLERANCE, details);
    assert.ok(after.urgentInTime > before.urgentInTime - TOLERANCE, details);
  });
});

test.run();
