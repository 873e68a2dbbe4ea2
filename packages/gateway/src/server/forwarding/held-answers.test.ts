import * as fastCheck from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as heldAnswers from './held-answers.js';

const test = suite('held answers');

const MAX_BYTES = 1_000_000;

function createHeld() {
  const lines: object[] = [];
  const log = { warn: (_event: string, fields: object) => lines.push(fields) };
  return { lines, held: heldAnswers.createHeldAnswers({ log, maxBytes: MAX_BYTES }) };
}

// Guards against long answers that take the room of the small ones beside them.
test('at the bound the largest lets go, and small answers go on', () => {
  const { held, lines } = createHeld();
  const letGo: string[] = [];
  const open = (name: string, bytes: number) => {
    const run = () => letGo.push(name);
    held.forCall(name).open({ way: 'passed-on', run }).set(bytes);
  };
  open('small', 20_000);
  open('long', 300_000);
  open('longest', 500_000);
  open('second', 200_000);
  assert.equal(letGo, ['longest']);
  for (let count = 0; count < 30; count += 1) open(`small-${count}`, 20_000);
  assert.equal(letGo, ['longest', 'long']);
  const fields = { requestId: 'longest', way: 'passed-on', bytes: 500_000, heldBytes: 820_000 };
  assert.equal(lines[0], { ...fields, maxBytes: MAX_BYTES });
});

// Guards against room that is never given back, after which nothing is held any more.
test('whatever is held, let go and ended, the sum stays in its bound and comes back to nothing', () => {
  const step = fastCheck.record({
    call: fastCheck.nat({ max: 9 }),
    bytes: fastCheck.nat({ max: 400_000 }),
    act: fastCheck.constantFrom('set', 'set', 'set', 'release', 'close'),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(step, { maxLength: 60 }), (steps) => {
      const { held } = createHeld();
      const names = Array.from({ length: 10 }, (_, index) => `r${index}`);
      const calls = names.map((name) => {
        const holds = held.forCall(name);
        const released = { run: () => {} };
        const hold = holds.open({ way: 'passed-on', run: () => released.run() });
        released.run = hold.release;
        return { holds, hold };
      });
      steps.forEach(({ call, bytes, act }) => {
        const { holds, hold } = calls[call] as (typeof calls)[number];
        if (act === 'set') hold.set(bytes);
        else if (act === 'release') hold.release();
        else holds.close();
        assert.ok(held.heldBytes() >= 0 && held.heldBytes() <= MAX_BYTES);
      });
      calls.forEach(({ holds }) => holds.close());
      assert.is(held.heldBytes(), 0);
    }),
    { seed: 31 },
  );
});

test.run();
