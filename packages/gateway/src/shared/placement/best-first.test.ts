import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as bestFirst from './best-first.js';

const test = suite('best first');

type Item = { id: number; benefit: number | null; margin: number; isAllowed: boolean };
type Result = { id: number; benefit: number; isAllowed: boolean };

const items = fc.array(
  fc.record({
    benefit: fc.option(fc.integer({ min: 0, max: 20 }), { nil: null }),
    margin: fc.integer({ min: 0, max: 10 }),
    isAllowed: fc.boolean(),
  }),
  { maxLength: 30 },
);

function evaluate({ id, benefit, isAllowed }: Item): Result | null {
  return benefit === null ? null : { id, benefit, isAllowed };
}

// The search skips options that cannot be the best. If it took an upper bound for the value, or stopped at the first
// option found, a model with rising demand could be left without its copy.
test('the result is that of evaluating all options', () => {
  fc.assert(
    fc.property(items, (given) => {
      const all = given.map((item, id): Item => ({ ...item, id }));
      const options = all.map((item) => ({
        item,
        boundValue: (item.benefit ?? 0) + item.margin,
      }));
      const found = bestFirst.pickBest(options, evaluate, ({ isAllowed }) => isAllowed);
      const expected = all
        .flatMap((item) => evaluate(item) ?? [])
        .filter(({ isAllowed }) => isAllowed)
        .sort((left, right) => right.benefit - left.benefit)[0];
      assert.equal(found, expected ?? null);
    }),
  );
});

test('an option that cannot be the best is not evaluated', () => {
  const evaluated: number[] = [];
  const options = [3, 9, 1, 5].map((benefit, id) => ({
    item: { id, benefit, margin: 0, isAllowed: true },
    boundValue: benefit,
  }));
  const found = bestFirst.pickBest(
    options,
    (item) => {
      evaluated.push(item.id);
      return evaluate(item);
    },
    () => true,
  );
  assert.is(found?.id, 1);
  assert.equal(evaluated, [1]);
});

test.run();
