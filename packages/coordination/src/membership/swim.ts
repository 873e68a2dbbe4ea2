/**
 * The state machine of SWIM (Das, Gupta, Motivala 2002): who is there, who is suspected, and what
 * has to be passed on. It does no I/O and reads no clock; the driver is in membership.ts.
 */
import { randoms } from '@copperlever/runtime';

import * as memberUpdates from './member-updates.js';
import * as records from './records.js';
import type * as types from './types.js';

export type SwimLimits = memberUpdates.UpdateLimits & {
  /** A suspicion lasts this many probe periods times log10 of the number of members. */
  suspicionFactor: number;
  probePeriodMs: number;
  /** How long a dead member is remembered: longer than regions lose each other. */
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

/** Views are compared by this many hashes: one difference costs one in 64 of the members. */
export const BUCKET_COUNT = 64;

export type Swim = {
  self: () => types.Member;
  members: () => readonly types.Member[];
  find: (memberId: string) => types.Member | undefined;
  dead: () => readonly types.Member[];
  /** What is held against a member: its record if it is suspected or dead. */
  doubtOf: (memberId: string) => types.Member | undefined;
  /**
   * Takes a record from a peer and says what it changed. A record of a whole view is `known` to
   * others: it is not passed on, or a process that starts would pass on every member.
   */
  apply: (member: types.Member, nowMs: number, from: 'gossip' | 'view') => Change;
  /** The member did not answer. */
  suspect: (memberId: string, nowMs: number) => boolean;
  /** Ends suspicions that were not refuted in time, and forgets the long dead. */
  expire: (nowMs: number) => boolean;
  /** Gives every suspicion more time, after this process itself was paused. */
  extendSuspicions: (byMs: number) => void;
  setAttributes: (attributes: Buffer, nowMs: number) => void;
  leave: (nowMs: number) => void;
  /** Passes the record on again, to peers that have an older one. */
  repeat: (memberId: string, nowMs: number) => void;
  /** The member whose turn it is to be probed. */
  nextTarget: () => types.Member | undefined;
  /** Up to `count` other members that are alive, at random. */
  sampleOthers: (count: number, exceptId?: string) => types.Member[];
  takeUpdates: (nowMs: number) => types.Member[];
  pendingCount: () => number;
  viewHash: () => number;
  bucketHashes: () => readonly number[];
};

/** `standing`: who is there or may get work has changed, so others should hear of it soon. */
export type Change = 'none' | 'attributes' | 'standing';

type Entry = { member: types.Member; deadlineMs: number };

export function createSwim(
  description: types.SelfDescription,
  limits: SwimLimits,
  random: randoms.Random,
  startedAtMs = 0,
): Swim {
  let self: types.Member = { ...description, revision: 0, status: 'alive' };
  /** Members that are not dead, without this process; with the end of a suspicion. */
  const present = new Map<string, Entry>();
  /** Dead members, with the instant at which they are forgotten. */
  const dead = new Map<string, Entry>();
  const updates = memberUpdates.createMemberUpdates(limits);
  const buckets = new Array<number>(BUCKET_COUNT).fill(0);
  let targets: string[] = [];
  let listed: readonly types.Member[] | null = null;
  addToHash(self);
  updates.add(self, 'standing', startedAtMs);

  /** Adding and removing a record are the same, since the hashes are joined by exclusive or. */
  function addToHash(member: types.Member): void {
    const bucket = records.bucketOf(member.memberId, BUCKET_COUNT);
    // eslint-disable-next-line no-bitwise -- exclusive or makes the hash independent of the order
    buckets[bucket] = ((buckets[bucket] ?? 0) ^ records.hashOf(member)) >>> 0;
  }

  function members(): readonly types.Member[] {
    listed ??= [self, ...[...present.values()].map((entry) => entry.member)];
    return listed;
  }

  function setSelf(next: types.Member, change: 'standing' | 'attributes', nowMs: number): void {
    addToHash(self);
    self = next;
    addToHash(self);
    listed = null;
    updates.add(self, change, nowMs);
  }

  function suspicionMs(): number {
    const scale = Math.max(1, Math.log10(present.size + 1));
    return limits.suspicionFactor * limits.probePeriodMs * scale;
  }

  function known(memberId: string): types.Member | undefined {
    return present.get(memberId)?.member ?? dead.get(memberId)?.member;
  }

  function store(member: types.Member, nowMs: number): void {
    const before = known(member.memberId);
    if (before !== undefined) addToHash(before);
    addToHash(member);
    listed = null;
    if (member.status === 'dead') {
      present.delete(member.memberId);
      dead.set(member.memberId, { member, deadlineMs: nowMs + limits.forgetAfterMs });
    } else {
      dead.delete(member.memberId);
      const deadlineMs = member.status === 'suspected' ? nowMs + suspicionMs() : Infinity;
      present.set(member.memberId, { member, deadlineMs });
    }
  }

  function storeAndSpread(member: types.Member, nowMs: number): void {
    store(member, nowMs);
    updates.add(member, 'standing', nowMs);
  }

  /**
   * Failure: others think that this process is gone, for example after it was paused. Symptom: it
   * gets no work. Enough, because a record with a higher revision overrides any word of others.
   */
  function refute(word: types.Member, nowMs: number): boolean {
    if (word.incarnation !== self.incarnation || word.revision < self.revision) return false;
    const isContradicted = word.status === 'suspected' || word.status === 'dead';
    if (!isContradicted && word.revision === self.revision) return false;
    setSelf({ ...self, revision: word.revision + 1 }, 'standing', nowMs);
    return true;
  }

  function apply(member: types.Member, nowMs: number, from: 'gossip' | 'view'): Change {
    if (member.memberId === self.memberId) return refute(member, nowMs) ? 'standing' : 'none';
    const before = known(member.memberId);
    if (before !== undefined && !records.isNewer(member, before)) return 'none';
    store(member, nowMs);
    const isSame = before?.incarnation === member.incarnation && before.status === member.status;
    const change = isSame ? 'attributes' : 'standing';
    if (from === 'gossip') updates.add(member, change, nowMs);
    return change;
  }

  /** A leaving member gets no work any more: nothing is gained by waiting for its word. */
  function suspect(memberId: string, nowMs: number): boolean {
    const member = present.get(memberId)?.member;
    if (member === undefined || member.status === 'suspected') return false;
    const status = member.status === 'leaving' ? 'dead' : 'suspected';
    storeAndSpread({ ...member, status }, nowMs);
    return true;
  }

  function expire(nowMs: number): boolean {
    let changed = false;
    for (const { member, deadlineMs } of [...present.values()]) {
      if (deadlineMs > nowMs) continue;
      storeAndSpread({ ...member, status: 'dead' }, nowMs);
      changed = true;
    }
    for (const [memberId, entry] of dead) {
      if (entry.deadlineMs <= nowMs) dead.delete(memberId);
    }
    return changed;
  }

  /** Each member once a round, in a new order each round: the time to detection is bounded. */
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
    doubtOf: (memberId) => {
      const member = known(memberId);
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
    repeat: (memberId, nowMs) => {
      const member = memberId === self.memberId ? self : known(memberId);
      if (member !== undefined) updates.add(member, 'standing', nowMs);
    },
    nextTarget,
    sampleOthers,
    takeUpdates: (nowMs) => updates.take(present.size + 1, nowMs),
    pendingCount: updates.size,
    viewHash: () =>
      // eslint-disable-next-line no-bitwise -- as above
      buckets.reduce((joined, hash) => (joined ^ hash) >>> 0, 0),
    bucketHashes: () => buckets,
  };
}
