import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as queues from './queues.js';
import * as driver from './testing/queue-driver.js';

const test = suite('queues');

test('a burst: who is admitted is served in time, who is not is told so at once', () => {
  // Forty draws arrive within a moment before four slots that can serve eight of them in time.
  // Each caller sees a whole answer within its deadline or a refusal on arrival; none is let in to
  // wait and then given up on, because admission deals the waiting work to slots in its order.
  const burst = driver.stream(40, 1, (atMs) => driver.arrival(atMs, 2_100, 1_000));
  const driven = driver.drive(4, burst);
  assert.is(driver.countInTime(driven, burst), 8);
  assert.is(driver.listAnswers(driven, burst, 'refused').length, 32);
  assert.is(driver.listAnswers(driven, burst, 'given-up').length, 0);
});

test('after a burst the refused come back when they were told to, and are served', () => {
  // Callers refused in one moment are told instants at the pace of the slots, not all the same one.
  // So when each asks again exactly then, with the same time to its deadline, none is refused again.
  const burst = driver.stream(40, 1, (atMs) => driver.arrival(atMs, 2_100, 1_000));
  const first = driver.drive(4, burst);
  const again = driver
    .listAnswers(first, burst, 'refused')
    .map(({ retryAtMs }) => driver.arrival(retryAtMs, 2_100, 1_000));
  const second = driver.drive(4, [...burst, ...again]);
  assert.is(driver.countInTime(second, again), again.length);
});

test('saturation: the top class keeps its targets while lower classes ask for as much again', () => {
  // Draws ask for half of the slots and overnight copy for as much as all of them, for ten minutes.
  // The draws' callers see next to no refusals and no late answer; the copy gets what is left.
  const draws = driver.stream(2_400, 250, (atMs) => driver.arrival(atMs, 4_000, 1_000));
  const copy = driver.stream(600, 1_000, (atMs) =>
    driver.arrival(atMs, 900_000, 8_000, { priorityClass: 'batch' }),
  );
  const driven = driver.drive(8, [...draws, ...copy]);
  assert.ok(driver.countInTime(driven, draws) >= 0.97 * draws.length);
  const late = driver.listAnswers(driven, draws, 'served').filter((answer) => !answer.inTime);
  assert.is(late.length, 0);
  assert.is(driver.listAnswers(driven, draws, 'given-up').length, 0);
  assert.ok(driver.countInTime(driven, copy) >= 0.3 * copy.length);
});

test('batch work is admitted late rather than refused early', () => {
  // Overnight copy arrives while draws hold every slot. It is not refused: its deadline is far off.
  const draws = driver.stream(40, 100, (atMs) => driver.arrival(atMs, 60_000, 1_000));
  const copy = driver.stream(20, 200, (atMs) =>
    driver.arrival(atMs, 3_600_000, 1_000, { priorityClass: 'batch' }),
  );
  const driven = driver.drive(2, [...draws, ...copy]);
  assert.is(driver.countInTime(driven, copy), copy.length);
});

test('a lower class is not starved by a higher one that never ends', () => {
  // Draws alone ask for more than the slots for an hour. A summary that arrives at the start still runs:
  // after a while it is aged and takes the small share of the slots that ageing is given. No admitted draw
  // is late for it: admission counts the aged work as going first.
  const draws = driver.stream(18_000, 200, (atMs) => driver.arrival(atMs, 10_000, 1_000));
  const summary = driver.arrival(500, 3_600_000, 1_000, { priorityClass: 'standard' });
  const driven = driver.drive(2, [...draws, summary]);
  const answer = driven.answers.get(summary.id);
  assert.is(answer?.kind, 'served');
  assert.ok(driver.countInTime(driven, draws) >= 0.35 * draws.length);
  assert.is(driver.listAnswers(driven, draws, 'given-up').length, 0);
  assert.ok(driver.listAnswers(driven, draws, 'served').every((draw) => draw.inTime));
});

test('long and short work mixed: long work never holds every slot', () => {
  // Short drafts come every second, and protest summaries of two minutes arrive in a heap. The drafts'
  // callers see no wait beyond a few seconds, since half of the slots stay free of long work.
  const drafts = driver.stream(600, 1_000, (atMs) => driver.arrival(atMs, 6_000, 1_000));
  const summaries = driver.stream(20, 10, (atMs) =>
    driver.arrival(30_000 + atMs, 2_000_000, 120_000),
  );
  const driven = driver.drive(4, [...drafts, ...summaries]);
  assert.is(driver.countInTime(driven, drafts), drafts.length);
  assert.ok(driver.countInTime(driven, summaries) >= 10);
});

test('one club that floods cannot take the share of the others', () => {
  // Club 1 asks for five times what the slots can do, clubs 2 and 3 for a fifth each. The callers of
  // clubs 2 and 3 are served; refusals fall on club 1, and only because the others are there.
  const flood = driver.stream(3_000, 50, (atMs) => driver.arrival(atMs, 3_000, 1_000));
  const others = driver.stream(240, 625, (atMs, index) =>
    driver.arrival(atMs, 3_000, 1_000, { callerGroup: index % 2 === 0 ? 'club-2' : 'club-3' }),
  );
  const driven = driver.drive(4, [...flood, ...others]);
  assert.ok(driver.countInTime(driven, others) >= 0.95 * others.length);
  const alone = driver.drive(4, flood);
  assert.ok(driver.countInTime(alone, flood) >= 0.97 * 4 * 150);
});

test('a slow upstream: as its times are learned, it admits only what it can still serve', () => {
  // The upstream takes five times as long as the queue was told. Work that has overrun counts as
  // running on, so the queue stops letting callers in although nothing has finished yet.
  const slow = driver.stream(200, 100, (atMs) =>
    driver.arrival(atMs, 3_000, 5_000, { expectedMs: 1_000 }),
  );
  const driven = driver.drive(4, slow);
  assert.ok(driver.listAnswers(driven, slow, 'refused').length >= 0.5 * slow.length);
});

const work = fc.record({
  atMs: fc.integer({ min: 0, max: 20_000 }),
  withinMs: fc.integer({ min: 1, max: 30_000 }),
  serviceMs: fc.integer({ min: 1, max: 5_000 }),
  priorityClass: fc.constantFrom('critical' as const, 'standard' as const, 'batch' as const),
  callerGroup: fc.constantFrom('club-1', 'club-2', 'club-3'),
});

test('every request gets exactly one answer, and never more run than there are slots', () => {
  fc.assert(
    fc.property(
      fc.array(work, { maxLength: 80 }),
      fc.integer({ min: 1, max: 6 }),
      (items, slotCount) => {
        const arrivals = items.map(({ atMs, withinMs, serviceMs, ...fields }) =>
          driver.arrival(atMs, withinMs, serviceMs, fields),
        );
        const driven = driver.drive(slotCount, arrivals);
        assert.is(driven.answers.size, arrivals.length);
        assert.ok(driven.mostRunning <= slotCount);
        arrivals.forEach((item) => {
          const answer = driven.answers.get(item.id);
          if (answer?.kind === 'refused') assert.ok(answer.retryAtMs > item.arrivedAtMs);
        });
      },
    ),
    { seed: 5 },
  );
});

test('one class with known service times: whoever is admitted is served in time', () => {
  const usual = work.map((fields) => ({ ...fields, serviceMs: 500 + (fields.serviceMs % 500) }));
  fc.assert(
    fc.property(
      fc.array(usual, { maxLength: 80 }),
      fc.integer({ min: 1, max: 6 }),
      (items, slots) => {
        const arrivals = items.map(({ atMs, withinMs, serviceMs, callerGroup }) =>
          driver.arrival(atMs, withinMs, serviceMs, { callerGroup }),
        );
        const driven = driver.drive(slots, arrivals);
        const admitted = arrivals.filter(({ id }) => driven.answers.get(id)?.kind !== 'refused');
        assert.is(driver.countInTime(driven, admitted), admitted.length);
      },
    ),
    { seed: 5 },
  );
});

test('work whose model still loads keeps its place and holds up no one', () => {
  const queue = queues.createWorkQueue({ slotCount: 1, maxWaiting: 10 }, { expectedMs: () => 100 });
  const loading = driver.arrival(0, 60_000, 100, { readyAtMs: 5_000 });
  const ready = driver.arrival(0, 60_000, 100);
  assert.equal(queue.admit(loading, 0), { kind: 'admit', predictedWaitMs: 5_000 });
  queue.admit(ready, 0);
  assert.is(queue.startNext(0, (item) => item.id !== loading.id)?.id, ready.id);
  queue.finish(ready.id, 100);
  assert.is(queue.startNext(5_000)?.id, loading.id);
});

test.run();
