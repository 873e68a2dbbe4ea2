/** The requests that have been read and are not answered yet, waiting ones among them. */
import type { clocks } from '@copperlever/runtime';

import type * as calls from '../../types/calls.js';
import type * as logEvents from '../../types/log-events.js';
import * as requestLines from './request-lines.js';

export type OpenCalls = {
  add: (call: calls.Call) => void;
  remove: (call: calls.Call) => void;
  count: () => number;
  /**
   * Writes a line for each: the process ends before they do. Without it nothing would tell what became of a
   * request that a stop cut off.
   */
  logCut: () => void;
};

export function createOpenCalls(
  clock: Pick<clocks.Clock, 'nowMs'>,
  log: logEvents.GatewayLog,
): OpenCalls {
  const open = new Set<calls.Call>();
  return {
    add: (call) => {
      open.add(call);
    },
    remove: (call) => {
      open.delete(call);
    },
    count: () => open.size,
    logCut: () => {
      open.forEach(({ requestId, route, facts, arrivedAtMs, unreadMs }) => {
        log.warn('request-failed', {
          requestId,
          route: route.name,
          model: facts.model,
          adapter: facts.adapter,
          outcome: 'cut',
          status: undefined,
          cause: 'stopping',
          retryAfterMs: undefined,
          upstreamId: undefined,
          tookMs: Math.round(clock.nowMs() - arrivedAtMs),
          unreadMs: requestLines.longUnreadMs(unreadMs),
        });
      });
    },
  };
}
