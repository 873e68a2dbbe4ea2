/**
 * This gateway's share of the retries that all gateways together may make. Load: a fault or saturation
 * in which many requests fail at once. Harm without a limit: each comes back several times, and the
 * retries keep alive an overload that would pass by itself. Every send beyond a request's first counts,
 * also one that the upstream rejects.
 */
export type RetryShare = {
  noteRequest: (service: string, nowMs: number) => void;
  /** Takes one retry, or says that there is none left. */
  tryTake: (service: string, gatewayCount: number, nowMs: number) => boolean;
};

export type RetryLimits = { ratio: number; slack: number; windowMs: number };

/** A part is kept back: the others' clocks and counts of gateways differ a little from this one's. */
const USED_SHARE = 0.7;
/** The window slides in this many steps. */
const STEPS = 10;

type Step = { startMs: number; requests: number; retries: number };

export function createRetryShare(limits: RetryLimits): RetryShare {
  const steps = new Map<string, Step[]>();
  const stepMs = limits.windowMs / STEPS;

  function current(service: string, nowMs: number): { list: Step[]; step: Step } {
    const list = (steps.get(service) ?? []).filter(
      (step) => step.startMs > nowMs - limits.windowMs - stepMs,
    );
    steps.set(service, list);
    let step = list.at(-1);
    if (step === undefined || nowMs - step.startMs >= stepMs) {
      step = { startMs: nowMs, requests: 0, retries: 0 };
      list.push(step);
    }
    return { list, step };
  }

  return {
    noteRequest: (service, nowMs) => {
      current(service, nowMs).step.requests += 1;
    },
    tryTake: (service, gatewayCount, nowMs) => {
      const { list, step } = current(service, nowMs);
      const requests = list.reduce((sum, { requests: count }) => sum + count, 0);
      const retries = list.reduce((sum, { retries: count }) => sum + count, 0);
      const most = limits.ratio * requests + limits.slack / Math.max(1, gatewayCount);
      if (retries + 1 > USED_SHARE * most) return false;
      step.retries += 1;
      return true;
    },
  };
}
