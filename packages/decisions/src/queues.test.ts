import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as queues from './queues.js';
import * as simulation from './testing/queue-simulation.js';

const test = suite('queues');

test('in a burst, admitted requests are served in time and all others are refused at once', () => {
  // Forty draws arrive almost at once at four slots that can serve eight of them in time. Each caller must get a
  // complete answer within its deadline or a refusal on arrival. None may be admitted and dropped later, because
  // admission assigns the waiting work to slots in the order in which it will start.
  const burst = simulation.stream(40, 1, (atMs) => simulation.arrival(atMs, 2_100, 1_000));
  const result = simulation.simulate(4, burst);
  assert.is(simulation.countInTime(result, burst), 8);
  assert.is(simulation.listAnswers(result, burst, 'refused').length, 32);
  assert.is(simulation.listAnswers(result, burst, 'given-up').length, 0);
});

test('refused requests of a burst are served when they are retried at the given time', () => {
  // Callers refused at once get retry times spread at the rate of the slots, not all the same one. When each retries at
  // exactly that time, with the same time to its deadline, none is refused again.
  const burst = simulation.stream(40, 1, (atMs) => simulation.arrival(atMs, 2_100, 1_000));
  const first = simulation.simulate(4, burst);
  const again = simulation
    .listAnswers(first, burst, 'refused')
    .map(({ retryAtMs }) => simulation.arrival(retryAtMs, 2_100, 1_000));
  const second = simulation.simulate(4, [...burst, ...again]);
  assert.is(simulation.countInTime(second, again), again.length);
});

test('at saturation the top class meets its targets despite the load of lower classes', () => {
  // Draws use half of the slots, and overnight copy would use all of them, for ten minutes. Nearly no draw is refused
  // and none is late; the overnight copy gets the remaining slots.
  const draws = simulation.stream(2_400, 250, (atMs) => simulation.arrival(atMs, 4_000, 1_000));
  const copy = simulation.stream(600, 1_000, (atMs) =>
    simulation.arrival(atMs, 900_000, 8_000, { priorityClass: 'batch' }),
  );
  const result = simulation.simulate(8, [...draws, ...copy]);
  assert.ok(simulation.countInTime(result, draws) >= 0.97 * draws.length);
  const late = simulation.listAnswers(result, draws, 'served').filter((answer) => !answer.inTime);
  assert.is(late.length, 0);
  assert.is(simulation.listAnswers(result, draws, 'given-up').length, 0);
  assert.ok(simulation.countInTime(result, copy) >= 0.3 * copy.length);
});

test('batch work is left to wait rather than refused early', () => {
  // Overnight copy arrives while draws use every slot. It is not refused, since its deadline is far away.
  const draws = simulation.stream(40, 100, (atMs) => simulation.arrival(atMs, 60_000, 1_000));
  const copy = simulation.stream(20, 200, (atMs) =>
    simulation.arrival(atMs, 3_600_000, 1_000, { priorityClass: 'batch' }),
  );
  const result = simulation.simulate(2, [...draws, ...copy]);
  assert.is(simulation.countInTime(result, copy), copy.length);
});

test('a lower class is not starved by endless load of a higher one', () => {
  // Draws alone need more than all slots for an hour. A summary that arrives at the start must still run: after some
  // time it is aged and uses the small share of slots reserved for aged work. No admitted draw may be late because of
  // it, since admission assumes that the aged work starts first.
  const draws = simulation.stream(18_000, 200, (atMs) => simulation.arrival(atMs, 10_000, 1_000));
  const summary = simulation.arrival(500, 3_600_000, 1_000, { priorityClass: 'standard' });
  const result = simulation.simulate(2, [...draws, summary]);
  const answer = result.answers.get(summary.id);
  assert.is(answer?.kind, 'served');
  assert.ok(simulation.countInTime(result, draws) >= 0.35 * draws.length);
  assert.is(simulation.listAnswers(result, draws, 'given-up').length, 0);
  assert.ok(simulation.listAnswers(result, draws, 'served').every((draw) => draw.inTime));
});

test('long and short work mixed: long work never holds every slot', () => {
  // Short drafts arrive every second, and protest summaries of two minutes arrive all at once. The drafts must not wait
  // more than a few seconds, since half of the slots stay free of long work.
  const drafts = simulation.stream(600, 1_000, (atMs) => simulation.arrival(atMs, 6_000, 1_000));
  const summaries = simulation.stream(20, 10, (atMs) =>
    simulation.arrival(30_000 + atMs, 2_000_000, 120_000),
  );
  const result = simulation.simulate(4, [...drafts, ...summaries]);
  assert.is(simulation.countInTime(result, drafts), drafts.length);
  assert.ok(simulation.countInTime(result, summaries) >= 10);
});

test('a club that sends too much cannot take the share of the others', () => {
  // Club 1 sends five times what the slots can serve, clubs 2 and 3 a fifth each. The requests of clubs 2 and 3 must be
  // served; requests of club 1 are refused, and only because the others are there.
  const flood = simulation.stream(3_000, 50, (atMs) => simulation.arrival(atMs, 3_000, 1_000));
  const others = simulation.stream(240, 625, (atMs, index) =>
    simulation.arrival(atMs, 3_000, 1_000, { callerGroup: index % 2 === 0 ? 'club-2' : 'club-3' }),
  );
  const result = simulation.simulate(4, [...flood, ...others]);
  assert.ok(simulation.countInTime(result, others) >= 0.95 * others.length);
  const alone = simulation.simulate(4, flood);
  assert.ok(simulation.countInTime(alone, flood) >= 0.97 * 4 * 150);
});

test('on a slow upstream only work that can still be served in time is admitted', () => {
  // The upstream takes five times as long as the queue expects. Work that exceeds its expected time counts as still
  // running for some time, so the queue stops admitting work although none has finished yet.
  const slow = simulation.stream(200, 100, (atMs) =>
    simulation.arrival(atMs, 3_000, 5_000, { expectedMs: 1_000 }),
  );
  const result = simulation.simulate(4, slow);
  assert.ok(simulation.listAnswers(result, slow, 'refused').length >= 0.5 * slow.length);
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
          simulation.arrival(atMs, withinMs, serviceMs, fields),
        );
        const result = simulation.simulate(slotCount, arrivals);
        assert.is(result.answers.size, arrivals.length);
        assert.ok(result.maxRunning <= slotCount);
        arrivals.forEach((item) => {
          const answer = result.answers.get(item.id);
          if (answer?.kind === 'refused') assert.ok(answer.retryAtMs > item.arrivedAtMs);
        });
      },
    ),
    { seed: 5 },
  );
});

test('with one class and known service times, all admitted work is served in time', () => {
  const usual = work.map((fields) => ({ ...fields, serviceMs: 500 + (fields.serviceMs % 500) }));
  fc.assert(
    fc.property(
      fc.array(usual, { maxLength: 80 }),
      fc.integer({ min: 1, max: 6 }),
      (items, slots) => {
        const arrivals = items.map(({ atMs, withinMs, serviceMs, callerGroup }) =>
          simulation.arrival(atMs, withinMs, serviceMs, { callerGroup }),
        );
        const result = simulation.simulate(slots, arrivals);
        const admitted = arrivals.filter(({ id }) => result.answers.get(id)?.kind !== 'refused');
        assert.is(simulation.countInTime(result, admitted), admitted.length);
      },
    ),
    { seed: 5 },
  );
});

test('work whose model is still loading keeps its position and delays no other work', () => {
  const queue = queues.createWorkQueue({ slotCount: 1, maxWaiting: 10 }, { expectedMs: () => 100 });
  const loading = simulation.arrival(0, 60_000, 100, { readyAtMs: 5_000 });
  const ready = simulation.arrival(0, 60_000, 100);
  assert.equal(queue.admit(loading, 0), { kind: 'admit', predictedWaitMs: 5_000 });
  queue.admit(ready, 0);
  assert.is(queue.startNext(0, (item) => item.id !== loading.id)?.id, ready.id);
  queue.finish(ready.id, 100);
  assert.is(queue.startNext(5_000)?.id, loading.id);
});

test.run();
