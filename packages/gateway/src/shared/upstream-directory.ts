/**
 * The known upstreams, from the platform's list and from peers, and which of them may get new work. An upstream that
 * drains or is gone gets none from the time that this process knows of it.
 */
import * as crypto from 'node:crypto';

import type * as fleet from '../types/fleet.js';
import type * as stores from '../types/stores.js';
import * as changeLedgers from './change-ledger.js';
import * as departures from './departures.js';
import * as storeContacts from './store-contact.js';
import * as storePositions from './store-positions.js';

type UpstreamStored = stores.StoredRecord<fleet.UpstreamRecord>;

export type UpstreamDirectory = {
  /** Applies a whole listing. Returns false, and changes nothing, if it is older than what is known. */
  applyListing: (listing: stores.Listing<fleet.UpstreamRecord>, nowMs: number) => boolean;
  /** Returns false, and changes nothing, if the change is older than what is known. */
  applyChange: (change: stores.Change<fleet.UpstreamRecord>, nowMs: number) => boolean;
  /**
   * The store answered again after an outage, as of then. Entries that it lacks are kept for a while, since they may still be
   * written again.
   */
  noteStoreReturn: (returnedMs: number) => void;
  /** The upstream at this address reported that it is not the intended one. */
  noteMisdirected: (upstreamId: string) => void;
  /** The upstream itself reported that it is leaving. Returns false if that was known. */
  noteLeaving: (upstreamId: string, nowMs: number) => boolean;
  /** The upstreams that reported this, as far as this gateway knows. */
  leavingIds: () => readonly string[];
  /** Those that other gateways have to be told of. */
  newlyLeavingIds: (nowMs: number) => readonly string[];
  find: (upstreamId: string) => fleet.UpstreamRecord | undefined;
  /** When this start of the upstream was first listed, whether it still is or not; null if it is not known. */
  firstListedMs: (upstreamId: string) => number | null;
  /** The upstreams of a service that may get new work. */
  eligible: (service: string, nowMs: number) => readonly fleet.UpstreamRecord[];
  mayGetWork: (upstreamId: string, nowMs: number) => boolean;
  /** For how much longer an upstream that the list lacks is offered; undefined if the list has it, or it is not offered. */
  keptForMs: (upstreamId: string, nowMs: number) => number | undefined;
  all: () => readonly fleet.UpstreamRecord[];
  /** The store's position when it confirmed the list. */
  position: () => storePositions.Position;
  /** The changes after `version`. */
  membersAfter: (version: number, nowMs: number) => MemberChanges;
  /** The changes after `position` of the platform's list. */
  membersAfterPosition: (position: storePositions.Position, nowMs: number) => MemberChanges;
  /**
   * Applies the changes of another gateway's list that are missing here. Returns the names of the applied entries.
   */
  applyMembers: (members: MemberChanges, nowMs: number) => ReadonlySet<string>;
  listing: () => stores.Listing<fleet.UpstreamRecord>;
  /** Which starts of upstreams are listed, in which state: the same at all gateways that have the list of a position. */
  digest: () => string;
};

/** 72 bits. */
const DIGEST_LENGTH = 12;

/** Several times as many as a large fleet has. */
const FIRST_LISTED_MAX = 4_000;

/** Longer than a leaving upstream stays. One that starts again has another id. */
const LEAVING_KEPT_MS = 600_000;
/**
 * Other gateways are told only for so long. Otherwise gateways that forgot a leaving upstream would learn of it again
 * from one another forever.
 */
const LEAVING_REPORTED_MS = 300_000;

/** Changes that matter to routing, and the position of the platform's list that they belong to. */
export type MemberChanges = storePositions.Position & {
  version: number;
  isWhole: boolean;
  written: readonly UpstreamStored[];
  removed: readonly (storePositions.Position & { name: string })[];
  /** Of the whole list at this position; empty from a gateway of the build before. */
  digest: string;
};

type KnownUpstream = {
  stored: UpstreamStored;
  /**
   * From when on it is not offered, though the list lacks it already; null if the list has it. Others are told of the removal at once:
   * each keeps it by what it knows of the store's outages.
   */
  goneFromMs: number | null;
  /** The record is not used before. */
  usableFromMs: number;
};

/**
 * Whether two records are equal for a gateway that does not place models. Each order that an upstream takes changes
 * its resident models, dozens of times a second over all upstreams; the lease holder reports copies separately.
 */
function isSameMember(left: UpstreamStored, right: UpstreamStored): boolean {
  const describe = ({ value }: UpstreamStored) =>
    JSON.stringify([
      value.upstreamId,
      value.service,
      value.softwareVersion,
      value.address,
      value.failureDomain,
      value.slots,
      value.state,
      value.diskModels,
    ]);
  return describe(left) === describe(right);
}

function positionOf({ era, revision }: storePositions.Position): storePositions.Position {
  return { era, revision };
}

/** The platform lists a new start under the name of an earlier one. */
export type OnRestarted = (beforeId: string, record: fleet.UpstreamRecord) => void;

/** The upstream was leaving before the store returned with an older copy, in which it is not. */
export type OnLeavingKept = (upstreamId: string) => void;

export function createUpstreamDirectory(
  onRestarted: OnRestarted = () => {},
  onLeavingKept: OnLeavingKept = () => {},
): UpstreamDirectory {
  const known = new Map<string, KnownUpstream>();
  let knownDigest: string | null = null;
  const names = new Map<string, string>();
  /** The oldest come first. Entries that lapse and return keep their time. */
  const firstListedMs = new Map<string, number>();
  /** Positions at which names were deleted, so that an older listing does not bring them back. */
  const deletedAt = new Map<string, storePositions.Position>();
  /** Since when each upstream is known to be leaving by its own report. */
  const leavingMs = new Map<string, number>();
  const removals = departures.createDepartures();
  let position = storePositions.ORIGIN;
  /** Position of the newest whole listing. An entry that it lacks, and that is older, is gone. */
  let listedAt = storePositions.ORIGIN;
  let returnedMs = -Infinity;
  /** The same by a later era, whose first position shows a return. */
  let eraReturnedMs = -Infinity;
  const members = changeLedgers.createChangeLedger<UpstreamStored, storePositions.Position>(
    isSameMember,
  );

  function digest(): string {
    if (knownDigest !== null) return knownDigest;
    const lines = [...known.values()]
      .filter(({ goneFromMs }) => goneFromMs === null)
      .map(({ stored: { name, value } }) => `${name}\n${value.upstreamId}\n${value.state}`);
    const hash = crypto.createHash('sha1').update(lines.sort().join('\n\n'));
    knownDigest = hash.digest('base64').slice(0, DIGEST_LENGTH);
    return knownDigest;
  }

  function forget(name: string): void {
    knownDigest = null;
    const before = known.get(name);
    if (before !== undefined) names.delete(before.stored.value.upstreamId);
    known.delete(name);
  }

  /**
   * Entries that the store lacks after it returned with an older copy may still be written again for a while.
   */
  function advanceTo(reached: storePositions.Position, nowMs: number): void {
    if (reached.era > position.era && position.revision > 0) {
      eraReturnedMs = nowMs;
      removals.noteStoreReturn(positionOf(reached), nowMs);
    }
    position = storePositions.later(position, reached);
  }

  /**
   * The store returned with an older copy, in which the record does not say yet that the upstream is leaving.
   */
  function hasForgottenLeaving(before: KnownUpstream | undefined, record: UpstreamStored): boolean {
    if (before === undefined || record.era === before.stored.era) return false;
    const { upstreamId, state } = before.stored.value;
    return state === 'draining' && upstreamId === record.value.upstreamId;
  }

  /** Gateways of the build before tell no versions. */
  function withVersion(
    record: UpstreamStored,
    before: fleet.UpstreamRecord | undefined,
  ): UpstreamStored {
    const { value } = record;
    const version: string | undefined = value.softwareVersion;
    if (version !== undefined) return record;
    const isSameStart = before?.upstreamId === value.upstreamId;
    const softwareVersion = isSameStart ? before.softwareVersion : '';
    return { ...record, value: { ...value, softwareVersion } };
  }

  function noteListed(upstreamId: string, nowMs: number): void {
    if (firstListedMs.has(upstreamId)) return;
    firstListedMs.set(upstreamId, nowMs);
    if (firstListedMs.size <= FIRST_LISTED_MAX) return;
    const [oldest = ''] = firstListedMs.keys();
    firstListedMs.delete(oldest);
  }

  function write(received: UpstreamStored, nowMs: number): boolean {
    const before = known.get(received.name);
    const record = withVersion(received, before?.stored.value);
    if (before === undefined && storePositions.isAtLeast(listedAt, record)) return false;
    if (before !== undefined && storePositions.isAfter(before.stored, record)) return false;
    const deleted = deletedAt.get(record.name);
    if (deleted !== undefined && storePositions.isAtLeast(deleted, record)) return false;
    const beforeId = before?.stored.value.upstreamId;
    const { upstreamId } = record.value;
    if (beforeId !== undefined) names.delete(beforeId);
    if (hasForgottenLeaving(before, record) && noteLeaving(upstreamId, nowMs)) {
      onLeavingKept(upstreamId);
    }
    const isListedAlike =
      before?.goneFromMs === null &&
      before.stored.value.upstreamId === upstreamId &&
      before.stored.value.state === record.value.state;
    if (!isListedAlike) knownDigest = null;
    const usableFromMs = removals.usableFromMs(upstreamId, record);
    known.set(record.name, { stored: record, usableFromMs, goneFromMs: null });
    names.set(upstreamId, record.name);
    noteListed(upstreamId, nowMs);
    members.put(record.name, record);
    if (beforeId !== undefined && beforeId !== upstreamId) onRestarted(beforeId, record.value);
    return true;
  }

  /** The known record of that name is newer. */
  function isKnownLater(change: stores.UnreadableRecord): boolean {
    const before = known.get(change.name);
    return before !== undefined && storePositions.isAfter(before.stored, change);
  }

  function remove(name: string, at: storePositions.Position, nowMs: number): void {
    const before = known.get(name);
    if (before === undefined) return;
    removals.noteRemoved(before.stored.value.upstreamId, at);
    deletedAt.set(name, at);
    members.remove(name, at);
    before.goneFromMs ??= keptUntilMs();
    knownDigest = null;
    if (isGone(before, nowMs)) forget(name);
  }

  /**
   * Another writer replaced an upstream's entry by an unreadable one, so the earlier entry must not be used on. No
   * grace is needed, because the upstream's next heartbeat writes its entry again.
   */
  function discard(record: stores.UnreadableRecord): boolean {
    if (isKnownLater(record)) return false;
    deletedAt.set(record.name, positionOf(record));
    if (known.has(record.name)) members.remove(record.name, positionOf(record));
    forget(record.name);
    return true;
  }

  /** Until when entries are kept that the list lacks. */
  function keptUntilMs(): number {
    return Math.max(returnedMs, eraReturnedMs) + storeContacts.LAPSE_GRACE_MS;
  }

  function isGone(entry: KnownUpstream, nowMs: number): boolean {
    return entry.goneFromMs !== null && nowMs >= entry.goneFromMs;
  }

  function sweep(nowMs: number): void {
    for (const [name, entry] of known) if (isGone(entry, nowMs)) forget(name);
  }

  function noteLeaving(upstreamId: string, nowMs: number): boolean {
    for (const [id, atMs] of leavingMs) {
      if (nowMs - atMs > LEAVING_KEPT_MS) leavingMs.delete(id);
    }
    if (leavingMs.has(upstreamId)) return false;
    leavingMs.set(upstreamId, nowMs);
    return true;
  }

  /** The upstream's own report counts also while the platform's list is late. */
  function isEligible(entry: KnownUpstream, nowMs: number): boolean {
    const { upstreamId, state } = entry.stored.value;
    const isListed = !isGone(entry, nowMs) && nowMs >= entry.usableFromMs;
    return isListed && state === 'ready' && !leavingMs.has(upstreamId);
  }

  function find(upstreamId: string): fleet.UpstreamRecord | undefined {
    const name = names.get(upstreamId);
    return name === undefined ? undefined : known.get(name)?.stored.value;
  }

  function applyChange(change: stores.Change<fleet.UpstreamRecord>, nowMs: number): boolean {
    switch (change.kind) {
      case 'written':
        advanceTo(change.record, nowMs);
        return write(change.record, nowMs);
      case 'unreadable':
        advanceTo(change, nowMs);
        return discard(change);
      case 'deleted':
        advanceTo(change, nowMs);
        if (isKnownLater(change)) return false;
        deletedAt.set(change.name, positionOf(change));
        remove(change.name, positionOf(change), nowMs);
        return true;
    }
  }

  /** The present records. Their fields that matter to routing are as old as the change. */
  function current(written: ReadonlyMap<string, UpstreamStored>): UpstreamStored[] {
    return [...written.keys()].flatMap((name) => known.get(name)?.stored ?? []);
  }

  function toRemoved(removed: ReadonlyMap<string, storePositions.Position>) {
    return [...removed].map(([name, at]) => ({ name, ...at }));
  }

  return {
    applyListing: (listing, nowMs) => {
      if (storePositions.isAfter(position, listing)) return false;
      advanceTo(listing, nowMs);
      const listed = new Set(listing.records.map((record) => record.name));
      listing.records.forEach((record) => write(record, nowMs));
      listing.unreadable.forEach(discard);
      listedAt = position;
      for (const [name, { stored }] of [...known]) {
        const isOlder = storePositions.isAtLeast(position, stored);
        if (!listed.has(name) && isOlder) remove(name, position, nowMs);
      }
      sweep(nowMs);
      return true;
    },
    applyChange,
    noteStoreReturn: (atMs) => {
      returnedMs = atMs;
      // By what was heard since, the store was back earlier, or never away. A later return keeps nothing that is gone.
      const untilMs = keptUntilMs();
      known.forEach((entry) => {
        if (entry.goneFromMs !== null) entry.goneFromMs = Math.min(entry.goneFromMs, untilMs);
      });
    },
    noteMisdirected: (upstreamId) => {
      const name = names.get(upstreamId);
      if (name !== undefined) forget(name);
    },
    noteLeaving,
    leavingIds: () => [...leavingMs.keys()],
    newlyLeavingIds: (nowMs) =>
      [...leavingMs].flatMap(([id, atMs]) => (nowMs - atMs < LEAVING_REPORTED_MS ? id : [])),
    find,
    firstListedMs: (upstreamId) => firstListedMs.get(upstreamId) ?? null,
    eligible: (service, nowMs) =>
      [...known.values()]
        .filter((entry) => entry.stored.value.service === service && isEligible(entry, nowMs))
        .map((entry) => entry.stored.value),
    mayGetWork: (upstreamId, nowMs) => {
      const name = names.get(upstreamId);
      const entry = name === undefined ? undefined : known.get(name);
      return entry !== undefined && isEligible(entry, nowMs);
    },
    keptForMs: (upstreamId, nowMs) => {
      const name = names.get(upstreamId);
      const goneFromMs = name === undefined ? null : (known.get(name)?.goneFromMs ?? null);
      const isKept = goneFromMs !== null && goneFromMs > nowMs;
      return isKept ? Math.round(goneFromMs - nowMs) : undefined;
    },
    all: () => [...known.values()].map((entry) => entry.stored.value),
    position: () => position,
    membersAfter: (version, nowMs) => {
      sweep(nowMs);
      const changes = members.since(version);
      const { isWhole, written, removed } = changes;
      return {
        version: changes.version,
        ...position,
        isWhole,
        written: current(written),
        removed: toRemoved(removed),
        digest: digest(),
      };
    },
    membersAfterPosition: (knownAt, nowMs) => {
      sweep(nowMs);
      const { version, isWhole, written, removed } = members.since(0);
      const records = current(written);
      const later = records.filter((record) => storePositions.isAfter(record, knownAt));
      return {
        version,
        ...position,
        isWhole,
        written: isWhole ? records : later,
        removed: toRemoved(removed).filter((gone) => storePositions.isAfter(gone, knownAt)),
        digest: digest(),
      };
    },
    applyMembers: (changes, nowMs) => {
      const applied = new Set<string>();
      advanceTo(changes, nowMs);
      sweep(nowMs);
      changes.written.forEach((record) => {
        if (applyChange({ kind: 'written', record }, nowMs)) applied.add(record.name);
      });
      changes.removed.forEach((removed) => {
        if (applyChange({ kind: 'deleted', ...removed }, nowMs)) applied.add(removed.name);
      });
      if (changes.isWhole) {
        const listed = new Set(changes.written.map(({ name }) => name));
        for (const [name, { stored }] of [...known]) {
          if (!listed.has(name) && storePositions.isAtLeast(changes, stored))
            remove(name, positionOf(changes), nowMs);
        }
      }
      return applied;
    },
    listing: () => ({
      records: [...known.values()]
        .filter(({ goneFromMs }) => goneFromMs === null)
        .map(({ stored }) => stored),
      unreadable: [],
      ...position,
    }),
    digest,
  };
}
