import * as fs from 'node:fs';

import { test } from 'uvu';
import * as assert from 'uvu/assert';

import * as embed from './embed.js';

const FIRST_PORT = 29_410;

test('the example runs', async () => {
  const seen = await embed.runExample(FIRST_PORT);
  assert.equal([...seen.members].sort(), ['first', 'second']);
  assert.equal(seen.document, { greeting: 'hello' });
  assert.equal(seen.claims, ['held', 'taken']);
});

test('the README shows the example as it is', () => {
  const readme = fs.readFileSync(new URL('../../README.md', import.meta.url), 'utf8');
  const source = fs.readFileSync(new URL('./embed.ts', import.meta.url), 'utf8');
  assert.ok(readme.includes(source));
});

test.run();
