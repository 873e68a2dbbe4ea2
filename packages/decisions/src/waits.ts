/** When work would start: waiting work dealt to slots in its order, as the slots become free. */

/** Work as the prediction sees it. */
export type PlannedWork = { expectedMs: number; readyAtMs: number };

/** The instants at which each slot becomes free, earliest first. */
export type SlotPlan = number[];

/**
 * A piece of work that has run longer than expected is likely to run on: it is counted with this part
 * of what it has taken so far. With 0 a stuck upstream would look free.
 */
const OVERDUE_SHARE = 0.25;

export function remainingMs(startedAtMs: number, expectedMs: number, nowMs: number): number {
  const elapsedMs = nowMs - startedAtMs;
  return elapsedMs < expectedMs ? expectedMs - elapsedMs : elapsedMs * OVERDUE_SHARE;
}

/** The plan of slots of which `remainingsMs` are busy; there may be more of these than slots. */
export function planSlots(
  slotCount: number,
  remainingsMs: readonly number[],
  nowMs: number,
): SlotPlan {
  const busy = remainingsMs.map((leftMs) => nowMs + leftMs).sort((left, right) => left - right);
  const freeCount = Math.max(0, slotCount - busy.length);
  const plan = [...Array.from({ length: freeCount }, () => nowMs), ...busy];
  /** After a cut of slots the ones that end first do not come back. */
  return plan.slice(Math.max(0, plan.length - Math.max(1, slotCount)));
}

/** Gives the next slot to `work` and returns the instant at which it starts. */
export function assign(plan: SlotPlan, work: PlannedWork): number {
  const freeAtMs = plan.shift() ?? 0;
  const startAtMs = Math.max(freeAtMs, work.readyAtMs);
  /** A slot is not kept for work whose model still loads: other work takes it meanwhile. */
  const heldFromMs = work.readyAtMs > freeAtMs ? freeAtMs : startAtMs;
  const untilMs = heldFromMs + work.expectedMs;
  let index = 0;
  while (index < plan.length && (plan[index] as number) <= untilMs) index += 1;
  plan.splice(index, 0, untilMs);
  return startAtMs;
}

/**
 * Work beyond this many pieces is spread evenly over the slots rather than dealt piece by piece. Made for
 * a backlog of overnight work: an agent may spend little time on control, and behind so many pieces
 * the order of the last ones changes a wait by less than the lengths of the answers do.
 */
const MOST_DEALT = 64;

/** Gives slots to all of `works` in their order. */
export function assignAll(plan: SlotPlan, works: readonly PlannedWork[]): void {
  const dealtCount = Math.min(MOST_DEALT, works.length);
  for (let index = 0; index < dealtCount; index += 1) assign(plan, works[index] as PlannedWork);
  let restMs = 0;
  for (let index = dealtCount; index < works.length; index += 1) {
    restMs += (works[index] as PlannedWork).expectedMs;
  }
  if (restMs === 0) return;
  for (let index = 0; index < plan.length; index += 1) {
    plan[index] = (plan[index] as number) + restMs / plan.length;
  }
}
