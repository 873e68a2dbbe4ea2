/**
 * Which requests come again. Callers have one deadline for all their attempts, so one that was refused comes
 * back with less time than others on its route. The longest time that callers of a route have left is taken
 * for what they start with.
 */
export type DeadlineNorms = {
  /** Takes the request into account, and says how long its caller has been waiting at least. */
  elapsedMs: (routeName: string, remainingMs: number | null, nowMs: number) => number;
};

/** A route's deadline may be changed to a shorter one; after this what was longest before is forgotten. */
const FORGET_MS = 60_000;

type Norm = { longestMs: number; atMs: number };

export function createDeadlineNorms(): DeadlineNorms {
  const norms = new Map<string, Norm>();
  return {
    elapsedMs: (routeName, remainingMs, nowMs) => {
      if (remainingMs === null) return 0;
      const norm = norms.get(routeName);
      const isNorm =
        norm === undefined || remainingMs >= norm.longestMs || nowMs - norm.atMs > FORGET_MS;
      if (!isNorm) return norm.longestMs - remainingMs;
      norms.set(routeName, { longestMs: remainingMs, atMs: nowMs });
      return 0;
    },
  };
}
