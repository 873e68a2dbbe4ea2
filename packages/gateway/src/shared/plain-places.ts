/**
 * How many calls an upstream takes, running and waiting, learnt from what it told when it rejected one. Harm prevented:
 * calls that are sent to an upstream whose queue is known to be full, rejected, and sent again.
 */
import type * as upstreamStates from '../types/upstream-states.js';

export type PlainPlaces = {
  /** It rejected a call; `load` as it told with that. */
  rejected: (upstreamId: string, load: upstreamStates.UpstreamState['load'], nowMs: number) => void;
  /** Null where nothing is known. */
  places: (upstreamId: string, nowMs: number) => number | null;
};

/** Once a minute it is tried again whether it takes more. */
const VALID_MS = 60_000;
/** Words of an answer that overtook the rejection may be kept instead. */
const LOAD_AGE_MAX_MS = 20;

export function createPlainPlaces(): PlainPlaces {
  const learnt = new Map<string, { places: number; atMs: number }>();
  return {
    rejected: (upstreamId, load, nowMs) => {
      for (const [id, { atMs }] of learnt) if (nowMs - atMs >= VALID_MS) learnt.delete(id);
      if (load === null || load.ageMs > LOAD_AGE_MAX_MS) return;
      const places = load.runningCount + load.waitingCount;
      // One that rejects while it tells of free slots is not full, or tells nonsense.
      if (!Number.isFinite(places) || places < load.slots || places === 0) return;
      learnt.set(upstreamId, { places, atMs: nowMs });
    },
    places: (upstreamId, nowMs) => {
      const entry = learnt.get(upstreamId);
      return entry === undefined || nowMs - entry.atMs >= VALID_MS ? null : entry.places;
    },
  };
}
