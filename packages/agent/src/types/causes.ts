/** Why an agent refuses or fails an attempt. Each is a problem type that callers see. */

/** The attempt did not run and will not run. */
export type RefusalCause =
  | 'deadline-unreachable'
  | 'deadline-passed'
  | 'queue-full'
  | 'group-over-share'
  /** The dispatch was meant for an earlier incarnation of this agent. */
  | 'other-incarnation'
  /** The dispatch is older than the revoked ids that this agent remembers. */
  | 'stale-dispatch'
  | 'revoked'
  | 'leaving'
  | 'unknown-target'
  /** The entry has a newer configuration than this agent. */
  | 'config-behind'
  | 'no-memory'
  | 'load-failed'
  | 'upstream-unreachable'
  | 'not-resident';

/** The attempt started and did not come to an end. */
export type FailureCause =
  'upstream-broken' | 'upstream-silent' | 'deadline-passed' | 'cancelled' | 'answer-too-large';
