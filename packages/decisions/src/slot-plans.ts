/** Predicts when work starts: waiting work is assigned to slots in order, as the slots become free. */

/** Work as seen by the prediction. */
export type PlannedWork = { expectedMs: number; readyAtMs: number };

/** When each slot becomes free, earliest first. */
export type SlotPlan = number[];

/**
 * Work that has exceeded its expected time will probably continue; this part of its time so far is assumed to remain.
 * With 0, an upstream that is stuck would seem to be free.
 */
const OVERRUN_SHARE = 0.25;

export function remainingMs(startedAtMs: number, expectedMs: number, nowMs: number): number {
  const elapsedMs = nowMs - startedAtMs;
  return elapsedMs < expectedMs ? expectedMs - elapsedMs : elapsedMs * OVERRUN_SHARE;
}

/** Plan of the slots, given the remaining times of running work, of which there may be more than slots. */
export function planSlots(
  slotCount: number,
  remainingsMs: readonly number[],
  nowMs: number,
): SlotPlan {
  const busy = remainingsMs.map((leftMs) => nowMs + leftMs).sort((left, right) => left - right);
  const freeCount = Math.max(0, slotCount - busy.length);
  const plan = [...Array.from({ length: freeCount }, () => nowMs), ...busy];
  /** After a reduction of the slot count, the slots that become free first are removed. */
  return plan.slice(Math.max(0, plan.length - Math.max(1, slotCount)));
}

/** Assigns the next slot to `work` and returns when it starts. */
export function assign(plan: SlotPlan, work: PlannedWork): number {
  const freeAtMs = plan.shift() ?? 0;
  const startAtMs = Math.max(freeAtMs, work.readyAtMs);
  /** No slot is reserved for work whose model is still loading; other work uses it meanwhile. */
  const heldFromMs = work.readyAtMs > freeAtMs ? freeAtMs : startAtMs;
  const untilMs = heldFromMs + work.expectedMs;
  let index = 0;
  while (index < plan.length && (plan[index] as number) <= untilMs) index += 1;
  plan.splice(index, 0, untilMs);
  return startAtMs;
}

/**
 * Work beyond this number of items is spread evenly over the slots instead of being assigned item by item. With a
 * backlog of overnight work, an agent must not spend much time on control, and behind so many items their order changes
 * a wait by less than the variation in the length of answers.
 */
const MAX_ASSIGNED_SINGLY = 64;

/** Assigns slots to all of `works` in order. */
export function assignAll(plan: SlotPlan, works: readonly PlannedWork[]): void {
  const singleCount = Math.min(MAX_ASSIGNED_SINGLY, works.length);
  for (let index = 0; index < singleCount; index += 1) assign(plan, works[index] as PlannedWork);
  let restMs = 0;
  for (let index = singleCount; index < works.length; index += 1) {
    restMs += (works[index] as PlannedWork).expectedMs;
  }
  if (restMs === 0) return;
  for (let index = 0; index < plan.length; index += 1) {
    plan[index] = (plan[index] as number) + restMs / plan.length;
  }
}
