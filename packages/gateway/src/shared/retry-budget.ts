/**
 * This gateway's share of the retry budget of all gateways. A fault or saturation makes many requests fail at once;
 * without a limit each of them is retried several times, and the retries sustain an overload that would otherwise pass.
 * Every send beyond a request's first counts, also one that the upstream rejects.
 */
export type RetryBudget = {
  recordRequest: (service: string, nowMs: number) => void;
  /** Takes one retry from the budget; false when none is left. */
  tryAcquire: (service: string, gatewayCount: number, nowMs: number) => boolean;
};

export type RetryLimits = { ratio: number; slack: number; windowMs: number };

/** A part is held back, since the other gateways' clocks and gateway counts differ slightly from this one's. */
const USABLE_SHARE = 0.7;
/** The window slides in this many steps. */
const STEPS = 10;

type WindowStep = { startMs: number; requests: number; retries: number };

export function createRetryBudget(limits: RetryLimits): RetryBudget {
  const stepsByService = new Map<string, WindowStep[]>();
  const stepMs = limits.windowMs / STEPS;

  function currentStep(service: string, nowMs: number): { list: WindowStep[]; step: WindowStep } {
    const list = (stepsByService.get(service) ?? []).filter(
      (step) => step.startMs > nowMs - limits.windowMs - stepMs,
    );
    stepsByService.set(service, list);
    let step = list.at(-1);
    if (step === undefined || nowMs - step.startMs >= stepMs) {
      step = { startMs: nowMs, requests: 0, retries: 0 };
      list.push(step);
    }
    return { list, step };
  }

  return {
    recordRequest: (service, nowMs) => {
      currentStep(service, nowMs).step.requests += 1;
    },
    tryAcquire: (service, gatewayCount, nowMs) => {
      const { list, step } = currentStep(service, nowMs);
      const requests = list.reduce((sum, { requests: count }) => sum + count, 0);
      const retries = list.reduce((sum, { retries: count }) => sum + count, 0);
      const limit = limits.ratio * requests + limits.slack / Math.max(1, gatewayCount);
      if (retries + 1 > USABLE_SHARE * limit) return false;
      step.retries += 1;
      return true;
    },
  };
}
