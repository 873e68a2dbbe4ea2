import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as relayedLists from './relayed-list.js';

const test = suite('relayed list');

const MAX_AGE_MS = 1_000;
const VERSION = { incarnation: 7, version: 3 };

function createList() {
  return relayedLists.createRelayedList({ maxRelayedAgeMs: MAX_AGE_MS });
}

// Guards against relying on a holder that is silent, or whose own watch is: requests would go to upstreams that have
// left.
test('the list is relayed only while the holder replies and the store confirmed its list recently', () => {
  const list = createList();
  assert.not(list.isRelayed(0));
  list.applyReply({ asOfMs: 1_000, listVersion: VERSION });
  assert.ok(list.isRelayed(1_900));
  assert.not(list.isRelayed(2_100));
  list.applyReply({ asOfMs: 2_200, listVersion: VERSION });
  list.applyReply({ asOfMs: null, listVersion: VERSION });
  assert.not(list.isRelayed(2_300));
  // A gateway that no longer holds the lease relays no list.
  list.applyReply({ asOfMs: 2_400, listVersion: null });
  assert.not(list.isRelayed(2_400));
  assert.equal(list.version(), VERSION);
});

// Guards against trusting a holder's list forever while the holder is cut off from the store, because each of its
// replies restarts the time.
test('replies with the same confirmation of the store do not make the list younger', () => {
  const list = createList();
  for (let nowMs = 1_000; nowMs < 3_000; nowMs += 100) {
    list.applyReply({ asOfMs: 1_000, listVersion: VERSION });
    assert.is(list.isRelayed(nowMs), nowMs - 1_000 < MAX_AGE_MS);
  }
});

test('the age is that of the latest confirmation by any path, and the direct age that of its own', () => {
  const list = createList();
  assert.is(list.ageMs(500), null);
  list.noteConfirmed(600);
  list.applyReply({ asOfMs: 900, listVersion: VERSION });
  assert.is(list.ageMs(1_000), 100);
  assert.is(list.directAgeMs(1_000), 400);
  // An answer that was delayed on its way.
  list.noteConfirmed(300);
  assert.is(list.directAgeMs(1_000), 400);
});

test.run();
