import { createRandom } from '@copperlever/runtime/randoms';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as queueLimits from './queue-limits.js';

const test = suite('queue limits');

const OBJECTIVE_MS = 500;
/** A copy reads twenty tokens in a millisecond, and prompts have 1,460 on average. */
const TOKENS_PER_MS = 20;
const PATIENCE_MS = 2_400;

/**
 * Replays arrivals at a lone copy that reads one prompt after the other, each let in while the predicted time to
 * its first piece is within `longestMs`. Predictions are off by a third either way.
 */
function replay(perSecond: number, longestMs: number) {
  const random = createRandom(11);
  const outcome = { onTime: 0, late: 0, left: 0, refused: 0 };
  let freeAtMs = 0;
  for (let nowMs = 0; nowMs < 20_000; nowMs += 1_000 / perSecond) {
    const readMs = (400 + random.fraction() * 2_120) / TOKENS_PER_MS;
    const waitMs = Math.max(0, freeAtMs - nowMs) + readMs;
    const predictedMs = waitMs * (0.67 + random.fraction() * 0.66);
    if (predictedMs > longestMs) {
      outcome.refused += 1;
      continue;
    }
    freeAtMs = nowMs + waitMs;
    if (waitMs <= OBJECTIVE_MS) outcome.onTime += 1;
    else if (waitMs <= PATIENCE_MS) outcome.late += 1;
    else outcome.left += 1;
  }
  return outcome;
}

function limitMs(isLate: boolean): number {
  const leftMs = isLate ? 13_000 : 15_000;
  return queueLimits.queueLimitMs({
    isStream: true,
    latencyObjectiveMs: OBJECTIVE_MS,
    pauseObjectiveMs: null,
    leftMs,
    waitedMs: 0,
    isLate,
  });
}

// Demand moves to a model with one copy: twice what it can read arrives for twenty seconds. With the callers'
// patience as the limit the queue stays at its longest, and next to all are served late; with the objective as
// the limit as many are served, nearly all of them in time.
test('at twice its capacity a lone copy serves nearly all that it takes in time', () => {
  const long = replay(28, PATIENCE_MS * 0.8);
  const short = replay(28, limitMs(false));
  const served = ({ onTime, late }: { onTime: number; late: number }) => onTime + late;
  assert.ok(long.onTime < served(long) / 4, JSON.stringify(long));
  assert.ok(short.onTime > (served(short) * 9) / 10, JSON.stringify(short));
  assert.ok(served(short) > served(long) * 0.95, JSON.stringify({ long, short }));
});

test('below its capacity nobody is turned away', () => {
  const calm = replay(5, limitMs(false));
  assert.ok(calm.refused <= 2, JSON.stringify(calm));
});

// A caller that was refused once and comes back has missed its objective. It is let in as long as it stays.
test('who comes back late may queue for as long as the caller stays', () => {
  assert.ok(limitMs(true) > 2 * limitMs(false));
  assert.ok(limitMs(true) < PATIENCE_MS);
});

// Where capacity does not suffice, a late request in a long queue takes it from one that may still be in time.
test('where late requests are bounded, they queue no longer than those in time, and wait for no slot', () => {
  const input = {
    isStream: true,
    latencyObjectiveMs: OBJECTIVE_MS,
    pauseObjectiveMs: null,
    leftMs: 13_000,
    waitedMs: 0,
    isLate: true,
  };
  assert.is(queueLimits.queueLimitMs({ ...input, boundsLate: true }), limitMs(false));
  assert.is(queueLimits.queueLimitMs({ ...input, boundsLate: false }), limitMs(true));
  assert.is(queueLimits.hasFreeSlot({ inFlightCount: 47, slots: 48 }), true);
  assert.is(queueLimits.hasFreeSlot({ inFlightCount: 48, slots: 48 }), false);
});

test('what was waited for a model is time that the caller no longer has', () => {
  const input = {
    isStream: true,
    latencyObjectiveMs: 500,
    pauseObjectiveMs: null,
    leftMs: 12_000,
    isLate: true,
  };
  const limitAfterMs = (waitedMs: number) => queueLimits.queueLimitMs({ ...input, waitedMs });
  assert.ok(limitAfterMs(1_500) <= limitAfterMs(0) - 1_000);
  assert.is(limitAfterMs(2_500), 0);
});

test('nobody queues beyond the deadline', () => {
  const input = {
    isStream: true,
    latencyObjectiveMs: 10_000,
    pauseObjectiveMs: null,
    leftMs: 800,
    waitedMs: 0,
    isLate: false,
  };
  assert.ok(queueLimits.queueLimitMs(input) < 800);
  assert.ok(queueLimits.queueLimitMs({ ...input, isStream: false }) < 800);
});

test('a refused caller comes back when the next copy is there, or the queue has been served', () => {
  assert.is(queueLimits.overloadRetryMs({ predictedMs: 900, nextCopyInMs: null }), 900);
  assert.ok(queueLimits.overloadRetryMs({ predictedMs: 900, nextCopyInMs: 2_000 }) > 2_000);
  assert.is(queueLimits.overloadRetryMs({ predictedMs: 900, nextCopyInMs: 9_000 }), 900);
});

/** What an engine with streams takes for a step, and for the prompts that it reads with each. */
const STEP_MS = 6;
const CHUNK_MS = 25;
/** Events of its streams hold this many tokens. */
const TOKENS_PER_EVENT = 6;
const PROMPT_MS = 30;
const PAUSE_OBJECTIVE_MS = 200;

/**
 * Replays bursts of prompts at an engine that runs streams: each step reads a chunk of what waits, beside one token of
 * each stream. Counts events that came later than their route allows, and prompts that were refused.
 */
function replayBursts(longestMs: number) {
  const random = createRandom(5);
  const outcome = { events: 0, pauses: 0, taken: 0, refused: 0 };
  let unreadMs = 0;
  let nowMs = 0;
  let nextBurstMs = 0;
  while (nowMs < 60_000) {
    const eventStartMs = nowMs;
    for (let token = 0; token < TOKENS_PER_EVENT; token += 1) {
      if (nowMs >= nextBurstMs) {
        nextBurstMs = nowMs + 500 + random.fraction() * 1_000;
        const count = random.below(16);
        for (let index = 0; index < count; index += 1) {
          const isTaken = unreadMs + PROMPT_MS <= longestMs;
          if (isTaken) unreadMs += PROMPT_MS;
          outcome[isTaken ? 'taken' : 'refused'] += 1;
        }
      }
      const readMs = Math.min(CHUNK_MS, unreadMs);
      unreadMs -= readMs;
      nowMs += STEP_MS + readMs;
    }
    outcome.events += 1;
    if (nowMs - eventStartMs > PAUSE_OBJECTIVE_MS * 0.85) outcome.pauses += 1;
  }
  return outcome;
}

// Prompts come in bursts to an engine that runs streams. Read without a break, a queue as long as the objective bears
// makes every stream beside it pause for longer than its caller finds in time: one late first piece is saved by many
// late answers.
test('a queue beside streams is no longer than the pause that these may make', () => {
  const input = {
    isStream: true,
    latencyObjectiveMs: 500,
    pauseObjectiveMs: null,
    leftMs: 12_000,
    waitedMs: 0,
    isLate: false,
  };
  const longMs = queueLimits.queueLimitMs(input);
  const shortMs = queueLimits.queueLimitMs({ ...input, pauseObjectiveMs: PAUSE_OBJECTIVE_MS });
  const long = replayBursts(longMs);
  const short = replayBursts(shortMs);
  assert.ok(short.pauses < long.pauses / 2, JSON.stringify({ long, short }));
  assert.ok(short.taken > long.taken * 0.6, JSON.stringify({ long, short }));
});

test('overnight work queues for as long as its objective bears', () => {
  const input = { isStream: true, leftMs: 30_000, waitedMs: 0, isLate: false };
  const overnight = { ...input, latencyObjectiveMs: 10_000, pauseObjectiveMs: 300 };
  assert.ok(queueLimits.queueLimitMs(overnight) > 5_000);
});

test('a caller stays for as many pauses as its route allows, if that is longest', () => {
  const route = { latencyObjectiveMs: 500, pauseObjectiveMs: 300 };
  assert.is(queueLimits.streamPatienceMs(route), 2_400);
  assert.is(queueLimits.streamPatienceMs({ ...route, pauseObjectiveMs: 200 }), 2_000);
});

test.run();
