/**
 * What one upstream is prefilling, and how long the pauses may be that its streams have by it. Prefill counts from the
 * turn that was given for it until an event interval of decoding has passed after it.
 */
import * as clamps from './clamp.js';

/** A prompt that may be prefilled, in milliseconds at an upstream of usual speed. */
export type Turn = { usualMs: number; givenMs: number; expiresMs: number; isAlone: boolean };

type Prefilled = { atMs: number; tookMs: number };

export type PrefillState = {
  turns: Map<string, Turn>;
  /** The latest last. */
  prefilled: Prefilled[];
  /** When a turn was last given to a stream with this pause objective. */
  objectives: Map<number, number>;
  /** Prefill time against what the upstream's known speed predicts. */
  correction: number;
};

/** At one moment, in milliseconds of the upstream's present speed. */
export type Load = {
  unreadMs: number;
  recentMs: number;
  factor: number;
  intervalMs: number;
  underWayMs: number;
};

/** Of the shortest pause objective; the rest is for machines that become slow after turns have been given. */
const BOUND_SHARE = 0.7;
/** What a pause has beside prefill: four decoding steps, 27 to 35 ms on an upstream of usual speed. */
const EVENT_INTERVAL_MS = 35;
/** The bound leaves room for them, and for a step that prefill begins in. */
const INTERVALS_KEPT = 1.2;
/** Where the steps alone take nearly as long, prompts go one after the other. */
const BOUND_MIN_SHARE = 0.3;
/** How long a stream that had a turn is taken to run there. */
const STREAM_MS = 3_000;
/** An end is told after a step, a message and a batch. */
const OVERDUE_INTERVALS = 1;
/** Prefills shorter than this say nothing of speed. */
export const LEARNT_FROM_MS = 15;
/** The largest factor against the usual speed that is believed. */
export const MOST_SPEED = 10;

/** Prefill time that may make up one pause, by the shortest pause objective among the streams there. */
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
  const spareMs = INTERVALS_KEPT * intervalMs;
  return Math.max(
    BOUND_MIN_SHARE * shortestMs,
    Math.min(BOUND_SHARE * shortestMs, shortestMs - spareMs),
  );
}

/** Since the prefill that is under way began, by what was given; 0 where none is. */
function sinceBeginMs({ turns, prefilled }: PrefillState, nowMs: number): number {
  let fromMs = Infinity;
  for (const { givenMs } of turns.values()) fromMs = Math.min(fromMs, givenMs);
  return fromMs === Infinity ? 0 : nowMs - Math.max(fromMs, prefilled.at(-1)?.atMs ?? -Infinity);
}

/** Recent prefills count until an event interval of decoding has passed since, in which nothing was prefilled. */
export function loadOf(upstream: PrefillState, speedFactor: number, nowMs: number): Load {
  let usualMs = 0;
  for (const turn of upstream.turns.values()) usualMs += turn.usualMs;
  const toldFactor = upstream.correction * speedFactor;
  const sinceMs = sinceBeginMs(upstream, nowMs);
  // What takes longer than predicted shows a slow moment before any answer tells of it.
  const overdueMs = sinceMs - OVERDUE_INTERVALS * EVENT_INTERVAL_MS * toldFactor;
  const shownFactor = usualMs < LEARNT_FROM_MS ? 0 : overdueMs / usualMs;
  const factor = clamps.clamp(shownFactor, toldFactor, MOST_SPEED);
  const unreadMs = usualMs * factor;
  const intervalMs = EVENT_INTERVAL_MS * factor;
  const underWayMs = Math.min(unreadMs, sinceMs);
  let windowMs = intervalMs + underWayMs;
  let recentMs = 0;
  let index = upstream.prefilled.length - 1;
  for (; index >= 0; index -= 1) {
    const { atMs, tookMs } = upstream.prefilled[index] as Prefilled;
    if (nowMs - atMs >= windowMs) break;
    recentMs += tookMs;
    windowMs += tookMs;
  }
  upstream.prefilled.splice(0, index + 1);
  return { unreadMs, recentMs, factor, intervalMs, underWayMs };
}
