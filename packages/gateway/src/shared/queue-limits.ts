/**
 * How long a request may queue for its first chunk, and when a refused one should come back. Demand may move to a model
 * with a single copy and exceed what the copy can prefill. A queue as long as callers tolerate makes every answer late,
 * the first as well as the last, and serves no more of them. A queue no longer than the latency objective serves the
 * admitted requests in time and refuses the others at once.
 *
 * A request that has already missed its objective, having come back after a refusal, may queue for as long as its
 * caller stays, since a late answer is all that it can still get.
 *
 * Beside running streams a queue does further harm: engines prefill prompts between the tokens of other requests, so
 * that those streams pause for as long as prompts are prefilled without a break, and a pause makes an answer late that
 * started in time.
 */
import type * as serviceTimes from './service-times.js';
import * as urgency from './urgency.js';

export type QueueLimitInput = {
  isStream: boolean;
  latencyObjectiveMs: number;
  /** The longest pause between events that its route allows; null where none is declared. */
  pauseObjectiveMs: number | null;
  /** Time until the caller's deadline. */
  remainingMs: number;
  /** Time since the request arrived, during which its caller has received nothing. */
  waitedMs: number;
  /** Its objective has passed: the caller has come back, or has waited for its model. */
  isLate: boolean;
  /**
   * Late requests leave the capacity to those that may still be in time, and come back at the time that their refusal
   * gives.
   */
  limitsLate?: boolean;
};

type RouteObjectives = Pick<QueueLimitInput, 'latencyObjectiveMs' | 'pauseObjectiveMs'>;

/** Callers of a stream leave after the longest of these times without an event. */
const STREAM_TIMEOUT_MIN_MS = 2_000;
const STREAM_TIMEOUT_OBJECTIVES = 4;
const STREAM_TIMEOUT_PAUSES = 8;
/** One in ten first chunks takes 1.4 times its prediction or longer. */
const PREDICTION_SHARE = 0.7;
/**
 * Share of the caller's remaining time that a prediction may take; beyond it the caller would most likely wait in vain.
 */
const CALLER_TIMEOUT_SHARE = 0.8;

/**
 * Share of the longest pause allowed to the streams beside it that the prefill queue before an interactive request may
 * take. Batch work is prefilled after all other requests.
 */
const PAUSE_SHARE = 0.9;

/** How long the caller of a stream waits for a chunk before it leaves. */
export function streamTimeoutMs(route: RouteObjectives): number {
  return Math.max(
    STREAM_TIMEOUT_MIN_MS,
    STREAM_TIMEOUT_OBJECTIVES * route.latencyObjectiveMs,
    STREAM_TIMEOUT_PAUSES * (route.pauseObjectiveMs ?? 0),
  );
}

/** How much longer the caller waits. */
function remainingTimeoutMs(
  input: Omit<QueueLimitInput, 'isStream' | 'isLate' | 'limitsLate'>,
): number {
  const timeoutMs = streamTimeoutMs(input);
  return Math.max(0, Math.min(input.remainingMs, timeoutMs - input.waitedMs));
}

/** The longest predicted time to the first chunk with which a request may join a queue. */
export function queueLimitMs(input: QueueLimitInput): number {
  if (!input.isStream) return input.remainingMs * CALLER_TIMEOUT_SHARE;
  const maxWaitMs = remainingTimeoutMs(input) * PREDICTION_SHARE;
  const inTimeMs = Math.min(maxWaitMs, input.latencyObjectiveMs * PREDICTION_SHARE);
  if (input.isLate) return input.limitsLate === true ? inTimeMs : maxWaitMs;
  if (input.pauseObjectiveMs === null || urgency.isBatch(input)) return inTimeMs;
  return Math.min(inTimeMs, input.pauseObjectiveMs * PAUSE_SHARE);
}

/** Whether a late request may be sent: one that waits for a slot takes it from a request that may still be in time. */
export function hasFreeSlot(
  inputs: Pick<serviceTimes.PredictionInputs, 'inFlightCount' | 'slots'>,
): boolean {
  return inputs.inFlightCount < inputs.slots;
}

export type OverloadInput = {
  predictedMs: number;
  /** Time until another copy is ready, or null when none is loading. */
  nextCopyInMs: number | null;
};

/** A gateway learns of a new copy with its next exchange; a caller that comes back before that finds none. */
const COPY_NOTICE_MS = 400;

/**
 * Loading a copy from the store takes longer than most callers may be asked to stay away, and longer than the queue
 * takes.
 */
const COPY_SOON_MS = 3_000;

/**
 * When the refused caller should come back: once another copy shares the load, if that is soon, or else once the queue
 * that was too long has been served.
 */
export function overloadRetryMs({ predictedMs, nextCopyInMs }: OverloadInput): number {
  if (nextCopyInMs === null || nextCopyInMs > COPY_SOON_MS) return predictedMs;
  return nextCopyInMs + COPY_NOTICE_MS;
}
