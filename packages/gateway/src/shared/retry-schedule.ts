/**
 * Computes when refused callers should come back. A burst that a model's copies cannot serve is refused within one
 * moment. If all its callers got the same time, they would come back together, find the capacity taken by the first of
 * them, and be refused again, the most urgent ones among them. Each refusal therefore reserves the time that the copies
 * need to serve it: later callers of the same priority, and all less urgent ones, get a correspondingly later time.
 */

export type RefusedCaller = {
  /** Callers of the same group come back to the same upstreams. */
  group: string;
  /** 0 is the most urgent. */
  priority: number;
  /** When a request that comes back alone would be served. */
  earliestMs: number;
  /** Callers do not follow a later time than this. */
  latestMs: number;
  /** Interval between two retries that can both be served. */
  intervalMs: number;
  /** From 0 to 1: offsets gateways that begin to refuse at the same moment within the interval. */
  phase: number;
};

export type RetrySchedule = {
  /** The instant at which a refused caller is to come back. */
  scheduleNext: (refused: RefusedCaller, nowMs: number) => number;
};

export type IntervalInput = {
  /** Seconds of one copy's capacity that a request uses. */
  requestSeconds: number;
  copyCount: number;
  /** Gateways that each schedule their own callers. */
  gatewayCount: number;
};

const MS_PER_SECOND = 1_000;
const PRIORITY_COUNT = 10;
/** Share of the capacity for retries; first requests use the rest. */
const RETRY_CAPACITY_SHARE = 0.5;

/** Interval between the retries that one gateway schedules, such that those of all gateways together can be served. */
export function retryIntervalMs({
  requestSeconds: requestS,
  copyCount,
  gatewayCount,
}: IntervalInput): number {
  const perSecond = Math.max(1, copyCount) / Math.max(requestS, 1 / MS_PER_SECOND);
  return (MS_PER_SECOND * Math.max(1, gatewayCount)) / (RETRY_CAPACITY_SHARE * perSecond);
}

export function createRetrySchedule(): RetrySchedule {
  /** By group: for each priority the time from which its next retry can be served. */
  const nextByGroup = new Map<string, { atMs: number[] }>();

  /** Removes groups without a scheduled retry. */
  function removePastGroups(nowMs: number): void {
    nextByGroup.forEach(({ atMs }, group) => {
      if (atMs.every((value) => value <= nowMs)) nextByGroup.delete(group);
    });
  }

  return {
    scheduleNext: ({ group, priority, earliestMs, latestMs, intervalMs, phase }, nowMs) => {
      const rank = Math.min(PRIORITY_COUNT - 1, Math.max(0, Math.trunc(priority)));
      if (!nextByGroup.has(group)) removePastGroups(nowMs);
      const times = nextByGroup.get(group) ?? { atMs: new Array<number>(PRIORITY_COUNT).fill(0) };
      nextByGroup.set(group, times);
      const rankNextMs = times.atMs[rank] ?? 0;
      const firstMs = rankNextMs > earliestMs ? rankNextMs : earliestMs + phase * intervalMs;
      const atMs = Math.min(latestMs, firstMs);
      times.atMs = times.atMs.map((value, index) => {
        if (index < rank) return value;
        // Callers that left never use their retries; the limit keeps these from delaying others without bound.
        return Math.min(latestMs, Math.max(value, index === rank ? atMs : earliestMs)) + intervalMs;
      });
      return Math.max(atMs, nowMs);
    },
  };
}
