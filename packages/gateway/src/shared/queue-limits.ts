/**
 * How long a request may queue for its first piece, and when one that may not should come back. Load: demand
 * moves to a model with a single copy, which is asked for more than it can read. Harm prevented: a queue as
 * long as callers bear makes every answer late, the first as well as the last, while as many are served; one
 * no longer than the latency objective has those that are let in served in time, and tells the others at
 * once. What has missed its objective already, having come back after a refusal, may queue for as long as its
 * caller stays: to it a late answer is all there is to gain.
 */
export type QueueLimitInput = {
  isStream: boolean;
  latencyObjectiveMs: number;
  /** Until the caller's deadline. */
  leftMs: number;
  /** The objective has passed: the caller has asked before. */
  isLate: boolean;
};

/** Callers of a stream leave after the longest of two seconds and four objectives without an event. */
const STREAM_PATIENCE_MIN_MS = 2_000;
const STREAM_PATIENCE_OBJECTIVES = 4;
/** One in ten first pieces takes 1.4 times its prediction or longer, as measured at saturated upstreams. */
const PREDICTED_SHARE = 0.7;
/** A prediction beyond this part of the caller's patience is a wait in vain. */
const PATIENCE_SHARE = 0.8;

export function patienceMs(input: Pick<QueueLimitInput, 'latencyObjectiveMs' | 'leftMs'>): number {
  const gapMs = Math.max(
    STREAM_PATIENCE_MIN_MS,
    STREAM_PATIENCE_OBJECTIVES * input.latencyObjectiveMs,
  );
  return Math.min(input.leftMs, gapMs) * PREDICTED_SHARE;
}

/** The longest predicted time to the first piece with which a request is let into a queue. */
export function queueLimitMs(input: QueueLimitInput): number {
  if (!input.isStream) return input.leftMs * PATIENCE_SHARE;
  const longestMs = patienceMs(input);
  if (input.isLate) return longestMs;
  return Math.min(longestMs, input.latencyObjectiveMs * PREDICTED_SHARE);
}

export type OverloadInput = {
  predictedMs: number;
  /** When another copy is there, or null when none is on its way. */
  nextCopyInMs: number | null;
};

/** A gateway hears of a copy with its next exchange; a caller that comes back before finds none. */
const COPY_NOTICE_MS = 400;

/** When the queue that was too long has been served, or another copy shares the load. */
export function overloadRetryMs({ predictedMs, nextCopyInMs }: OverloadInput): number {
  return nextCopyInMs === null ? predictedMs : nextCopyInMs + COPY_NOTICE_MS;
}
