import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as listFeeds from './list-feed.js';

const test = suite('list feed');

const ASK_AT_AGE_MS = 1_000;
const BASIS = { incarnation: 7, version: 3 };

function createFeed() {
  return listFeeds.createListFeed({ askAtAgeMs: ASK_AT_AGE_MS });
}

// The holder's own watch falls silent, or the holder does. Whoever went on relying on it would send requests to
// upstreams that have left.
test('it lasts only while the holder answers and the store has vouched for its list lately', () => {
  const feed = createFeed();
  assert.not(feed.isFed(0));
  feed.heard({ asOfMs: 1_000, basis: BASIS });
  assert.ok(feed.isFed(1_900));
  assert.not(feed.isFed(2_100));
  feed.heard({ asOfMs: 2_200, basis: BASIS });
  feed.heard({ asOfMs: null, basis: BASIS });
  assert.not(feed.isFed(2_300));
  // One that does not hold the lease any more tells no list.
  feed.heard({ asOfMs: 2_400, basis: null });
  assert.not(feed.isFed(2_400));
  assert.equal(feed.basis(), BASIS);
});

// Failure: each answer of a holder that is cut off from the store starts the time anew, and its list is believed for ever.
test('answers that tell of the same word of the store do not make it younger', () => {
  const feed = createFeed();
  for (let nowMs = 1_000; nowMs < 3_000; nowMs += 100) {
    feed.heard({ asOfMs: 1_000, basis: BASIS });
    assert.is(feed.isFed(nowMs), nowMs - 1_000 < ASK_AT_AGE_MS);
  }
});

test('the age is that of the latest word by whichever way, and what others may rely on that of its own', () => {
  const feed = createFeed();
  assert.is(feed.ageMs(500), null);
  feed.vouched(600);
  feed.heard({ asOfMs: 900, basis: BASIS });
  assert.is(feed.ageMs(1_000), 100);
  assert.is(feed.ownAgeMs(1_000), 400);
  // An answer that was on its way for long.
  feed.vouched(300);
  assert.is(feed.ownAgeMs(1_000), 400);
});

test.run();
