/** The inputs and verdicts that the decisions share. All times are instants of one monotonic clock. */

export const PRIORITY_CLASSES = ['critical', 'standard', 'batch'] as const;

export type PriorityClass = (typeof PRIORITY_CLASSES)[number];

/** A number of at least 0 and below 1; given by the caller, so that decisions stay pure. */
export type RandomFraction = () => number;

/** One piece of work as the decisions see it. */
export type WorkItem = {
  id: string;
  /** The served model, adapter or service. */
  target: string;
  priorityClass: PriorityClass;
  callerGroup: string;
  arrivedAtMs: number;
  /** The instant by which the answer must be whole. */
  deadlineMs: number;
  promptTokens: number;
  /** The most tokens that the answer may have. */
  outputTokens: number;
  /** When its model will be ready where it waits; left out when it is ready now. */
  readyAtMs?: number;
};

/** A refusal, with the instant at which asking again makes sense. */
export type Refusal = { kind: 'refuse'; cause: RefusalCause; retryAtMs: number };

export type RefusalCause =
  /** The deadline would pass before the work is done. */
  | 'deadline-unreachable'
  /** The queue holds as much as it may. */
  | 'queue-full'
  /** The caller's group has used its share while others wait. */
  | 'group-over-share';
