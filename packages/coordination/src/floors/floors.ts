/** Stores floors with one object for each key, moved by conditional update. */
import { results } from '@copperlever/runtime';
import type { clocks, randoms } from '@copperlever/runtime';
import * as zod from 'zod';

import * as nonces from '../nonces.js';
import * as answers from '../object-store/answers.js';
import * as ownWrites from '../object-store/own-writes.js';
import type * as objectStore from '../object-store/types.js';

import type * as types from './types.js';

export type FloorsOptions = {
  store: Pick<objectStore.ObjectStore, 'get' | 'put'>;
  clock: clocks.Clock;
  random: randoms.Random;
};

type FloorRecord = types.Floor & { nonce: string };

const DEFAULT_RETRY_AFTER_MS = 1_000;

export function floorObjectKey(key: string): string {
  return `floors/${encodeURIComponent(key)}`;
}

const recordSchema: zod.ZodType<FloorRecord> = zod.looseObject({
  key: zod.string(),
  holderId: zod.string(),
  incarnation: zod.number(),
  nonce: zod.string(),
});

function parseRecord(value: Buffer): FloorRecord | null {
  return answers.parse(value, recordSchema);
}

/** Null for a record that cannot be read. */
function toHeld(stored: objectStore.StoredObject): types.HeldFloor | null {
  const record = parseRecord(stored.value);
  if (record === null) return null;
  const { key, holderId, incarnation } = record;
  return { floor: { key, holderId, incarnation }, version: stored.version };
}

export function createFloors(options: FloorsOptions): types.Floors {
  const { store, clock, random } = options;

  function unavailable(retryAtMs?: number): types.FloorError {
    const atMs = retryAtMs ?? clock.nowMs() + DEFAULT_RETRY_AFTER_MS;
    return { kind: 'store-unavailable', retryAtMs: atMs };
  }

  return {
    read: async (key, deadlineMs) => {
      const found = await store.get(floorObjectKey(key), deadlineMs);
      if (found.ok) {
        const held = found.val === null ? null : toHeld(found.val);
        const isReadable = found.val === null || held !== null;
        return isReadable ? results.Ok(held) : results.Err(unavailable());
      }
      const retryAtMs = found.val.kind === 'unavailable' ? found.val.retryAtMs : undefined;
      return results.Err(unavailable(retryAtMs));
    },

    acquire: async (key, expected, holder, deadlineMs) => {
      const record: FloorRecord = { key, ...holder, nonce: nonces.createNonce(random) };
      const write: ownWrites.OwnWrite = {
        key: floorObjectKey(key),
        value: Buffer.from(JSON.stringify(record)),
        condition:
          expected === null ? { kind: 'absent' } : { kind: 'version', version: expected.version },
        isOwn: (stored) => parseRecord(stored)?.nonce === record.nonce,
      };
      const done = await ownWrites.writeOwn(options, write, deadlineMs);
      if (done.ok) {
        const held = toHeld(done.val);
        return held === null ? results.Err(unavailable()) : results.Ok(held);
      }
      switch (done.val.kind) {
        case 'conflict': {
          if (done.val.present === null) return results.Err(unavailable(clock.nowMs()));
          const present = toHeld(done.val.present);
          if (present === null) return results.Err(unavailable());
          return results.Err({ kind: 'moved', floor: present.floor });
        }
        case 'unavailable':
          return results.Err(unavailable(done.val.retryAtMs));
        case 'outcome-unknown':
        case 'too-large':
          return results.Err(unavailable());
      }
    },
  };
}
