/**
 * The starts of upstreams that the store had removed before it returned with an older copy. The copy still lists
 * them, and requests would go to an upstream that is gone, or to another process at its address. So their records in
 * the copy are used only once they are written again, or have outlasted the lapse of entries that are not renewed.
 */
import * as storePositions from './store-positions.js';

export type Departures = {
  /** The store's list lacks the upstream as of `at`. */
  noteRemoved: (upstreamId: string, at: storePositions.Position) => void;
  /** The store is in a later era, first seen at `at`. */
  noteStoreReturn: (at: storePositions.Position, nowMs: number) => void;
  /** From when on a record of the upstream may be used. */
  usableFromMs: (upstreamId: string, at: storePositions.Position) => number;
};

/**
 * Entries lapse after three heartbeats, which are some 1.2 s apart. The rest is for reports of the lapse to arrive.
 */
export const RETURN_SETTLED_MS = 6_000;
/** More than are removed within the seconds that a copy is old. */
const REMOVED_MAX = 500;

export function createDepartures(): Departures {
  const removedAt = new Map<string, storePositions.Position>();
  let storeReturn = { at: storePositions.ORIGIN, atMs: -Infinity };

  return {
    noteRemoved: (upstreamId, at) => {
      removedAt.delete(upstreamId);
      removedAt.set(upstreamId, at);
      const [oldest] = removedAt.keys();
      if (removedAt.size > REMOVED_MAX && oldest !== undefined) removedAt.delete(oldest);
    },
    noteStoreReturn: (at, nowMs) => {
      storeReturn = { at, atMs: nowMs };
    },
    usableFromMs: (upstreamId, at) => {
      const removed = removedAt.get(upstreamId);
      if (removed === undefined || removed.era >= at.era) return -Infinity;
      const isCopied = !storePositions.isAfter(at, storeReturn.at);
      return isCopied ? storeReturn.atMs + RETURN_SETTLED_MS : -Infinity;
    },
  };
}
