/** Acquires, renews and releases the placement lease. Only its holder plans where copies go and orders loads. */
import type { clocks, randoms } from '@copperlever/runtime';
import { clocks as clocksModule } from '@copperlever/runtime';
import * as steps from '@copperlever/runtime/steps';

import * as leaseDecisions from '../../shared/lease-decisions.js';
import type * as peerRegistries from '../../shared/peer-registry.js';
import type * as logEvents from '../../types/log-events.js';
import type * as stores from '../../types/stores.js';
import type * as quotasModule from '../quotas/quotas.js';
import * as earlierLeases from './earlier-lease.js';

export type LeaseManagerDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  random: randoms.Random;
  store: stores.RecordStore;
  peerRegistry: peerRegistries.PeerRegistry;
  quotas: Pick<quotasModule.Quotas, 'scarce' | 'noteWritten'>;
  gatewayId: string;
  /** The address at which other gateways reach this one. */
  address: string;
  leaseMs: number;
  upstreamsCheckFences: boolean;
  /** This gateway's share of processors, in thousandths of a core. */
  millicores: number;
  /** Whether this gateway knows the upstreams and the configuration, without which it must not plan. */
  isEligible: () => boolean;
};

export type LeaseManager = {
  start: () => void;
  /**
   * Releases the lease, so that the next holder need not wait for its expiry, and acquires none again. While the store
   * is unavailable, the lease can be neither released nor taken over: orders go on until it is released or `untilMs`.
   */
  release: (untilMs: number) => Promise<void>;
  /** The term under which orders may be given now, or null. */
  orderTerm: () => number | null;
  /** The term held, also while no orders may be given yet. */
  heldTerm: () => number | null;
  /** The lease while no other gateway can hold it; null if one may. */
  secureLease: () => SecureLease | null;
  /** Drops the lease after an upstream refused an order because it has seen a higher term. */
  fenced: () => void;
};

/** `isFirst`: no gateway held the lease before. */
export type SecureLease = { sinceMs: number; isFirst: boolean };

type StoredLease = stores.StoredRecord<stores.LeaseValue>;

type HeldLease = {
  /** The lease as last written, in the store's era of that write. */
  record: StoredLease;
  ordersFromMs: number;
  acquired: SecureLease;
  renewedAtMs: number;
  /** Wall clock minus steady clock at the latest renewal. */
  wallOffsetMs: number;
  isStoreAway: boolean;
};

/** A larger change of the offset means a suspension: between renewals the clocks of a VM drift apart by far less. */
const SUSPENSION_THRESHOLD_MS = 300;
const TICK_MS = 200;
const STARTING_TICK_MS = 25;
const STARTING_MS = 3_000;
const CALL_TIMEOUT_MS = 800;
/** Spreads the reads of gateways that start, or lose contact with the holder, at the same time. */
const JITTER_MS = 150;

export function createLeaseManager(deps: LeaseManagerDeps): LeaseManager {
  const { clock, log, store, peerRegistry: peers } = deps;
  const stopping = new AbortController();
  let held: HeldLease | null = null;
  /** The record at its latest revision, and when that was first read. */
  let seenLease: { record: StoredLease; atMs: number } | null = null;
  /** Since when the present era has been known to have no lease record, while an earlier era had one. */
  let missingLease: { era: number; sinceMs: number } | null = null;
  let hasReadRecord = false;
  let isLeaving = false;
  /** A release is in flight: an order given now could conflict with those of the next holder. */
  let isReleasing = false;
  const startedAtMs = clock.nowMs();

  function deadlineMs(): number {
    return clock.nowMs() + CALL_TIMEOUT_MS;
  }

  function wallOffsetMs(): number {
    return clock.wallMs() - clock.nowMs();
  }

  /**
   * While the VM is suspended for seconds, its steady clock stands still. On resuming, the lease looks valid although
   * another gateway may have taken it over, and both would give orders. The wall clock goes on during a suspension, so
   * when the offset between the two has changed, the lease is renewed before the next order. A step of the wall clock
   * costs one renewal. Upstreams that check fences refuse such orders themselves.
   */
  function mayHaveBeenSuspended(lease: HeldLease): boolean {
    return !deps.upstreamsCheckFences && hasClockMoved(lease);
  }

  function hasClockMoved(lease: HeldLease): boolean {
    return Math.abs(wallOffsetMs() - lease.wallOffsetMs) > SUSPENSION_THRESHOLD_MS;
  }

  function loseLease(reason: string): void {
    if (held === null) return;
    log.warn('lease-lost', { term: held.record.value.term, reason });
    held = null;
  }

  function applyRecord(record: StoredLease): void {
    const isSame =
      seenLease?.record.revision === record.revision && seenLease.record.era === record.era;
    if (seenLease === null || !isSame) seenLease = { record, atMs: clock.nowMs() };
    const { holderId, address, term, gatewayCount } = record.value;
    peers.applyStoredFleetSize(gatewayCount, clock.nowMs());
    deps.quotas.noteWritten(record.value.scarceOrganisations);
    // A record that nobody can read names no holder.
    if (holderId === '') return;
    peers.applyLease({ holderId, term });
    peers.applyPeers([{ gatewayId: holderId, address, millicores: 0 }], clock.nowMs());
  }

  function isOwn(record: StoredLease, term: number): boolean {
    return record.value.holderId === deps.gatewayId && record.value.term === term;
  }

  /** To be taken before the record is written: the VM may be suspended until the answer comes. */
  function renewalFields() {
    return { renewedAtMs: clock.nowMs(), wallOffsetMs: wallOffsetMs(), isStoreAway: false };
  }

  async function renew(lease: HeldLease): Promise<void> {
    const renewal = renewalFields();
    const { value, revision } = lease.record;
    const gatewayCount = peers.fleetSize(renewal.renewedAtMs);
    const next = {
      ...value,
      gatewayCount,
      scarceOrganisations: deps.quotas.scarce(),
      renewals: value.renewals + 1,
      orderDelayMs: leaseDecisions.orderDelayMs(lease, renewal.renewedAtMs),
    };
    const name = leaseDecisions.recordName(lease.record.era);
    const put = await store.put('leases', name, next, revision, deadlineMs());
    if (held !== lease || isOfEarlierEra(lease)) return;
    if (put.ok) {
      held = { ...lease, record: put.val, ...renewal };
      return;
    }
    switch (put.val.kind) {
      case 'conflict':
      case 'outcome-unknown':
        await checkOwnership(lease, put.val.kind);
        return;
      case 'unavailable':
      case 'history-gone':
        lease.isStoreAway = true;
    }
  }

  /**
   * Reads the record to see who holds the lease. When the answer to a renewal is lost after it took effect, the next
   * renewal conflicts with it, and without this check the holder would drop its own lease.
   */
  async function checkOwnership(lease: HeldLease, failure: string): Promise<void> {
    const name = leaseDecisions.recordName(lease.record.era);
    const found = await store.get('leases', name, deadlineMs());
    if (held !== lease || isOfEarlierEra(lease)) return;
    if (found.err || found.val === null) {
      lease.isStoreAway = true;
      return;
    }
    if (isOwn(found.val, lease.record.value.term) && !found.val.value.isReleased) {
      held = { ...lease, record: found.val, isStoreAway: failure !== 'conflict' };
      return;
    }
    applyRecord(found.val);
    loseLease('another holder');
  }

  /** The store was restored from a backup since the lease was written, so its record of the lease is void. */
  function isOfEarlierEra(lease: HeldLease): boolean {
    return store.era() > lease.record.era;
  }

  /**
   * Writes the lease in the present era under the same term. No other gateway can hold it there yet: it would first
   * have to miss this gateway for longer than the lease lasts.
   */
  async function carryOver(lease: HeldLease): Promise<void> {
    if (mayHaveBeenSuspended(lease)) {
      loseLease('suspended before the store was restored');
      return;
    }
    const era = store.era();
    const renewal = renewalFields();
    const name = leaseDecisions.recordName(era);
    const next = {
      ...lease.record.value,
      renewals: lease.record.value.renewals + 1,
      orderDelayMs: leaseDecisions.orderDelayMs(lease, renewal.renewedAtMs),
    };
    const put = await store.put('leases', name, next, null, deadlineMs());
    if (held !== lease || store.era() !== era) return;
    if (put.ok) {
      const { term } = lease.record.value;
      log.info('lease-carried-over', { term, era });
      held = { ...lease, record: put.val, ...renewal };
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
    applyRecord(found.val);
    loseLease('another holder');
  }

  function holderStateOf(
    { holderId, address, isReleased, orderDelayMs }: stores.LeaseValue,
    seenAtMs: number,
  ): leaseDecisions.HolderObservation {
    const isSelf = holderId === deps.gatewayId && address === deps.address;
    return {
      seenAtMs,
      isReleased,
      orderDelayMs,
      isOwn: isSelf,
      // The lease of an earlier process of this gateway, from which nothing can be received any more.
      lastReceivedMs: isSelf ? null : peers.lastReceivedMs(holderId),
      silentSinceMs: isSelf ? seenAtMs : peers.silentSinceMs(holderId),
    };
  }

  /**
   * `present`: the record of this era, if there is one. `before`: the lease as last known, of this era or an earlier
   * one.
   */
  async function acquire(
    present: StoredLease | null,
    before: stores.LeaseValue | null,
    holderState: leaseDecisions.HolderObservation | null,
  ) {
    const era = store.era();
    const knownTerms = [before?.term ?? 0, peers.lease()?.term ?? 0];
    const term = leaseDecisions.nextTerm(era, knownTerms);
    const renewal = renewalFields();
    const sentAtMs = renewal.renewedAtMs;
    const ordersFromMs = leaseDecisions.ordersFromMs(
      holderState,
      sentAtMs,
      deps.leaseMs,
      deps.upstreamsCheckFences,
    );
    const value = {
      holderId: deps.gatewayId,
      address: deps.address,
      term,
      gatewayCount: peers.fleetSize(sentAtMs),
      scarceOrganisations: before?.scarceOrganisations ?? [],
      renewals: 0,
      isReleased: false,
      orderDelayMs: leaseDecisions.orderDelayMs({ ordersFromMs }, sentAtMs),
    };
    const revision = present?.revision ?? null;
    const name = leaseDecisions.recordName(era);
    const put = await store.put('leases', name, value, revision, deadlineMs());
    if (store.era() !== era) return;
    if (put.err) {
      if (put.val.kind !== 'outcome-unknown') return;
      // The write may have taken effect: the next read shows it, and this gateway takes over from itself, after the same delay.
      log.warn('lease-unknown', { term, reason: put.val.reason });
      return;
    }
    const acquired = { sinceMs: clock.nowMs(), isFirst: before === null };
    held = { record: put.val, ordersFromMs, acquired, ...renewal };
    peers.applyLease({ holderId: deps.gatewayId, term });
    const ordersInMs = Math.round(ordersFromMs - clock.nowMs());
    const beforeDelayMs = before?.orderDelayMs ?? undefined;
    log.info('lease-taken', { term, before: before?.holderId ?? '', beforeDelayMs, ordersInMs });
  }

  async function acquireFirst(): Promise<void> {
    const firstTakeMs = leaseDecisions.firstTakeMs(deps.millicores);
    if (clock.nowMs() - startedAtMs >= firstTakeMs) await acquire(null, null, null);
  }

  /** The store was restored from a backup, and no gateway has written the lease in the new era yet. */
  async function checkEarlierEra(era: number): Promise<void> {
    const earlier = await earlierLeases.find(store, peers, deadlineMs());
    if (earlier.err || store.era() !== era) return;
    const { stored, value } = earlier.val;
    if (stored !== null) applyRecord(stored);
    const nowMs = clock.nowMs();
    if (missingLease?.era !== era) missingLease = { era, sinceMs: nowMs };
    // Later leases may be missing from the backup, so even a lease of this gateway may not have been the last one, and one that
    // has none doesn't show that there was no holder.
    const holderState = { ...holderStateOf(value, missingLease.sinceMs), isOwn: false };
    if (leaseDecisions.mayTakeOver(holderState, nowMs)) await acquire(null, value, holderState);
  }

  async function checkRecord(): Promise<void> {
    hasReadRecord = true;
    const era = store.era();
    const found = await store.get('leases', leaseDecisions.recordName(era), deadlineMs());
    if (found.err || store.era() !== era) return;
    if (found.val === null) {
      await (era === 0 ? acquireFirst() : checkEarlierEra(era));
      return;
    }
    applyRecord(found.val);
    const holderState = holderStateOf(found.val.value, seenLease?.atMs ?? clock.nowMs());
    if (!leaseDecisions.mayTakeOver(holderState, clock.nowMs())) return;
    await acquire(found.val, found.val.value, holderState);
  }

  function holderLastReceivedMs(): number | null {
    const known = peers.lease();
    return known === null ? null : peers.lastReceivedMs(known.holderId);
  }

  async function step(): Promise<void> {
    const nowMs = clock.nowMs();
    if (held !== null) {
      const known = peers.lease();
      if (known !== null && known.term > held.record.value.term) {
        loseLease('a peer knows a newer term');
        return;
      }
      const isDue = nowMs - held.renewedAtMs >= leaseDecisions.RENEW_MS;
      if (isOfEarlierEra(held)) await carryOver(held);
      else if (isDue || mayHaveBeenSuspended(held)) await renew(held);
      return;
    }
    if (isLeaving || !deps.isEligible()) return;
    const input = {
      startedAtMs,
      lastReceivedMs: holderLastReceivedMs(),
      seenAtMs: seenLease?.atMs ?? missingLease?.sinceMs ?? null,
      takeDelayMs: leaseDecisions.takeDelayMs(deps.millicores, peers.largestMillicores(nowMs)),
    };
    if (!leaseDecisions.shouldReadLease(input, nowMs)) return;
    await checkRecord();
  }

  /**
   * When the answer is lost, the release may have taken effect or may do so later. Peers that receive messages from
   * this gateway do not read the lease record, and fences stop its orders once another holder has given one. Where
   * fences are not checked, this gateway gives no more orders.
   */
  async function writeRelease(lease: HeldLease): Promise<void> {
    isReleasing = true;
    const value = {
      ...lease.record.value,
      isReleased: true,
      orderDelayMs: leaseDecisions.orderDelayMs(lease, clock.nowMs()),
    };
    const { revision } = lease.record;
    const name = leaseDecisions.recordName(lease.record.era);
    const put = await store.put('leases', name, value, revision, deadlineMs());
    if (put.ok && !isOfEarlierEra(lease)) held = null;
    else if (put.err && put.val.kind === 'unavailable') lease.isStoreAway = true;
    else if (put.err) await checkOwnership(lease, put.val.kind);
    const isUnknown = put.err && put.val.kind === 'outcome-unknown';
    isReleasing = held !== null && isUnknown && !deps.upstreamsCheckFences;
    log.info('lease-released', {
      term: value.term,
      isStored: put.ok,
      reason: put.err ? put.val.kind : undefined,
    });
  }

  /** The renewal loop goes on meanwhile; a renewal that succeeds shows that the store is available again. */
  async function releaseBy(untilMs: number): Promise<void> {
    do {
      const lease = held;
      if (lease === null) return;
      if (!lease.isStoreAway) await writeRelease(lease);
      if (held === null || clock.nowMs() >= untilMs) return;
      await clocksModule.sleepUntil(clock, Math.min(untilMs, clock.nowMs() + TICK_MS));
    } while (clock.nowMs() < untilMs);
  }

  /** After its start a gateway reads the lease as soon as it is eligible: the record holds the fleet's state. */
  function nextStepMs(): number {
    const isStarting = !hasReadRecord && clock.nowMs() - startedAtMs < STARTING_MS;
    if (isStarting) return STARTING_TICK_MS;
    return held === null ? TICK_MS + deps.random.below(JITTER_MS) : TICK_MS;
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      await steps.guard(log, 'lease', step);
      const waitMs = nextStepMs();
      await clocksModule.sleepUntil(clock, clock.nowMs() + waitMs, stopping.signal);
    }
  }

  return {
    start: () => {
      void run();
    },
    release: async (untilMs) => {
      isLeaving = true;
      const startedMs = clock.nowMs();
      await releaseBy(untilMs);
      stopping.abort();
      if (held !== null) {
        const waitedMs = Math.round(clock.nowMs() - startedMs);
        log.warn('lease-kept', { term: held.record.value.term, waitedMs });
      }
      held = null;
    },
    orderTerm: () => {
      if (held === null || isReleasing || mayHaveBeenSuspended(held)) return null;
      const may = leaseDecisions.mayOrder(held, deps.upstreamsCheckFences, clock.nowMs());
      return may ? held.record.value.term : null;
    },
    heldTerm: () => held?.record.value.term ?? null,
    secureLease: () => {
      if (held === null || isReleasing || hasClockMoved(held)) return null;
      return clock.nowMs() < held.renewedAtMs + leaseDecisions.VALID_MS ? held.acquired : null;
    },
    fenced: () => loseLease('an upstream has seen a higher term'),
  };
}
