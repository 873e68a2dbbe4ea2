/** Logs and counts how requests ended. */
import type { clocks } from '@copperlever/runtime';

import type * as calls from '../../types/calls.js';
import type * as logEvents from '../../types/log-events.js';
import type * as metricsModule from '../metrics/metrics.js';
import type * as callBuilding from './call-building.js';
import type * as readDelays from './read-delay.js';

export type RequestLogDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  log: logEvents.GatewayLog;
  metrics: Pick<metricsModule.GatewayMetrics, 'callerLeft' | 'dropped'>;
  loopAges: Pick<readDelays.ReadDelay, 'turnMs'>;
};

/** A fraction of the shortest latency objectives. Shorter waits before a request was read are not logged. */
const LOGGED_BUFFERED_MIN_MS = 100;

/** The value for the log; undefined, which isn't logged, if it is short. */
export function loggedBufferedMs(bufferedMs: number): number | undefined {
  return bufferedMs < LOGGED_BUFFERED_MIN_MS ? undefined : Math.round(bufferedMs);
}

export function logEnding(deps: RequestLogDeps, call: calls.Call, ending: calls.Ending): void {
  // Successful requests are the majority, and losing their lines matters least.
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
    unreadMs: loggedBufferedMs(call.bufferedMs),
  });
}

export function recordCallerLeft(
  deps: RequestLogDeps,
  requestId: string,
  stage: calls.Stage,
  { arrivedAtMs, bufferedMs, isNewConnection }: callBuilding.Arrival,
): void {
  deps.metrics.callerLeft(stage);
  deps.log.info('caller-left', {
    requestId,
    stage,
    unreadMs: Math.round(bufferedMs),
    connection: isNewConnection ? 'new' : 'kept',
    sinceReadMs: Math.round(deps.clock.nowMs() - arrivedAtMs - bufferedMs),
    turnMs: Math.round(deps.loopAges.turnMs()),
  });
}

export function recordDropped(
  deps: RequestLogDeps,
  requestId: string,
  { bufferedMs, isNewConnection, sinceAcceptMs }: readDelays.RequestAge,
): void {
  const connection = isNewConnection ? 'new' : 'kept';
  deps.metrics.dropped(connection);
  deps.log.warn('request-dropped', {
    requestId,
    connection,
    unreadMs: Math.round(bufferedMs),
    sinceAcceptMs: Math.round(sinceAcceptMs),
    turnMs: Math.round(deps.loopAges.turnMs()),
  });
}
