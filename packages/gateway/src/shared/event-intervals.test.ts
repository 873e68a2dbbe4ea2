import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as eventIntervals from './event-intervals.js';

const test = suite('event intervals');

function create() {
  const runs: number[] = [];
  const intervals = eventIntervals.createEventIntervals((intervalMs) => runs.push(intervalMs));
  let nowMs = 0;
  const after = (...intervalsMs: number[]) =>
    intervalsMs.forEach((intervalMs) => {
      nowMs += intervalMs;
      intervals.event(nowMs);
    });
  return { runs, intervals, after };
}

// Guards against taking a prompt that is prefilled between two events for a slow machine.
test('a run is reduced to its smallest interval', () => {
  const { runs, after } = create();
  after(0, 27, 27, 190, 28);
  after(60, 61, 250, 64);
  assert.equal(runs, [27, 60]);
});

test('an event that arrives in two parts is one', () => {
  const { runs, after } = create();
  after(0, 27, 0.2, 27, 0.1, 27, 0.3, 27);
  assert.is(runs.length, 1);
  assert.ok((runs[0] ?? 0) > 26);
});

// Guards against counting the time for which a slow caller holds back its stream as an interval of the upstream.
test('a delay on this side is no interval', () => {
  const { runs, intervals, after } = create();
  after(0, 27, 27);
  intervals.interrupted();
  after(900, 27, 27, 27, 27);
  assert.equal(runs, [27]);
});

test.run();
