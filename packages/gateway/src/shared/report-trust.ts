/** Whether the slowdowns that an upstream reports are believed, by what its answers show of them. */

/** Number of contradicting answers, minus confirming ones, after which reports are no longer trusted. */
const MAX_CONTRADICTIONS = 3;
const FIRST_DISTRUST_MS = 5_000;
const MAX_DISTRUST_MS = 60_000;

export type ReportTrust = {
  isTrusted: (nowMs: number) => boolean;
  /** A report was checked against an answer; returns whether reports are distrusted from now on. */
  verified: (isContradicted: boolean, nowMs: number) => boolean;
};

export function createReportTrust(): ReportTrust {
  let contradictions = 0;
  let untrustedUntilMs = -Infinity;
  let distrustDurationMs = FIRST_DISTRUST_MS;

  return {
    isTrusted: (nowMs) => nowMs >= untrustedUntilMs,
    verified: (isContradicted, nowMs) => {
      contradictions = Math.max(0, contradictions + (isContradicted ? 1 : -1));
      if (contradictions < MAX_CONTRADICTIONS) return false;
      contradictions = 0;
      untrustedUntilMs = nowMs + distrustDurationMs;
      distrustDurationMs = Math.min(MAX_DISTRUST_MS, 2 * distrustDurationMs);
      return true;
    },
  };
}
