/** Figures of a run from what its daemons reported. */
import type * as messages from './daemon-messages.js';

export type Spread = { median: number; worst: number };

export function spreadOf(values: readonly number[]): Spread {
  const sorted = [...values].sort((a, b) => a - b);
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
  return { median: round(median), worst: round(sorted.at(-1) ?? 0) };
}

export function round(value: number, digits = 3): number {
  return Number(value.toFixed(digits));
}

export type SteadyFigures = {
  periodMs: number;
  /** The fewest and the most members that any daemon knows. */
  memberCounts: { fewest: number; most: number };
  cpuPercent: Spread;
  rssMb: Spread;
  peerBytesPerSecond: Spread;
  storeBytesPerSecond: Spread;
  connectionsPerSecond: Spread;
  /** Of the whole fleet, by kind. */
  storeCallsPerSecond: Record<string, number>;
};

const MB = 1_000_000;

/** What each daemon spent between two samples of all. */
export function compare(
  before: readonly messages.Sample[],
  after: readonly messages.Sample[],
  periodMs: number,
): SteadyFigures {
  const beforeById = new Map(before.map((sample) => [sample.memberId, sample]));
  const seconds = periodMs / 1_000;
  const storeCallsPerSecond: Record<string, number> = {};
  const perSecond = (read: (sample: messages.Sample) => number) =>
    spreadOf(
      after.map((sample) => {
        const earlier = beforeById.get(sample.memberId);
        return (read(sample) - (earlier === undefined ? 0 : read(earlier))) / seconds;
      }),
    );
  for (const sample of after) {
    const earlier = beforeById.get(sample.memberId)?.storeCalls ?? {};
    for (const [kind, count] of Object.entries(sample.storeCalls)) {
      const calls = (count - (earlier[kind] ?? 0)) / seconds;
      storeCallsPerSecond[kind] = round((storeCallsPerSecond[kind] ?? 0) + calls);
    }
  }
  const memberCounts = after.map((sample) => sample.memberCount);
  return {
    periodMs,
    memberCounts: { fewest: Math.min(...memberCounts), most: Math.max(...memberCounts) },
    cpuPercent: perSecond((sample) => sample.cpuMs / 10),
    rssMb: spreadOf(after.map((sample) => sample.rssBytes / MB)),
    peerBytesPerSecond: perSecond((sample) => sample.peerBytes),
    storeBytesPerSecond: perSecond((sample) => sample.storeBytes),
    connectionsPerSecond: perSecond((sample) => sample.connectionCount),
    storeCallsPerSecond,
  };
}
