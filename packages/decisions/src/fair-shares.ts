/**
 * Detects caller groups that take more than their share of a queue. If one group sends far more than the others, the
 * others would be refused because of its load.
 */
export type FairShares = {
  /** Records a request of the group, whether or not it was admitted. */
  recordRequest: (callerGroup: string, nowMs: number) => void;
  recordAdmitted: (callerGroup: string, expectedMs: number, nowMs: number) => void;
  /** Whether the group recently took more than its share while other groups sent requests as well. */
  isOverShare: (callerGroup: string, nowMs: number) => boolean;
};

export type ShareWeights = (callerGroup: string) => number;

/** Long enough to cover more than one request of a group, short enough to forget a burst. */
const DECAY_MS = 10_000;
/** A group may exceed its share a little by chance; only more than this counts. */
const TOLERANCE = 1.25;
/** Above this number of groups, the group without requests for the longest time is forgotten. */
const MAX_GROUPS = 1_000;

type GroupTally = { workMs: number; countedAtMs: number; requestedAtMs: number };

function decay(tally: GroupTally, nowMs: number): void {
  tally.workMs *= Math.exp(-(nowMs - tally.countedAtMs) / DECAY_MS);
  tally.countedAtMs = nowMs;
}

export function createFairShares(weightOf: ShareWeights = () => 1): FairShares {
  /** Ordered by the last request, the longest idle group first. */
  const tallies = new Map<string, GroupTally>();

  function touch(callerGroup: string, nowMs: number): GroupTally {
    const tally = tallies.get(callerGroup) ?? {
      workMs: 0,
      countedAtMs: nowMs,
      requestedAtMs: nowMs,
    };
    tally.requestedAtMs = nowMs;
    tallies.delete(callerGroup);
    tallies.set(callerGroup, tally);
    return tally;
  }

  function forgetIdle(nowMs: number): void {
    for (const [callerGroup, tally] of tallies) {
      const isIdle = nowMs - tally.requestedAtMs > DECAY_MS;
      if (!isIdle && tallies.size <= MAX_GROUPS) return;
      tallies.delete(callerGroup);
    }
  }

  return {
    recordRequest: (callerGroup, nowMs) => {
      touch(callerGroup, nowMs);
      forgetIdle(nowMs);
    },
    recordAdmitted: (callerGroup, expectedMs, nowMs) => {
      const tally = touch(callerGroup, nowMs);
      decay(tally, nowMs);
      tally.workMs += expectedMs;
    },
    isOverShare: (callerGroup, nowMs) => {
      forgetIdle(nowMs);
      const groupTally = tallies.get(callerGroup);
      if (groupTally === undefined || tallies.size < 2) return false;
      let allWorkMs = 0;
      let allWeight = 0;
      tallies.forEach((tally, other) => {
        decay(tally, nowMs);
        allWorkMs += tally.workMs;
        allWeight += weightOf(other);
      });
      return groupTally.workMs > (TOLERANCE * weightOf(callerGroup) * allWorkMs) / allWeight;
    },
  };
}
