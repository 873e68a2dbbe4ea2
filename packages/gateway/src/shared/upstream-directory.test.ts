import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as fixtures from '../testing/fleet-fixtures.js';
import type * as stores from '../types/stores.js';
import type * as fleet from '../types/fleet.js';
import * as storePositions from './store-positions.js';
import * as departures from './departures.js';
import * as storeContacts from './store-contact.js';
import * as directories from './upstream-directory.js';

const test = suite('upstream directory');

function stored(
  name: string,
  revision: number,
  overrides: Partial<fleet.UpstreamRecord> = {},
): stores.StoredRecord<fleet.UpstreamRecord> {
  return { name, era: 0, revision, value: fixtures.upstreamRecord(name, overrides) };
}

function ids(directory: directories.UpstreamDirectory, nowMs = 0): string[] {
  return directory.eligible('pool', nowMs).map(({ upstreamId }) => upstreamId);
}

test('a draining upstream gets no new work once this is known', () => {
  const directory = directories.createUpstreamDirectory();
  directory.applyListing(
    { records: [stored('u1', 3), stored('u2', 4)], unreadable: [], era: 0, revision: 4 },
    0,
  );
  const record = stored('u1', 5, { state: 'draining' });
  directory.applyChange({ kind: 'written', record }, 0);
  assert.equal(ids(directory), ['u2']);
});

// Guards against sending requests until it ends to an upstream that reported leaving, because it is listed as ready
// again.
test('an upstream that reported leaving gets no work under a later entry; its next start is another upstream', () => {
  const directory = directories.createUpstreamDirectory();
  const records = [stored('u1', 3), stored('u2', 4)];
  directory.applyListing({ records, unreadable: [], era: 0, revision: 4 }, 0);
  assert.ok(directory.noteLeaving('u1', 0));
  assert.not(directory.noteLeaving('u1', 10));
  assert.equal(ids(directory), ['u2']);
  directory.applyChange({ kind: 'deleted', name: 'u1', era: 0, revision: 5 }, 20);
  directory.applyChange({ kind: 'written', record: stored('u1', 6) }, 30);
  assert.equal(ids(directory), ['u2']);
  const nextStart = stored('u1', 7, { upstreamId: 'u1@2' });
  directory.applyChange({ kind: 'written', record: nextStart }, 40);
  assert.equal(ids(directory).sort(), ['u1@2', 'u2']);
});

// Guards against two gateways that remind each other forever of an upstream that is long gone.
test('leaving upstreams are forgotten', () => {
  const first = directories.createUpstreamDirectory();
  const second = directories.createUpstreamDirectory();
  first.noteLeaving('u1', 0);
  for (let atMs = 0; atMs < 1_000_000; atMs += 10_000) {
    first.newlyLeavingIds(atMs).forEach((id) => second.noteLeaving(id, atMs));
    second.newlyLeavingIds(atMs).forEach((id) => first.noteLeaving(id, atMs));
  }
  first.noteLeaving('u9', 1_000_000);
  assert.equal(first.leavingIds(), ['u9']);
});

// The store was away and its entries lapsed, so its list is empty for a short time although every upstream serves. If
// all were dropped, every request would be refused for two seconds.
test('after an outage of the store missing entries stay for the grace, and then go', () => {
  const directory = directories.createUpstreamDirectory();
  directory.applyListing(
    { records: [stored('u1', 3), stored('u2', 4)], unreadable: [], era: 0, revision: 4 },
    0,
  );
  directory.noteStoreReturn(10_000);
  directory.applyListing({ records: [], unreadable: [], era: 0, revision: 9 }, 10_000);
  assert.equal(ids(directory, 10_000), ['u1', 'u2']);
  directory.applyChange({ kind: 'written', record: stored('u2', 10) }, 11_000);
  const afterMs = 10_000 + storeContacts.LAPSE_GRACE_MS;
  assert.equal(ids(directory, afterMs), ['u2']);
});

// A peer's listing is newer than this gateway's own watch, which then brings older changes. They must not bring back
// an upstream that is gone: its address may belong to another service by now.
test('changes older than a listing do not bring entries back', () => {
  const directory = directories.createUpstreamDirectory();
  directory.applyListing({ records: [stored('u1', 3)], unreadable: [], era: 0, revision: 3 }, 0);
  directory.applyListing({ records: [], unreadable: [], era: 0, revision: 9 }, 0);
  directory.applyChange({ kind: 'written', record: stored('u1', 7) }, 0);
  assert.equal(ids(directory), []);
});

// Guards against dropping new changes as outdated after the store returned with an older copy.
test('a position in a later era is newer than higher revisions of an earlier one', () => {
  const directory = directories.createUpstreamDirectory();
  const records = [stored('u1', 184), stored('u2', 90)];
  directory.applyListing({ records, unreadable: [], era: 0, revision: 193 }, 0);
  const again = records.map((record) => ({ ...record, era: 1, revision: 85 }));
  assert.ok(directory.applyListing({ records: again, unreadable: [], era: 1, revision: 169 }, 0));
  const record = { ...stored('u1', 170, { state: 'draining' }), era: 1 };
  assert.ok(directory.applyChange({ kind: 'written', record }, 0));
  assert.equal(ids(directory), ['u2']);
  const late = { ...stored('u1', 400), era: 0 };
  assert.not(directory.applyChange({ kind: 'written', record: late }, 0));
  assert.equal(ids(directory), ['u2']);
  assert.equal(directory.position(), { era: 1, revision: 170 });
});

function inEra(era: number, records: readonly stores.StoredRecord<fleet.UpstreamRecord>[]) {
  return records.map((record) => ({ ...record, era }));
}

// Guards against treating an upstream as ready that reported leaving before the store returned with an older copy.
test('an upstream that was leaving before the store returned still leaves, and others are told', () => {
  const kept: string[] = [];
  const directory = directories.createUpstreamDirectory(undefined, (id) => kept.push(id));
  const records = [stored('u1', 3), stored('u2', 4)];
  directory.applyListing({ records, unreadable: [], era: 0, revision: 9 }, 0);
  const draining = stored('u1', 10, { state: 'draining' });
  directory.applyChange({ kind: 'written', record: draining }, 1_000);
  const copied = { records: inEra(1, records), unreadable: [], era: 1, revision: 9 };
  directory.applyListing(copied, 2_000);
  assert.equal(ids(directory, 2_000), ['u2']);
  assert.equal(ids(directory, 60_000), ['u2']);
  assert.equal(directory.newlyLeavingIds(2_000), ['u1']);
  assert.equal(kept, ['u1']);
});

// Guards against sending requests to the address of an upstream that is gone but still listed in the older copy.
test('an upstream gone before the store returned is unused until written again, or until entries lapse', () => {
  const directory = directories.createUpstreamDirectory();
  const records = [stored('u1', 3), stored('u2', 4), stored('u3', 5)];
  directory.applyListing({ records, unreadable: [], era: 0, revision: 9 }, 0);
  directory.applyChange({ kind: 'deleted', name: 'u1', era: 0, revision: 10 }, 1_000);
  directory.applyChange({ kind: 'deleted', name: 'u2', era: 0, revision: 11 }, 1_000);
  const copied = { records: inEra(1, records), unreadable: [], era: 1, revision: 9 };
  directory.applyListing(copied, 2_000);
  assert.equal(ids(directory, 2_000), ['u3']);
  const [anew] = inEra(1, [stored('u1', 10)]);
  assert.ok(anew);
  directory.applyChange({ kind: 'written', record: anew }, 2_500);
  assert.equal(ids(directory, 2_500).sort(), ['u1', 'u3']);
  assert.equal(ids(directory, 2_000 + departures.RETURN_SETTLED_MS).sort(), ['u1', 'u2', 'u3']);
});

// Guards against dropping upstreams that started after the copy was made, although they serve.
test('entries that the older copy lacks stay until they could be written again', () => {
  const directory = directories.createUpstreamDirectory();
  const records = [stored('u1', 3), stored('u2', 8)];
  directory.applyListing({ records, unreadable: [], era: 0, revision: 9 }, 0);
  const [first] = inEra(1, records);
  assert.ok(first);
  directory.applyListing({ records: [first], unreadable: [], era: 1, revision: 5 }, 2_000);
  assert.equal(ids(directory, 2_000), ['u1', 'u2']);
  const [again] = inEra(1, [stored('u2', 6)]);
  assert.ok(again);
  directory.applyChange({ kind: 'written', record: again }, 3_000);
  assert.equal(ids(directory, 10_000), ['u1', 'u2']);
});

test('an older listing changes nothing', () => {
  const directory = directories.createUpstreamDirectory();
  directory.applyListing({ records: [stored('u1', 3)], unreadable: [], era: 0, revision: 9 }, 0);
  directory.applyListing({ records: [stored('u2', 2)], unreadable: [], era: 0, revision: 5 }, 0);
  assert.equal(ids(directory), ['u1']);
});

// An upstream crashes and is listed again under its name, without copies. Using what was known of the earlier start,
// above all its copies, would send requests to copies that are gone.
test('another start under the same name is another upstream', () => {
  const restarts: string[] = [];
  const directory = directories.createUpstreamDirectory((beforeId, { upstreamId }) => {
    restarts.push(`${beforeId} ${upstreamId}`);
  });
  directory.applyListing({ records: [stored('u1', 3)], unreadable: [], era: 0, revision: 3 }, 0);
  const record = stored('u1', 5, { upstreamId: 'u1@7' });
  directory.applyChange({ kind: 'written', record }, 0);
  assert.equal(ids(directory), ['u1@7']);
  assert.is(directory.find('u1'), undefined);
  assert.is(directory.find('u1@7')?.name, 'u1');
  assert.equal(restarts, ['u1 u1@7']);
  directory.noteMisdirected('u1@7');
  assert.equal(ids(directory), []);
});

// Another writer replaces an entry by an unreadable one. The earlier entry is void: if it were used on, it would name
// an upstream that has not been confirmed since.
test('an entry that became unreadable names no upstream; the others stay valid', () => {
  const directory = directories.createUpstreamDirectory();
  const records = [stored('u1', 3), stored('u2', 4)];
  directory.applyListing({ records, unreadable: [], era: 0, revision: 4 }, 0);
  directory.applyChange({ kind: 'unreadable', name: 'u1', era: 0, revision: 6 }, 0);
  assert.equal(ids(directory), ['u2']);
  directory.applyChange({ kind: 'written', record: stored('u1', 5) }, 0);
  assert.equal(ids(directory), ['u2']);
  directory.applyChange({ kind: 'written', record: stored('u1', 8) }, 0);
  assert.equal(ids(directory).sort(), ['u1', 'u2']);
});

test('an unreadable entry of a listing has no grace after an outage, unlike one that is missing', () => {
  const directory = directories.createUpstreamDirectory();
  const records = [stored('u1', 3), stored('u2', 4)];
  directory.applyListing({ records, unreadable: [], era: 0, revision: 4 }, 0);
  directory.noteStoreReturn(100);
  const unreadable = [{ name: 'u1', era: 0, revision: 8 }];
  directory.applyListing({ records: [], unreadable, era: 0, revision: 9 }, 100);
  assert.equal(ids(directory, 100), ['u2']);
});

/** A follower with the list as of one revision, and a holder whose list is newer. */
function createPair() {
  const holder = directories.createUpstreamDirectory();
  const follower = directories.createUpstreamDirectory();
  const listing = {
    records: [stored('u1', 3), stored('u2', 4)],
    unreadable: [],
    era: 0,
    revision: 4,
  };
  holder.applyListing(listing, 0);
  follower.applyListing(listing, 0);
  return { holder, follower };
}

// Each order that an upstream takes changes its entry, dozens of times a second over all. Reported to every follower,
// these changes would be most of what the holder sends.
test('changes of an entry are reported only if they matter to routing', () => {
  const { holder } = createPair();
  const { version } = holder.membersAfter(0, 0);
  const models = [{ name: 'm1', version: 1, adapters: [] }];
  holder.applyChange({ kind: 'written', record: stored('u1', 5, { models }) }, 0);
  assert.equal(holder.membersAfter(version, 0).written, []);
  holder.applyChange({ kind: 'written', record: stored('u1', 6, { state: 'draining' }) }, 0);
  const { written } = holder.membersAfter(version, 0);
  assert.equal(
    written.map(({ name, revision }) => `${name}@${revision}`),
    ['u1@6'],
  );
});

// A new holder knows nothing of what its followers received before, except the revision of their list.
// Guards against a gateway that keeps the version before, since its list comes from one to which that change did not matter.
test('a change of the software version under a name is reported to other gateways', () => {
  const holder = directories.createUpstreamDirectory();
  holder.applyListing({ records: [stored('u1', 3)], unreadable: [], era: 0, revision: 3 }, 0);
  const { version } = holder.membersAfter(0, 0);
  const record = stored('u1', 4, { softwareVersion: 'v2' });
  holder.applyChange({ kind: 'written', record }, 0);
  assert.equal(
    holder.membersAfter(version, 0).written.map(({ value }) => value.softwareVersion),
    ['v2'],
  );
});

// Guards against versions that are lost where the list comes from a gateway of the build before, which did not read them.
test('a record from a gateway that does not tell versions leaves the known one as it is', () => {
  const follower = directories.createUpstreamDirectory();
  const known = stored('u1', 3, { softwareVersion: 'v2' });
  follower.applyListing({ records: [known], unreadable: [], era: 0, revision: 3 }, 0);
  const { softwareVersion, ...untold } = stored('u1', 4).value;
  assert.is(softwareVersion, 'v1');
  const changes = { version: 1, era: 0, revision: 4, isWhole: false, removed: [], digest: '' };
  const told = { ...stored('u1', 4), value: untold as fleet.UpstreamRecord };
  follower.applyMembers({ ...changes, written: [told] }, 0);
  assert.is(follower.find('u1')?.softwareVersion, 'v2');
  const other = { ...stored('u2', 5), value: { ...untold, upstreamId: 'u2' } };
  follower.applyMembers({ ...changes, written: [other as typeof told] }, 0);
  assert.is(follower.find('u2')?.softwareVersion, '');
});

test('a follower of a new holder receives what was added and removed since its own list', () => {
  const { holder, follower } = createPair();
  holder.applyChange({ kind: 'deleted', name: 'u1', era: 0, revision: 6 }, 0);
  holder.applyChange({ kind: 'written', record: stored('u3', 7) }, 0);
  const members = holder.membersAfterPosition(follower.position(), 0);
  assert.equal(
    members.written.map(({ name }) => name),
    ['u3'],
  );
  follower.applyMembers(members, 0);
  assert.equal(ids(follower), ['u2', 'u3']);
  assert.is(follower.position().revision, 7);
  assert.equal(holder.membersAfterPosition({ era: 0, revision: 7 }, 0).written, []);
});

// Guards against a holder that keeps what an outage may have made lapse and hides the removal from gateways that saw none.
test('an entry that a listing lacks is reported at once, and kept by each for its own outage alone', () => {
  const { holder, follower } = createPair();
  const second = createPair().follower;
  const { version } = holder.membersAfter(0, 0);
  holder.noteStoreReturn(1_000);
  second.noteStoreReturn(1_200);
  holder.applyListing({ records: [stored('u2', 4)], unreadable: [], era: 0, revision: 9 }, 1_000);
  const members = holder.membersAfter(version, 1_100);
  assert.equal(members.removed, [{ name: 'u1', era: 0, revision: 9 }]);
  follower.applyMembers(members, 1_300);
  second.applyMembers(members, 1_300);
  const afterMs = 1_000 + storeContacts.LAPSE_GRACE_MS;
  assert.equal(ids(follower, 1_300), ['u2']);
  assert.equal([ids(holder, afterMs - 1), ids(holder, afterMs)], [['u1', 'u2'], ['u2']]);
  assert.equal([ids(second, afterMs), ids(second, afterMs + 200)], [['u1', 'u2'], ['u2']]);
});

// Guards against a later return of the store that brings back what was dropped after an earlier one.
test('an entry that was kept in an outage and dropped is not offered in the next one', () => {
  const { holder } = createPair();
  holder.noteStoreReturn(1_000);
  holder.applyChange({ kind: 'deleted', name: 'u1', era: 0, revision: 9 }, 1_100);
  assert.equal(ids(holder, 1_200), ['u1', 'u2']);
  holder.noteStoreReturn(9_000);
  assert.equal(ids(holder, 9_100), ['u2']);
});

// Guards against keeping what was really removed once it is known that the store was never away.
test('an entry is dropped at once when it is heard that the store was not away', () => {
  const { holder } = createPair();
  holder.noteStoreReturn(1_000);
  holder.applyChange({ kind: 'deleted', name: 'u1', era: 0, revision: 9 }, 1_100);
  holder.noteStoreReturn(-Infinity);
  assert.equal(ids(holder, 1_200), ['u2']);
});

// Guards against gateways that stay without an upstream, since the list of the one that tells them has it unchanged.
test('an entry that was written again unchanged is reported again', () => {
  const { holder, follower } = createPair();
  const { version } = holder.membersAfter(0, 0);
  holder.noteStoreReturn(1_000);
  holder.applyChange({ kind: 'deleted', name: 'u1', era: 0, revision: 9 }, 1_000);
  const removed = holder.membersAfter(version, 1_000);
  follower.applyMembers(removed, 1_000);
  holder.applyChange({ kind: 'written', record: stored('u1', 10) }, 1_500);
  follower.applyMembers(holder.membersAfter(removed.version, 1_500), 1_500);
  assert.equal(ids(holder, 5_000).sort(), ['u1', 'u2']);
  assert.equal(ids(follower, 5_000).sort(), ['u1', 'u2']);
});

// Guards against a gateway whose older list brings back what the list has lacked since.
test('an entry that a listing lacks is not brought back by an older list of another gateway', () => {
  const { holder, follower } = createPair();
  holder.noteStoreReturn(1_000);
  holder.applyListing({ records: [stored('u2', 4)], unreadable: [], era: 0, revision: 9 }, 1_000);
  holder.applyMembers(follower.membersAfter(0, 1_000), 1_000);
  assert.equal(ids(holder, 1_000 + storeContacts.LAPSE_GRACE_MS), ['u2']);
});

// A follower's own watch is ahead of what the holder reports.
test('updates of the holder never overwrite what is newer here', () => {
  const { holder, follower } = createPair();
  follower.applyChange({ kind: 'deleted', name: 'u1', era: 0, revision: 8 }, 0);
  follower.applyChange({ kind: 'written', record: stored('u2', 9, { state: 'draining' }) }, 0);
  follower.applyMembers(holder.membersAfterPosition(storePositions.ORIGIN, 0), 0);
  assert.equal(ids(follower), []);
  assert.is(follower.position().revision, 9);
});

test.run();
