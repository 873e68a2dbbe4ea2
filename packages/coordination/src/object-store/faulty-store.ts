/** Wraps an object store and injects faults, for tests. */
import { clocks, results } from '@copperlever/runtime';

import type * as types from './types.js';

export type StoreFault =
  | { kind: 'none' }
  /** Every call fails without effect. */
  | { kind: 'outage'; retryAfterMs: number }
  /** Every call takes effect, and its answer arrives `delayMs` later. */
  | { kind: 'slow'; delayMs: number }
  /** Watches get no answer until their deadline, as on a connection that went silent. */
  | { kind: 'watches-silent' }
  /** The next `count` writes take effect, but their answers are lost. */
  | { kind: 'answers-lost'; count: number }
  /** The next `count` writes are lost in transit and take no effect. */
  | { kind: 'writes-lost'; count: number };

export type FaultyStore = types.ObjectStore & {
  setFault: (fault: StoreFault) => void;
  /** The number of calls since the start, including failed ones. */
  callCount: () => number;
};

export function createFaultyStore(inner: types.ObjectStore, clock: clocks.Clock): FaultyStore {
  let fault: StoreFault = { kind: 'none' };
  let callCount = 0;

  function unavailable(retryAfterMs: number): types.ObjectError {
    return { kind: 'unavailable', retryAtMs: clock.nowMs() + retryAfterMs, reason: 'outage' };
  }

  /** Applies outages and delays to a call. A slow call takes effect even if its answer arrives after the deadline. */
  async function callWithFault<Value>(
    call: () => Promise<results.Result<Value, types.ObjectError>>,
    deadlineMs: number,
    lateError: types.ObjectError,
  ): Promise<results.Result<Value, types.ObjectError>> {
    callCount += 1;
    if (fault.kind === 'outage') return results.Err(unavailable(fault.retryAfterMs));
    const untilMs = fault.kind === 'slow' ? clock.nowMs() + fault.delayMs : null;
    const done = await call();
    if (untilMs === null) return done;
    await clocks.sleepUntil(clock, Math.min(untilMs, deadlineMs));
    return untilMs > deadlineMs ? results.Err(lateError) : done;
  }

  async function write<Value>(
    key: string,
    call: () => Promise<results.Result<Value, types.ObjectError>>,
    deadlineMs: number,
  ): Promise<results.Result<Value, types.ObjectError>> {
    const lost: types.ObjectError = { kind: 'outcome-unknown', key, reason: 'answer lost' };
    if (fault.kind === 'writes-lost' && fault.count > 0) {
      callCount += 1;
      fault.count -= 1;
      return results.Err(lost);
    }
    const done = await callWithFault(call, deadlineMs, lost);
    if (fault.kind !== 'answers-lost' || fault.count === 0) return done;
    fault.count -= 1;
    return results.Err(lost);
  }

  return {
    get: (key, deadlineMs) =>
      callWithFault(() => inner.get(key, deadlineMs), deadlineMs, unavailable(0)),
    put: (key, value, condition, deadlineMs) =>
      write(key, () => inner.put(key, value, condition, deadlineMs), deadlineMs),
    remove: (key, deadlineMs) => write(key, () => inner.remove(key, deadlineMs), deadlineMs),
    list: (prefix, deadlineMs) =>
      callWithFault(() => inner.list(prefix, deadlineMs), deadlineMs, unavailable(0)),
    watch: async (prefix, afterRevision, deadlineMs) => {
      const call = () => inner.watch(prefix, afterRevision, deadlineMs);
      const reply = await callWithFault(call, deadlineMs, unavailable(0));
      if (fault.kind !== 'watches-silent') return reply;
      await clocks.sleepUntil(clock, deadlineMs);
      return results.Err(unavailable(0));
    },
    listVms: (deadlineMs) =>
      callWithFault(() => inner.listVms(deadlineMs), deadlineMs, unavailable(0)),
    setFault: (next) => {
      fault = { ...next };
    },
    callCount: () => callCount,
  };
}
