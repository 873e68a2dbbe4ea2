import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as listFeeds from './list-feed.js';

const test = suite('relayed list');

const MAX_AGE_MS = 1_000;
const VERSION = { incarnation: 7, version: 3 };

function createList() {
  return listFeeds.createListFeed({ askAtAgeMs: MAX_AGE_MS });
}

// Guards against relying on a holder that is silent, or whose own watch is: requests would go to upstreams that have
// left.
test('the list is relayed only while the holder replies and the store confirmed its list recently', () => {
  const list = createList();
  assert.not(list.isFed(0));
  list.heard({ asOfMs: 1_000, basis: VERSION });
  assert.ok(list.isFed(1_900));
  assert.not(list.isFed(2_100));
  list.heard({ asOfMs: 2_200, basis: VERSION });
  list.heard({ asOfMs: null, basis: VERSION });
  assert.not(list.isFed(2_300));
  // A gateway that no longer holds the lease relays no list.
  list.heard({ asOfMs: 2_400, basis: null });
  assert.not(list.isFed(2_400));
  assert.equal(list.basis(), VERSION);
});

// Guards against trusting a holder's list forever while the holder is cut off from the store, because each of its
// replies restarts the time.
test('replies with the same confirmation of the store do not make the list younger', () => {
  const list = createList();
  for (let nowMs = 1_000; nowMs < 3_000; nowMs += 100) {
    list.heard({ asOfMs: 1_000, basis: VERSION });
    assert.is(list.isFed(nowMs), nowMs - 1_000 < MAX_AGE_MS);
  }
});

test('the age is that of the latest confirmation by any path, and the direct age that of its own', () => {
  const list = createList();
  assert.is(list.ageMs(500), null);
  list.vouched(600);
  list.heard({ asOfMs: 900, basis: VERSION });
  assert.is(list.ageMs(1_000), 100);
  assert.is(list.ownAgeMs(1_000), 400);
  // An answer that was delayed on its way.
  list.vouched(300);
  assert.is(list.ownAgeMs(1_000), 400);
});

test.run();
