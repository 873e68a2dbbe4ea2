import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as changeLedgers from './change-ledger.js';

const test = suite('change ledger');

type Step =
  | { kind: 'put'; key: string; value: number }
  | { kind: 'remove'; key: string }
  | { kind: 'update' };

const key = fc.constantFrom('u1', 'u2', 'u3');
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('put' as const), key, value: fc.integer({ min: 0, max: 2 }) }),
  fc.record({ kind: fc.constant('remove' as const), key }),
  fc.record({ kind: fc.constant('update' as const) }),
);

function createLedger() {
  return changeLedgers.createChangeLedger<number, null>((left, right) => left === right);
}

type Ledger = ReturnType<typeof createLedger>;

/** A client that asks with its version and applies the changes. */
function createClient(ledger: Ledger) {
  const known = new Map<string, number>();
  let version: number | null = null;
  return {
    known,
    update: () => {
      const changes = ledger.since(version);
      if (changes.isWhole) known.clear();
      changes.written.forEach((value, name) => known.set(name, value));
      changes.removed.forEach((_removal, name) => known.delete(name));
      version = changes.version;
    },
  };
}

// A gateway asks now and then and receives only the changes. If it missed one, it would send requests to copies that
// are gone, or none to new copies, for as long as the holder stays the same.
test('a client that asks now and then ends with the present entries', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const ledger = createLedger();
      const client = createClient(ledger);
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
          case 'update':
            client.update();
        }
      });
      client.update();
      assert.equal([...client.known].sort(), [...truth].sort());
    }),
  );
});

test('only changes are reported, and an equal value is no change', () => {
  const ledger = createLedger();
  ledger.put('u1', 1);
  ledger.put('u2', 1);
  const before = ledger.version();
  assert.not(ledger.put('u1', 1));
  assert.is(ledger.since(before).written.size, 0);
  ledger.put('u2', 5);
  assert.equal([...ledger.since(before).written], [['u2', 5]]);
});

// A client that was away while many entries were removed cannot use the latest removals alone.
test('a client that missed forgotten removals receives all entries', () => {
  const ledger = createLedger();
  ledger.put('kept', 1);
  const client = createClient(ledger);
  for (let count = 0; count < 1_000; count += 1) ledger.put(`u${count}`, 1);
  client.update();
  for (let count = 0; count < 1_000; count += 1) ledger.remove(`u${count}`, null);
  client.update();
  assert.equal([...client.known], [['kept', 1]]);
});

test.run();
