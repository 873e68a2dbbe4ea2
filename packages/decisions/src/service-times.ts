/** Service times per target on one upstream, learned from finished work; prefill and decode apart. */
import type * as types from './types.js';

/** What one finished request took. */
export type ServiceTime = {
  prefillMsPerToken: number;
  decodeMsPerToken: number;
  /** The tokens of the answer against those it might have had; left out where it is not known. */
  outputShare?: number;
};

export type SizedWork = Pick<types.WorkItem, 'target' | 'promptTokens' | 'outputTokens'>;

export type ServiceTimes = {
  /** The expected milliseconds for the whole of `item`: for what others wait. */
  expectedMs: (item: SizedWork) => number;
  /** What `item` takes when it uses all its tokens: for whether its own deadline can be kept. */
  longestMs: (item: SizedWork) => number;
  observe: (target: string, observed: ServiceTime) => void;
};

/** Until something is observed: a mid-sized model on one accelerator. */
const INITIAL: Required<ServiceTime> = {
  prefillMsPerToken: 0.3,
  decodeMsPerToken: 25,
  outputShare: 1,
};
/** Ten observations carry most of the weight, so that a slowdown shows within seconds of traffic. */
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
 * Times for one upstream. `baseOf` names the model whose pace a target has: an adapter runs at the pace
 * of its base model, and learning each adapter apart would leave most of them unknown. A target that was not seen there yet is expected to take what the upstream
 * takes on average: after a slowdown every target is then known to be slow, not only the busy ones.
 */
export function createServiceTimes(
  baseOf: (target: string) => string = (target) => target,
): ServiceTimes {
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
