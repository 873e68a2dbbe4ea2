import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as listPlays from '../../testing/list-plays.js';

const test = suite('upstreams that leave, under all faults');

const BOUNDS = { drainTimeoutMs: 2_000, contactMs: 3_000 };

// Guards against a list that vouches for itself after watches heard nothing of changes, and never hears of them.
for (const seed of [8, 10, 11, 18, 20, 23, 24, 27]) {
  test(`a gateway in contact with the store offers no upstream that has left (seed ${seed})`, async () => {
    const { worstMs, detail } = await listPlays.play({ seed, ...BOUNDS });
    assert.ok(worstMs <= BOUNDS.drainTimeoutMs, `${worstMs} ms: ${detail}`);
  });
}

// Guards against a holder that never knew an upstream which came and left before it was told of the list, and tells nobody that it left.
for (const seed of [116, 265, 374, 467]) {
  test(`a gateway whose list is told by a new holder offers no upstream that has left (seed ${seed})`, async () => {
    const { worstMs, detail } = await listPlays.play({ seed, ...BOUNDS });
    assert.ok(worstMs <= BOUNDS.drainTimeoutMs, `${worstMs} ms: ${detail}`);
  });
}

// Guards against a later outage that brings back what was kept in an earlier one and then dropped.
for (const seed of [7, 14]) {
  test(`an upstream that was dropped stays dropped where an upstream may serve on for longer (seed ${seed})`, async () => {
    const bounds = { drainTimeoutMs: 4_000, contactMs: 5_000 };
    const { worstMs, detail } = await listPlays.play({ seed, ...bounds });
    assert.ok(worstMs <= bounds.drainTimeoutMs, `${worstMs} ms: ${detail}`);
  });
}

test.run();
