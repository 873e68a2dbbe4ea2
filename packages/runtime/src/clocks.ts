/** The clock interface of all daemons. Deadlines are stored as timestamps of the monotonic clock. */

/** Cancels a scheduled task; does nothing once the task has run. */
export type Cancel = () => void;

/** The only source of time in daemon code; tests replace it by a fake clock. */
export type Clock = {
  /** Monotonic time in milliseconds; comparable only within one process. */
  nowMs: () => number;
  /** Wall-clock time in milliseconds since the Unix epoch, for records that people read. */
  wallMs: () => number;
  /** Runs `task` once, at or after the monotonic time `atMs`. */
  schedule: (atMs: number, task: () => void) => Cancel;
};

/** The system clock. */
export function createSystemClock(): Clock {
  return {
    nowMs: () => performance.now(),
    wallMs: () => Date.now(),
    schedule: (atMs, task) => {
      const timer = setTimeout(task, Math.max(0, atMs - performance.now()));
      return () => clearTimeout(timer);
    },
  };
}

/** Waits until the time `untilMs` or until `signal` is aborted, and resolves to which of the two came first. */
export function sleepUntil(
  clock: Clock,
  untilMs: number,
  signal?: AbortSignal,
): Promise<'elapsed' | 'aborted'> {
  if (signal?.aborted === true) return Promise.resolve('aborted');
  return new Promise((resolve) => {
    let cancel: Cancel = () => {};
    const onAbort = () => {
      cancel();
      resolve('aborted');
    };
    cancel = clock.schedule(untilMs, () => {
      signal?.removeEventListener('abort', onAbort);
      resolve('elapsed');
    });
    signal?.addEventListener('abort', onAbort, { once: true });
  });
}

/** Settles like `work`, or resolves to `'deadline'` if `work` is still pending at `deadlineMs`. */
export async function raceDeadline<Value>(
  clock: Clock,
  deadlineMs: number,
  work: Promise<Value>,
): Promise<Value | 'deadline'> {
  let cancel: Cancel = () => {};
  const expired = new Promise<'deadline'>((resolve) => {
    cancel = clock.schedule(deadlineMs, () => resolve('deadline'));
  });
  try {
    return await Promise.race([work, expired]);
  } finally {
    cancel();
  }
}
