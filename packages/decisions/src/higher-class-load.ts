/**
 * Measures what part of a queue's slots each class takes, so that the wait of lower classes can be predicted. Under
 * steady demand of a higher class, a prediction from the waiting work alone is too short: lower-class work is admitted,
 * overtaken repeatedly, and dropped after waiting.
 */
import * as types from './types.js';
import * as urgency from './urgency.js';

export type HigherClassLoad = {
  recordAdmitted: (priorityClass: types.PriorityClass, expectedMs: number, nowMs: number) => void;
  /**
   * The wait of work of `priorityClass`, extended by the work of higher classes that is expected to arrive meanwhile.
   * `waitMs` is the wait if none arrived.
   */
  extendedWaitMs: (
    priorityClass: types.PriorityClass,
    waitMs: number,
    slotCount: number,
    nowMs: number,
  ) => number;
};

/** A few dozen requests of a busy queue. */
const DECAY_MS = 20_000;
/** Aging leaves at least this part of the slots to a lower class, however busy higher classes are. */
const MIN_REMAINING_SHARE = 0.05;

export function createHigherClassLoad(): HigherClassLoad {
  const workMs: Record<types.PriorityClass, number> = { critical: 0, standard: 0, batch: 0 };
  let countedAtMs = 0;

  function decay(nowMs: number): void {
    const factor = Math.exp(-(nowMs - countedAtMs) / DECAY_MS);
    types.PRIORITY_CLASSES.forEach((name) => {
      workMs[name] *= factor;
    });
    countedAtMs = nowMs;
  }

  return {
    recordAdmitted: (priorityClass, expectedMs, nowMs) => {
      decay(nowMs);
      workMs[priorityClass] += expectedMs;
    },
    extendedWaitMs: (priorityClass, waitMs, slotCount, nowMs) => {
      decay(nowMs);
      const higherMs = types.PRIORITY_CLASSES.filter(
        (name) => urgency.classRank(name) < urgency.classRank(priorityClass),
      ).reduce((sumMs, name) => sumMs + workMs[name], 0);
      const takenShare = higherMs / DECAY_MS / Math.max(1, slotCount);
      return waitMs / Math.max(MIN_REMAINING_SHARE, 1 - takenShare);
    },
  };
}
