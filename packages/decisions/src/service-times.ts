/** Service times per target on one upstream, learned from finished requests, separately for prefill and decode. */
import type * as types from './types.js';

/** Measured times of one finished request. */
export type ServiceTime = {
  prefillMsPerToken: number;
  decodeMsPerToken: number;
  /** Part of the maximum number of output tokens that the answer used; left out if not known. */
  outputShare?: number;
};

export type SizedWork = Pick<types.WorkItem, 'target' | 'promptTokens' | 'outputTokens'>;

export type ServiceTimeEstimator = {
  /** Expected total time of `item` in milliseconds; for predicting how long others wait. */
  expectedMs: (item: SizedWork) => number;
  /** Time of `item` if it uses all its output tokens; for deciding whether its deadline can be met. */
  longestMs: (item: SizedWork) => number;
  observe: (target: string, observed: ServiceTime) => void;
};

/** Used until a request was observed: a mid-sized model on one accelerator. */
const INITIAL: Required<ServiceTime> = {
  prefillMsPerToken: 0.3,
  decodeMsPerToken: 25,
  outputShare: 1,
};
/** The last ten observations have most of the weight, so a slowdown is detected within seconds of traffic. */
const NEWEST_WEIGHT = 0.2;

function blend(old: number, observed: number): number {
  return old + NEWEST_WEIGHT * (observed - old);
}

function blendTimes(old: Required<ServiceTime>, observed: ServiceTime): Required<ServiceTime> {
  return {
    prefillMsPerToken: blend(old.prefillMsPerToken, observed.prefillMsPerToken),
    decodeMsPerToken: blend(old.decodeMsPerToken, observed.decodeMsPerToken),
    outputShare: blend(old.outputShare, observed.outputShare ?? old.outputShare),
  };
}

/**
 * Creates the estimator for one upstream. `baseOf` returns the model whose times apply to a target: an adapter takes as
 * long as its base model, and most adapters have too few requests to be learned separately. A target without
 * observations is expected to take the average of the upstream, so that after a slowdown all targets count as slow, not
 * only the busy ones.
 */
export function createServiceTimeEstimator(
  baseOf: (target: string) => string = (target) => target,
): ServiceTimeEstimator {
  const byTarget = new Map<string, Required<ServiceTime>>();
  let average: Required<ServiceTime> | null = null;

  function timeOf(target: string): Required<ServiceTime> {
    return byTarget.get(baseOf(target)) ?? average ?? INITIAL;
  }

  function serviceMs(item: SizedWork, outputTokens: number): number {
    const time = timeOf(item.target);
    return item.promptTokens * time.prefillMsPerToken + outputTokens * time.decodeMsPerToken;
  }

  return {
    expectedMs: (item) => serviceMs(item, item.outputTokens * timeOf(item.target).outputShare),
    longestMs: (item) => serviceMs(item, item.outputTokens),
    observe: (target, observed) => {
      const complete = { ...INITIAL, ...observed };
      const base = baseOf(target);
      byTarget.set(base, blendTimes(byTarget.get(base) ?? complete, observed));
      average = blendTimes(average ?? complete, observed);
    },
  };
}
