import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as requestCensus from './request-census.js';

const test = suite('request census');

// Guards against answers of other upstreams speaking against a trait whose own upstreams are down.
test('a trait is compared with what the same upstreams can run', () => {
  const census = requestCensus.createRequestCensus();
  const [own, other] = [
    { traits: ['a', 'x'], pool: 'm1' },
    { traits: ['b', 'x'], pool: 'm2' },
  ];
  census.noteSent(own, 10);
  census.noteSent(other, 20);
  census.noteSent({ ...own, traits: ['c'] }, 30);
  census.noteSound(other, 40);
  census.noteSound({ ...own, traits: ['c'] }, 50);
  assert.equal(census.usage('a', 0), { sentCount: 1, sentTotal: 2, soundTotal: 1 });
  assert.equal(census.usage('a', 20), { sentCount: 0, sentTotal: 1, soundTotal: 1 });
  assert.equal(census.usage('x', 0), { sentCount: 2, sentTotal: 3, soundTotal: 2 });
  assert.equal(census.usage('unknown', 0), { sentCount: 0, sentTotal: 0, soundTotal: 0 });
});

test.run();
