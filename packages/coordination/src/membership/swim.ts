/**
 * The state machine of SWIM (Das, Gupta, Motivala 2002): the known members, their suspicions, and the updates to be
 * sent. It does no I/O and reads no clock; the driver is in membership.ts.
 */
import { randoms } from '@copperlever/runtime';

import * as memberUpdates from './member-updates.js';
import * as records from './records.js';
import type * as types from './types.js';

export type SwimLimits = memberUpdates.UpdateLimits & {
  /** A suspicion lasts this many probe periods, times log10 of the number of members (at least 1). */
  suspicionFactor: number;
  probePeriodMs: number;
  /** How long a dead member is remembered; must exceed the longest partition between regions. */
  forgetAfterMs: number;
};

export const DEFAULT_LIMITS: SwimLimits = {
  updatesPerMessage: 16,
  transmitLimit: 12,
  attributesTransmitLimit: 4,
  suspicionFactor: 3,
  probePeriodMs: 2_000,
  forgetAfterMs: 2 * 60 * 60 * 1_000,
};

/** The number of hashes by which views are compared; one difference transfers 1/64 of the members. */
export const BUCKET_COUNT = 64;

export type Swim = {
  self: () => types.Member;
  members: () => readonly types.Member[];
  find: (memberId: string) => types.Member | undefined;
  dead: () => readonly types.Member[];
  /** The member's record if it is suspected or dead. */
  findSuspectedOrDead: (memberId: string) => types.Member | undefined;
  /**
   * Applies a record from a peer and returns what it changed. Records from a fetched view (`view`) are not gossiped,
   * since other processes know them already; otherwise a process that starts would send every member on.
   */
  apply: (member: types.Member, nowMs: number, from: 'gossip' | 'view') => Change;
  /** Marks a member that did not answer as suspected, or as dead if it was leaving. True if it changed. */
  suspect: (memberId: string, nowMs: number) => boolean;
  /** Marks members as dead whose suspicion was not refuted in time, and forgets members dead for long. */
  expire: (nowMs: number) => boolean;
  /** Extends every suspicion, after this process itself was paused. */
  extendSuspicions: (byMs: number) => void;
  setAttributes: (attributes: Buffer, nowMs: number) => void;
  leave: (nowMs: number) => void;
  /** Sends the record again, for peers that have an older one. */
  reannounce: (memberId: string, nowMs: number) => void;
  /** The next member to probe. */
  nextTarget: () => types.Member | undefined;
  /** Up to `count` random other members that are not suspected. */
  sampleOthers: (count: number, exceptId?: string) => types.Member[];
  takeUpdates: (nowMs: number) => types.Member[];
  pendingCount: () => number;
  viewHash: () => number;
  bucketHashes: () => readonly number[];
};

/** `standing`: the member's incarnation or status changed, which other processes must learn soon. */
export type Change = 'none' | 'attributes' | 'standing';

type Entry = { member: types.Member; deadlineMs: number };

export function createSwim(
  description: types.SelfDescription,
  limits: SwimLimits,
  random: randoms.Random,
  startedAtMs = 0,
): Swim {
  let self: types.Member = { ...description, revision: 0, status: 'alive' };
  /** Other members that are not dead, with the instant at which their suspicion ends. */
  const present = new Map<string, Entry>();
  /** Dead members, with the instant at which they are forgotten. */
  const dead = new Map<string, Entry>();
  const updates = memberUpdates.createMemberUpdates(limits);
  const buckets = new Array<number>(BUCKET_COUNT).fill(0);
  let targets: string[] = [];
  let memberList: readonly types.Member[] | null = null;
  addToHash(self);
  updates.add(self, 'standing', startedAtMs);

  /** Adds a record to the hash, or removes it again: the hashes are combined by exclusive or. */
  function addToHash(member: types.Member): void {
    const bucket = records.bucketOf(member.memberId, BUCKET_COUNT);
    // eslint-disable-next-line no-bitwise -- exclusive or makes the hash independent of the order
    buckets[bucket] = ((buckets[bucket] ?? 0) ^ records.hashOf(member)) >>> 0;
  }

  function members(): readonly types.Member[] {
    memberList ??= [self, ...[...present.values()].map((entry) => entry.member)];
    return memberList;
  }

  function setSelf(next: types.Member, change: 'standing' | 'attributes', nowMs: number): void {
    addToHash(self);
    self = next;
    addToHash(self);
    memberList = null;
    updates.add(self, change, nowMs);
  }

  function suspicionMs(): number {
    const scale = Math.max(1, Math.log10(present.size + 1));
    return limits.suspicionFactor * limits.probePeriodMs * scale;
  }

  function findRecord(memberId: string): types.Member | undefined {
    return present.get(memberId)?.member ?? dead.get(memberId)?.member;
  }

  function store(member: types.Member, nowMs: number): void {
    const before = findRecord(member.memberId);
    if (before !== undefined) addToHash(before);
    addToHash(member);
    memberList = null;
    if (member.status === 'dead') {
      present.delete(member.memberId);
      dead.set(member.memberId, { member, deadlineMs: nowMs + limits.forgetAfterMs });
    } else {
      dead.delete(member.memberId);
      const deadlineMs = member.status === 'suspected' ? nowMs + suspicionMs() : Infinity;
      present.set(member.memberId, { member, deadlineMs });
    }
  }

  function storeAndGossip(member: types.Member, nowMs: number): void {
    store(member, nowMs);
    updates.add(member, 'standing', nowMs);
  }

  /**
   * Other processes suspect this one or consider it dead, for example after it was paused, and would give it no work.
   * A record with a higher revision overrides any such report.
   */
  function refute(reported: types.Member, nowMs: number): boolean {
    if (reported.incarnation !== self.incarnation || reported.revision < self.revision)
      return false;
    const isContradicted = reported.status === 'suspected' || reported.status === 'dead';
    if (!isContradicted && reported.revision === self.revision) return false;
    setSelf({ ...self, revision: reported.revision + 1 }, 'standing', nowMs);
    return true;
  }

  function apply(member: types.Member, nowMs: number, from: 'gossip' | 'view'): Change {
    if (member.memberId === self.memberId) return refute(member, nowMs) ? 'standing' : 'none';
    const before = findRecord(member.memberId);
    if (before !== undefined && !records.isNewer(member, before)) return 'none';
    store(member, nowMs);
    const isSame = before?.incarnation === member.incarnation && before.status === member.status;
    const change = isSame ? 'attributes' : 'standing';
    if (from === 'gossip') updates.add(member, change, nowMs);
    return change;
  }

  /** A leaving member gets no more work, so it is marked as dead without waiting for a refutation. */
  function suspect(memberId: string, nowMs: number): boolean {
    const member = present.get(memberId)?.member;
    if (member === undefined || member.status === 'suspected') return false;
    const status = member.status === 'leaving' ? 'dead' : 'suspected';
    storeAndGossip({ ...member, status }, nowMs);
    return true;
  }

  function expire(nowMs: number): boolean {
    let changed = false;
    for (const { member, deadlineMs } of [...present.values()]) {
      if (deadlineMs > nowMs) continue;
      storeAndGossip({ ...member, status: 'dead' }, nowMs);
      changed = true;
    }
    for (const [memberId, entry] of dead) {
      if (entry.deadlineMs <= nowMs) dead.delete(memberId);
    }
    return changed;
  }

  /** Returns each member once per round, in a new random order each round, which bounds the time to detection. */
  function nextTarget(): types.Member | undefined {
    if (targets.length === 0) targets = randoms.sample(random, [...present.keys()], present.size);
    while (targets.length > 0) {
      const member = present.get(targets.pop() ?? '')?.member;
      if (member !== undefined) return member;
    }
    return undefined;
  }

  function sampleOthers(count: number, exceptId?: string): types.Member[] {
    const others = members().filter(
      (member) =>
        member.memberId !== self.memberId &&
        member.memberId !== exceptId &&
        member.status !== 'suspected',
    );
    const chosen = new Set<types.Member>();
    const wanted = Math.min(count, others.length);
    while (chosen.size < wanted) {
      const member = randoms.pick(random, others);
      if (member !== undefined) chosen.add(member);
    }
    return [...chosen];
  }

  return {
    self: () => self,
    members,
    find: (memberId) => (memberId === self.memberId ? self : present.get(memberId)?.member),
    findSuspectedOrDead: (memberId) => {
      const member = findRecord(memberId);
      return member?.status === 'suspected' || member?.status === 'dead' ? member : undefined;
    },
    dead: () => [...dead.values()].map((entry) => entry.member),
    apply,
    suspect,
    expire,
    extendSuspicions: (byMs) => {
      for (const entry of present.values()) entry.deadlineMs += byMs;
    },
    setAttributes: (attributes, nowMs) => {
      setSelf({ ...self, attributes, revision: self.revision + 1 }, 'attributes', nowMs);
    },
    leave: (nowMs) => {
      setSelf({ ...self, status: 'leaving', revision: self.revision + 1 }, 'standing', nowMs);
    },
    reannounce: (memberId, nowMs) => {
      const member = memberId === self.memberId ? self : findRecord(memberId);
      if (member !== undefined) updates.add(member, 'standing', nowMs);
    },
    nextTarget,
    sampleOthers,
    takeUpdates: (nowMs) => updates.take(present.size + 1, nowMs),
    pendingCount: updates.size,
    viewHash: () =>
      // eslint-disable-next-line no-bitwise -- combines the hashes of the buckets independent of their order
      buckets.reduce((joined, hash) => (joined ^ hash) >>> 0, 0),
    bucketHashes: () => buckets,
  };
}
