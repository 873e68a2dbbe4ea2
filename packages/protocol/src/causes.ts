/** Why an agent refuses or fails an attempt, as the strings of AnswerRefused and AnswerFailed. */

/** The attempt did not run and will not run. */
export const REFUSAL_CAUSES = [
  /** No configuration that names the upstream is in force here yet. */
  'starting',
  'deadline-unreachable',
  'deadline-passed',
  'queue-full',
  'group-over-share',
  /** The dispatch was meant for an earlier incarnation of this agent. */
  'other-incarnation',
  /** The dispatch is older than the revoked ids that this agent remembers. */
  'stale-dispatch',
  'revoked',
  'leaving',
  'unknown-target',
  /** The entry has a newer configuration than this agent. */
  'config-behind',
  'no-memory',
  'load-failed',
  'upstream-unreachable',
  'not-resident',
] as const;

export type RefusalCause = (typeof REFUSAL_CAUSES)[number];

/** The attempt started and did not come to an end. */
export const FAILURE_CAUSES = [
  /** A resume named an attempt that this process does not know. */
  'attempt-unknown',
  'upstream-broken',
  'upstream-silent',
  'deadline-passed',
  'cancelled',
  'answer-too-large',
] as const;

export type FailureCause = (typeof FAILURE_CAUSES)[number];

/** The cause that `text` names; null for one that only a later release knows. */
export function parseRefusalCause(text: string): RefusalCause | null {
  return REFUSAL_CAUSES.find((cause) => cause === text) ?? null;
}

export function parseFailureCause(text: string): FailureCause | null {
  return FAILURE_CAUSES.find((cause) => cause === text) ?? null;
}
