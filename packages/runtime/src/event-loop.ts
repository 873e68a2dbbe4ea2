/** Polls of the event loop, in which sockets are read. Timers fire before them: after a long turn, what has arrived is still unread. */
import * as perfHooks from 'node:perf_hooks';

/** The number of the latest poll. */
export function pollCount(): number {
  // The type definitions for this version of Node lack this property.
  const { uvMetricsInfo } = perfHooks.performance.nodeTiming as unknown as {
    uvMetricsInfo: { loopCount: number };
  };
  return uvMetricsInfo.loopCount;
}

/** Resolves at the end of the present turn of the loop, before the next poll. */
export function turnEnd(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
