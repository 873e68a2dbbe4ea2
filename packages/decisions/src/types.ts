/** Inputs and results shared by the decisions. All times are on one monotonic clock. */

export const PRIORITY_CLASSES = ['critical', 'standard', 'batch'] as const;

export type PriorityClass = (typeof PRIORITY_CLASSES)[number];

/** Returns a number of at least 0 and below 1. It is passed in, so that decisions stay pure. */
export type RandomFraction = () => number;

/** One request, as seen by the decisions. */
export type WorkItem = {
  id: string;
  /** The served model, adapter or service. */
  target: string;
  priorityClass: PriorityClass;
  callerGroup: string;
  arrivedAtMs: number;
  /** When the answer must be complete. */
  deadlineMs: number;
  promptTokens: number;
  /** The maximum number of output tokens. */
  outputTokens: number;
  /** When its model will be ready at the upstream where it waits; left out if it is ready now. */
  readyAtMs?: number;
};

/** A refusal, with the time from which a retry makes sense. */
export type Refusal = { kind: 'refuse'; cause: RefusalCause; retryAtMs: number };

export type RefusalCause =
  /** The work would end after its deadline. */
  | 'deadline-unreachable'
  /** The queue is full. */
  | 'queue-full'
  /** The caller's group has used its share while other groups wait. */
  | 'group-over-share';
