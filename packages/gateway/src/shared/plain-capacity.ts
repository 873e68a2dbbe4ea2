/**
 * Learns how many calls, running and waiting, an upstream accepts, from the load that it reported when it rejected one.
 * Without it calls would be sent to an upstream whose queue is known to be full, rejected, and sent again.
 */
import type * as upstreamStates from '../types/upstream-states.js';

export type PlainCapacity = {
  /** Records that it rejected a call; `load` is what it reported with the rejection. */
  recordRejection: (
    upstreamId: string,
    load: upstreamStates.UpstreamState['load'],
    nowMs: number,
  ) => void;
  /** Null where nothing is known. */
  capacity: (upstreamId: string, nowMs: number) => number | null;
};

/** Once a minute it is tested again whether the upstream accepts more. */
const VALID_MS = 60_000;
/** An older load than this may have been reported by an answer that overtook the rejection. */
const MAX_LOAD_AGE_MS = 20;

export function createPlainCapacity(): PlainCapacity {
  const learned = new Map<string, { capacity: number; atMs: number }>();
  return {
    recordRejection: (upstreamId, load, nowMs) => {
      for (const [id, { atMs }] of learned) if (nowMs - atMs >= VALID_MS) learned.delete(id);
      if (load === null || load.ageMs > MAX_LOAD_AGE_MS) return;
      const capacity = load.runningCount + load.waitingCount;
      // An upstream that rejects calls while it reports free slots is not full, or its report is wrong.
      if (!Number.isFinite(capacity) || capacity < load.slots || capacity === 0) return;
      learned.set(upstreamId, { capacity, atMs: nowMs });
    },
    capacity: (upstreamId, nowMs) => {
      const entry = learned.get(upstreamId);
      return entry === undefined || nowMs - entry.atMs >= VALID_MS ? null : entry.capacity;
    },
  };
}
