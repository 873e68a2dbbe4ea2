/** Service times per target, learned from finished work; prefill and decode apart. */
import type * as types from './types.js';

/** What is expected of one target on one upstream. */
export type ServiceTime = { prefillMsPerToken: number; decodeMsPerToken: number };

export type ServiceTimes = {
  /** The expected milliseconds for the whole of `item`. */
  expectedMs: (item: Pick<types.WorkItem, 'target' | 'promptTokens' | 'outputTokens'>) => number;
  observe: (target: string, observed: ServiceTime) => void;
};

/** Until something is observed: a mid-sized model on one accelerator. */
const INITIAL: ServiceTime = { prefillMsPerToken: 0.3, decodeMsPerToken: 25 };
/** Ten observations carry most of the weight, so that a slowdown shows within seconds of traffic. */
const NEWEST_WEIGHT = 0.2;

function blend(old: number, observed: number): number {
  return old + NEWEST_WEIGHT * (observed - old);
}

export function createServiceTimes(): ServiceTimes {
  const byTarget = new Map<string, ServiceTime>();
  return {
    expectedMs: (item) => {
      const time = byTarget.get(item.target) ?? INITIAL;
      return item.promptTokens * time.prefillMsPerToken + item.outputTokens * time.decodeMsPerToken;
    },
    observe: (target, observed) => {
      const old = byTarget.get(target) ?? observed;
      byTarget.set(target, {
        prefillMsPerToken: blend(old.prefillMsPerToken, observed.prefillMsPerToken),
        decodeMsPerToken: blend(old.decodeMsPerToken, observed.decodeMsPerToken),
      });
    },
  };
}
