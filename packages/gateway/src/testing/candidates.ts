/** Upstreams to choose from, as choices get them. */
import * as upstreamBeliefs from '../shared/upstream-beliefs.js';
import type * as upstreamChoice from '../shared/upstream-choice.js';
import * as upstreamStates from '../shared/upstream-states.js';

/** Without any failure, and without an answer yet. */
export const FRESH_BELIEF = upstreamBeliefs.createUpstreamBeliefs().belief('nobody', 0);

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
    ownInFlightCount: 0,
    urgentCount: 0,
    readAheadMs: 0,
    cachedTokens: 0,
    belief: FRESH_BELIEF,
    state: upstreamStates.UNKNOWN_STATE,
    places: null,
    ownShare: 1,
    copy: 'ready',
    blockedForMs: 0,
    closed: null,
    isLimited: false,
    ...overrides,
  };
}
