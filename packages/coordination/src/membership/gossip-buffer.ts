/** Updates that still have to be passed on, each a bounded number of times and for a bounded time. */

/**
 * What an update has not reached by then, the comparison of views brings. Without this bound, the
 * updates of 1,140 processes that start together are passed on for a quarter of an hour.
 */
const KEEP_MS = 20_000;

export type GossipBuffer<Item> = {
  /** A later item under the same key replaces the earlier one. */
  add: (key: string, item: Item, nowMs: number) => void;
  /** Up to `count` items, those that were sent least often first; counts them as sent once more. */
  take: (count: number, transmitLimit: number, nowMs: number) => Item[];
  has: (key: string) => boolean;
  remove: (key: string) => void;
  size: () => number;
};

export function createGossipBuffer<Item>(): GossipBuffer<Item> {
  const entries = new Map<string, { item: Item; sentCount: number; untilMs: number }>();

  return {
    add: (key, item, nowMs) => {
      entries.set(key, { item, sentCount: 0, untilMs: nowMs + KEEP_MS });
    },
    take: (count, transmitLimit, nowMs) => {
      for (const [key, entry] of entries) {
        if (entry.untilMs < nowMs) entries.delete(key);
      }
      const chosen = [...entries].sort(([, a], [, b]) => a.sentCount - b.sentCount).slice(0, count);
      for (const [key, entry] of chosen) {
        entry.sentCount += 1;
        if (entry.sentCount >= transmitLimit) entries.delete(key);
      }
      return chosen.map(([, entry]) => entry.item);
    },
    has: (key) => entries.has(key),
    remove: (key) => {
      entries.delete(key);
    },
    size: () => entries.size,
  };
}
