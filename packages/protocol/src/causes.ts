/** Causes for which an agent refuses or fails an attempt: the strings in AnswerRefused and AnswerFailed. */

/** Causes of a refusal: the attempt did not run and will not run. */
export const REFUSAL_CAUSES = [
  /** The agent has no configuration in force yet that contains its upstream. */
  'starting',
  'deadline-unreachable',
  'deadline-passed',
  'queue-full',
  'group-over-share',
  /** The dispatch was addressed to an earlier incarnation of this agent. */
  'other-incarnation',
  /** The dispatch is older than the oldest revoked id that this agent remembers. */
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

/** Causes of a failure: the attempt started but did not complete. */
export const FAILURE_CAUSES = [
  /** A resume referred to an attempt that this process does not know. */
  'attempt-unknown',
  'upstream-broken',
  'upstream-silent',
  'deadline-passed',
  'cancelled',
  'answer-too-large',
  /** The agent stopped while the upstream ran it. */
  'agent-stopping',
] as const;

export type FailureCause = (typeof FAILURE_CAUSES)[number];

/** Parses a refusal cause; null for a cause that only a later release knows. */
export function parseRefusalCause(text: string): RefusalCause | null {
  return REFUSAL_CAUSES.find((cause) => cause === text) ?? null;
}

export function parseFailureCause(text: string): FailureCause | null {
  return FAILURE_CAUSES.find((cause) => cause === text) ?? null;
}
