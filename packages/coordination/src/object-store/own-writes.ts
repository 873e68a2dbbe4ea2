/** Conditional writes that recognise their own effect when the answer was lost. */
import { clocks, results } from '@copperlever/runtime';
import type { randoms } from '@copperlever/runtime';

import * as resilientStore from './resilient-store.js';
import type * as types from './types.js';

export type OwnWrite = {
  key: string;
  value: Buffer;
  condition: types.WriteCondition;
  /** Whether a stored value is the one from this write, by its nonce. */
  isOwn: (stored: Buffer) => boolean;
};

export type OwnWriteError =
  /** Another writer was first; `present` is the object that is stored now. */
  | { kind: 'conflict'; present: types.StoredObject | null }
  /** Nothing was written. */
  | { kind: 'unavailable'; retryAtMs: number; reason: string }
  /** At the deadline it was still unknown whether the write took effect. */
  | { kind: 'outcome-unknown'; key: string; reason: string }
  | { kind: 'too-large'; key: string; sizeBytes: number };

export type OwnWriteTools = {
  store: Pick<types.ObjectStore, 'get' | 'put'>;
  clock: clocks.Clock;
  random: randoms.Random;
};

/**
 * Writes, and retries until the outcome is known or the deadline is reached.
 *
 * If an answer is lost after the write took effect, a retry conflicts with its own value and must not take it for
 * another writer's. Every attempt carries the same nonce and the same condition: at most one attempt can take effect,
 * even one that arrives late, and the stored nonce shows whose write it was.
 */
export async function writeOwn(
  tools: OwnWriteTools,
  write: OwnWrite,
  deadlineMs: number,
): Promise<results.Result<types.StoredObject, OwnWriteError>> {
  let lastUnknown: OwnWriteError | null = null;
  for (let attempt = 1; ; attempt += 1) {
    const done = await tools.store.put(write.key, write.value, write.condition, deadlineMs);
    if (done.ok) {
      return results.Ok({ key: write.key, version: done.val, value: write.value });
    }
    const failure = done.val;
    switch (failure.kind) {
      case 'conflict': {
        const settled = await readBack(tools, write, deadlineMs);
        // If the read failed too, an earlier attempt may still have taken effect.
        if (settled.err && settled.val.kind === 'unavailable' && lastUnknown !== null) {
          return results.Err(lastUnknown);
        }
        return settled;
      }
      case 'outcome-unknown':
        lastUnknown = failure;
        break;
      case 'unavailable':
        return results.Err(lastUnknown ?? failure);
      case 'too-large':
        return results.Err(failure);
    }
    const retryAtMs = tools.clock.nowMs() + resilientStore.backoffMs(attempt, tools.random);
    if (retryAtMs >= deadlineMs) return results.Err(failure);
    await clocks.sleepUntil(tools.clock, retryAtMs);
  }
}

async function readBack(
  tools: OwnWriteTools,
  write: OwnWrite,
  deadlineMs: number,
): Promise<results.Result<types.StoredObject, OwnWriteError>> {
  const read = await tools.store.get(write.key, deadlineMs);
  if (read.err) {
    const retryAtMs = read.val.kind === 'unavailable' ? read.val.retryAtMs : tools.clock.nowMs();
    return results.Err({ kind: 'unavailable', retryAtMs, reason: 'read after a conflict' });
  }
  const present = read.val;
  if (present !== null && write.isOwn(present.value)) return results.Ok(present);
  return results.Err({ kind: 'conflict', present });
}
