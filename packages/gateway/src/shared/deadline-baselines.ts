/**
 * Detects requests that have come back. Callers have one deadline for all their attempts, so one that was refused comes
 * back with less time than others on its route. The longest remaining time seen on a route is taken as the time that
 * its callers start with.
 */
export type DeadlineBaselines = {
  /** Records the request and returns how long its caller has been waiting at least. */
  elapsedMs: (routeName: string, remainingMs: number | null, nowMs: number) => number;
};

/** Callers of a route may change to a shorter deadline; after this time the longest one before is forgotten. */
const BASELINE_VALID_MS = 60_000;

type Baseline = { longestMs: number; atMs: number };

export function createDeadlineBaselines(): DeadlineBaselines {
  const baselines = new Map<string, Baseline>();
  return {
    elapsedMs: (routeName, remainingMs, nowMs) => {
      if (remainingMs === null) return 0;
      const baseline = baselines.get(routeName);
      const isNewBaseline =
        baseline === undefined ||
        remainingMs >= baseline.longestMs ||
        nowMs - baseline.atMs > BASELINE_VALID_MS;
      if (!isNewBaseline) return baseline.longestMs - remainingMs;
      baselines.set(routeName, { longestMs: remainingMs, atMs: nowMs });
      return 0;
    },
  };
}
