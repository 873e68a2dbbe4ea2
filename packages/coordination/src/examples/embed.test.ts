import * as fs from 'node:fs';

import { test } from 'uvu';
import * as assert from 'uvu/assert';

import * as embed from './embed.js';

const FIRST_PORT = 29_410;

test('the example runs', async () => {
  const observed = await embed.runExample(FIRST_PORT);
  assert.equal([...observed.members].sort(), ['first', 'second']);
  assert.equal(observed.document, { greeting: 'hello' });
  assert.equal(observed.claims, ['held', 'taken']);
});

test('the README contains the source of the example', () => {
  const readme = fs.readFileSync(new URL('../../README.md', import.meta.url), 'utf8');
  const source = fs.readFileSync(new URL('./embed.ts', import.meta.url), 'utf8');
  assert.ok(readme.includes(source));
});

test.run();
