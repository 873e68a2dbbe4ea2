import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as cells from './cells.js';
import * as runner from './runner.js';
import * as safeguards from './safeguards.js';

const test = suite('safeguards');

for (const safeguard of safeguards.SAFEGUARDS) {
  test(`without ${safeguard.name} cells turn red: ${safeguard.prevents}`, async () => {
    // The same faults strike the same steps twice. With the safeguard callers are told the truth;
    // without it at least one cell shows the harm, or the matrix would prove nothing of it.
    const shown = cells.listCells().filter((cell) => cells.isWanted(cell, safeguard.shownBy));
    const kept = await runner.runCells(shown);
    const removed = await runner.runCells(shown, safeguard.without);
    assert.is(kept.filter((row) => row.verdict === 'red').length, 0, 'with the safeguard');
    assert.ok(
      removed.some((row) => row.verdict === 'red'),
      'without the safeguard',
    );
  });
}

test.run();
