import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as streamOrigins from './stream-origins.js';

const test = suite('origins of streams');

const LIFE_MS = 120_000;

function createOrigins(): streamOrigins.StreamOrigins {
  return streamOrigins.createStreamOrigins(() => LIFE_MS);
}

function origin(version: string, begunAtMs: number): streamOrigins.StreamOrigin {
  return { service: 'pool', version, begunAtMs };
}

test('the version that began a stream is kept, whatever is noted for it later', () => {
  const origins = createOrigins();
  assert.is(origins.note('r1', origin('v1', 10), 10)?.version, 'v1');
  assert.is(origins.note('r1', origin('v2', 20), 20), null);
  assert.is(origins.find('r1', 30)?.version, 'v1');
  assert.is(origins.find('r2', 30), null);
});

test('an origin is dropped once no caller can come back for its stream', () => {
  const origins = createOrigins();
  origins.note('r1', origin('v1', 0), 0);
  assert.is(origins.find('r1', LIFE_MS)?.version, 'v1');
  assert.is(origins.find('r1', LIFE_MS + 1), null);
  origins.note('r2', origin('v1', 0), LIFE_MS * 2);
  assert.is(origins.count(), 0);
});

test('ids of any length and number take a bounded part of the memory', () => {
  const origins = createOrigins();
  origins.note('x'.repeat(10_000), origin('v1', 0), 0);
  origins.note('', origin('v1', 0), 0);
  assert.is(origins.count(), 0);
  for (let index = 0; index < 50_000; index += 1) origins.note(`r${index}`, origin('v1', 0), 0);
  assert.is(origins.count(), 20_000);
  assert.is(origins.find('r0', 0), null);
  assert.is(origins.find('r49999', 0)?.version, 'v1');
});

test.run();
