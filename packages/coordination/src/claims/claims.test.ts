import { randoms } from '@copperlever/runtime';
import * as fakeClock from '@copperlever/runtime/testing/fake-clock';
import * as fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import * as faultyStore from '../object-store/faulty-store.js';
import * as memoryStore from '../object-store/memory-store.js';

import * as claims from './claims.js';

function createParts() {
  const clock = fakeClock.createFakeClock();
  const store = faultyStore.createFaultyStore(memoryStore.createMemoryStore(clock), clock);
  const holder = (seed: number) =>
    claims.createClaims({ store, clock, random: randoms.createRandom(seed) });
  return { clock, store, holder };
}

function wanted(holderId: string) {
  const target = { memberId: 'agent-1', incarnation: 1, dispatchId: holderId, tick: 1 };
  return { key: 'proof-1', fingerprint: 'f', requestId: holderId, holderId, target };
}

test('of any entries at one key under faults, at most one holds the claim', async () => {
  // Callers that resend never start a second run. Several entries claim at once while answers or
  // writes get lost or the store is down or slow; each stops unless its own nonce is stored.
  const fault = fc.oneof(
    fc.constant<faultyStore.StoreFault>({ kind: 'none' }),
    fc.record({
      kind: fc.constant('answers-lost' as const),
      count: fc.integer({ max: 6, min: 1 }),
    }),
    fc.record({ kind: fc.constant('writes-lost' as const), count: fc.integer({ max: 6, min: 1 }) }),
    fc.record({ kind: fc.constant('slow' as const), delayMs: fc.integer({ max: 900, min: 1 }) }),
    fc.constant<faultyStore.StoreFault>({ kind: 'outage', retryAfterMs: 50 }),
  );
  await fc.assert(
    fc.asyncProperty(fc.array(fault, { minLength: 1, maxLength: 5 }), async (faults) => {
      const { clock, store, holder } = createParts();
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

test('a holder whose claim was taken over loses its next change', async () => {
  // The caller is answered once. The first entry is paused after its claim; a resend reaches
  // another, which had the attempt revoked and takes the claim over. The first wakes up and stops.
  const { holder } = createParts();
  const paused = (await holder(1).claim(wanted('entry-1'), 100)).unwrap();
  const next = { requestId: 'r2', holderId: 'entry-2', target: wanted('entry-2').target };
  const taken = (await holder(2).retarget(paused.held, next, 100)).unwrap();
  const late = await holder(1).retarget(paused.held, { ...next, holderId: 'entry-1' }, 100);
  assert.equal(late.val, { kind: 'lost' });
  const settled = await holder(2).settle(taken, { kind: 'failed', cause: 'crash' }, 100);
  assert.equal(settled.unwrap().claim.outcome, { kind: 'failed', cause: 'crash' });
});

test('a resend finds the outcome', async () => {
  const { holder } = createParts();
  const first = (await holder(1).claim(wanted('entry-1'), 100)).unwrap();
  await holder(1).settle(first.held, { kind: 'finished-not-kept', status: 200 }, 100);
  const resend = (await holder(2).claim(wanted('entry-2'), 100)).unwrap();
  assert.is(resend.kind, 'taken');
  assert.equal(resend.held.claim.outcome, { kind: 'finished-not-kept', status: 200 });
});

test.run();
