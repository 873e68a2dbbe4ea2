import { randoms } from '@copperlever/runtime';
import * as fakeClock from '@copperlever/runtime/testing/fake-clock';
import * as fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import * as faultyStore from '../object-store/faulty-store.js';
import * as memoryStore from '../object-store/memory-store.js';

import * as bucketedClaims from './bucketed-claims.js';
import * as claims from './claims.js';
import type * as types from './types.js';

type Kind = 'one-object-each' | 'buckets';

/** Both stores give the same guarantees; with only two buckets, different keys share a bucket. */
const KINDS: readonly Kind[] = ['one-object-each', 'buckets'];

function createParts(kind: Kind) {
  const clock = fakeClock.createFakeClock();
  const store = faultyStore.createFaultyStore(memoryStore.createMemoryStore(clock), clock);
  const holders = new Map<number, types.Claims>();
  /** Returns one process for each seed: two processes with the same seed would share their nonces. */
  const holder = (seed: number): types.Claims => {
    const known = holders.get(seed) ?? createHolder(seed);
    holders.set(seed, known);
    return known;
  };
  const createHolder = (seed: number): types.Claims => {
    const random = randoms.createRandom(seed);
    if (kind === 'one-object-each') return claims.createClaims({ store, clock, random });
    const limits = { bucketCount: 2, gatherMs: 0, retentionMs: 60_000 };
    return bucketedClaims.createBucketedClaims({ store, clock, random, ...limits });
  };
  return { clock, store, holder };
}

function wanted(holderId: string) {
  const target = { memberId: 'agent-1', incarnation: 1, dispatchId: holderId, tick: 1 };
  return { key: 'proof-1', fingerprint: 'f', requestId: holderId, holderId, target };
}

for (const kind of KINDS) {
  test(`${kind}: of several entries that claim one key under faults, at most one holds the claim`, async () => {
    // A resend must never start a second run. Several entries claim at once while answers or writes are lost, or the
    // store is down or slow; each stops unless its own nonce is stored.
    const fault = fc.oneof(
      fc.constant<faultyStore.StoreFault>({ kind: 'none' }),
      fc.record({
        kind: fc.constant('answers-lost' as const),
        count: fc.integer({ max: 6, min: 1 }),
      }),
      fc.record({
        kind: fc.constant('writes-lost' as const),
        count: fc.integer({ max: 6, min: 1 }),
      }),
      fc.record({ kind: fc.constant('slow' as const), delayMs: fc.integer({ max: 900, min: 1 }) }),
      fc.constant<faultyStore.StoreFault>({ kind: 'outage', retryAfterMs: 50 }),
    );
    await fc.assert(
      fc.asyncProperty(fc.array(fault, { minLength: 1, maxLength: 5 }), async (faults) => {
        const { clock, store, holder } = createParts(kind);
        const attempts: ReturnType<ReturnType<typeof holder>['claim']>[] = [];
        for (const [index, next] of faults.entries()) {
          store.setFault(next);
          attempts.push(holder(index).claim(wanted(`entry-${index}`), clock.nowMs() + 600));
          await clock.advance(40);
        }
        await clock.advance(2_000);
        const ended = await Promise.all(attempts);
        const holders = ended.filter((attempt) => attempt.ok && attempt.val.kind === 'held');
        assert.ok(holders.length <= 1, `${holders.length} holders`);
      }),
      { seed: 11, numRuns: 100 },
    );
  });

  test(`${kind}: a holder whose claim was taken over loses its next change`, async () => {
    // The first entry is paused after its claim. A resend reaches another entry, which has the attempt revoked and
    // takes the claim over. The first entry must then stop, so that the caller is answered once.
    const { holder } = createParts(kind);
    const paused = (await holder(1).claim(wanted('entry-1'), 100)).unwrap();
    const next = { requestId: 'r2', holderId: 'entry-2', target: wanted('entry-2').target };
    const taken = (await holder(2).retarget(paused.held, next, 100)).unwrap();
    const late = await holder(1).retarget(paused.held, { ...next, holderId: 'entry-1' }, 100);
    assert.equal(late.val, { kind: 'lost' });
    const settled = await holder(2).settle(taken, { kind: 'failed', cause: 'crash' }, 100);
    assert.equal(settled.unwrap().claim.outcome, { kind: 'failed', cause: 'crash' });
  });

  test(`${kind}: a resend finds the outcome`, async () => {
    const { holder } = createParts(kind);
    const first = (await holder(1).claim(wanted('entry-1'), 100)).unwrap();
    await holder(1).settle(first.held, { kind: 'finished-not-kept', status: 200 }, 100);
    const resend = (await holder(2).claim(wanted('entry-2'), 100)).unwrap();
    assert.is(resend.kind, 'taken');
    assert.equal(resend.held.claim.outcome, { kind: 'finished-not-kept', status: 200 });
  });
}

test('claims that wait for the same bucket share a write', async () => {
  const { clock, store, holder } = createParts('buckets');
  const one = holder(1);
  const keys = Array.from({ length: 50 }, (_, index) => `key-${index}`);
  store.setFault({ kind: 'slow', delayMs: 5 });
  const pending = keys.map((key) => one.claim({ ...wanted('entry-1'), key }, 1_000));
  await clock.advance(1_000);
  const attempts = await Promise.all(pending);
  assert.ok(attempts.every((attempt) => attempt.ok && attempt.val.kind === 'held'));
  assert.ok(store.callCount() <= 8, `${store.callCount()} calls`);
});

test('a settled claim is removed after its retention time, an open one is not', async () => {
  const { clock, holder } = createParts('buckets');
  const one = holder(1);
  const settled = (await one.claim({ ...wanted('entry-1'), key: 'a' }, 100)).unwrap();
  await one.settle(settled.held, { kind: 'failed', cause: 'crash' }, 100);
  await one.claim({ ...wanted('entry-1'), key: 'open' }, 100);
  await clock.advance(120_000);
  for (const key of ['x', 'y', 'z']) {
    await one.claim({ ...wanted('entry-1'), key }, clock.nowMs() + 100);
  }
  assert.is((await one.read('a', clock.nowMs() + 100)).unwrap(), null);
  assert.is.not((await one.read('open', clock.nowMs() + 100)).unwrap(), null);
});

// Guards against a record of another shape in the store that ends the process which settles the claim.
test('a claim that cannot be read is neither taken over nor thrown', async () => {
  for (const bytes of ['', '<html>', 'null', '[]', '{}', '{"nonce":"x","target":7}']) {
    const { clock, store, holder } = createParts('one-object-each');
    const held = await holder(1).claim(wanted('entry-1'), 1_000);
    assert.ok(held.ok && held.val.kind === 'held');
    const condition = { kind: 'version', version: held.val.held.version } as const;
    await store.put(claims.claimObjectKey('proof-1'), Buffer.from(bytes), condition, 1_000);
    const settling = holder(1).settle(held.val.held, { kind: 'failed', cause: 'x' }, 1_000);
    const claiming = holder(2).claim(wanted('entry-2'), 1_000);
    const reading = holder(2).read('proof-1', 1_000);
    await clock.advance(2_000);
    const told = await Promise.all([settling, claiming, reading]);
    const kinds = told.map((one) => (one.err ? one.val.kind : 'ok'));
    assert.equal(
      kinds,
      kinds.map(() => 'store-unavailable'),
      bytes,
    );
  }
});

test.run();
