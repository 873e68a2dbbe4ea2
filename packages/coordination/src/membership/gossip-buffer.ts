/** Holds updates to be sent to other members, each a bounded number of times and for a bounded time. */

/**
 * Processes that an update has not reached by then get it when views are compared. Without this bound, the updates of
 * 1,140 processes that start together are resent for a quarter of an hour.
 */
const RETENTION_MS = 20_000;

export type GossipBuffer<Item> = {
  /** Adds the item, replacing an earlier one with the same key. */
  add: (key: string, item: Item, nowMs: number) => void;
  /** Returns up to `count` items, those sent least often first, and counts them as sent once more. */
  take: (count: number, transmitLimit: number, nowMs: number) => Item[];
  has: (key: string) => boolean;
  remove: (key: string) => void;
  size: () => number;
};

export function createGossipBuffer<Item>(): GossipBuffer<Item> {
  const entries = new Map<string, { item: Item; sentCount: number; expiresAtMs: number }>();

  return {
    add: (key, item, nowMs) => {
      entries.set(key, { item, sentCount: 0, expiresAtMs: nowMs + RETENTION_MS });
    },
    take: (count, transmitLimit, nowMs) => {
      for (const [key, entry] of entries) {
        if (entry.expiresAtMs < nowMs) entries.delete(key);
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
