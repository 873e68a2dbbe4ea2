import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as stopTimes from './stop-times.js';

const test = suite('stop times');
const NOTICE_MS = 2_000;

// Guards against a stop that the platform's kill cuts short, a second after the drain.
test('the times of a stop follow each other and fit before the kill', () => {
  for (const drainTimeoutMs of [1, 500, 2_000, 7_000, 120_000]) {
    const times = stopTimes.drainTimes(1_000, drainTimeoutMs, NOTICE_MS);
    const order = [
      times.stopAtMs,
      times.takesAllUntilMs,
      times.lastAnswersMs,
      times.answeredMs,
      times.endMs,
      stopTimes.journalUntilMs(Infinity, times.exitMs),
      times.exitMs,
      1_000 + stopTimes.wholeStopMs(drainTimeoutMs),
    ];
    assert.equal(
      order,
      [...order].sort((left, right) => left - right),
    );
    assert.ok(stopTimes.wholeStopMs(drainTimeoutMs) < drainTimeoutMs + 500);
  }
});

// Guards against work that is begun and can't be over, and against refusing what can.
test('what can not be over by its deadline or by its kind does not begin after the notice', () => {
  const times = stopTimes.drainTimes(0, 10_000, NOTICE_MS);
  const may = (nowMs: number, deadlineMs: number, longestMs: number | null) =>
    stopTimes.mayBegin(times, nowMs, { deadlineMs, longestMs });
  assert.is(stopTimes.mayBegin(null, 99_000, { deadlineMs: 199_000, longestMs: null }), true);
  assert.is(may(1_900, 60_000, null), true);
  assert.is(may(2_000, 60_000, null), false);
  assert.is(may(9_400, 9_500, null), true);
  assert.is(may(9_500, 9_500, 1), false);
  assert.is(may(5_400, 60_000, 4_000), true);
  assert.is(may(5_500, 60_000, 4_000), false);
});

test.run();
