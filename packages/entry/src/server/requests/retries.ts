/** Whether a request is tried once more after an attempt, where, and when; or how it ends. */
import type * as journals from '@copperlever/coordination/journal/types';
import type { clocks, metrics as metricsModule } from '@copperlever/runtime';

import * as endings from '../../shared/endings.js';
import type * as retryBudgets from '../../shared/retry-budget.js';
import type * as calls from '../../types/calls.js';
import type * as links from '../../types/links.js';
import * as runs from '../../types/runs.js';
import type * as plannedStops from './planned-stop.js';
import * as routes from './routes.js';
import type * as settlementsModule from './settlements.js';

export type RetryDeps = routes.RoutesDeps & {
  clock: clocks.Clock;
  journal: journals.Journal;
  metrics: metricsModule.Metrics;
  settlements: settlementsModule.Settlements;
  retryBudget: retryBudgets.RetryBudget;
  stop: plannedStops.PlannedStop;
};

/** Attempts before the caller is told to come back; the budget ends them sooner under load. */
const MAX_ATTEMPTS = 6;
/** A retry with less time than this left would only be refused. */
const LEAST_REMAINING_MS = 20;

export function factsOf(deps: RetryDeps, run: runs.Run): endings.Facts {
  const { call } = run;
  return {
    nowMs: deps.clock.nowMs(),
    isOnce: call.idempotencyKey !== null,
    hasCallerKey: call.idempotencyKey !== null && call.idempotencyKey !== call.requestId,
    hasBegun: run.sink.hasBegun(),
    crashCount: run.crashCount,
    soonestRetryMs: run.soonestRetryMs,
  };
}

/** Ends the request; a claim is told what a resend need not ask the agent for. */
export function end(deps: RetryDeps, run: runs.Run, ending: calls.Refusal): runs.Step {
  const outcome = endings.truthful(ending, run.earlierEnding);
  if (run.held !== null && outcome.kind !== 'unknown') {
    const kind = outcome.kind === 'not-run' ? 'refused' : 'failed';
    deps.settlements.settle(run.held, { kind, cause: outcome.cause }, () => {});
  }
  return runs.done(outcome);
}

async function waitForAny(deps: RetryDeps, run: runs.Run): Promise<links.AgentTarget | null> {
  const untilMs = run.soonestRetryMs ?? deps.clock.nowMs() + endings.DEFAULT_RETRY_MS;
  if (untilMs + LEAST_REMAINING_MS >= run.call.deadlineMs) return null;
  await deps.stop.sleepUntil(untilMs, run.call, run.callerGone);
  run.excludedIds.clear();
  run.soonestRetryMs = null;
  return routes.choose(deps, run);
}

function hasTimeLeft(deps: RetryDeps, run: runs.Run): boolean {
  return (
    run.attemptCount < MAX_ATTEMPTS &&
    deps.clock.nowMs() + LEAST_REMAINING_MS < run.call.deadlineMs &&
    !run.callerGone.aborted
  );
}

function again(
  deps: RetryDeps,
  run: runs.Run,
  target: links.AgentTarget,
  verdict: endings.Verdict,
): runs.Step {
  const { cause } = verdict.ending;
  deps.journal.record(run.call.requestId, 'retried', { cause, agentId: target.agentId });
  deps.metrics.count('entry.retries', 1, { cause });
  return { kind: 'again', target };
}

/** Tries once more where the verdict, the deadline and the budget allow it. */
export async function retryOrEnd(
  deps: RetryDeps,
  run: runs.Run,
  target: links.AgentTarget,
  verdict: endings.Verdict,
): Promise<runs.Step> {
  if (verdict.ending.kind !== 'not-run') run.earlierEnding = verdict.ending;
  if (verdict.retry === 'no' || !hasTimeLeft(deps, run)) return end(deps, run, verdict.ending);
  if (!deps.stop.mayBegin(run.call)) {
    const { ending } = verdict;
    return end(deps, run, ending.kind === 'not-run' ? deps.stop.refusal() : ending);
  }
  if (verdict.retry === 'follow-claim') {
    return run.held === null ? end(deps, run, verdict.ending) : runs.FOLLOW;
  }
  if (verdict.retry === 'same-agent') {
    const renewed = routes.choose(deps, run) ?? target;
    return again(deps, run, renewed, verdict);
  }
  run.excludedIds.add(target.agentId);
  if (!deps.retryBudget.tryTake(deps.clock.nowMs())) return end(deps, run, verdict.ending);
  const other = routes.choose(deps, run);
  if (other !== null) return again(deps, run, other, verdict);
  const waited = verdict.retry === 'wait' ? await waitForAny(deps, run) : null;
  return waited === null ? end(deps, run, verdict.ending) : again(deps, run, waited, verdict);
}
