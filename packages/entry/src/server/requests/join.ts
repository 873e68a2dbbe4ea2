/** A resend: answers it from what became of the first request with its key, and never beside it. */
import type * as claimTypes from '@copperlever/coordination/claims/types';
import type * as journals from '@copperlever/coordination/journal/types';
import type { clocks } from '@copperlever/runtime';

import type * as directories from '../../shared/agent-directory.js';
import * as endings from '../../shared/endings.js';
import type * as calls from '../../types/calls.js';
import type * as links from '../../types/links.js';
import type * as runs from '../../types/runs.js';
import * as attempts from './attempt.js';
import * as once from './once.js';
import type * as plannedStops from './planned-stop.js';
import type * as settlementsModule from './settlements.js';
import * as withdrawals from './withdraw.js';

export type JoinDeps = attempts.AttemptDeps & {
  clock: clocks.Clock;
  link: links.AgentLink;
  directory: directories.AgentDirectory;
  journal: journals.Journal;
  settlements: settlementsModule.Settlements;
  stop: Pick<plannedStops.PlannedStop, 'times' | 'onChange'>;
};

export type Joined =
  | { kind: 'done'; outcome: calls.Outcome }
  /** The first request did not run and will not: this one may take its claim over. */
  | { kind: 'take-over' };

const TAKE_OVER: Joined = { kind: 'take-over' };

function unknown(cause: calls.UnknownCause, retryAtMs: number | null, detail: string): Joined {
  return { kind: 'done', outcome: { kind: 'unknown', cause, retryAtMs, detail } };
}

/** Reads the answer of the attempt that the claim names from the agent that has it. */
async function joinAttempt(
  deps: JoinDeps,
  run: runs.Run,
  held: claimTypes.HeldClaim,
  first: runs.Dispatch,
): Promise<Joined> {
  const recorder = once.createRecorder(run.sink);
  deps.journal.record(run.call.requestId, 'joined', { dispatchId: first.dispatchId });
  const result = await attempts.runAttempt(deps, {
    target: first.target,
    dispatchId: first.dispatchId,
    deadlineMs: run.call.deadlineMs,
    sink: recorder,
    callerGone: run.callerGone,
    stop: {
      // The request that dispatched it may want it still.
      ...attempts.NO_STOP,
      answerAtMs: () => deps.stop.times()?.lastAnswersMs ?? Infinity,
      onChange: deps.stop.onChange,
    },
    open: (signal) => {
      const request = {
        dispatchId: first.dispatchId,
        agentIncarnation: first.target.incarnation,
        offsetBytes: 0,
      };
      return deps.link.resume(first.target, request, signal, 'shared');
    },
  });
  const comeBackMs = deps.clock.nowMs() + endings.DEFAULT_RETRY_MS;
  switch (result.kind) {
    case 'ended':
      deps.settlements.settle(held, recorder.outcome(), () =>
        deps.link.acknowledge(first.target, [first.dispatchId]),
      );
      return { kind: 'done', outcome: { kind: 'answered', status: result.status, replayed: true } };
    case 'refused':
      return TAKE_OVER;
    case 'failed': {
      const { cause, detail } = result;
      const { ending } = endings.afterFailure(factsOfJoin(deps, run), { cause, detail });
      const kind = ending.kind === 'unknown' ? 'unknown' : 'failed';
      deps.settlements.settle(held, { kind, cause }, () => {});
      return { kind: 'done', outcome: ending };
    }
    // The first request's outcome is another entry's to tell, which may have room.
    case 'no-room':
      return unknown('in-progress', comeBackMs, result.detail);
    case 'lost': {
      const withdrawal = await withdrawals.withdraw(deps, first, false);
      if (withdrawal === 'did-not-run' && !run.sink.hasBegun()) return TAKE_OVER;
      return unknown(
        withdrawal === 'ran' ? 'in-progress' : 'agent-lost',
        comeBackMs,
        'the agent that had the first request with this key cannot tell what became of it',
      );
    }
    case 'withdrawn':
    case 'stopped':
    case 'deadline-passed':
    case 'caller-gone':
      return unknown('in-progress', comeBackMs, 'the first request with this key still runs');
  }
}

function factsOfJoin(deps: JoinDeps, run: runs.Run): endings.Facts {
  return {
    nowMs: deps.clock.nowMs(),
    isOnce: true,
    hasCallerKey: true,
    hasBegun: run.sink.hasBegun(),
    crashCount: run.crashCount,
    soonestRetryMs: run.soonestRetryMs,
  };
}

/** Settles what a claim that another request wrote means for this one. */
export async function followClaim(
  deps: JoinDeps,
  run: runs.Run,
  held: claimTypes.HeldClaim,
): Promise<Joined> {
  const { outcome, target: claimed } = held.claim;
  if (claimed === null || outcome?.kind === 'refused') return TAKE_OVER;
  if (outcome !== null) {
    return { kind: 'done', outcome: await once.replay(outcome, run.sink) };
  }
  const target = deps.directory.locate(claimed.memberId, claimed.incarnation);
  if (target === null) {
    const detail = 'the agent that had the first request with this key is gone';
    return unknown('agent-lost', null, detail);
  }
  const first = { target, dispatchId: claimed.dispatchId, agentTick: claimed.tick };
  return joinAttempt(deps, run, held, first);
}
