import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as bestFirst from './best-first.js';

const test = suite('best first');

type Item = { id: number; benefit: number | null; slack: number; isAllowed: boolean };
type Found = { id: number; benefit: number; isAllowed: boolean };

const items = fc.array(
  fc.record({
    benefit: fc.option(fc.integer({ min: 0, max: 20 }), { nil: null }),
    slack: fc.integer({ min: 0, max: 10 }),
    isAllowed: fc.boolean(),
  }),
  { maxLength: 30 },
);

function weigh({ id, benefit, isAllowed }: Item): Found | null {
  return benefit === null ? null : { id, benefit, isAllowed };
}

// A plan passes over models that cannot be the best. Were a bound taken for the value, or the search ended at the
// first one found, a rising model would go without its copy.
test('the result is that of weighing all', () => {
  fc.assert(
    fc.property(items, (given) => {
      const all = given.map((item, id): Item => ({ ...item, id }));
      const options = all.map((item) => ({
        item,
        boundValue: (item.benefit ?? 0) + item.slack,
      }));
      const found = bestFirst.pickBest(options, weigh, ({ isAllowed }) => isAllowed);
      const expected = all
        .flatMap((item) => weigh(item) ?? [])
        .filter(({ isAllowed }) => isAllowed)
        .sort((left, right) => right.benefit - left.benefit)[0];
      assert.equal(found, expected ?? null);
    }),
  );
});

test('what cannot be the best is not weighed', () => {
  const weighed: number[] = [];
  const options = [3, 9, 1, 5].map((benefit, id) => ({
    item: { id, benefit, slack: 0, isAllowed: true },
    boundValue: benefit,
  }));
  const found = bestFirst.pickBest(
    options,
    (item) => {
      weighed.push(item.id);
      return weigh(item);
    },
    () => true,
  );
  assert.is(found?.id, 1);
  assert.equal(weighed, [1]);
});

test.run();
