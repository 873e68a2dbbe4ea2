/** The requests that are being served, including those that wait. */
import type { clocks } from '@copperlever/runtime';

import type * as calls from '../../types/calls.js';
import type * as logEvents from '../../types/log-events.js';
import * as requestLog from './request-log.js';

export type OpenCalls = {
  add: (call: calls.Call) => void;
  remove: (call: calls.Call) => void;
  count: () => number;
  /**
   * Logs each open request as cut off, because the process ends before they do. Without it the logs would not show how a
   * request ended that was cut off by a stop.
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
      open.forEach(({ requestId, route, facts, arrivedAtMs, bufferedMs }) => {
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
          unreadMs: requestLog.loggedBufferedMs(bufferedMs),
        });
      });
    },
  };
}
