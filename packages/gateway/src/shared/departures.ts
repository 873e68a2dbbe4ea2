/**
 * Which starts of upstreams the store had removed before it came back from an older copy. Failure: the copy still lists
 * them. Symptom: requests go to an upstream that has gone, or to whoever has its address by now. So what the copy says
 * of them counts only once it is written anew, or has outlasted the lapse of entries that nobody renews.
 */
import * as storePositions from './store-positions.js';

export type Departures = {
  /** The store's list lacks it as of `at`. */
  noteGone: (upstreamId: string, at: storePositions.Position) => void;
  /** The store is in a later era, first seen at `at`. */
  noteReturn: (at: storePositions.Position, nowMs: number) => void;
  /** From when on a record of the upstream counts. */
  countsFromMs: (upstreamId: string, at: storePositions.Position) => number;
};

/** Entries lapse after three heartbeats, which are some 1.2 s apart; the rest is for the news of it. */
export const RETURN_SETTLED_MS = 6_000;
/** More than leave within the seconds that a copy is old. */
const GONE_MAX = 500;

export function createDepartures(): Departures {
  const goneAt = new Map<string, storePositions.Position>();
  let returned = { at: storePositions.ORIGIN, atMs: -Infinity };

  return {
    noteGone: (upstreamId, at) => {
      goneAt.delete(upstreamId);
      goneAt.set(upstreamId, at);
      const [oldest] = goneAt.keys();
      if (goneAt.size > GONE_MAX && oldest !== undefined) goneAt.delete(oldest);
    },
    noteReturn: (at, nowMs) => {
      returned = { at, atMs: nowMs };
    },
    countsFromMs: (upstreamId, at) => {
      const gone = goneAt.get(upstreamId);
      if (gone === undefined || gone.era >= at.era) return -Infinity;
      const isCopied = !storePositions.isAfter(at, returned.at);
      return isCopied ? returned.atMs + RETURN_SETTLED_MS : -Infinity;
    },
  };
}
