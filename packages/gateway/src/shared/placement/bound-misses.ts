/**
 * Models that streams lack at the software version to which they are bound, while other versions may have copies. A miss is
 * dropped when it has not been reported again for some seconds.
 */
export type BoundMiss = { service: string; model: string; softwareVersion: string; count: number };

export type BoundMisses = {
  note: (miss: BoundMiss, nowMs: number) => void;
  of: (service: string, nowMs: number) => readonly BoundMiss[];
};

/** Callers of interactive streams wait two to three seconds for the next event, those of batch work longer and ask again. */
const KEPT_MS = 4_000;

export function createBoundMisses(): BoundMisses {
  const misses = new Map<string, BoundMiss & { atMs: number }>();
  return {
    note: (miss, nowMs) => {
      const key = JSON.stringify([miss.service, miss.model, miss.softwareVersion]);
      const count = (misses.get(key)?.count ?? 0) + miss.count;
      misses.set(key, { ...miss, count, atMs: nowMs });
    },
    of: (service, nowMs) => {
      for (const [key, { atMs }] of misses) if (nowMs - atMs > KEPT_MS) misses.delete(key);
      return [...misses.values()].filter((miss) => miss.service === service);
    },
  };
}
