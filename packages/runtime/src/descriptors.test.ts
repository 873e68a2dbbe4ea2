import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as descriptors from './descriptors.js';
import * as fakeClocks from './testing/fake-clock.js';

const test = suite('descriptors');

function startWatch() {
  const state = { code: '' };
  const lines: string[] = [];
  const clock = fakeClocks.createFakeClock();
  const watch = descriptors.watchDescriptors({
    clock,
    onExhausted: () => lines.push('exhausted'),
    onAvailable: (exhaustedMs) => lines.push(`available after ${exhaustedMs}`),
    openFile: () => {
      if (state.code !== '') throw Object.assign(new Error(state.code), { code: state.code });
    },
  });
  return { clock, state, lines, watch };
}

// Guards against a bound from the hard limit, or none where one is set.
test('the soft limit counts', () => {
  const head = 'Limit                     Soft Limit           Hard Limit           Units\n';
  const line = (soft: string) => `${head}Max open files            ${soft}   1048576   files\n`;
  assert.is(descriptors.parseLimit(line('4100')), 4_100);
  assert.is(descriptors.parseLimit(line('unlimited')), Infinity);
  assert.is(descriptors.parseLimit(head), null);
});

// Guards against lost connections of which nothing tells: one line at the begin and one at the end, whatever the number of looks.
test('a lack of descriptors is counted and told once', async () => {
  const { clock, state, lines, watch } = startWatch();
  watch.look();
  state.code = 'EMFILE';
  watch.look();
  await clock.advance(300);
  watch.look();
  assert.is(watch.isExhausted(), true);
  state.code = 'EACCES';
  watch.look();
  assert.is(watch.isExhausted(), false);
  assert.is(watch.exhaustedCount(), 2);
  assert.equal(lines, ['exhausted', 'available after 300']);
  watch.stop();
});

test.run();
