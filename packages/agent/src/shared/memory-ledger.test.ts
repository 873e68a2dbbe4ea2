import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as ledgers from './memory-ledger.js';

const test = suite('memory ledger');

const draws = { name: 'draws', version: 'v1', sizeBytes: 60 };

function createLoadingLedger(): ledgers.MemoryLedger {
  const ledger = ledgers.createMemoryLedger(100);
  assert.ok(ledger.reserve(draws));
  return ledger;
}

// A caller's load is refused by a full engine that its agent holds for empty. The report was asked
// for, the order was sent and taken, and then the report arrives: it shows the time before.
test('a report asked for before the order was answered does not release the charge', () => {
  const ledger = createLoadingLedger();
  const requestedStep = ledger.reportRequested();
  ledger.loadSent(draws, 'order-1', 1);
  ledger.loadAnswered(draws, 'order-1', 'taken');
  ledger.applyReport({ requestedStep, incarnation: 1, copies: [] }, false);
  assert.is(ledger.freeBytes(), 40);
  const laterStep = ledger.reportRequested();
  ledger.applyReport({ requestedStep: laterStep, incarnation: 1, copies: [] }, false);
  assert.is(ledger.freeBytes(), 100);
});

// An order's answer is lost and the copy is not there. The order may still be under way: only a
// newer fencing number that the engine took makes sure that it is not.
test('an order without an answer is released only behind an acknowledged fence', () => {
  const ledger = createLoadingLedger();
  ledger.loadSent(draws, 'order-1', 1);
  ledger.loadAnswered(draws, 'order-1', 'unknown');
  const beforeFence = ledger.reportRequested();
  assert.ok(ledger.needsFence());
  ledger.fenceAcknowledged(2);
  ledger.applyReport({ requestedStep: beforeFence, incarnation: 1, copies: [] }, true);
  assert.is(ledger.freeBytes(), 40);
  const afterFence = ledger.reportRequested();
  ledger.applyReport({ requestedStep: afterFence, incarnation: 1, copies: [] }, true);
  assert.is(ledger.freeBytes(), 100);
});

test('an order that an earlier agent recorded stays charged until the engine restarts', () => {
  const ledger = ledgers.createMemoryLedger(100);
  const firstStep = ledger.reportRequested();
  ledger.applyReport({ requestedStep: firstStep, incarnation: 1, copies: [] }, false);
  ledger.takeOver(draws, 'old-order', 0);
  const secondStep = ledger.reportRequested();
  ledger.applyReport({ requestedStep: secondStep, incarnation: 1, copies: [] }, false);
  assert.is(ledger.freeBytes(), 40);
  const restartStep = ledger.reportRequested();
  ledger.applyReport({ requestedStep: restartStep, incarnation: 2, copies: [] }, false);
  assert.is(ledger.freeBytes(), 100);
});

test.run();
