import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as streamCalls from '../../testing/stream-calls.js';
import * as requestTraits from './request-traits.js';

const test = suite('request traits');

function traitsOf(...ids: string[]): readonly string[] {
  const call = streamCalls.streamCall('r1');
  const promptParts = ids.map((id, index) => ({ id, tokens: index }));
  return requestTraits.of({ ...call, facts: { ...call.facts, promptParts } });
}

// Guards against a part that is told apart by how its id is written, or that counts twice.
test('the id of a part counts, however it is written and how often it comes', () => {
  const expected = ['request:r1', 'part:ab1', 'part:0'];
  assert.equal(traitsOf('00ab1', 'AB1', '000', 'ab1', 'ff'), expected);
});

// Guards against suspicion of what only one request has.
test('the last part is left out, and a request without parts has its fingerprint alone', () => {
  assert.equal(traitsOf('a', 'b'), ['request:r1', 'part:a']);
  assert.equal(traitsOf('a'), ['request:r1']);
  assert.equal(traitsOf(), ['request:r1']);
});

// Guards against memory that a caller fills with parts and long ids.
test('the number of traits and their length are bounded', () => {
  const many = traitsOf(...Array.from({ length: 10_000 }, (_, index) => `${index}`));
  assert.is(many.length, requestTraits.TRAITS_MAX);
  const [, long = ''] = traitsOf('x'.repeat(10_000), 'a');
  assert.ok(long.length < 30);
});

test.run();
