import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as answerTimes from './answer-times.js';

const test = suite('answer times');

const KIND = { route: 'r', model: 'm1' };

function usualOf(tookMs: readonly number[]): number | null {
  const times = answerTimes.createAnswerTimes();
  tookMs.forEach((one) => times.record(KIND, one));
  assert.is(times.usualMs({ ...KIND, model: null }), null);
  return times.usualMs(KIND);
}

const repeat = (count: number, tookMs: number) => Array.from({ length: count }, () => tookMs);

// Guards against a mean, by which a stop passes on answers of which every fifth outlasts it, and against a single outlier.
test('the usual time is that of nearly all of the latest answers, and unknown behind a few', () => {
  assert.is(usualOf(repeat(10, 100)), null);
  assert.is(usualOf([...repeat(50, 100), ...repeat(12, 7_000)]), 7_000);
  assert.is(usualOf([...repeat(63, 100), 7_000]), 100);
  assert.is(usualOf([...repeat(64, 7_000), ...repeat(64, 100)]), 100);
});

test.run();
