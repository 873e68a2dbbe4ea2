import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as changeLedgers from './change-ledger.js';

const test = suite('change ledger');

type Step =
  { kind: 'put'; key: string; value: number } | { kind: 'remove'; key: string } | { kind: 'ask' };

const key = fc.constantFrom('u1', 'u2', 'u3');
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('put' as const), key, value: fc.integer({ min: 0, max: 2 }) }),
  fc.record({ kind: fc.constant('remove' as const), key }),
  fc.record({ kind: fc.constant('ask' as const) }),
);

function createLedger() {
  return changeLedgers.createChangeLedger<number, null>((left, right) => left === right);
}

type Ledger = ReturnType<typeof createLedger>;

/** One that asks with the version that it has, and keeps what it is told. */
function createAsker(ledger: Ledger) {
  const known = new Map<string, number>();
  let version: number | null = null;
  return {
    known,
    ask: () => {
      const changes = ledger.since(version);
      if (changes.isWhole) known.clear();
      changes.written.forEach((value, name) => known.set(name, value));
      changes.removed.forEach((_removal, name) => known.delete(name));
      version = changes.version;
    },
  };
}

// A gateway asks now and then and gets only what has changed. Were a change lost to it, it would send requests to
// copies that have gone, or none to copies that have come, for as long as the holder stays the same.
test('one that asks at times ends with what stands', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const ledger = createLedger();
      const asker = createAsker(ledger);
      const truth = new Map<string, number>();
      steps.forEach((next) => {
        switch (next.kind) {
          case 'put':
            ledger.put(next.key, next.value);
            truth.set(next.key, next.value);
            return;
          case 'remove':
            ledger.remove(next.key, null);
            truth.delete(next.key);
            return;
          case 'ask':
            asker.ask();
        }
      });
      asker.ask();
      assert.equal([...asker.known].sort(), [...truth].sort());
    }),
  );
});

test('only what has changed is told, and what is the same is no change', () => {
  const ledger = createLedger();
  ledger.put('u1', 1);
  ledger.put('u2', 1);
  const before = ledger.version();
  assert.not(ledger.put('u1', 1));
  assert.is(ledger.since(before).written.size, 0);
  ledger.put('u2', 5);
  assert.equal([...ledger.since(before).written], [['u2', 5]]);
});

// One that was away while many entries went has no use for the last removals alone.
test('one that has missed forgotten removals is told all', () => {
  const ledger = createLedger();
  ledger.put('kept', 1);
  const asker = createAsker(ledger);
  for (let count = 0; count < 1_000; count += 1) ledger.put(`u${count}`, 1);
  asker.ask();
  for (let count = 0; count < 1_000; count += 1) ledger.remove(`u${count}`, null);
  asker.ask();
  assert.equal([...asker.known], [['kept', 1]]);
});

test.run();
