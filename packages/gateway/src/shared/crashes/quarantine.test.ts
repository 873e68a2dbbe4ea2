import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as quarantines from './quarantine.js';

const test = suite('quarantine');

const MINUTE_MS = 60_000;

function entryOf(
  traits: string,
  changes: Partial<quarantines.QuarantineEntry> = {},
): quarantines.QuarantineEntry {
  return {
    traits: traits.split(' '),
    epoch: 0,
    state: 'refused',
    trialCount: 0,
    crashCount: 3,
    isCommon: false,
    decidedBy: 'g1',
    decidedAtMs: 0,
    untilMs: 15 * MINUTE_MS,
    ...changes,
  };
}

// Guards against refusals of sound requests that share a part with the refused ones.
test('only a request with all traits of an entry is refused', () => {
  const quarantine = quarantines.createQuarantine();
  quarantine.apply(entryOf('a bad'), 0);
  assert.is(quarantine.match(['r1', 'a', 'x'], 1), null);
  assert.is(quarantine.match(['r1', 'bad'], 1), null);
  assert.equal(quarantine.match(['r1', 'bad', 'a'], 1)?.traits, ['a', 'bad']);
});

// Guards against an entry that passes by itself, so that all gateways try the part at once.
test('an entry whose time is over is refused on until it has been tried, or for a day', () => {
  const quarantine = quarantines.createQuarantine();
  quarantine.apply(entryOf('bad'), 0);
  assert.ok(quarantine.match(['bad'], 16 * MINUTE_MS) !== null);
  assert.is(quarantine.match(['bad'], 25 * 60 * MINUTE_MS), null);
  assert.is(quarantine.entries(25 * 60 * MINUTE_MS).length, 0);
});

// Guards against an entry that was lifted and comes back with an older telling.
test('what was lifted stays lifted until it is decided anew', () => {
  const quarantine = quarantines.createQuarantine();
  quarantine.apply(entryOf('bad'), 0);
  assert.is(quarantine.apply(entryOf('bad', { state: 'lifted' }), 1), true);
  assert.is(quarantine.apply(entryOf('bad'), 2), false);
  assert.is(quarantine.match(['bad'], 3), null);
  assert.is(quarantine.apply(entryOf('bad', { epoch: 1 }), 4), true);
  assert.ok(quarantine.match(['bad'], 5) !== null);
});

// Guards against gateways that end up with different entries, and against an end that each telling puts off.
test('entries merge to the same in any order and twice', () => {
  const entry = fc.record({
    traits: fc.constantFrom(['a'], ['a', 'b']),
    epoch: fc.nat(2),
    state: fc.constantFrom('suspected' as const, 'refused' as const, 'lifted' as const),
    trialCount: fc.nat(2),
    untilMs: fc.integer({ min: 1_000, max: 9_000 }),
  });
  const resultOf = (told: readonly Partial<quarantines.QuarantineEntry>[]) => {
    const quarantine = quarantines.createQuarantine();
    told.forEach((one) => quarantine.apply(entryOf('a', one), 0));
    const entries = quarantine.entries(0);
    return JSON.stringify(
      entries
        .map(({ traits, epoch, state, trialCount, untilMs }) => [
          traits,
          epoch,
          state,
          trialCount,
          untilMs,
        ])
        .sort(),
    );
  };
  fc.assert(
    fc.property(fc.array(entry, { minLength: 1, maxLength: 6 }), (told) => {
      assert.is(resultOf([...told].reverse()), resultOf(told));
      assert.is(resultOf([...told, ...told]), resultOf(told));
    }),
    { seed: 47, numRuns: 300 },
  );
});

// Guards against gateways that tell each other on and on what both have.
test('gateways with the same entries have the same digest, and others another', () => {
  const left = quarantines.createQuarantine();
  const right = quarantines.createQuarantine();
  assert.is(left.digest(), '');
  left.apply(entryOf('a'), 0);
  left.apply(entryOf('b'), 0);
  right.apply(entryOf('b', { untilMs: 14 * MINUTE_MS }), 0);
  assert.is.not(left.digest(), right.digest());
  right.apply(entryOf('a'), 0);
  assert.is(left.digest(), right.digest());
});

test.run();
