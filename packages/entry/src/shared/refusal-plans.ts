/** What each refusal of an agent means to the caller, and where the request goes next. */
import { causes } from '@copperlever/protocol';

import type * as calls from '../types/calls.js';

export type RefusalPlan = {
  cause: calls.NotRunCause;
  next:
    /** Another agent may say yes. */
    | 'elsewhere'
    /** The refusal itself brought what was missing: the agent's present tick or incarnation. */
    | 'same-agent'
    /** Another agent, and if there is none the same ones once they had time to get better. */
    | 'wait'
    /** Another request with the same key took the claim over. */
    | 'follow-claim'
    /** Nothing that comes later can help. */
    | 'give-up';
};

/**
 * Overload goes elsewhere and is never waited for: the caller learns at once, with the soonest time
 * any agent named, and decides itself. What passes by itself within seconds (a start, a stop, a late
 * configuration) is waited for as long as the deadline allows.
 */
const PLANS: Readonly<Record<causes.RefusalCause, RefusalPlan>> = {
  starting: { cause: 'starting', next: 'wait' },
  leaving: { cause: 'leaving', next: 'wait' },
  'config-behind': { cause: 'config-behind', next: 'wait' },
  'upstream-unreachable': { cause: 'upstream-unreachable', next: 'wait' },
  'other-incarnation': { cause: 'upstream-unreachable', next: 'same-agent' },
  'stale-dispatch': { cause: 'upstream-unreachable', next: 'same-agent' },
  'queue-full': { cause: 'queue-full', next: 'elsewhere' },
  'group-over-share': { cause: 'group-over-share', next: 'elsewhere' },
  'deadline-unreachable': { cause: 'deadline-unreachable', next: 'elsewhere' },
  'no-memory': { cause: 'no-memory', next: 'elsewhere' },
  'load-failed': { cause: 'load-failed', next: 'elsewhere' },
  'unknown-target': { cause: 'no-upstream', next: 'elsewhere' },
  'not-resident': { cause: 'no-upstream', next: 'elsewhere' },
  'deadline-passed': { cause: 'expired-waiting', next: 'give-up' },
  revoked: { cause: 'retries-exhausted', next: 'follow-claim' },
};

/** A cause that only a later release knows: it did not run all the same. */
const UNRECOGNIZED: RefusalPlan = { cause: 'retries-exhausted', next: 'elsewhere' };

export function planFor(causeText: string): RefusalPlan {
  const cause = causes.parseRefusalCause(causeText);
  return cause === null ? UNRECOGNIZED : PLANS[cause];
}
