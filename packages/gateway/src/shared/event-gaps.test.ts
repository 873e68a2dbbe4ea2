import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as eventGaps from './event-gaps.js';

const test = suite('event gaps');

function create() {
  const runs: number[] = [];
  const gaps = eventGaps.createEventGaps((gapMs) => runs.push(gapMs));
  let nowMs = 0;
  const after = (...gapsMs: number[]) =>
    gapsMs.forEach((gapMs) => {
      nowMs += gapMs;
      gaps.event(nowMs);
    });
  return { runs, gaps, after };
}

// Failure: a prompt that is read between two events passes for a slow machine.
test('a run is told by its smallest gap', () => {
  const { runs, after } = create();
  after(0, 27, 27, 190, 28);
  after(60, 61, 250, 64);
  assert.equal(runs, [27, 60]);
});

test('an event that comes in two parts is one', () => {
  const { runs, after } = create();
  after(0, 27, 0.2, 27, 0.1, 27, 0.3, 27);
  assert.is(runs.length, 1);
  assert.ok((runs[0] ?? 0) > 26);
});

// Failure: the time for which a slow caller holds its stream back is taken for a gap of the upstream.
test('what was held up on this side is no gap', () => {
  const { runs, gaps, after } = create();
  after(0, 27, 27);
  gaps.interrupted();
  after(900, 27, 27, 27, 27);
  assert.equal(runs, [27]);
});

test.run();
