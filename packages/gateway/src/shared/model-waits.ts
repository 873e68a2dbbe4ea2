/**
 * What becomes of a request whose model stands nowhere. Load: overnight work with an objective of ten
 * seconds beside interactive work with one of half a second, while models come and go. Harm prevented:
 * overnight callers come back once at most; refused, they meet the next gap between copies and are lost,
 * though a load takes less time than they have. Interactive callers leave within two seconds: they wait only
 * for a copy that is nearly there, since to be told to come back in a second is no sooner served, and uses up
 * their one return. Whatever cannot be ready in time is refused at once.
 */
export type MissingModel = {
  nowMs: number;
  arrivedAtMs: number;
  deadlineMs: number;
  latencyObjectiveMs: number;
  /** How long the caller still stays without a piece of an answer. */
  patienceMs: number;
  /** Whether the load has been ordered, or its time is a guess. */
  isOnItsWay: boolean;
  /** When the model is expected to be ready. */
  readyInMs: number;
  /** Requests that wait at this gateway, this one left out. */
  waitingCount: number;
  /** The gateway is about to leave: what waits would be given up with it. */
  isStopping: boolean;
};

export type MissingModelVerdict =
  { kind: 'wait'; untilMs: number } | { kind: 'refuse'; retryAfterMs: number };

/** The part of its latency objective that a request may wait for its model; the rest is for its answer. */
const WAIT_SHARE = 0.8;
/** The part of a caller's patience that may go by for a copy that is on its way: its answer needs the rest. */
const STAY_SHARE = 0.7;
/** How often it is looked whether the model has come. */
const STEP_MS = 100;
/** Each one that waits keeps its body and connection; a minute of overnight work at the usual load. */
const WAITING_MAX = 200;
/** A gateway hears of a copy with its next exchange; a caller that comes back before finds none. */
const READY_MARGIN_MS = 400;

export function afterMissingModel(request: MissingModel): MissingModelVerdict {
  const { nowMs } = request;
  const inTimeMs = request.arrivedAtMs + WAIT_SHARE * request.latencyObjectiveMs;
  const stayMs = request.isOnItsWay ? nowMs + STAY_SHARE * request.patienceMs : 0;
  const latestMs = Math.max(inTimeMs, stayMs);
  const readyMs = nowMs + request.readyInMs + READY_MARGIN_MS;
  const fits = readyMs < Math.min(latestMs, request.deadlineMs);
  if (fits && !request.isStopping && request.waitingCount < WAITING_MAX) {
    return { kind: 'wait', untilMs: nowMs + STEP_MS };
  }
  return { kind: 'refuse', retryAfterMs: request.readyInMs + READY_MARGIN_MS };
}
