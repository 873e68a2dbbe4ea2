/** Stores claims with one object for each idempotency key. */
import { results } from '@copperlever/runtime';
import type { clocks, randoms } from '@copperlever/runtime';
import * as zod from 'zod';

import * as nonces from '../nonces.js';
import * as answers from '../object-store/answers.js';
import * as ownWrites from '../object-store/own-writes.js';
import type * as objectStore from '../object-store/types.js';

import type * as types from './types.js';

export type ClaimsOptions = {
  store: types.ClaimStore;
  clock: clocks.Clock;
  random: randoms.Random;
};

/** The delay before a retry when the store names none itself. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

export function claimObjectKey(key: string): string {
  return `claims/${encodeURIComponent(key)}`;
}

const claimSchema: zod.ZodType<types.Claim> = zod.looseObject({
  key: zod.string(),
  fingerprint: zod.string(),
  requestId: zod.string(),
  holderId: zod.string(),
  nonce: zod.string(),
  target: zod
    .looseObject({
      memberId: zod.string(),
      incarnation: zod.number(),
      dispatchId: zod.string(),
      tick: zod.number(),
    })
    .nullable(),
  outcome: zod
    .discriminatedUnion('kind', [
      zod.looseObject({
        kind: zod.literal('finished'),
        status: zod.number(),
        contentType: zod.string(),
        bodyBase64: zod.string(),
      }),
      zod.looseObject({ kind: zod.literal('finished-not-kept'), status: zod.number() }),
      zod.looseObject({ kind: zod.enum(['failed', 'refused', 'unknown']), cause: zod.string() }),
    ])
    .nullable(),
  createdAtMs: zod.number(),
});

function parseClaim(value: Buffer): types.Claim | null {
  return answers.parse(value, claimSchema);
}

/** Null for a record that cannot be read: whether its request ran is not known. */
function toHeld(stored: objectStore.StoredObject): types.HeldClaim | null {
  const claim = parseClaim(stored.value);
  return claim === null ? null : { claim, version: stored.version };
}

export function createClaims(options: ClaimsOptions): types.Claims {
  const { store, clock, random } = options;

  function unavailable(retryAtMs?: number): types.ClaimError {
    const atMs = retryAtMs ?? clock.nowMs() + DEFAULT_RETRY_AFTER_MS;
    return { kind: 'store-unavailable', retryAtMs: atMs };
  }

  function takenBy(
    present: objectStore.StoredObject,
  ): results.Result<types.ClaimAttempt, types.ClaimError> {
    const held = toHeld(present);
    return held === null ? results.Err(unavailable()) : results.Ok({ kind: 'taken', held });
  }

  async function write(
    claim: types.Claim,
    condition: objectStore.WriteCondition,
    deadlineMs: number,
  ): Promise<results.Result<objectStore.StoredObject, ownWrites.OwnWriteError>> {
    const wanted = {
      key: claimObjectKey(claim.key),
      value: Buffer.from(JSON.stringify(claim)),
      condition,
      isOwn: (stored: Buffer) => parseClaim(stored)?.nonce === claim.nonce,
    };
    return ownWrites.writeOwn(options, wanted, deadlineMs);
  }

  /** Each change has its own nonce, by which a write that took effect is recognised when its answer was lost. */
  async function change(
    held: types.HeldClaim,
    fields: Partial<types.Claim>,
    deadlineMs: number,
  ): Promise<results.Result<types.HeldClaim, types.ClaimError>> {
    const claim = { ...held.claim, ...fields, nonce: nonces.createNonce(random) };
    const done = await write(claim, { kind: 'version', version: held.version }, deadlineMs);
    if (done.ok) {
      const changed = toHeld(done.val);
      return changed === null ? results.Err(unavailable()) : results.Ok(changed);
    }
    switch (done.val.kind) {
      case 'conflict': {
        const { present } = done.val;
        const isReadable = present === null || toHeld(present) !== null;
        return results.Err(isReadable ? { kind: 'lost' } : unavailable());
      }
      case 'unavailable':
        return results.Err(unavailable(done.val.retryAtMs));
      case 'outcome-unknown':
      case 'too-large':
        return results.Err(unavailable());
    }
  }

  return {
    claim: async (wanted, deadlineMs) => {
      const claim: types.Claim = {
        ...wanted,
        nonce: nonces.createNonce(random),
        outcome: null,
        createdAtMs: clock.wallMs(),
      };
      const done = await write(claim, { kind: 'absent' }, deadlineMs);
      if (done.ok) {
        const held = toHeld(done.val);
        return held === null ? results.Err(unavailable()) : results.Ok({ kind: 'held', held });
      }
      switch (done.val.kind) {
        case 'conflict':
          // The other claim may have been removed between the write and the read.
          if (done.val.present === null) return results.Err(unavailable(clock.nowMs()));
          return takenBy(done.val.present);
        case 'unavailable':
          return results.Err(unavailable(done.val.retryAtMs));
        case 'outcome-unknown':
        case 'too-large':
          return results.Err(unavailable());
      }
    },

    retarget: (held, next, deadlineMs) => change(held, { ...next, outcome: null }, deadlineMs),

    settle: (held, outcome, deadlineMs) => change(held, { outcome }, deadlineMs),

    read: async (key, deadlineMs) => {
      const found = await store.get(claimObjectKey(key), deadlineMs);
      if (found.ok) {
        const held = found.val === null ? null : toHeld(found.val);
        const isReadable = found.val === null || held !== null;
        return isReadable ? results.Ok(held) : results.Err(unavailable());
      }
      const retryAtMs = found.val.kind === 'unavailable' ? found.val.retryAtMs : undefined;
      return results.Err(unavailable(retryAtMs));
    },
  };
}
