import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as storeContacts from './store-contact.js';

const test = suite('store contact');

const DRAIN_TIMEOUT_MS = 2_000;

/** The store answered from 0 to 4,000, and this gateway's calls failed from 4,300 to 11,500. */
function createAfterOutage(): storeContacts.StoreContact {
  const contact = storeContacts.createStoreContact(DRAIN_TIMEOUT_MS);
  contact.noteSpan({ fromMs: 0, toMs: 4_000 });
  for (let atMs = 4_300; atMs <= 11_300; atMs += 1_000) contact.noteFailed(atMs);
  contact.noteAnswered(11_400);
  return contact;
}

test('after an outage that nobody saw end earlier, entries may have lapsed as of the first answer', () => {
  assert.is(createAfterOutage().returnedMs(), 11_400);
});

// Guards against taking the outage of one gateway for the store's.
test('an outage in which another gateway was answered makes nothing lapse', () => {
  const contact = createAfterOutage();
  contact.noteSpan({ fromMs: 5_300, toMs: 11_000 });
  assert.is(contact.returnedMs(), -Infinity);
});

// Guards against counting the grace from when this gateway noticed the return.
test('the store is back as of the first answer to any gateway', () => {
  const contact = createAfterOutage();
  contact.noteSpan({ fromMs: 9_000, toMs: 11_000 });
  assert.is(contact.returnedMs(), 9_000);
});

// Guards against two answers that are lost at a gateway, which alone say nothing of the store.
test('a gateway that saw no outage itself drops what is missing within the drain timeout of the last answer', () => {
  const contact = storeContacts.createStoreContact(DRAIN_TIMEOUT_MS);
  contact.noteAnswered(1_000);
  contact.noteFailed(3_000);
  contact.noteFailed(3_400);
  contact.noteAnswered(3_690);
  const keptUntilMs = contact.returnedMs() + storeContacts.LAPSE_GRACE_MS;
  assert.is(keptUntilMs, 1_000 + 0.9 * DRAIN_TIMEOUT_MS);
});

test('answers that come with short pauses are one span, in whichever order they are heard of', () => {
  const contact = storeContacts.createStoreContact(DRAIN_TIMEOUT_MS);
  [5_000, 1_000, 7_000, 3_000].forEach(contact.noteAnswered);
  assert.equal(contact.latest(), { fromMs: 1_000, toMs: 7_000 });
  assert.is(contact.returnedMs(), -Infinity);
});

test.run();
