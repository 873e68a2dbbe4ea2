import { journal as journals, requestIds } from '@copperlever/coordination';
import { randoms } from '@copperlever/runtime';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as fixtures from '../testing/fixture.js';
import * as trace from './trace.js';

const test = suite('trace');

test('the events of a request are printed even if the entry that accepted it is gone', async () => {
  const { clock, store, context, printed } = fixtures.createFixture();
  const journal = journals.createJournal({
    store,
    clock,
    random: randoms.createRandom(1),
    incarnation: 1,
    memberId: 'entry-1',
  });
  const requestId = requestIds.createRequestIds('entry-1', 1, clock.wallMs).next();
  journal.record(requestId, 'admitted', { target: 'draws' });
  journal.record(requestId, 'outcome', { outcome: 'answered' });
  await journal.flush(1_000);
  assert.is(await trace.showTrace(context, requestId), 0);
  const { events } = printed[0] as { events: { event: string }[] };
  assert.equal(
    events.map((journalEvent) => journalEvent.event),
    ['admitted', 'outcome'],
  );
});

test('an id without recorded events is reported as not found', async () => {
  const { context, errors } = fixtures.createFixture();
  assert.is(await trace.showTrace(context, 'rq.entry-1.x.y.1'), 1);
  assert.is(errors[0]?.kind, 'not-found');
});

test.run();
