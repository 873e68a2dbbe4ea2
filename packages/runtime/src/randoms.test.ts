import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as randoms from './randoms.js';

const test = suite('randoms');

function draw(random: randoms.Random): number[] {
  return Array.from({ length: 8 }, () => random.below(1_000));
}

test('the same seed gives the same sequence', () => {
  assert.equal(draw(randoms.createRandom(1)), draw(randoms.createRandom(1)));
});

test('two processes that start at the same time draw different numbers', () => {
  // Each process recognises its own writes by a nonce. With the same seed, a process would take the other's claim for
  // its own, and both would dispatch the same submission.
  const systems = [randoms.createSystemRandom(), randoms.createSystemRandom()];
  const [first, second] = systems.map((random) => draw(random).join());
  assert.is.not(first, second);
});

test('a sample contains no item twice', () => {
  const taken = randoms.sample(randoms.createRandom(1), [1, 2, 3, 4], 3);
  assert.is(new Set(taken).size, 3);
});

test.run();
