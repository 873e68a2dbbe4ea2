/**
 * What one upstream is prefilling, and how long a pause its streams may have. Prefill counts from the grant of its
 * turn until one event interval of decoding has passed after it.
 */
import * as clamps from './clamp.js';

/** A prompt that may be prefilled. `baselineMs` is its prefill time on an upstream of baseline speed. */
export type Turn = { baselineMs: number; givenMs: number; expiresMs: number; isAlone: boolean };

type CompletedPrefill = { atMs: number; tookMs: number };

export type PrefillState = {
  turns: Map<string, Turn>;
  /** In order of completion. */
  completed: CompletedPrefill[];
  /** When a turn was last granted to a stream with this pause objective. */
  objectives: Map<number, number>;
  /** Ratio of the measured prefill time to the one that the upstream's known speed predicts. */
  correction: number;
};

/**
 * The load at one time, in milliseconds at the upstream's present speed: granted prefill that has not completed
 * (`unreadMs`) and the part of it that has elapsed (`elapsedMs`), prefill that completed recently (`recentMs`), and
 * an event interval of decoding. `factor` is the present speed against the baseline.
 */
export type Load = {
  unreadMs: number;
  recentMs: number;
  factor: number;
  intervalMs: number;
  elapsedMs: number;
};

/**
 * Share of the shortest pause objective. The rest is for upstreams that slow down after turns were granted.
 */
const BOUND_SHARE = 0.7;
/**
 * What a pause contains beside prefill: four decoding steps, 27 to 35 ms on an upstream of baseline speed.
 */
const EVENT_INTERVAL_MS = 35;
/** The bound leaves room for these steps, and for a step during which prefill begins. */
const RESERVED_INTERVALS = 1.2;
/**
 * Where the decoding steps alone take nearly as long as the objective, prompts are prefilled one after the other.
 */
const BOUND_MIN_SHARE = 0.3;
/** How long a stream is assumed to run after its turn was granted. */
const STREAM_MS = 3_000;
/** The end of a turn is reported after a decoding step, a message and its batching. */
const OVERDUE_INTERVALS = 1;
/** Shorter prefills are no measure of speed. */
export const MIN_SAMPLE_MS = 15;
/** Maximum slowdown against the baseline that is believed. */
export const MAX_FACTOR = 10;

/** Maximum prefill time in one pause, by the shortest pause objective among the streams there. */
export function boundOf(
  upstream: PrefillState,
  ownObjectiveMs: number | null,
  intervalMs: number,
  nowMs: number,
): number {
  let shortestMs = ownObjectiveMs ?? Infinity;
  for (const [objectiveMs, atMs] of upstream.objectives) {
    if (nowMs - atMs > STREAM_MS) upstream.objectives.delete(objectiveMs);
    else shortestMs = Math.min(shortestMs, objectiveMs);
  }
  const reservedMs = RESERVED_INTERVALS * intervalMs;
  return Math.max(
    BOUND_MIN_SHARE * shortestMs,
    Math.min(BOUND_SHARE * shortestMs, shortestMs - reservedMs),
  );
}

/** Time since the present prefill began, by the turns that were granted; 0 if there is none. */
function sinceStartMs({ turns, completed }: PrefillState, nowMs: number): number {
  let fromMs = Infinity;
  for (const { givenMs } of turns.values()) fromMs = Math.min(fromMs, givenMs);
  return fromMs === Infinity ? 0 : nowMs - Math.max(fromMs, completed.at(-1)?.atMs ?? -Infinity);
}

/** Completed prefills count until one event interval of decoding without any prefill has passed. */
export function loadOf(upstream: PrefillState, speedFactor: number, nowMs: number): Load {
  let baselineMs = 0;
  for (const turn of upstream.turns.values()) baselineMs += turn.baselineMs;
  const reportedFactor = upstream.correction * speedFactor;
  const sinceMs = sinceStartMs(upstream, nowMs);
  // Prefill that takes longer than predicted shows a transient slowdown before any answer reports it.
  const overdueMs = sinceMs - OVERDUE_INTERVALS * EVENT_INTERVAL_MS * reportedFactor;
  const observedFactor = baselineMs < MIN_SAMPLE_MS ? 0 : overdueMs / baselineMs;
  const factor = clamps.clamp(observedFactor, reportedFactor, MAX_FACTOR);
  const unreadMs = baselineMs * factor;
  const intervalMs = EVENT_INTERVAL_MS * factor;
  const elapsedMs = Math.min(unreadMs, sinceMs);
  let windowMs = intervalMs + elapsedMs;
  let recentMs = 0;
  let index = upstream.completed.length - 1;
  for (; index >= 0; index -= 1) {
    const { atMs, tookMs } = upstream.completed[index] as CompletedPrefill;
    if (nowMs - atMs >= windowMs) break;
    recentMs += tookMs;
    windowMs += tookMs;
  }
  upstream.completed.splice(0, index + 1);
  return { unreadMs, recentMs, factor, intervalMs, elapsedMs };
}
