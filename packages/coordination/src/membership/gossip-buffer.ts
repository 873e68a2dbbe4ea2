/** Updates that still have to be passed on, each a bounded number of times. */

export type GossipBuffer<Item> = {
  /** A later item under the same key replaces the earlier one. */
  add: (key: string, item: Item) => void;
  /** Up to `count` items, those that were sent least often first; counts them as sent once more. */
  take: (count: number, transmitLimit: number) => Item[];
  size: () => number;
};

export function createGossipBuffer<Item>(): GossipBuffer<Item> {
  const entries = new Map<string, { item: Item; sentCount: number }>();

  return {
    add: (key, item) => {
      entries.set(key, { item, sentCount: 0 });
    },
    take: (count, transmitLimit) => {
      const chosen = [...entries].sort(([, a], [, b]) => a.sentCount - b.sentCount).slice(0, count);
      for (const [key, entry] of chosen) {
        entry.sentCount += 1;
        if (entry.sentCount >= transmitLimit) entries.delete(key);
      }
      return chosen.map(([, entry]) => entry.item);
    },
    size: () => entries.size,
  };
}
