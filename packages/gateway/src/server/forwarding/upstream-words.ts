/** What upstreams say of themselves in the heads of their answers, taken over and logged. */
import type { clocks } from '@copperlever/runtime';

import type * as upstreamLimits from '../../shared/upstream-limits.js';
import type * as dialects from '../../types/dialects.js';
import type * as logEvents from '../../types/log-events.js';

export type UpstreamWordsDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  limits: upstreamLimits.UpstreamLimits;
};

/** Where a word came from: `source` is a request's id. */
export type Head = {
  upstreamId: string;
  facts: dialects.AnswerFacts;
  sentMs: number;
  source: string;
};

export type UpstreamWords = {
  heard: (head: Head) => void;
  /** Another gateway told. */
  told: (limits: readonly upstreamLimits.ToldLimit[], source: string) => void;
};

export function createUpstreamWords(deps: UpstreamWordsDeps): UpstreamWords {
  const { clock, log, limits } = deps;

  function logLimit(
    upstreamId: string,
    change: upstreamLimits.LimitChange | null,
    source: string,
  ): void {
    if (change === null) return;
    switch (change.kind) {
      case 'named': {
        const { perSecond } = change;
        const before = change.before ?? undefined;
        log.info('upstream-limited', { upstreamId, perSecond, before, source });
        return;
      }
      case 'ended':
        log.info('upstream-unlimited', { upstreamId, before: change.before, source });
    }
  }

  return {
    heard: ({ upstreamId, facts, sentMs, source }) => {
      // Another upstream may have the address: its word is not this one's.
      if (facts.isMisdirected) return;
      logLimit(upstreamId, limits.answered(upstreamId, facts.limit, sentMs, clock.nowMs()), source);
    },
    told: (told, source) => {
      told.forEach((limit) => {
        logLimit(limit.upstreamId, limits.told(limit, clock.nowMs()), source);
      });
    },
  };
}
