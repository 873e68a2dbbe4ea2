/** Upstreams to choose from, as choices get them. */
import * as upstreamHealth from '../shared/upstream-health.js';
import type * as upstreamChoice from '../shared/upstream-choice.js';
import * as upstreamStates from '../shared/upstream-states.js';

/** Without any failure, and without an answer yet. */
export const FRESH_BELIEF = upstreamHealth.createUpstreamHealthTracker().health('nobody', 0);

/** An idle upstream that has told nothing. */
export function createCandidate(
  upstreamId: string,
  slots: number,
  overrides: Partial<upstreamChoice.Candidate> = {},
): upstreamChoice.Candidate {
  return {
    upstreamId,
    failureDomain: 'north',
    slots,
    inFlightCount: 0,
    localInFlightCount: 0,
    urgentCount: 0,
    prefillAheadMs: 0,
    cachedTokens: 0,
    health: FRESH_BELIEF,
    state: upstreamStates.UNKNOWN_STATE,
    capacity: null,
    localShare: 1,
    copy: 'ready',
    blockedForMs: 0,
    closed: null,
    isLimited: false,
    ...overrides,
  };
}
