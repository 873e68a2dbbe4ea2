/** Takes, keeps and gives back the lease on placing. */
import type { clocks, randoms } from '@copperlever/runtime';
import { clocks as clocksModule } from '@copperlever/runtime';

import * as leaseDecisions from '../../shared/lease-decisions.js';
import type * as peerBooks from '../../shared/peer-book.js';
import type * as logEvents from '../../types/log-events.js';
import type * as stores from '../../types/stores.js';
import type * as quotasModule from '../quotas/quotas.js';
import * as earlierLeases from './earlier-lease.js';

export type LeaseKeeperDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  random: randoms.Random;
  store: stores.RecordStore;
  book: peerBooks.PeerBook;
  quotas: Pick<quotasModule.Quotas, 'scarce' | 'noteWritten'>;
  gatewayId: string;
  /** Where this gateway answers others. */
  address: string;
  leaseMs: number;
  upstreamsCheckFences: boolean;
  /** What this gateway may use of processors. */
  millicores: number;
  /** Only a gateway that knows what there is may place. */
  isEligible: () => boolean;
};

export type LeaseKeeper = {
  start: () => void;
  /**
   * Gives the lease back, so that another need not wait for its end, and takes none again. While the store
   * is away it cannot be given back and nobody can take it over: orders go on until it is, or `untilMs`.
   */
  handBack: (untilMs: number) => Promise<void>;
  /** The term under which orders may be given now, or null. */
  orderTerm: () => number | null;
  /** The term held, also while orders have to wait. */
  heldTerm: () => number | null;
  /** An upstream refused an order: another holder has a higher term. */
  fenced: () => void;
};

type StoredLease = stores.StoredRecord<stores.LeaseValue>;

type Held = {
  /** Of the era that it was written in. */
  record: StoredLease;
  ordersFromMs: number;
  renewedAtMs: number;
  /** How far the wall clock was ahead of the steady one at the renewal. */
  aheadMs: number;
  isStoreAway: boolean;
};

/** The two clocks of one VM drift apart by far less between renewals. */
const SUSPENSION_MS = 300;
const TICK_MS = 200;
const STARTING_TICK_MS = 25;
const STARTING_MS = 3_000;
const CALL_TIMEOUT_MS = 800;
/** Gateways that start or miss the holder together do not all ask at the same moment. */
const JITTER_MS = 150;

export function createLeaseKeeper(deps: LeaseKeeperDeps): LeaseKeeper {
  const { clock, log, store, book } = deps;
  const stopping = new AbortController();
  let held: Held | null = null;
  let seen: { record: StoredLease; atMs: number } | null = null;
  /** Since when there is no lease in the present era, though there was one in an earlier. */
  let missing: { era: number; sinceMs: number } | null = null;
  let hasLooked = false;
  let isLeaving = false;
  /** The release is on its way: an order now could cross those of the next holder. */
  let isReleasing = false;
  const startedAtMs = clock.nowMs();

  function deadlineMs(): number {
    return clock.nowMs() + CALL_TIMEOUT_MS;
  }

  function aheadMs(): number {
    return clock.wallMs() - clock.nowMs();
  }

  /**
   * Failure: the VM is suspended for seconds; its steady clock stands still, and the lease looks as fresh as
   * before, though another gateway has taken over. Symptom: on waking it gives orders beside the new holder.
   * The wall clock has gone on: where the two no longer agree the lease is renewed before the next order.
   * A step of the wall clock costs one renewal. Upstreams that check fences refuse such orders themselves.
   */
  function mayHaveSlept(lease: Held): boolean {
    if (deps.upstreamsCheckFences) return false;
    return Math.abs(aheadMs() - lease.aheadMs) > SUSPENSION_MS;
  }

  function lose(reason: string): void {
    if (held === null) return;
    log.warn('lease-lost', { term: held.record.value.term, reason });
    held = null;
  }

  function noteSeen(record: StoredLease): void {
    const isSame = seen?.record.revision === record.revision && seen.record.era === record.era;
    if (seen === null || !isSame) seen = { record, atMs: clock.nowMs() };
    const { holderId, address, term, gatewayCount } = record.value;
    book.noteFleetSize(gatewayCount, clock.nowMs());
    deps.quotas.noteWritten(record.value.scarceOrganisations);
    book.noteLease({ holderId, term });
    book.learned([{ gatewayId: holderId, address, millicores: 0 }], clock.nowMs());
  }

  function isOwn(record: StoredLease, term: number): boolean {
    return record.value.holderId === deps.gatewayId && record.value.term === term;
  }

  function renewedNow(sentAtMs: number) {
    return { renewedAtMs: sentAtMs, aheadMs: aheadMs(), isStoreAway: false };
  }

  async function renew(lease: Held): Promise<void> {
    const sentAtMs = clock.nowMs();
    const { value, revision } = lease.record;
    const gatewayCount = book.fleetSize(sentAtMs);
    const next = {
      ...value,
      gatewayCount,
      scarceOrganisations: deps.quotas.scarce(),
      renewals: value.renewals + 1,
    };
    const name = leaseDecisions.recordName(lease.record.era);
    const put = await store.put('leases', name, next, revision, deadlineMs());
    if (held !== lease || hasReturned(lease)) return;
    if (put.ok) {
      held = { ...lease, record: put.val, ...renewedNow(sentAtMs) };
      return;
    }
    switch (put.val.kind) {
      case 'conflict':
      case 'outcome-unknown':
        await settle(lease, put.val.kind);
        return;
      case 'unavailable':
      case 'history-gone':
        lease.isStoreAway = true;
    }
  }

  /**
   * Failure: the answer to a renewal is lost after it took effect. Symptom: the next one conflicts with
   * it, and the holder would give up its own lease. The record itself says whose it is.
   */
  async function settle(lease: Held, failure: string): Promise<void> {
    const name = leaseDecisions.recordName(lease.record.era);
    const found = await store.get('leases', name, deadlineMs());
    if (held !== lease || hasReturned(lease)) return;
    if (found.err || found.val === null) {
      lease.isStoreAway = true;
      return;
    }
    if (isOwn(found.val, lease.record.value.term) && !found.val.value.isReleased) {
      held = { ...lease, record: found.val, isStoreAway: failure !== 'conflict' };
      return;
    }
    noteSeen(found.val);
    lose('another holder');
  }

  /** The store has come back from a copy: what it has of the lease says nothing any more. */
  function hasReturned(lease: Held): boolean {
    return store.era() > lease.record.era;
  }

  /**
   * Writes the lease down in the present era, under the same term: nobody else can hold it there before having missed
   * this gateway for longer than its lease lasts.
   */
  async function carryOver(lease: Held): Promise<void> {
    if (mayHaveSlept(lease)) {
      lose('suspended before the store returned');
      return;
    }
    const era = store.era();
    const sentAtMs = clock.nowMs();
    const name = leaseDecisions.recordName(era);
    const next = { ...lease.record.value, renewals: lease.record.value.renewals + 1 };
    const put = await store.put('leases', name, next, null, deadlineMs());
    if (held !== lease || store.era() !== era) return;
    if (put.ok) {
      const { term } = lease.record.value;
      log.info('lease-carried-over', { term, era });
      held = { record: put.val, ordersFromMs: lease.ordersFromMs, ...renewedNow(sentAtMs) };
      return;
    }
    const found = await store.get('leases', name, deadlineMs());
    if (held !== lease || store.era() !== era) return;
    if (found.err || found.val === null) {
      lease.isStoreAway = true;
      return;
    }
    if (isOwn(found.val, lease.record.value.term)) {
      held = { ...lease, record: found.val };
      return;
    }
    noteSeen(found.val);
    lose('another holder');
  }

  function sightOf(
    { holderId, address, isReleased }: stores.LeaseValue,
    seenAtMs: number,
  ): leaseDecisions.HolderSight {
    const isSelf = holderId === deps.gatewayId && address === deps.address;
    return {
      seenAtMs,
      isReleased,
      isOwn: isSelf,
      // A lease of this gateway's earlier life: nobody answers for it.
      lastHeardMs: isSelf ? null : book.lastHeardMs(holderId),
      silentSinceMs: isSelf ? seenAtMs : book.silentSinceMs(holderId),
    };
  }

  /** `before`: the lease as it was last known, in this era (`present`) or an earlier. */
  async function take(
    present: StoredLease | null,
    before: stores.LeaseValue | null,
    sight: leaseDecisions.HolderSight | null,
  ) {
    const era = store.era();
    const knownTerms = [before?.term ?? 0, book.lease()?.term ?? 0];
    const term = leaseDecisions.nextTerm(era, knownTerms);
    const value = {
      holderId: deps.gatewayId,
      address: deps.address,
      term,
      gatewayCount: book.fleetSize(clock.nowMs()),
      scarceOrganisations: before?.scarceOrganisations ?? [],
      renewals: 0,
      isReleased: false,
    };
    const sentAtMs = clock.nowMs();
    const revision = present?.revision ?? null;
    const name = leaseDecisions.recordName(era);
    const put = await store.put('leases', name, value, revision, deadlineMs());
    if (store.era() !== era) return;
    if (put.err) {
      if (put.val.kind !== 'outcome-unknown') return;
      // It may be ours after all: the next look tells, and then it is taken over from ourselves.
      log.warn('lease-unknown', { term, reason: put.val.reason });
      return;
    }
    const ordersFromMs = leaseDecisions.ordersFromMs(
      sight,
      clock.nowMs(),
      deps.leaseMs,
      deps.upstreamsCheckFences,
    );
    held = { record: put.val, ordersFromMs, ...renewedNow(sentAtMs) };
    book.noteLease({ holderId: deps.gatewayId, term });
    const ordersInMs = Math.round(ordersFromMs - clock.nowMs());
    log.info('lease-taken', { term, before: before?.holderId ?? '', ordersInMs });
  }

  async function takeFirst(): Promise<void> {
    const firstTakeMs = leaseDecisions.firstTakeMs(deps.millicores);
    if (clock.nowMs() - startedAtMs >= firstTakeMs) await take(null, null, null);
  }

  /** The store has come back from a copy, and nobody has written the lease down since. */
  async function lookAtEarlier(era: number): Promise<void> {
    const earlier = await earlierLeases.find(store, book, deadlineMs());
    if (earlier.err || store.era() !== era) return;
    const { stored, value } = earlier.val;
    if (value === null) {
      await takeFirst();
      return;
    }
    if (stored !== null) noteSeen(stored);
    const nowMs = clock.nowMs();
    if (missing?.era !== era) missing = { era, sinceMs: nowMs };
    // Not even a lease of this gateway's own is known to have been the last.
    const sight = { ...sightOf(value, missing.sinceMs), isOwn: false };
    if (leaseDecisions.mayTakeOver(sight, nowMs)) await take(null, value, sight);
  }

  async function look(): Promise<void> {
    hasLooked = true;
    const era = store.era();
    const found = await store.get('leases', leaseDecisions.recordName(era), deadlineMs());
    if (found.err || store.era() !== era) return;
    if (found.val === null) {
      await (era === 0 ? takeFirst() : lookAtEarlier(era));
      return;
    }
    noteSeen(found.val);
    const sight = sightOf(found.val.value, seen?.atMs ?? clock.nowMs());
    if (!leaseDecisions.mayTakeOver(sight, clock.nowMs())) return;
    await take(found.val, found.val.value, sight);
  }

  function holderHeardMs(): number | null {
    const known = book.lease();
    return known === null ? null : book.lastHeardMs(known.holderId);
  }

  async function step(): Promise<void> {
    const nowMs = clock.nowMs();
    if (held !== null) {
      const known = book.lease();
      if (known !== null && known.term > held.record.value.term) {
        lose('a peer knows a newer term');
        return;
      }
      const isDue = nowMs - held.renewedAtMs >= leaseDecisions.RENEW_MS;
      if (hasReturned(held)) await carryOver(held);
      else if (isDue || mayHaveSlept(held)) await renew(held);
      return;
    }
    if (isLeaving || !deps.isEligible()) return;
    const input = {
      startedAtMs,
      lastHeardMs: holderHeardMs(),
      seenAtMs: seen?.atMs ?? null,
      takeDelayMs: leaseDecisions.takeDelayMs(deps.millicores, book.largestMillicores(nowMs)),
    };
    if (!leaseDecisions.shouldLook(input, nowMs)) return;
    await look();
  }

  /**
   * Where the answer is lost the release may have taken effect, or may yet. Peers that hear this gateway do
   * not look at the lease, and fences stop its orders once another has given one; without fences it gives none.
   */
  async function release(lease: Held): Promise<void> {
    isReleasing = true;
    const value = { ...lease.record.value, isReleased: true };
    const { revision } = lease.record;
    const name = leaseDecisions.recordName(lease.record.era);
    const put = await store.put('leases', name, value, revision, deadlineMs());
    if (put.ok && !hasReturned(lease)) held = null;
    else if (put.err && put.val.kind === 'unavailable') lease.isStoreAway = true;
    else if (put.err) await settle(lease, put.val.kind);
    const isUnknown = put.err && put.val.kind === 'outcome-unknown';
    isReleasing = held !== null && isUnknown && !deps.upstreamsCheckFences;
    log.info('lease-released', {
      term: value.term,
      isStored: put.ok,
      reason: put.err ? put.val.kind : undefined,
    });
  }

  /** The loop that renews goes on meanwhile; a renewal that succeeds says that the store is back. */
  async function handBackBy(untilMs: number): Promise<void> {
    do {
      const lease = held;
      if (lease === null) return;
      if (!lease.isStoreAway) await release(lease);
      if (held === null || clock.nowMs() >= untilMs) return;
      await clocksModule.sleepUntil(clock, Math.min(untilMs, clock.nowMs() + TICK_MS));
    } while (clock.nowMs() < untilMs);
  }

  /** A gateway that has just started looks at the lease as soon as it may: the record tells it of the others. */
  function nextStepMs(): number {
    const isStarting = !hasLooked && clock.nowMs() - startedAtMs < STARTING_MS;
    if (isStarting) return STARTING_TICK_MS;
    return held === null ? TICK_MS + deps.random.below(JITTER_MS) : TICK_MS;
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      await step();
      const waitMs = nextStepMs();
      await clocksModule.sleepUntil(clock, clock.nowMs() + waitMs, stopping.signal);
    }
  }

  return {
    start: () => {
      void run();
    },
    handBack: async (untilMs) => {
      isLeaving = true;
      const startedMs = clock.nowMs();
      await handBackBy(untilMs);
      stopping.abort();
      if (held !== null) {
        const waitedMs = Math.round(clock.nowMs() - startedMs);
        log.warn('lease-kept', { term: held.record.value.term, waitedMs });
      }
      held = null;
    },
    orderTerm: () => {
      if (held === null || isReleasing || mayHaveSlept(held)) return null;
      const may = leaseDecisions.mayOrder(held, deps.upstreamsCheckFences, clock.nowMs());
      return may ? held.record.value.term : null;
    },
    heldTerm: () => held?.record.value.term ?? null,
    fenced: () => lose('an upstream has seen a higher term'),
  };
}
