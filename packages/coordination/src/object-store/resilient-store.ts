/** An object store that retries calls without effect, and keeps to a budget of calls a second. */
import { clocks, results } from '@copperlever/runtime';
import type { randoms } from '@copperlever/runtime';

import * as callBudget from './call-budget.js';
import type * as types from './types.js';

export type CallKind = 'get' | 'put' | 'remove' | 'list' | 'watch' | 'list-vms';

export type ResilientStoreOptions = {
  clock: clocks.Clock;
  random: randoms.Random;
  /** The most calls a second that this process makes, retries among them. */
  callsPerSecond: number;
  /** How many calls may be made at once after a quiet time. */
  burstCalls: number;
  /** Told of each call that goes out, for metrics. */
  onCall?: (kind: CallKind) => void;
};

const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 5_000;

/**
 * How long to wait before retry number `retryCount`, counted from one: exponential, with full
 * jitter, so that processes that failed in the same instant do not come back in the same instant.
 */
export function backoffMs(retryCount: number, random: randoms.Random): number {
  const limitMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (retryCount - 1));
  return limitMs * (0.5 + random.fraction() / 2);
}

export function createResilientStore(
  inner: types.ObjectStore,
  options: ResilientStoreOptions,
): types.ObjectStore {
  const { clock, random } = options;
  const budget = callBudget.createCallBudget({
    clock,
    perSecond: options.callsPerSecond,
    burst: options.burstCalls,
  });

  /**
   * Retries only what had no effect. An outcome that is unknown goes back to the caller, who
   * alone can tell its own write from another's.
   */
  async function retry<Value>(
    kind: CallKind,
    deadlineMs: number,
    call: () => Promise<results.Result<Value, types.ObjectError>>,
  ): Promise<results.Result<Value, types.ObjectError>> {
    for (let attempt = 1; ; attempt += 1) {
      const startAtMs = budget.reserve();
      if (startAtMs >= deadlineMs) {
        budget.refund();
        return results.Err({ kind: 'unavailable', retryAtMs: startAtMs, reason: 'call budget' });
      }
      if (startAtMs > clock.nowMs()) await clocks.sleepUntil(clock, startAtMs);
      options.onCall?.(kind);
      const done = await call();
      if (done.ok || done.val.kind !== 'unavailable') return done;
      const retryAtMs = Math.max(done.val.retryAtMs, clock.nowMs()) + backoffMs(attempt, random);
      if (retryAtMs >= deadlineMs) return results.Err({ ...done.val, retryAtMs });
      await clocks.sleepUntil(clock, retryAtMs);
    }
  }

  return {
    get: (key, deadlineMs) => retry('get', deadlineMs, () => inner.get(key, deadlineMs)),
    put: (key, value, condition, deadlineMs) =>
      retry('put', deadlineMs, () => inner.put(key, value, condition, deadlineMs)),
    remove: (key, deadlineMs) => retry('remove', deadlineMs, () => inner.remove(key, deadlineMs)),
    list: (prefix, deadlineMs) => retry('list', deadlineMs, () => inner.list(prefix, deadlineMs)),
    watch: (prefix, afterRevision, deadlineMs) =>
      retry('watch', deadlineMs, () => inner.watch(prefix, afterRevision, deadlineMs)),
    listVms: (deadlineMs) => retry('list-vms', deadlineMs, () => inner.listVms(deadlineMs)),
  };
}
