/** A planned stop of the entry: it turns callers away first, and ends when the last has its answer. */
import { clocks, type logs } from '@copperlever/runtime';

import type * as callerConnections from './caller-connections.js';

export type DrainDeps = {
  clock: clocks.Clock;
  log: logs.Logger;
  /** From now on `/readyz` says no. */
  turnReadyOff: () => void;
  leaveMembership: () => void;
  connections: callerConnections.CallerConnections;
  openCallCount: () => number;
  /** Claims whose outcome is not written yet. */
  pendingClaimCount: () => number;
  timeoutMs: number;
};

/** The balancer asks `/readyz` again within this time and sends no more callers. */
export const BALANCER_NOTICE_MS = 2_000;
const CHECK_MS = 50;

/**
 * Callers that come before the balancer has noticed are served as ever. After that connections are closed as they are found unused,
 * so that the close of the server, which doesn't look for what lies unread, finds none. Shortly before
 * the timeout, which an operator sets above the longest deadline, requests in flight are answered that they may have run.
 */
export async function drain(deps: DrainDeps): Promise<void> {
  const { clock } = deps;
  const deadlineMs = clock.nowMs() + deps.timeoutMs;
  deps.turnReadyOff();
  deps.leaveMembership();
  await clocks.sleepUntil(clock, Math.min(deadlineMs, clock.nowMs() + BALANCER_NOTICE_MS));
  const isDone = () =>
    deps.connections.isClosed() && deps.openCallCount() + deps.pendingClaimCount() === 0;
  for (;;) {
    await deps.connections.closeUnused();
    if (isDone() || clock.nowMs() >= deadlineMs) break;
    await clocks.sleepUntil(clock, clock.nowMs() + CHECK_MS);
  }
  const openCallCount = deps.openCallCount();
  if (openCallCount > 0) deps.log.error('drain-timed-out', { openCallCount });
}
