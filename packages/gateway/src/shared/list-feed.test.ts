import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as listFeeds from './list-feed.js';

const test = suite('list feed');

const DRAIN_TIMEOUT_MS = 2_500;
const BASIS = { incarnation: 7, version: 3 };

// The holder's own watch falls silent, or the holder does. Whoever went on relying on it would send requests to
// upstreams that have left.
test('it lasts only while the holder answers and says that its watch is answered', () => {
  const feed = listFeeds.createListFeed(DRAIN_TIMEOUT_MS);
  assert.not(feed.isFed(0));
  feed.heard({ isListLive: true, basis: BASIS }, 1_000);
  assert.ok(feed.isFed(1_900));
  assert.not(feed.isFed(2_100));
  feed.heard({ isListLive: true, basis: BASIS }, 2_200);
  feed.heard({ isListLive: false, basis: BASIS }, 2_300);
  assert.not(feed.isFed(2_300));
  // One that does not hold the lease any more tells no list.
  feed.heard({ isListLive: true, basis: null }, 2_400);
  assert.not(feed.isFed(2_400));
  assert.equal(feed.basis(), BASIS);
});

test.run();
