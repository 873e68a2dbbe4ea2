import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as fleet from '../types/fleet.js';
import * as access from './access.js';

const test = suite('access');

const ROUTE = { isPublic: false };
const ORGANISATIONS: fleet.Organisation[] = [
  { name: 'o1', apiKeys: ['a', 'b'], priority: 2, quota: null },
  { name: 'o2', apiKeys: ['c'], priority: null, quota: null },
];

test('a key identifies its organisation, and an unknown key none', () => {
  const table = access.createAccessTable(ORGANISATIONS);
  const found = table.accessOf(ROUTE, 'b');
  assert.is(found.kind === 'allowed' && found.organisation?.name, 'o1');
  assert.is(table.accessOf(ROUTE, 'd').kind, 'unknown-key');
  assert.is(table.accessOf(ROUTE, null).kind, 'unknown-key');
});

// Operators may remove all keys: an empty list of organisations must not mean that anyone may call.
test('an empty list of organisations admits no caller, and a missing list admits every caller', () => {
  assert.is(access.createAccessTable([]).accessOf(ROUTE, 'a').kind, 'unknown-key');
  assert.equal(access.createAccessTable(null).accessOf(ROUTE, null), {
    kind: 'allowed',
    organisation: null,
  });
});

test('a public route admits unknown callers and still identifies organisations', () => {
  const table = access.createAccessTable(ORGANISATIONS);
  assert.equal(table.accessOf({ isPublic: true }, null), { kind: 'allowed', organisation: null });
  const found = table.accessOf({ isPublic: true }, 'c');
  assert.is(found.kind === 'allowed' && found.organisation?.name, 'o2');
});

test("an organisation's priority overrides that of the route", () => {
  const [first = null, second = null] = ORGANISATIONS;
  assert.is(access.priorityOf({ priority: 1 }, first), 2);
  assert.is(access.priorityOf({ priority: 1 }, second), 1);
  assert.is(access.priorityOf({ priority: 1 }, null), 1);
});

test.run();
