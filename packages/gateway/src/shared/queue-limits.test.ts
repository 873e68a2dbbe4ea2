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

test('what was waited for a model is time that the caller no longer has', () => {
  const input = { isStream: true, latencyObjectiveMs: 500, leftMs: 12_000, isLate: true };
  const limitAfterMs = (waitedMs: number) => queueLimits.queueLimitMs({ ...input, waitedMs });
  assert.ok(limitAfterMs(1_500) <= limitAfterMs(0) - 1_000);
  assert.is(limitAfterMs(2_500), 0);
});

test('nobody queues beyond the deadline', () => {
  const input = {
    isStream: true,
    latencyObjectiveMs: 10_000,
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

test.run();
