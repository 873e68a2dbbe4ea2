/** How long the longest of the recent answers of each target took: a stop begins nothing that may take longer than it has. */
export type LongestTimes = {
  observe: (target: string, tookMs: number) => void;
  /** Null where no answer was seen. */
  longestMs: (target: string) => number | null;
};

type Longest = { presentMs: number; count: number; beforeMs: number };

/** The longest of the last 100 to 200 answers. */
const ANSWERS_EACH = 100;
/** The targets that were seen least recently make room. */
const TARGETS_MAX = 2_000;

export function createLongestTimes(): LongestTimes {
  const byTarget = new Map<string, Longest>();
  return {
    observe: (target, tookMs) => {
      const old = byTarget.get(target) ?? { presentMs: 0, count: 0, beforeMs: 0 };
      const isFull = old.count === ANSWERS_EACH;
      byTarget.delete(target);
      byTarget.set(target, {
        presentMs: Math.max(isFull ? 0 : old.presentMs, tookMs),
        count: isFull ? 1 : old.count + 1,
        beforeMs: isFull ? old.presentMs : old.beforeMs,
      });
      if (byTarget.size <= TARGETS_MAX) return;
      const [oldest] = byTarget.keys();
      if (oldest !== undefined) byTarget.delete(oldest);
    },
    longestMs: (target) => {
      const longest = byTarget.get(target);
      return longest === undefined ? null : Math.max(longest.presentMs, longest.beforeMs);
    },
  };
}
