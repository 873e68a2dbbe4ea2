/** Time as the daemons see it. Deadlines are stored as instants of the monotonic clock. */

/** Stops a scheduled task; harmless once the task has run. */
export type Cancel = () => void;

/** The only source of time in daemon code, so that tests can replace it. */
export type Clock = {
  /** Milliseconds on a clock that never goes back; comparable only within one process. */
  nowMs: () => number;
  /** Milliseconds since the Unix epoch, for records that people read. */
  wallMs: () => number;
  /** Runs `task` once, at or after the instant `atMs` of the monotonic clock. */
  schedule: (atMs: number, task: () => void) => Cancel;
};

/** The clock of the running system. */
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

/** Waits until the instant `untilMs`, or until `signal` is aborted; says which by its value. */
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

/** Settles as `work` does, or resolves to `'deadline'` at the instant `deadlineMs`. */
export async function raceDeadline<Value>(
  clock: Clock,
  deadlineMs: number,
  work: Promise<Value>,
): Promise<Value | 'deadline'> {
  let cancel: Cancel = () => {};
  const expiry = new Promise<'deadline'>((resolve) => {
    cancel = clock.schedule(deadlineMs, () => resolve('deadline'));
  });
  try {
    return await Promise.race([work, expiry]);
  } finally {
    cancel();
  }
}
