/**
 * What becomes of a request whose model stands nowhere. Load: overnight work with an objective of ten
 * seconds beside interactive work with one of half a second, while models come and go. Harm prevented:
 * overnight callers come back once at most; refused, they meet the next gap between copies and are lost,
 * though a load takes less time than they have. Interactive requests never wait: no load fits their
 * objectives, and their callers leave within two seconds. Even where a copy is a second away, more of them
 * would wait than it can read at first: of 450 that did, 186 were lost or refused after all. Where the load has been
 * ordered, overnight work waits for it beyond its objective too, as long as its caller stays: refused, it would come
 * back late at best, and may meet the model gone again.
 */
import * as urgency from './urgency.js';

export type MissingModel = {
  nowMs: number;
  arrivedAtMs: number;
  deadlineMs: number;
  latencyObjectiveMs: number;
  /** When the model is expected to be ready. */
  readyInMs: number;
  /** The load that brings it has been ordered. */
  isOrdered: boolean;
  /** Requests that wait at this gateway, this one left out. */
  waitingCount: number;
  /** The gateway is about to leave: what waits would be given up with it. */
  isStopping: boolean;
};

export type MissingModelVerdict =
  { kind: 'wait'; untilMs: number } | { kind: 'refuse'; retryAfterMs: number };

/** The part of its latency objective that a request may wait for its model; the rest is for its answer. */
const WAIT_SHARE = 0.8;
/** Callers of a stream leave after four objectives without an event; a part of that is left for the answer. */
const PATIENCE_OBJECTIVES = 3;
/** The part of its time that a request may wait; the rest is for its answer, or to come back. */
const DEADLINE_SHARE = 0.6;
/** How often it is looked whether the model has come. */
const STEP_MS = 100;
/** Each one that waits keeps its body and connection; a minute of overnight work at the usual load. */
const WAITING_MAX = 200;
/** A gateway hears of a copy with its next exchange; a caller that comes back before finds none. */
const READY_MARGIN_MS = 400;

export function afterMissingModel(request: MissingModel): MissingModelVerdict {
  const { nowMs } = request;
  const objectives = request.isOrdered && urgency.isBatch(request) ? PATIENCE_OBJECTIVES : 1;
  const longestMs = WAIT_SHARE * objectives * request.latencyObjectiveMs;
  const timeMs = request.deadlineMs - request.arrivedAtMs;
  const latestMs = request.arrivedAtMs + Math.min(longestMs, DEADLINE_SHARE * timeMs);
  const readyMs = nowMs + request.readyInMs + READY_MARGIN_MS;
  const fits = readyMs < Math.min(latestMs, request.deadlineMs);
  if (fits && !request.isStopping && request.waitingCount < WAITING_MAX) {
    return { kind: 'wait', untilMs: nowMs + STEP_MS };
  }
  return { kind: 'refuse', retryAfterMs: request.readyInMs + READY_MARGIN_MS };
}
