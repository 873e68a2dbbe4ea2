/** What claims cost the object API, one object each or in buckets, on a virtual clock. */
import {
  bucketedClaims,
  claims,
  faultyStore,
  memoryStore,
  type claimTypes,
  type objectStoreTypes,
} from '@copperlever/coordination';
import { clocks, randoms } from '@copperlever/runtime';
import * as hashes from '@copperlever/runtime/hashes';

import * as figures from './figures.js';
import * as virtualClock from './virtual-clock.js';

type Way =
  | { kind: 'one-object-each' }
  /** Every entry commits for itself. */
  | { kind: 'buckets'; bucketCount: number; gatherMs: number }
  /** Entries pass their claims to the one that commits for the bucket. */
  | { kind: 'buckets-by-owner'; bucketCount: number; gatherMs: number };

type Counts = { gets: number; puts: number; putBytes: number; conflicts: number };

const ENTRY_COUNT = 410;
const RATES_PER_SECOND = [10, 50, 150, 300, 600];
const WAYS: readonly Way[] = [
  { kind: 'one-object-each' },
  { kind: 'buckets', bucketCount: 256, gatherMs: 0 },
  { kind: 'buckets-by-owner', bucketCount: 8, gatherMs: 0 },
  { kind: 'buckets-by-owner', bucketCount: 8, gatherMs: 50 },
  { kind: 'buckets-by-owner', bucketCount: 32, gatherMs: 100 },
];
const RUN_MS = 10_000;
const DRAIN_MS = 15_000;
/** From the claim to its outcome: a typical run of a plain service. */
const WORK_MS = 300;
const STORE_DELAY_MS = 5;
const HOP_MS = 2;
const TIMEOUT_MS = 5_000;
const KEEP_MS = 60_000;

function countCalls(inner: claimTypes.ClaimStore, counts: Counts): claimTypes.ClaimStore {
  return {
    get: (key, deadlineMs) => {
      counts.gets += 1;
      return inner.get(key, deadlineMs);
    },
    put: async (key, value, condition: objectStoreTypes.WriteCondition, deadlineMs) => {
      counts.puts += 1;
      counts.putBytes += value.length;
      const done = await inner.put(key, value, condition, deadlineMs);
      if (done.err && done.val.kind === 'conflict') counts.conflicts += 1;
      return done;
    },
  };
}

function createEntries(
  way: Way,
  store: claimTypes.ClaimStore,
  clock: clocks.Clock,
): claimTypes.Claims[] {
  return Array.from({ length: ENTRY_COUNT }, (_, index) => {
    const random = randoms.createRandom(index + 1);
    if (way.kind === 'one-object-each') return claims.createClaims({ store, clock, random });
    const { bucketCount, gatherMs } = way;
    const limits = { bucketCount, gatherMs, retentionMs: KEEP_MS };
    return bucketedClaims.createBucketedClaims({ store, clock, random, ...limits });
  });
}

async function measure(way: Way, perSecond: number) {
  const clock = virtualClock.createVirtualClock();
  const faulty = faultyStore.createFaultyStore(memoryStore.createMemoryStore(clock), clock);
  faulty.setFault({ kind: 'slow', delayMs: STORE_DELAY_MS });
  const counts: Counts = { gets: 0, puts: 0, putBytes: 0, conflicts: 0 };
  const entries = createEntries(way, countCalls(faulty, counts), clock);
  const random = randoms.createRandom(7);
  const waitsMs: number[] = [];
  let failed = 0;

  async function serve(number: number): Promise<void> {
    const key = `key-${number}`;
    const isByOwner = way.kind === 'buckets-by-owner';
    const owner = isByOwner ? hashes.hash32(key) % way.bucketCount : random.below(ENTRY_COUNT);
    const entry = entries[owner];
    if (entry === undefined) return;
    const startedMs = clock.nowMs();
    const hopMs = isByOwner ? HOP_MS : 0;
    await clocks.sleepUntil(clock, clock.nowMs() + hopMs);
    const wanted = { key, fingerprint: 'f', requestId: key, holderId: 'entry', target: null };
    const claimed = await entry.claim(wanted, clock.nowMs() + TIMEOUT_MS);
    await clocks.sleepUntil(clock, clock.nowMs() + hopMs);
    waitsMs.push(clock.nowMs() - startedMs);
    if (claimed.err || claimed.val.kind !== 'held') {
      failed += 1;
      return;
    }
    await clocks.sleepUntil(clock, clock.nowMs() + WORK_MS);
    const outcome = { kind: 'finished-not-kept' as const, status: 200 };
    const settled = await entry.settle(claimed.val.held, outcome, clock.nowMs() + TIMEOUT_MS);
    if (settled.err) failed += 1;
  }

  const total = (perSecond * RUN_MS) / 1_000;
  for (let number = 0; number < total; number += 1) {
    clock.schedule(random.fraction() * RUN_MS, () => void serve(number));
  }
  await clock.advance(RUN_MS + DRAIN_MS);
  const perRunSecond = (count: number) => figures.round((count * 1_000) / RUN_MS, 1);
  return {
    ...way,
    claimsPerSecond: perSecond,
    putsPerSecond: perRunSecond(counts.puts),
    getsPerSecond: perRunSecond(counts.gets),
    putKbPerSecond: perRunSecond(counts.putBytes / 1_000),
    conflictsPerSecond: perRunSecond(counts.conflicts),
    addedMs: figures.spreadOf(waitsMs),
    failed,
  };
}

export async function runClaimRates(report: (result: unknown) => void): Promise<void> {
  for (const way of WAYS) {
    for (const perSecond of RATES_PER_SECOND) report(await measure(way, perSecond));
  }
}
