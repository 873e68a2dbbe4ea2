/** The lines and counts of a request's end. */
import type { clocks } from '@copperlever/runtime';

import type * as calls from '../../types/calls.js';
import type * as logEvents from '../../types/log-events.js';
import type * as metricsModule from '../metrics/metrics.js';
import type * as callBuilding from './call-building.js';
import type * as loopAgesModule from './loop-ages.js';

export type RequestLinesDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  log: logEvents.GatewayLog;
  metrics: Pick<metricsModule.GatewayMetrics, 'callerLeft'>;
  loopAges: Pick<loopAgesModule.LoopAges, 'turnMs'>;
};

/** A fraction of the shortest latency objectives: what is read sooner needs no word. */
const LONG_UNREAD_MS = 100;

/** As lines tell it. */
export function longUnreadMs(unreadMs: number): number | undefined {
  return unreadMs < LONG_UNREAD_MS ? undefined : Math.round(unreadMs);
}

export function logEnding(deps: RequestLinesDeps, call: calls.Call, ending: calls.Ending): void {
  // Requests that went well are the most and are missed least.
  const isGood = ending.kind === 'answered' && ending.status < 500;
  const write = isGood ? deps.log.info : deps.log.warn;
  write(isGood ? 'request-ended' : 'request-failed', {
    requestId: call.requestId,
    route: call.route.name,
    model: call.facts.model,
    adapter: call.facts.adapter,
    outcome: ending.kind,
    status: ending.kind === 'answered' ? ending.status : undefined,
    cause: 'cause' in ending ? ending.cause : undefined,
    retryAfterMs: 'retryAfterMs' in ending ? Math.round(ending.retryAfterMs) : undefined,
    upstreamId: 'upstreamId' in ending ? ending.upstreamId : undefined,
    tookMs: Math.round(deps.clock.nowMs() - call.arrivedAtMs),
    unreadMs: longUnreadMs(call.unreadMs),
  });
}

export function noteCallerLeft(
  deps: RequestLinesDeps,
  requestId: string,
  stage: calls.Stage,
  { arrivedAtMs, unreadMs, isNewConnection }: callBuilding.Arrival,
): void {
  deps.metrics.callerLeft(stage);
  deps.log.info('caller-left', {
    requestId,
    stage,
    unreadMs: Math.round(unreadMs),
    connection: isNewConnection ? 'new' : 'kept',
    sinceReadMs: Math.round(deps.clock.nowMs() - arrivedAtMs - unreadMs),
    turnMs: Math.round(deps.loopAges.turnMs()),
  });
}
