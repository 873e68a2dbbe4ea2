/**
 * Decides whether a request whose model has no copy waits for one or is refused. Batch work with an objective of ten
 * seconds runs beside interactive work with one of half a second, while models come and go.
 *
 * Batch requests wait: their callers come back once at most, so that a refused one that finds the model without a copy
 * again is lost, although a load takes less time than its caller has.
 *
 * Interactive requests do not wait at first: no load fits their objectives, and their callers leave within two seconds.
 * Even if a copy is only a second away, more of them would wait than it can prefill at first: of 450 that did, 186 were
 * lost or refused after all.
 *
 * Where the load has been ordered, a batch request waits for it beyond its objective too, as long as its caller stays:
 * if refused it would at best come back late, and may find the model gone again. A caller that has come back already
 * does not come back again, so its request waits for any copy that is ready before the caller leaves.
 */
import * as queueLimits from './queue-limits.js';
import * as urgency from './urgency.js';

export type MissingModel = {
  nowMs: number;
  arrivedAtMs: number;
  deadlineMs: number;
  latencyObjectiveMs: number;
  pauseObjectiveMs: number | null;
  /** Time until the model is expected to be ready. */
  readyInMs: number;
  /** The load that provides it has been ordered. */
  isOrdered: boolean;
  /** Its objective has passed: the caller has come back. */
  isLate: boolean;
  /** Requests that wait at this gateway, without this one. */
  waitingCount: number;
  /** The gateway is shutting down: waiting requests would be lost with it. */
  isStopping: boolean;
};

export type MissingModelDecision =
  { kind: 'wait'; untilMs: number } | { kind: 'refuse'; retryAfterMs: number };

/** Share of its latency objective that a request may wait for its model; the rest is for its answer. */
const OBJECTIVE_WAIT_SHARE = 0.8;
/** Share of the caller's time-out that the model may take to load; the rest is for its answer. */
const TIMEOUT_WAIT_SHARE = 0.6;
/** Share of the time until its deadline that a request may wait; the rest is for its answer, or for coming back. */
const DEADLINE_WAIT_SHARE = 0.6;
/** Interval between checks whether the model is ready. */
const CHECK_INTERVAL_MS = 100;
/** Each waiting request keeps its body and connection; this is a minute of batch work at normal load. */
const MAX_WAITING = 200;
/** A gateway learns of a copy with its next exchange; a caller that comes back before that finds none. */
const READY_MARGIN_MS = 400;

function maxWaitMs(request: MissingModel): number {
  const { latencyObjectiveMs, isOrdered, isLate } = request;
  const deadlineShareMs = DEADLINE_WAIT_SHARE * (request.deadlineMs - request.arrivedAtMs);
  const timeoutMs = TIMEOUT_WAIT_SHARE * queueLimits.streamTimeoutMs(request);
  const mayOutlastObjective = isOrdered && (isLate || urgency.isBatch(request));
  const objectiveOrTimeoutMs = mayOutlastObjective
    ? timeoutMs
    : OBJECTIVE_WAIT_SHARE * latencyObjectiveMs;
  return Math.min(objectiveOrTimeoutMs, deadlineShareMs);
}

export function decideMissingModel(request: MissingModel): MissingModelDecision {
  const { nowMs } = request;
  const latestMs = request.arrivedAtMs + maxWaitMs(request);
  const readyMs = nowMs + request.readyInMs + READY_MARGIN_MS;
  const isReadyInTime = readyMs < Math.min(latestMs, request.deadlineMs);
  if (isReadyInTime && !request.isStopping && request.waitingCount < MAX_WAITING) {
    return { kind: 'wait', untilMs: nowMs + CHECK_INTERVAL_MS };
  }
  return { kind: 'refuse', retryAfterMs: request.readyInMs + READY_MARGIN_MS };
}
