/**
 * The object that lists the orders on their way to one engine. It is changed only by conditional
 * update, so that of two agents for one engine only the newest can record an order.
 */
import { type objectStoreTypes, ownWrites } from '@copperlever/coordination';
import { type clocks, type randoms, results } from '@copperlever/runtime';
import * as zod from 'zod';

import type * as types from './types.js';

const recordedOrderSchema = zod.object({
  kind: zod.enum(['load', 'unload']),
  orderId: zod.string(),
  fencingNumber: zod.number(),
  name: zod.string(),
  version: zod.string(),
  sizeBytes: zod.number(),
});

const intentsSchema = zod.object({
  ownerIncarnation: zod.number(),
  nonce: zod.string(),
  orders: zod.array(recordedOrderSchema),
});

export type Intents = zod.infer<typeof intentsSchema>;

export type StoredIntents = { intents: Intents; version: number };

export type IntentsError =
  /** The object API did not say that the write took effect. */
  | { kind: 'unavailable'; retryAtMs: number; detail: string }
  /** Another agent changed the object. */
  | { kind: 'conflict' };

export type IntentsStore = {
  read: (deadlineMs: number) => Promise<results.Result<StoredIntents | null, IntentsError>>;
  write: (
    expected: StoredIntents | null,
    orders: readonly types.RecordedOrder[],
    deadlineMs: number,
  ) => Promise<results.Result<StoredIntents, IntentsError>>;
};

export type IntentsStoreOptions = {
  store: Pick<objectStoreTypes.ObjectStore, 'get' | 'put'>;
  clock: clocks.Clock;
  random: randoms.Random;
  upstreamId: string;
  incarnation: number;
};

const RETRY_MS = 1_000;

export function intentsKey(upstreamId: string): string {
  return `intents/${encodeURIComponent(upstreamId)}`;
}

/** Null where the bytes are no intents. */
function parse(value: Buffer): Intents | null {
  try {
    return intentsSchema.safeParse(JSON.parse(value.toString('utf8'))).data ?? null;
  } catch {
    return null;
  }
}

export function createIntentsStore(options: IntentsStoreOptions): IntentsStore {
  const { store, clock, incarnation } = options;
  const key = intentsKey(options.upstreamId);
  let writeCount = 0;

  function unavailable(detail: string, retryAtMs?: number): IntentsError {
    return { kind: 'unavailable', retryAtMs: retryAtMs ?? clock.nowMs() + RETRY_MS, detail };
  }

  function toError(error: ownWrites.OwnWriteError): IntentsError {
    switch (error.kind) {
      case 'conflict':
        return { kind: 'conflict' };
      case 'unavailable':
        return unavailable(error.reason, error.retryAtMs);
      case 'outcome-unknown':
        return unavailable(error.reason);
      case 'too-large':
        return unavailable('too many orders are open');
    }
  }

  return {
    read: async (deadlineMs) => {
      const found = await store.get(key, deadlineMs);
      if (found.err) return results.Err(unavailable(found.val.kind));
      if (found.val === null) return results.Ok(null);
      const intents = parse(found.val.value);
      if (intents === null) return results.Err(unavailable('the object holds no intents'));
      return results.Ok({ intents, version: found.val.version });
    },
    write: async (expected, orders, deadlineMs) => {
      writeCount += 1;
      const nonce = `${incarnation}.${writeCount}`;
      const intents: Intents = { ownerIncarnation: incarnation, nonce, orders: [...orders] };
      const written = await ownWrites.writeOwn(
        options,
        {
          key,
          value: Buffer.from(JSON.stringify(intents)),
          condition:
            expected === null ? { kind: 'absent' } : { kind: 'version', version: expected.version },
          isOwn: (stored) => parse(stored)?.nonce === nonce,
        },
        deadlineMs,
      );
      if (written.ok) return results.Ok({ intents, version: written.val.version });
      return results.Err(toError(written.val));
    },
  };
}
