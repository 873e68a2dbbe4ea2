/** Holds of a daemon with that memory, and what they were told of closed reads. */
import * as daemonHolds from '../daemon-holds.js';
import * as metrics from '../metrics.js';

export function createTestHolds(memoryMb?: number) {
  const closed: daemonHolds.ClosedRead[] = [];
  const holds = daemonHolds.createDaemonHolds({
    daemonKind: 'agent',
    memoryMb,
    log: { warn: () => {} },
    metrics: metrics.createSilentMetrics(),
  });
  const noteClosed = (one: daemonHolds.ClosedRead) => {
    closed.push(one);
  };
  return { ...holds, noteClosed, closed };
}
