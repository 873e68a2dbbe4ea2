/**
 * This gateway's share of the retry budget of all gateways. A fault or saturation makes many requests fail at once;
 * without a limit each of them is retried several times, and the retries sustain an overload that would otherwise pass.
 * Every send beyond a request's first counts, also one that the upstream rejects.
 */
export type RetryBudget = {
  recordRequest: (service: string, nowMs: number) => void;
  /** Takes one retry from the budget; false when none is left. */
  tryAcquire: (service: string, gatewayCount: number, nowMs: number) => boolean;
  /** What the next retry is decided by. */
  basis: (service: string, gatewayCount: number, nowMs: number) => RetryBasis;
};

/** Counts of this gateway in the window, and the retries that it may make in it. */
export type RetryBasis = { requestCount: number; retryCount: number; allowedCount: number };

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

  function basis(service: string, gatewayCount: number, nowMs: number): RetryBasis {
    const { list } = currentStep(service, nowMs);
    const requestCount = list.reduce((sum, { requests }) => sum + requests, 0);
    const retryCount = list.reduce((sum, { retries }) => sum + retries, 0);
    const limit = limits.ratio * requestCount + limits.slack / Math.max(1, gatewayCount);
    return { requestCount, retryCount, allowedCount: USABLE_SHARE * limit };
  }

  return {
    recordRequest: (service, nowMs) => {
      currentStep(service, nowMs).step.requests += 1;
    },
    tryAcquire: (service, gatewayCount, nowMs) => {
      const { retryCount, allowedCount } = basis(service, gatewayCount, nowMs);
      if (retryCount + 1 > allowedCount) return false;
      currentStep(service, nowMs).step.retries += 1;
      return true;
    },
    basis,
  };
}
