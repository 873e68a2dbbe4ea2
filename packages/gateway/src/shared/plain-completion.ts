/**
 * Estimates when an upstream of a service without models would finish a call, from the upstream's reports and from the
 * calls that all gateways have there. Other workloads slow upstreams down for half a second at a time, and calls that
 * are spread evenly would queue at the currently slow upstream while others have free slots.
 */
import type * as upstreamStates from '../types/upstream-states.js';

export type PlainUpstream = {
  slots: number;
  /** Calls of all gateways there, as far as known. */
  inFlightCount: number;
  state: upstreamStates.UpstreamState;
};

/** A reported count of calls that take some 80 ms says nothing about the calls there this much later. */
const LOAD_VALID_MS = 600;
/** A reported queue is capped at this many calls per slot, which limits the harm that an absurd count can do. */
const MAX_WAITING_PER_SLOT = 4;

/** Whether the upstream has reported any state. One that has not is chosen by the times of its own answers. */
export function reportsState({
  load,
  reportsTransientFactor: tellsMoment,
}: upstreamStates.UpstreamState): boolean {
  return load !== null || tellsMoment;
}

function clampCount(count: number, max: number): number {
  return Number.isFinite(count) ? Math.min(max, Math.max(0, count)) : 0;
}

/** The number of calls that it last reported, reduced with the age of the report down to 0. */
function reportedCount({ slots, state }: PlainUpstream): number {
  const { load } = state;
  if (load === null) return 0;
  const count =
    clampCount(load.runningCount, slots) +
    clampCount(load.waitingCount, slots * MAX_WAITING_PER_SLOT);
  return count * clampCount(1 - load.ageMs / LOAD_VALID_MS, 1);
}

/**
 * The number of calls there, known or reported. Both counts may miss calls and neither includes calls that are not
 * there, so the larger one is closer.
 */
export function callCount(upstream: PlainUpstream): number {
  return Math.max(upstream.inFlightCount, reportedCount(upstream));
}

/** Expected duration of a call there once it has a slot. `baselineMs`: the duration at an upstream of average speed. */
export function expectedCallMs(baselineMs: number, { state }: PlainUpstream): number {
  return baselineMs * state.latencyRatio * state.transientFactor;
}

/**
 * Randomizes the cost: an upstream has the lowest randomized cost with a probability proportional to 1 / cost². Each
 * gateway knows the other gateways' calls only as they were several service times ago, so that by lowest cost alone all
 * would send to the same upstream until the next update.
 */
export function randomizedCostMs(costMs: number, fraction: number): number {
  return costMs * Math.sqrt(-Math.log(1 - fraction));
}
