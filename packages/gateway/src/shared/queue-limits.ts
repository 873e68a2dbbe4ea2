/**
 * How long a request may queue for its first piece, and when one that may not should come back. Load: demand
 * moves to a model with a single copy, which is asked for more than it can read. Harm prevented: a queue as
 * long as callers bear makes every answer late, the first as well as the last, while as many are served; one
 * no longer than the latency objective has those that are let in served in time, and tells the others at
 * once. What has missed its objective already, having come back after a refusal, may queue for as long as its
 * caller stays: to it a late answer is all there is to gain. Beside running streams a queue has another harm: engines
 * read prompts between the tokens of other requests, so that those pause for as long as prompts are read without a
 * break, and a pause makes an answer late that was in time at first.
 */
import type * as paces from './paces.js';
import * as urgency from './urgency.js';

export type QueueLimitInput = {
  isStream: boolean;
  latencyObjectiveMs: number;
  /** The longest pause between events that its route allows; null where none is declared. */
  pauseObjectiveMs: number | null;
  /** Until the caller's deadline. */
  leftMs: number;
  /** Since the request came: its caller has had nothing for so long. */
  waitedMs: number;
  /** The objective has passed: the caller has asked before, or waited for its model. */
  isLate: boolean;
  /** Late requests leave the capacity to those that may still be in time, and come back when told. */
  boundsLate?: boolean;
};

type Patience = Pick<QueueLimitInput, 'latencyObjectiveMs' | 'pauseObjectiveMs'>;

/** Callers of a stream leave after the longest of these without an event. */
const STREAM_PATIENCE_MIN_MS = 2_000;
const STREAM_PATIENCE_OBJECTIVES = 4;
const STREAM_PATIENCE_PAUSES = 8;
/** One in ten first pieces takes 1.4 times its prediction or longer. */
const PREDICTED_SHARE = 0.7;
/** A prediction beyond this part of the caller's patience is a wait in vain. */
const PATIENCE_SHARE = 0.8;

/**
 * What may wait to be read before an interactive request, against the longest pause allowed to the streams beside it.
 * Overnight work is read after all others.
 */
const PAUSE_SHARE = 0.9;

/** How long the caller of a stream stays without a piece. */
export function streamPatienceMs(route: Patience): number {
  return Math.max(
    STREAM_PATIENCE_MIN_MS,
    STREAM_PATIENCE_OBJECTIVES * route.latencyObjectiveMs,
    STREAM_PATIENCE_PAUSES * (route.pauseObjectiveMs ?? 0),
  );
}

/** How long it still stays. */
function patienceMs(input: Omit<QueueLimitInput, 'isStream' | 'isLate' | 'boundsLate'>): number {
  const gapMs = streamPatienceMs(input);
  return Math.max(0, Math.min(input.leftMs, gapMs - input.waitedMs));
}

/** The longest predicted time to the first piece with which a request is let into a queue. */
export function queueLimitMs(input: QueueLimitInput): number {
  if (!input.isStream) return input.leftMs * PATIENCE_SHARE;
  const longestMs = patienceMs(input) * PREDICTED_SHARE;
  const inTimeMs = Math.min(longestMs, input.latencyObjectiveMs * PREDICTED_SHARE);
  if (input.isLate) return input.boundsLate === true ? inTimeMs : longestMs;
  if (input.pauseObjectiveMs === null || urgency.isBatch(input)) return inTimeMs;
  return Math.min(inTimeMs, input.pauseObjectiveMs * PAUSE_SHARE);
}

/**
 * Late requests that wait for slots take them from those that may still be in time.
 */
export function hasFreeSlot(work: Pick<paces.Work, 'inFlightCount' | 'slots'>): boolean {
  return work.inFlightCount < work.slots;
}

export type OverloadInput = {
  predictedMs: number;
  /** When another copy is there, or null when none is on its way. */
  nextCopyInMs: number | null;
};

/** A gateway hears of a copy with its next exchange; a caller that comes back before finds none. */
const COPY_NOTICE_MS = 400;

/** A copy from the store takes longer than most callers may be told to stay away; the queue is shorter. */
const COPY_SOON_MS = 3_000;

/** When another copy shares the load, if that is soon, or the queue that was too long has been served. */
export function overloadRetryMs({ predictedMs, nextCopyInMs }: OverloadInput): number {
  if (nextCopyInMs === null || nextCopyInMs > COPY_SOON_MS) return predictedMs;
  return nextCopyInMs + COPY_NOTICE_MS;
}
