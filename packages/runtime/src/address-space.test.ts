import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as addressSpace from './address-space.js';

const test = suite('address space');

const LIMITS =
  'Max open files  1024  4096  files\nMax address space   3072000000  unlimited  bytes\n';
const refuse = () => {
  throw new RangeError('could not allocate memory');
};

// Guards against a process that finds too little of it only at its first connection.
test('a limit that leaves no room is named, and without one nothing is tried', () => {
  assert.is(addressSpace.parseLimit(LIMITS), 3_072_000_000);
  assert.is(addressSpace.parseLimit(LIMITS.replace('3072000000', 'unlimited')), null);
  assert.match(addressSpace.findLack(3_072_000_000, refuse)?.message ?? '', /limited to 3\.1 GB/);
  assert.is(
    addressSpace.findLack(3_072_000_000, () => {}),
    null,
  );
  assert.is(addressSpace.findLack(null, refuse), null);
});

test.run();
