import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as steps from './steps.js';

const test = suite('steps');

// Guards against a loop that ends, and the process with it, because one of its steps failed.
test('what a step throws is logged and goes no further', async () => {
  const lines: string[] = [];
  const log = {
    error: (event: string, fields = {}) => lines.push(`${event} ${JSON.stringify(fields)}`),
  };
  await steps.guard(log, 'sync', () => {
    throw new Error('odd');
  });
  await steps.guard(log, 'async', async () => Promise.reject(new Error('odd')));
  await steps.guard(log, 'sound', () => {});
  assert.equal(lines, [
    'step-failed {"loop":"sync","reason":"Error: odd"}',
    'step-failed {"loop":"async","reason":"Error: odd"}',
  ]);
});

test.run();
