import { createRandom } from '@copperlever/runtime/randoms';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as queueLimits from './queue-limits.js';

const test = suite('queue limits');

const OBJECTIVE_MS = 500;
/** A copy prefills twenty tokens in a millisecond, and prompts have 1,460 on average. */
const TOKENS_PER_MS = 20;
const CALLER_TIMEOUT_MS = 2_400;

/**
 * Simulates arrivals at a single copy that prefills one prompt after the other. Each is admitted while the predicted
 * time to its first chunk is within `admissionLimitMs`. Predictions are off by a third either way.
 */
function simulateArrivals(perSecond: number, admissionLimitMs: number) {
  const random = createRandom(11);
  const outcome = { inTime: 0, late: 0, abandoned: 0, refused: 0 };
  let freeAtMs = 0;
  for (let nowMs = 0; nowMs < 20_000; nowMs += 1_000 / perSecond) {
    const prefillMs = (400 + random.fraction() * 2_120) / TOKENS_PER_MS;
    const waitMs = Math.max(0, freeAtMs - nowMs) + prefillMs;
    const predictedMs = waitMs * (0.67 + random.fraction() * 0.66);
    if (predictedMs > admissionLimitMs) {
      outcome.refused += 1;
      continue;
    }
    freeAtMs = nowMs + waitMs;
    if (waitMs <= OBJECTIVE_MS) outcome.inTime += 1;
    else if (waitMs <= CALLER_TIMEOUT_MS) outcome.late += 1;
    else outcome.abandoned += 1;
  }
  return outcome;
}

function limitMs(isLate: boolean): number {
  const remainingMs = isLate ? 13_000 : 15_000;
  return queueLimits.queueLimitMs({
    isStream: true,
    latencyObjectiveMs: OBJECTIVE_MS,
    pauseObjectiveMs: null,
    remainingMs,
    waitedMs: 0,
    isLate,
  });
}

// Demand moves to a model with one copy: twice what it can prefill arrives for twenty seconds. With the callers'
// time-out as the limit the queue stays at its longest, and almost all requests are served late; with the objective as
// the limit as many are served, nearly all of them in time.
test('at twice its capacity a single copy serves nearly all requests that it admits in time', () => {
  const longQueue = simulateArrivals(28, CALLER_TIMEOUT_MS * 0.8);
  const shortQueue = simulateArrivals(28, limitMs(false));
  const served = ({ inTime, late }: { inTime: number; late: number }) => inTime + late;
  assert.ok(longQueue.inTime < served(longQueue) / 4, JSON.stringify(longQueue));
  assert.ok(shortQueue.inTime > (served(shortQueue) * 9) / 10, JSON.stringify(shortQueue));
  assert.ok(
    served(shortQueue) > served(longQueue) * 0.95,
    JSON.stringify({ longQueue, shortQueue }),
  );
});

test('below its capacity hardly any request is refused', () => {
  const lightLoad = simulateArrivals(5, limitMs(false));
  assert.ok(lightLoad.refused <= 2, JSON.stringify(lightLoad));
});

// A caller that was refused once and comes back has missed its objective. It is admitted as long as it stays.
test('a late request may queue for as long as its caller stays', () => {
  assert.ok(limitMs(true) > 2 * limitMs(false));
  assert.ok(limitMs(true) < CALLER_TIMEOUT_MS);
});

// Where capacity is short, a late request in a long queue takes it from one that may still be in time.
test('limited late requests queue no longer than those in time, and do not wait for a slot', () => {
  const input = {
    isStream: true,
    latencyObjectiveMs: OBJECTIVE_MS,
    pauseObjectiveMs: null,
    remainingMs: 13_000,
    waitedMs: 0,
    isLate: true,
  };
  assert.is(queueLimits.queueLimitMs({ ...input, limitsLate: true }), limitMs(false));
  assert.is(queueLimits.queueLimitMs({ ...input, limitsLate: false }), limitMs(true));
  assert.is(queueLimits.hasFreeSlot({ inFlightCount: 47, slots: 48 }), true);
  assert.is(queueLimits.hasFreeSlot({ inFlightCount: 48, slots: 48 }), false);
});

test('time spent waiting for a model reduces the queue limit', () => {
  const input = {
    isStream: true,
    latencyObjectiveMs: 500,
    pauseObjectiveMs: null,
    remainingMs: 12_000,
    isLate: true,
  };
  const limitAfterMs = (waitedMs: number) => queueLimits.queueLimitMs({ ...input, waitedMs });
  assert.ok(limitAfterMs(1_500) <= limitAfterMs(0) - 1_000);
  assert.is(limitAfterMs(2_500), 0);
});

test('no request queues beyond its deadline', () => {
  const input = {
    isStream: true,
    latencyObjectiveMs: 10_000,
    pauseObjectiveMs: null,
    remainingMs: 800,
    waitedMs: 0,
    isLate: false,
  };
  assert.ok(queueLimits.queueLimitMs(input) < 800);
  assert.ok(queueLimits.queueLimitMs({ ...input, isStream: false }) < 800);
});

test('a refused caller comes back when the next copy is ready, or the queue has been served', () => {
  assert.is(queueLimits.overloadRetryMs({ predictedMs: 900, nextCopyInMs: null }), 900);
  assert.ok(queueLimits.overloadRetryMs({ predictedMs: 900, nextCopyInMs: 2_000 }) > 2_000);
  assert.is(queueLimits.overloadRetryMs({ predictedMs: 900, nextCopyInMs: 9_000 }), 900);
});

/** Duration of an engine's step with streams, and of the prompt chunk that it prefills with each step. */
const STEP_MS = 6;
const CHUNK_MS = 25;
/** Tokens in one event of its streams. */
const TOKENS_PER_EVENT = 6;
const PROMPT_MS = 30;
const PAUSE_OBJECTIVE_MS = 200;

/**
 * Simulates bursts of prompts at an engine that runs streams: each step prefills a chunk of the pending prompts beside
 * one token of each stream. Counts events that came later than their route allows, and prompts that were refused.
 */
function simulateBursts(admissionLimitMs: number) {
  const random = createRandom(5);
  const outcome = { events: 0, pauses: 0, taken: 0, refused: 0 };
  let pendingPrefillMs = 0;
  let nowMs = 0;
  let nextBurstMs = 0;
  while (nowMs < 60_000) {
    const eventStartMs = nowMs;
    for (let token = 0; token < TOKENS_PER_EVENT; token += 1) {
      if (nowMs >= nextBurstMs) {
        nextBurstMs = nowMs + 500 + random.fraction() * 1_000;
        const count = random.below(16);
        for (let index = 0; index < count; index += 1) {
          const isAdmitted = pendingPrefillMs + PROMPT_MS <= admissionLimitMs;
          if (isAdmitted) pendingPrefillMs += PROMPT_MS;
          outcome[isAdmitted ? 'taken' : 'refused'] += 1;
        }
      }
      const prefillMs = Math.min(CHUNK_MS, pendingPrefillMs);
      pendingPrefillMs -= prefillMs;
      nowMs += STEP_MS + prefillMs;
    }
    outcome.events += 1;
    if (nowMs - eventStartMs > PAUSE_OBJECTIVE_MS * 0.85) outcome.pauses += 1;
  }
  return outcome;
}

// Prompts come in bursts to an engine that runs streams. A queue as long as the objective allows, prefilled without a
// break, makes every stream beside it pause for longer than its caller accepts: one late first chunk is avoided at the
// price of many late answers.
test('a queue beside streams is no longer than the pause that these allow', () => {
  const input = {
    isStream: true,
    latencyObjectiveMs: 500,
    pauseObjectiveMs: null,
    remainingMs: 12_000,
    waitedMs: 0,
    isLate: false,
  };
  const longMs = queueLimits.queueLimitMs(input);
  const shortMs = queueLimits.queueLimitMs({ ...input, pauseObjectiveMs: PAUSE_OBJECTIVE_MS });
  const longQueue = simulateBursts(longMs);
  const shortQueue = simulateBursts(shortMs);
  assert.ok(shortQueue.pauses < longQueue.pauses / 2, JSON.stringify({ longQueue, shortQueue }));
  assert.ok(shortQueue.taken > longQueue.taken * 0.6, JSON.stringify({ longQueue, shortQueue }));
});

test('batch work queues for as long as its objective allows', () => {
  const input = { isStream: true, remainingMs: 30_000, waitedMs: 0, isLate: false };
  const overnight = { ...input, latencyObjectiveMs: 10_000, pauseObjectiveMs: 300 };
  assert.ok(queueLimits.queueLimitMs(overnight) > 5_000);
});

test('a caller stays for as many pauses as its route allows, if that is longest', () => {
  const route = { latencyObjectiveMs: 500, pauseObjectiveMs: 300 };
  assert.is(queueLimits.streamTimeoutMs(route), 2_400);
  assert.is(queueLimits.streamTimeoutMs({ ...route, pauseObjectiveMs: 200 }), 2_000);
});

test.run();
