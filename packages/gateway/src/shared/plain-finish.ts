/**
 * When an upstream of a service without models would finish a call, by what the upstream tells and by the calls that
 * all gateways have there. Load: upstreams that others slow down for half a second at a time. Harm prevented: calls
 * spread evenly queue at the upstream that is slow at this moment, beside others with free slots.
 */
import type * as upstreamStates from '../types/upstream-states.js';

export type PlainSite = {
  slots: number;
  /** Calls of all gateways there, as far as known. */
  inFlightCount: number;
  state: upstreamStates.UpstreamState;
};

/** A told count of calls that take some 80 ms says nothing of the calls there so much later. */
const LOAD_VALID_MS = 600;
/** A told queue counts as at most so many slots' worth, so that an absurd one does bounded harm. */
const TOLD_WAITING_SLOTS = 4;

/** Whether it has told anything to choose by; an upstream that has not is chosen by what its answers took. */
export function isTelling({ load, tellsMoment }: upstreamStates.UpstreamState): boolean {
  return load !== null || tellsMoment;
}

function cut(count: number, most: number): number {
  return Number.isFinite(count) ? Math.min(most, Math.max(0, count)) : 0;
}

/** What it last told of its calls; counts for less with its age, until it says nothing. */
function toldCount({ slots, state }: PlainSite): number {
  const { load } = state;
  if (load === null) return 0;
  const count = cut(load.runningCount, slots) + cut(load.waitingCount, slots * TOLD_WAITING_SLOTS);
  return count * cut(1 - load.ageMs / LOAD_VALID_MS, 1);
}

/** Neither figure counts calls that the other does not: the larger is the nearer to what is there. */
export function callsThere(site: PlainSite): number {
  return Math.max(site.inFlightCount, toldCount(site));
}

/** How long a call takes there once it has a slot; `usualMs`: at an upstream of usual speed. */
export function callMs(usualMs: number, { state }: PlainSite): number {
  return usualMs * state.slowness * state.momentFactor;
}

/**
 * Decorrelates gateways that compare the same figures at the same time: the least spread cost is that of an upstream
 * with a probability in proportion to 1 / cost². Each gateway knows the others' calls only as they were several service
 * times ago: by the least cost alone all send to the same upstream until the next news.
 */
export function spreadMs(costMs: number, fraction: number): number {
  return costMs * Math.sqrt(-Math.log(1 - fraction));
}
