import { randoms } from '@copperlever/runtime';
import * as fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import * as records from './records.js';
import * as swim from './swim.js';
import type * as types from './types.js';

function describe(memberId: string): types.SelfDescription {
  return {
    memberId,
    incarnation: 1,
    address: `${memberId}:1`,
    region: 'r',
    failureDomain: 'd',
    attributes: Buffer.alloc(0),
  };
}

const recordArbitrary = fc.record({
  incarnation: fc.integer({ min: 1, max: 3 }),
  revision: fc.integer({ min: 0, max: 3 }),
  status: fc.constantFrom<types.MemberStatus>('alive', 'suspected', 'leaving', 'dead'),
});

function createState(memberId: string): swim.Swim {
  return swim.createSwim(describe(memberId), swim.DEFAULT_LIMITS, randoms.createRandom(1));
}

test('views that receive the same records in any order agree', () => {
  // A member announces itself as alive or leaving under different revisions, so `leaving` gets revisions of its own.
  const own = recordArbitrary.map((record) => ({
    ...describe('b'),
    ...record,
    revision: record.status === 'leaving' ? record.revision + 10 : record.revision,
  }));
  fc.assert(
    fc.property(fc.array(own, { maxLength: 12 }), fc.integer(), (received, seed) => {
      const shuffled = randoms.sample(randoms.createRandom(seed), received, received.length);
      const [first, second] = [createState('a'), createState('c')];
      received.forEach((record) => first.apply(record, 0, 'gossip'));
      shuffled.forEach((record) => second.apply(record, 0, 'gossip'));
      assert.equal(first.find('b'), second.find('b'));
    }),
    { seed: 7, numRuns: 300 },
  );
});

test('of two records, at most one is newer than the other', () => {
  const record = recordArbitrary.map((fields) => ({ ...describe('b'), ...fields }));
  fc.assert(
    fc.property(record, record, (a, b) => {
      assert.not.ok(records.isNewer(a, b) && records.isNewer(b, a));
    }),
    { seed: 7 },
  );
});

test('an update is sent a bounded number of times', () => {
  const state = createState('a');
  state.apply({ ...describe('b'), revision: 0, status: 'alive' }, 0, 'gossip');
  let sentCount = 0;
  for (let round = 0; round < 100; round += 1) sentCount += state.takeUpdates(0).length;
  assert.is(state.pendingCount(), 0);
  assert.ok(sentCount <= 2 * swim.DEFAULT_LIMITS.transmitLimit, `${sentCount} sent`);
});

test('records of a fetched view are not gossiped', () => {
  const state = createState('a');
  state.takeUpdates(0);
  state.apply({ ...describe('b'), revision: 0, status: 'alive' }, 0, 'view');
  assert.equal(
    state.takeUpdates(0).map((member) => member.memberId),
    ['a'],
  );
});

test('changed attributes are sent after changes of standing, and do not change the hash of the view', () => {
  // An agent's models change while another agent leaves. The leaving is sent first, attributes follow a few at a time,
  // and the hash of the view stays the same.
  const state = createState('a');
  for (let count = 0; count < 200; count += 1) {
    state.apply({ ...describe(`m${count}`), revision: 0, status: 'alive' }, 0, 'view');
  }
  const hash = state.viewHash();
  while (state.takeUpdates(0).length > 0);
  state.apply({ ...describe('m1'), revision: 1, status: 'alive' }, 0, 'gossip');
  state.apply({ ...describe('m2'), revision: 1, status: 'alive' }, 0, 'gossip');
  assert.is(state.viewHash(), hash);
  state.apply({ ...describe('m3'), revision: 1, status: 'leaving' }, 0, 'gossip');
  const sent = state.takeUpdates(0).map((member) => member.memberId);
  assert.equal([sent[0], sent.length], ['m3', 2]);
});

test('the hash of a view does not depend on the order of updates', () => {
  const [first, second] = [createState('a'), createState('a')];
  first.apply({ ...describe('b'), revision: 0, status: 'alive' }, 0, 'gossip');
  first.suspect('b', 0);
  first.apply({ ...describe('b'), revision: 1, status: 'alive' }, 0, 'gossip');
  first.apply({ ...describe('c'), revision: 0, status: 'dead' }, 0, 'gossip');
  second.apply({ ...describe('b'), revision: 1, status: 'alive' }, 0, 'gossip');
  assert.is(first.viewHash(), second.viewHash());
});

test.run();
