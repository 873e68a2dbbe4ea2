import * as fastCheck from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as byteBlocks from './byte-blocks.js';

const test = suite('byte blocks');

// Guards against bytes that are lost or counted wrongly between two blocks.
test('the bytes come back in order, in at most twice their size', () => {
  const piece = fastCheck.uint8Array({ maxLength: 40 });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(piece, { maxLength: 60 }), (pieces) => {
      const blocks = byteBlocks.createByteBlocks();
      pieces.forEach((bytes) => blocks.push(Buffer.from(bytes)));
      const whole = Buffer.concat(pieces);
      assert.is(blocks.sizeBytes(), whole.length);
      assert.ok(blocks.heldBytes() <= 2 * whole.length);
      assert.ok(blocks.tail(2).equals(whole.subarray(-2)));
      assert.ok(Buffer.concat(blocks.takeAll()).equals(whole));
      assert.equal([blocks.sizeBytes(), blocks.heldBytes()], [0, 0]);
    }),
    { seed: 12 },
  );
});

test.run();
