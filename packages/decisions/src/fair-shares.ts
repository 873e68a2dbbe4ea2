/**
 * Which caller groups take more than their share of one queue. Made for one club or studio that sends
 * far more than the others: without it the others are refused because of a crowd that is not theirs.
 */
export type FairShares = {
  /** Records that the group asked, whether or not it was admitted. */
  asked: (callerGroup: string, nowMs: number) => void;
  admitted: (callerGroup: string, expectedMs: number, nowMs: number) => void;
  /** Whether the group had more than its share lately, while other groups asked as well. */
  isOverShare: (callerGroup: string, nowMs: number) => boolean;
};

export type ShareWeights = (callerGroup: string) => number;

/** Long enough to see more than one request of a group, short enough to forget a burst. */
const MEMORY_MS = 10_000;
/** Chance alone brings a group a little over its share; only more than that counts. */
const TOLERANCE = 1.25;
/** Beyond this many groups the longest silent one is forgotten. */
const MAX_GROUPS = 1_000;

type Account = { workMs: number; countedAtMs: number; askedAtMs: number };

function decay(account: Account, nowMs: number): void {
  account.workMs *= Math.exp(-(nowMs - account.countedAtMs) / MEMORY_MS);
  account.countedAtMs = nowMs;
}

export function createFairShares(weightOf: ShareWeights = () => 1): FairShares {
  /** In the order of their last asking, the longest silent first. */
  const accounts = new Map<string, Account>();

  function touch(callerGroup: string, nowMs: number): Account {
    const account = accounts.get(callerGroup) ?? {
      workMs: 0,
      countedAtMs: nowMs,
      askedAtMs: nowMs,
    };
    account.askedAtMs = nowMs;
    accounts.delete(callerGroup);
    accounts.set(callerGroup, account);
    return account;
  }

  function forgetSilent(nowMs: number): void {
    for (const [callerGroup, account] of accounts) {
      const isSilent = nowMs - account.askedAtMs > MEMORY_MS;
      if (!isSilent && accounts.size <= MAX_GROUPS) return;
      accounts.delete(callerGroup);
    }
  }

  return {
    asked: (callerGroup, nowMs) => {
      touch(callerGroup, nowMs);
      forgetSilent(nowMs);
    },
    admitted: (callerGroup, expectedMs, nowMs) => {
      const account = touch(callerGroup, nowMs);
      decay(account, nowMs);
      account.workMs += expectedMs;
    },
    isOverShare: (callerGroup, nowMs) => {
      forgetSilent(nowMs);
      const own = accounts.get(callerGroup);
      if (own === undefined || accounts.size < 2) return false;
      let allWorkMs = 0;
      let allWeight = 0;
      accounts.forEach((account, other) => {
        decay(account, nowMs);
        allWorkMs += account.workMs;
        allWeight += weightOf(other);
      });
      return own.workMs > (TOLERANCE * weightOf(callerGroup) * allWorkMs) / allWeight;
    },
  };
}
