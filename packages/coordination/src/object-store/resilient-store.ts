/** Wraps an object store: retries calls that had no effect, and limits the rate of calls. */
import { clocks, results } from '@copperlever/runtime';
import type { randoms } from '@copperlever/runtime';

import * as callBudget from './call-budget.js';
import type * as types from './types.js';

export type CallKind = 'get' | 'put' | 'remove' | 'list' | 'watch' | 'list-vms';

export type ResilientStoreOptions = {
  clock: clocks.Clock;
  random: randoms.Random;
  /** The maximum number of calls a second by this process, including retries. */
  callsPerSecond: number;
  /** How many calls may be made at once after an idle period. */
  burstCalls: number;
  /** Called for each call that is sent, for metrics. */
  onCall?: (kind: CallKind) => void;
};

const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 5_000;

/**
 * The delay before retry number `retryCount`, counted from one: exponential, with half of it random, so that processes
 * that failed at the same instant do not retry at the same instant.
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
   * Retries only calls that had no effect. An unknown outcome is returned to the caller, since only the caller can tell
   * its own write from another's.
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
