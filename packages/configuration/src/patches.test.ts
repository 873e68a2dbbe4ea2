import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as patches from './patches.js';
import * as schema from './schema.js';

const test = suite('patches');

test('null removes a field, objects are merged, other values replace', () => {
  const before = { a: { b: 1, c: 2 }, d: [1, 2] };
  const after = patches.mergePatch(before, { a: { b: null }, d: [3] });
  assert.equal(after, { a: { c: 2 }, d: [3] });
  assert.equal(before, { a: { b: 1, c: 2 }, d: [1, 2] });
});

test('a patch cannot change the prototype', () => {
  patches.mergePatch({}, JSON.parse('{"__proto__": {"polluted": true}}'));
  assert.is(({} as Record<string, unknown>).polluted, undefined);
});

test('an unknown field is rejected with its path', () => {
  const applied = patches.applyPatch(schema.emptyDocument(), { policy: { speed: 3 } });
  assert.is(applied.err, true);
  const fields = applied.err ? applied.val.map((problem) => problem.field) : [];
  assert.equal(fields, ['policy']);
});

test('the difference names each changed field once', () => {
  const changes = patches.difference({ a: 1, b: { c: 2 } }, { b: { c: 3 }, d: 4 });
  assert.equal(
    changes.map((change) => change.field),
    ['a', 'b.c', 'd'],
  );
});

const json = fc.dictionary(
  fc.constantFrom('a', 'b', 'c'),
  fc.oneof(fc.integer(), fc.dictionary(fc.constantFrom('d', 'e'), fc.integer())),
);

test('applying a patch is idempotent, and a document does not differ from itself', () => {
  fc.assert(
    fc.property(json, json, (document, patch) => {
      const once = patches.mergePatch(document, patch);
      assert.equal(patches.mergePatch(once, patch), once);
      assert.equal(patches.difference(once, once), []);
    }),
    { seed: 1 },
  );
});

test.run();
