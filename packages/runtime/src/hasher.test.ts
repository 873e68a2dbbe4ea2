import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as hashers from './hasher.js';

const test = suite('hasher');

const hasher = await hashers.createHasher();

test('bytes have the hash of the text that they spell, however many they are', () => {
  for (const length of [0, 1, 31, 32, 65_536, 65_537, 300_000]) {
    const text = 'abcdefg'.repeat(Math.ceil(length / 7)).slice(0, length);
    const ofBytes = hasher.hash64HexOfBytes('scope\n', Buffer.from(text));
    assert.is(ofBytes, hasher.hash64Hex(`scope\n${text}`), `${length}`);
  }
});

test('other bytes have another hash, those that no text spells too', () => {
  const hashes = [[0xc3], [0xff], [0xc3, 0xff], []].map((bytes) =>
    hasher.hash64HexOfBytes('', Buffer.from(bytes)),
  );
  assert.is(new Set(hashes).size, hashes.length);
});

// Guards against a copy of each body in the hash's own memory, which is never given back.
test('a long body leaves the memory of the hash as it was', () => {
  const bytes = Buffer.alloc(16 * 1024 * 1024, 'x');
  hasher.hash64HexOfBytes('', bytes.subarray(0, 65_536));
  const before = process.memoryUsage().external;
  hasher.hash64HexOfBytes('', bytes);
  const grownBytes = process.memoryUsage().external - before;
  assert.ok(grownBytes < 1024 * 1024, `${grownBytes}`);
});

test.run();
