/**
 * When refused callers are told to come back. Load: a burst that a model's copies cannot serve, refused within one
 * moment. Harm prevented: told the same time, all callers come back together, meet what the first of them have filled and
 * are refused again, the most urgent ones among them. Each refusal takes the time that the copies need to serve it from
 * the returns that follow: later callers of the same urgency, and all less urgent ones, come back later by so much.
 */

export type Return = {
  /** Callers of the same group come back to the same upstreams. */
  group: string;
  /** 0 is the most urgent. */
  priority: number;
  /** When a request that comes alone would be served. */
  earliestMs: number;
  /** A caller that is told a later time does not keep to it. */
  latestMs: number;
  /** Between two returns that can both be served. */
  intervalMs: number;
  /** From 0 to 1: gateways that begin to refuse at the same moment begin at different parts of the interval. */
  phase: number;
};

export type RetryTimes = {
  /** The instant at which a refused caller is to come back. */
  next: (of: Return, nowMs: number) => number;
};

export type IntervalInput = {
  /** Seconds of one copy that a request takes. */
  requestS: number;
  copyCount: number;
  /** Each of which tells its own callers when to come back. */
  gatewayCount: number;
};

const MS_PER_SECOND = 1_000;
const PRIORITIES = 10;
/** Callers that ask for the first time take the rest of what the copies serve. */
const RETURN_SHARE = 0.5;

/** Between the returns that one gateway gives out, so that those of all gateways together can be served. */
export function returnIntervalMs({ requestS, copyCount, gatewayCount }: IntervalInput): number {
  const perSecond = Math.max(1, copyCount) / Math.max(requestS, 1 / MS_PER_SECOND);
  return (MS_PER_SECOND * Math.max(1, gatewayCount)) / (RETURN_SHARE * perSecond);
}

export function createRetryTimes(): RetryTimes {
  /** By group: for each priority the time from which its next return can be served. */
  const nextByGroup = new Map<string, { atMs: number[] }>();

  /** Groups without a return to come say nothing. */
  function forgetPast(nowMs: number): void {
    nextByGroup.forEach(({ atMs }, group) => {
      if (atMs.every((value) => value <= nowMs)) nextByGroup.delete(group);
    });
  }

  return {
    next: ({ group, priority, earliestMs, latestMs, intervalMs, phase }, nowMs) => {
      const own = Math.min(PRIORITIES - 1, Math.max(0, Math.trunc(priority)));
      if (!nextByGroup.has(group)) forgetPast(nowMs);
      const next = nextByGroup.get(group) ?? { atMs: new Array<number>(PRIORITIES).fill(0) };
      nextByGroup.set(group, next);
      const ownNextMs = next.atMs[own] ?? 0;
      const firstMs = ownNextMs > earliestMs ? ownNextMs : earliestMs + phase * intervalMs;
      const atMs = Math.min(latestMs, firstMs);
      next.atMs = next.atMs.map((value, index) => {
        if (index < own) return value;
        // The returns of callers that left no time for theirs do not delay others without end.
        return Math.min(latestMs, Math.max(value, index === own ? atMs : earliestMs)) + intervalMs;
      });
      return Math.max(atMs, nowMs);
    },
  };
}
