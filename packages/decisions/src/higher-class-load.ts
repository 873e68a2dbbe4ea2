/**
 * How much of a queue's slots each class takes, so that lower classes can tell how much will go before
 * them. Made for steady demand of a higher class: a prediction that knows only what waits now tells a
 * lower class too little, it is admitted, overtaken again and again, and in the end given up on after
 * it waited.
 */
import * as types from './types.js';
import * as urgency from './urgency.js';

export type HigherClassLoad = {
  admitted: (priorityClass: types.PriorityClass, expectedMs: number, nowMs: number) => void;
  /** The wait of `priorityClass`, given what it would be if no more work of higher classes came. */
  stretch: (
    priorityClass: types.PriorityClass,
    waitMs: number,
    slotCount: number,
    nowMs: number,
  ) => number;
};

/** Some dozens of requests of a busy queue. */
const MEMORY_MS = 20_000;
/** However busy the higher classes, ageing leaves a lower class this part of the slots. */
const LEAST_SHARE_LEFT = 0.05;

export function createHigherClassLoad(): HigherClassLoad {
  const workMs: Record<types.PriorityClass, number> = { critical: 0, standard: 0, batch: 0 };
  let countedAtMs = 0;

  function decay(nowMs: number): void {
    const factor = Math.exp(-(nowMs - countedAtMs) / MEMORY_MS);
    types.PRIORITY_CLASSES.forEach((name) => {
      workMs[name] *= factor;
    });
    countedAtMs = nowMs;
  }

  return {
    admitted: (priorityClass, expectedMs, nowMs) => {
      decay(nowMs);
      workMs[priorityClass] += expectedMs;
    },
    stretch: (priorityClass, waitMs, slotCount, nowMs) => {
      decay(nowMs);
      const higherMs = types.PRIORITY_CLASSES.filter(
        (name) => urgency.classRank(name) < urgency.classRank(priorityClass),
      ).reduce((sumMs, name) => sumMs + workMs[name], 0);
      const takenShare = higherMs / MEMORY_MS / Math.max(1, slotCount);
      return waitMs / Math.max(LEAST_SHARE_LEFT, 1 - takenShare);
    },
  };
}
