/**
 * The speed and the load of each upstream, from what it tells and from what its answers take. Load: upstreams that differ
 * in speed, on machines that others slow down for half a second at a time. Harm prevented: with one figure for all, work
 * goes evenly to upstreams that are uneven, and prompts to those that read slowly at this moment.
 */
import type * as upstreamStates from '../types/upstream-states.js';

/** Told figures outside of this range are cut to it, so that an absurd one does bounded harm. */
const LEAST_FACTOR = 0.2;
const MOST_FACTOR = 10;
/** What disturbs an upstream for the moment seldom lasts longer. */
const MOMENT_VALID_MS = 600;
/** Some thirty answers make up what is learnt: a few seconds of a busy upstream. */
const LEARNING_SHARE = 0.03;
/** One answer that was late or early by more says no more of the next. */
const SAMPLE_RANGE = 3;
/** Predictions below this are mostly round trips, which say nothing of speed. */
const LEAST_PREDICTED_MS = 5;

type Moment = { factor: number; atMs: number };

type Entry = {
  slowness: number;
  moment: Moment | null;
  toldSentMs: number;
  load: { runningCount: number; waitingCount: number; slots: number; atMs: number } | null;
  tokens: { used: number; total: number; atMs: number } | null;
};

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}

/** What was told fades towards the usual, since it says less of each later moment. */
function factorNow({ factor, atMs }: Moment, nowMs: number): number {
  const validShare = clamp(1 - (nowMs - atMs) / MOMENT_VALID_MS, 0, 1);
  return 1 + (factor - 1) * validShare;
}

export function createUpstreamStates(): upstreamStates.UpstreamStates {
  const entries = new Map<string, Entry>();

  function entryOf(upstreamId: string): Entry {
    const known = entries.get(upstreamId);
    if (known !== undefined) return known;
    const entry: Entry = {
      slowness: 1,
      moment: null,
      toldSentMs: -Infinity,
      load: null,
      tokens: null,
    };
    entries.set(upstreamId, entry);
    return entry;
  }

  return {
    state: (upstreamId, nowMs) => {
      const entry = entries.get(upstreamId);
      const moment = entry?.moment ?? null;
      const load = entry?.load ?? null;
      const tokens = entry?.tokens ?? null;
      const isRecent = moment !== null && nowMs - moment.atMs < MOMENT_VALID_MS;
      return {
        slowness: entry?.slowness ?? 1,
        momentFactor: isRecent ? factorNow(moment, nowMs) : 1,
        momentAgeMs: isRecent ? nowMs - moment.atMs : null,
        tellsMoment: moment !== null,
        load: load === null ? null : { ...load, ageMs: nowMs - load.atMs },
        tokens: tokens === null ? null : { ...tokens, ageMs: nowMs - tokens.atMs },
      };
    },
    told: (upstreamId, word, sentMs, nowMs) => {
      const entry = entryOf(upstreamId);
      // Answers overtake each other: one to an earlier request may be the older word.
      if (sentMs < entry.toldSentMs) return;
      entry.toldSentMs = sentMs;
      const { runningCount, waitingCount, slots, momentFactor } = word;
      entry.load = { runningCount, waitingCount, slots, atMs: nowMs };
      if (momentFactor === null) return;
      entry.moment = { factor: clamp(momentFactor, LEAST_FACTOR, MOST_FACTOR), atMs: nowMs };
    },
    answered: (upstreamId, predictedMs, tookMs, nowMs) => {
      if (predictedMs < LEAST_PREDICTED_MS) return;
      const entry = entryOf(upstreamId);
      const momentFactor = entry.moment === null ? 1 : factorNow(entry.moment, nowMs);
      const ratio = tookMs / (predictedMs * momentFactor);
      const sample = clamp(ratio, entry.slowness / SAMPLE_RANGE, entry.slowness * SAMPLE_RANGE);
      // Averaged as a factor: half the time and twice the time weigh alike.
      entry.slowness = clamp(
        Math.exp(Math.log(entry.slowness) + LEARNING_SHARE * Math.log(sample / entry.slowness)),
        LEAST_FACTOR,
        MOST_FACTOR,
      );
    },
    reported: (upstreamId, tokens, nowMs) => {
      entryOf(upstreamId).tokens = { ...tokens, atMs: nowMs };
    },
    retain: (upstreamIds) => {
      for (const id of [...entries.keys()]) if (!upstreamIds.has(id)) entries.delete(id);
    },
  };
}
