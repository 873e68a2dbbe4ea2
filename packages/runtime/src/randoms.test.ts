import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as randoms from './randoms.js';

const test = suite('randoms');

function draw(random: randoms.Random): number[] {
  return Array.from({ length: 8 }, () => random.below(1_000));
}

test('one seed gives one sequence', () => {
  assert.equal(draw(randoms.createRandom(1)), draw(randoms.createRandom(1)));
});

test('two processes that start in the same instant draw different numbers', () => {
  // Each process knows its own writes by a nonce. With one seed for both, a process would find the
  // other's claim under "its" nonce, and both would dispatch the same submission.
  const systems = [randoms.createSystemRandom(), randoms.createSystemRandom()];
  const [first, second] = systems.map((random) => draw(random).join());
  assert.is.not(first, second);
});

test('a sample has no item twice', () => {
  const taken = randoms.sample(randoms.createRandom(1), [1, 2, 3, 4], 3);
  assert.is(new Set(taken).size, 3);
});

test.run();
