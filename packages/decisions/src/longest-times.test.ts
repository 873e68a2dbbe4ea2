import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as longestTimes from './longest-times.js';

const test = suite('longest times');

// Guards against a stop that judges by the usual answer, or by one that was slow long ago.
test('the longest of the recent answers of a target is told', () => {
  const times = longestTimes.createLongestTimes();
  const { observe, longestMs } = times;
  assert.is(longestMs('draws'), null);
  observe('draws', 7_000);
  for (let count = 0; count < 100; count += 1) observe('draws', 50);
  assert.is(longestMs('draws'), 7_000);
  for (let count = 0; count < 100; count += 1) observe('draws', 60);
  assert.is(longestMs('draws'), 60);
  assert.is(longestMs('desk'), null);
});

test.run();
