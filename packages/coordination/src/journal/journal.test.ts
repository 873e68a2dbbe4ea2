import { randoms } from '@copperlever/runtime';
import * as fakeClock from '@copperlever/runtime/testing/fake-clock';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import * as faultyStore from '../object-store/faulty-store.js';
import * as memoryStore from '../object-store/memory-store.js';

import * as batches from './batches.js';
import * as journal from './journal.js';
import * as journalReader from './journal-reader.js';
import * as requestIds from './request-ids.js';

function createParts() {
  const clock = fakeClock.createFakeClock();
  const memory = memoryStore.createMemoryStore(clock);
  const store = faultyStore.createFaultyStore(memory, clock);
  const logged: string[] = [];
  const journalOf = (memberId: string, pendingMaxBytes?: number) =>
    journal.createJournal({
      store,
      memberId,
      incarnation: 1,
      clock,
      random: randoms.createRandom(1),
      pendingMaxBytes,
      compress: batches.compressInline,
      log: { error: (event, fields) => logged.push(`${event} ${JSON.stringify(fields)}`) },
    });
  const ids = requestIds.createRequestIds('entry-1', 1, clock.wallMs);
  const reader = journalReader.createJournalReader({ store });
  return { clock, memory, store, journalOf, ids, reader, logged };
}

test('a request id contains its entry, incarnation and minute', () => {
  const id = { entryId: 'entry.a', incarnation: 1_767_225_600_000, minute: 29_453_760, counter: 7 };
  assert.equal(requestIds.parseRequestId(requestIds.formatRequestId(id)), id);
  for (const text of ['', 'rq', 'rq.a.1.2', 'x.a.1.2.3', 'rq.a.1.2.', 'rq..1.2.3']) {
    assert.is(requestIds.parseRequestId(text), undefined, text);
  }
});

test('a trace joins the events of the entry and the agent, in order', async () => {
  const { clock, journalOf, ids, reader, store } = createParts();
  const [entry, agent, stranger] = ['entry-1', 'agent-1', 'agent-2'].map((id) => journalOf(id));
  const requestId = ids.next();
  entry?.record(requestId, 'admitted');
  entry?.record(requestId, 'dispatched', { agent: 'agent-1' });
  await clock.advance(5);
  agent?.record(requestId, 'started');
  stranger?.record(ids.next(), 'started');
  await Promise.all([entry, agent, stranger].map((one) => one?.flush(1_000)));
  const callsBefore = store.callCount();
  const events = (await reader.trace(requestId, 1_000)).unwrap();
  assert.equal(
    events.map((event) => event.event),
    ['admitted', 'dispatched', 'started'],
  );
  // One list, and one read for each of the two processes that took part.
  assert.is(store.callCount() - callsBefore, 3);
});

test('the trace of a request whose entry was killed consists of the events of the agent', async () => {
  const { journalOf, ids, reader } = createParts();
  const requestId = ids.next();
  const agent = journalOf('agent-1');
  agent.record(requestId, 'started');
  await agent.flush(1_000);
  const found = (await reader.search(requestId, 1_000)).unwrap();
  assert.equal([found.events.length, found.isWhole], [1, true]);
});

test('during an outage memory stays bounded, and the number of dropped events is recorded', async () => {
  // The store is down until the memory of the journal is full. The journal keeps the oldest events, counts the others,
  // and writes both when the store is back, so that a trace shows that events are missing.
  const { clock, store, journalOf, ids, reader } = createParts();
  const entry = journalOf('entry-1', 2_000);
  entry.start();
  store.setFault({ kind: 'outage', retryAfterMs: 100 });
  const requestId = ids.next();
  for (let count = 0; count < 100; count += 1) entry.record(requestId, 'token', { count });
  await clock.advance(30_000);
  assert.ok(entry.droppedCount() > 50);
  store.setFault({ kind: 'none' });
  await clock.advance(60_000);
  const found = (await reader.search(requestId, clock.nowMs() + 1_000)).unwrap();
  assert.is(found.events.length + entry.droppedCount(), 100);
  assert.is(found.isWhole, false);
});

test('a batch whose answer was lost is written once', async () => {
  const { clock, memory, store, journalOf, ids } = createParts();
  const entry = journalOf('entry-1');
  entry.record(ids.next(), 'admitted');
  store.setFault({ kind: 'answers-lost', count: 1 });
  await entry.flush(clock.nowMs() + 1_000);
  await entry.stop(clock.nowMs() + 1_000);
  assert.is(memory.objectCount(), 1);
});

// Guards against a stop whose last events are lost and nobody is told.
test('a stop tells how many events it leaves unwritten', async () => {
  const { clock, store, journalOf, ids, logged } = createParts();
  const written = journalOf('entry-1');
  written.record(ids.next(), 'admitted');
  await written.stop(clock.nowMs() + 1_000);
  assert.equal(logged, []);
  store.setFault({ kind: 'outage', retryAfterMs: 100 });
  const cut = journalOf('entry-2');
  cut.record(ids.next(), 'admitted');
  const stopped = cut.stop(clock.nowMs() + 1_000);
  await clock.advance(1_000);
  await stopped;
  assert.equal(logged, ['journal-cut-off {"eventCount":1}']);
});

test.run();
