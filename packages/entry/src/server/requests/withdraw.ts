/** Withdraws an attempt from its agent and learns whether it ran. */
import type { clocks } from '@copperlever/runtime';

import * as endings from '../../shared/endings.js';
import type * as links from '../../types/links.js';
import type * as runs from '../../types/runs.js';

export type WithdrawDeps = { clock: clocks.Clock; link: links.AgentLink };

/** A living connection answers far sooner; one that went silent never does. */
const SHARED_TIMEOUT_MS = 500;
const FRESH_TIMEOUT_MS = 1_500;

/**
 * The connection may be the very reason for withdrawing, so a second try opens a new one. Without an
 * answer nothing is known, and "not run" is not said.
 */
export async function withdraw(
  deps: WithdrawDeps,
  dispatch: runs.Dispatch,
  cancelIfStarted: boolean,
  untilMs = Infinity,
): Promise<endings.Withdrawal> {
  const { clock, link } = deps;
  const request = {
    dispatchId: dispatch.dispatchId,
    agentIncarnation: dispatch.target.incarnation,
    agentTick: dispatch.agentTick,
    cancelIfStarted,
  };
  const sharedDeadlineMs = Math.min(untilMs, clock.nowMs() + SHARED_TIMEOUT_MS);
  const first = await link.revoke(dispatch.target, request, sharedDeadlineMs, 'shared');
  if (first.ok) return endings.withdrawalOf(first.val.outcome);
  const freshDeadlineMs = Math.min(untilMs, clock.nowMs() + FRESH_TIMEOUT_MS);
  if (freshDeadlineMs <= clock.nowMs()) return 'not-known';
  const second = await link.revoke(dispatch.target, request, freshDeadlineMs, 'fresh');
  return second.ok ? endings.withdrawalOf(second.val.outcome) : 'not-known';
}
