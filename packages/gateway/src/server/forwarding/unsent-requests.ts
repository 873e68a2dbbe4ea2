/**
 * Requests at a planned stop. Shortly before its end those that no upstream has been sent are refused: a refusal tells callers that
 * they may send them again, while the end of a connection tells them nothing. What is left at the end is answered then.
 */
import type * as answers from './answers.js';

/** Another gateway serves the request at once. */
export const STOPPING_RETRY_MS = 100;

export type AtStop = {
  /** Whether it would not be over before the end if it was sent now, nor later. */
  isTooLate?: () => boolean;
  /** Ends it at the end of the stop, whatever has it. */
  end?: () => void;
};

export type UnsentRequests = {
  /**
   * Has `refuse` called shortly before the end of a stop, or at once if that has come; no more after the returned function is called.
   */
  add: (refuse: () => void, more?: AtStop) => () => void;
  /** Refuses what is too late. */
  refuseLate: () => void;
  /** Refuses what waits, and from then on what is added. */
  refuseAll: () => void;
  isRefusing: () => boolean;
  /** Tells all that are left that the stop has come to its end. */
  endAll: () => void;
};

export function createUnsentRequests(): UnsentRequests {
  const waiting = new Set<AtStop & { refuse: () => void }>();
  let isRefusing = false;
  return {
    add: (refuse, more) => {
      if (isRefusing) {
        refuse();
        return () => {};
      }
      const entry = { refuse, ...more };
      waiting.add(entry);
      return () => {
        waiting.delete(entry);
      };
    },
    refuseLate: () => {
      waiting.forEach(({ isTooLate, refuse }) => {
        if (isTooLate?.() === true) refuse();
      });
    },
    refuseAll: () => {
      if (isRefusing) return;
      isRefusing = true;
      waiting.forEach(({ refuse }) => refuse());
    },
    isRefusing: () => isRefusing,
    endAll: () => {
      waiting.forEach(({ end }) => end?.());
      waiting.clear();
    },
  };
}

/** Settles like `work`, or resolves to `'stopping'` if the end of a stop comes before, or it gets too late for it. */
export async function orStopping<Value>(
  unsent: Pick<UnsentRequests, 'add'>,
  work: Promise<Value>,
  isTooLate?: () => boolean,
): Promise<Value | 'stopping'> {
  let remove = () => {};
  const refused = new Promise<'stopping'>((resolve) => {
    remove = unsent.add(() => resolve('stopping'), isTooLate === undefined ? {} : { isTooLate });
  });
  try {
    return await Promise.race([work, refused]);
  } finally {
    remove();
  }
}

export type WithdrawableSink = answers.AnswerSink & { withdraw: () => void };

/**
 * A sink for all that works on a request which may be withdrawn: afterwards its caller counts as gone, so that waits end and nothing
 * is sent or answered any more.
 */
export function createWithdrawableSink(sink: answers.AnswerSink): WithdrawableSink {
  let isWithdrawn = false;
  let callerGone: (() => void) | null = null;
  return {
    ...sink,
    isCallerGone: () => isWithdrawn || sink.isCallerGone(),
    onCallerGone: (task) => {
      callerGone = task;
      sink.onCallerGone(task);
      if (isWithdrawn) task?.();
    },
    withdraw: () => {
      isWithdrawn = true;
      callerGone?.();
    },
  };
}
