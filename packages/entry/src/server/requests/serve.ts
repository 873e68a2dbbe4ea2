/** The life of one request: route, claim where it must, dispatch, retry, and end truthfully. */
import type * as claimTypes from '@copperlever/coordination/claims/types';
import type { logs } from '@copperlever/runtime';

import * as dispatchRequests from '../../shared/dispatch-requests.js';
import * as endings from '../../shared/endings.js';
import type * as suspectsModule from '../../shared/suspects.js';
import type * as calls from '../../types/calls.js';
import type * as links from '../../types/links.js';
import * as runs from '../../types/runs.js';
import * as attempts from './attempt.js';
import * as join from './join.js';
import * as once from './once.js';
import type * as openCalls from './open-calls.js';
import * as retries from './retries.js';
import * as routes from './routes.js';
import * as withdrawals from './withdraw.js';

export type ServeDeps = retries.RetryDeps &
  join.JoinDeps & {
    log: logs.Logger;
    claims: claimTypes.Claims;
    suspects: suspectsModule.Suspects;
    calls: openCalls.OpenCalls;
    entryId: string;
  };

export type Serve = (
  call: calls.Call,
  sink: calls.AnswerSink,
  callerGone: AbortSignal,
) => Promise<calls.Outcome>;

/** How often a resend follows a claim that others keep changing. */
const MAX_FOLLOWS = 4;
/** Time to write an answer once it is known. */
const ANSWER_MS = 50;

const { done } = runs;

export function createServe(deps: ServeDeps): Serve {
  const { clock, journal, settlements, suspects } = deps;

  function noteRefusal(run: runs.Run, retryAtMs: number): void {
    run.soonestRetryMs = Math.min(run.soonestRetryMs ?? retryAtMs, retryAtMs);
  }

  function afterCrash(run: runs.Run): calls.Refusal | null {
    run.crashCount += 1;
    suspects.noteCrash(run.call.fingerprint);
    const untilMs = suspects.quarantinedUntilMs(run.call.fingerprint);
    if (untilMs === null) return null;
    const { requestId, fingerprint } = run.call;
    deps.log.error('request-quarantined', { requestId, fingerprint });
    deps.metrics.count('entry.quarantined');
    const detail = 'two engines crashed while they ran this request';
    return { kind: 'failed', cause: 'quarantined', retryAtMs: untilMs, detail };
  }

  function afterEnd(
    run: runs.Run,
    dispatch: runs.Dispatch,
    status: number,
    recorder: once.Recorder | null,
  ): runs.Step {
    const acknowledge = () => deps.link.acknowledge(dispatch.target, [dispatch.dispatchId]);
    // A resend reads the answer at the agent until the claim has it.
    if (run.held !== null && recorder !== null) {
      settlements.settle(run.held, recorder.outcome(), acknowledge);
    } else {
      acknowledge();
    }
    deps.retryBudget.noteSuccess(clock.nowMs());
    suspects.noteAnswer(run.call.fingerprint);
    return done({ kind: 'answered', status, replayed: false });
  }

  /** A stop has to answer, whether the agent says something or not. */
  function withdrawUntilMs(): number {
    return (deps.stop.times()?.answeredMs ?? Infinity) - ANSWER_MS;
  }

  async function afterAttempt(
    run: runs.Run,
    dispatch: runs.Dispatch,
    result: Exclude<attempts.AttemptResult, { kind: 'ended' }>,
  ): Promise<runs.Step> {
    const { target } = dispatch;
    const isOnce = run.call.idempotencyKey !== null;
    switch (result.kind) {
      case 'refused':
        noteRefusal(run, result.retryAtMs);
        return retries.retryOrEnd(
          deps,
          run,
          target,
          endings.afterRefusal(retries.factsOf(deps, run), result),
        );
      case 'failed': {
        const quarantined = result.upstreamCrashed ? afterCrash(run) : null;
        if (quarantined !== null) return retries.end(deps, run, quarantined);
        // The upstream would go on for nobody.
        if (result.cause === 'answer-too-large')
          await withdrawals.withdraw(deps, dispatch, !isOnce, withdrawUntilMs());
        return retries.retryOrEnd(
          deps,
          run,
          target,
          endings.afterFailure(retries.factsOf(deps, run), result),
        );
      }
      case 'no-room': {
        await withdrawals.withdraw(deps, dispatch, !isOnce);
        const failed = { cause: 'answer-too-large', detail: result.detail };
        const { ending } = endings.afterFailure(retries.factsOf(deps, run), failed);
        return retries.end(deps, run, ending);
      }
      case 'lost': {
        const withdrawal = await withdrawals.withdraw(deps, dispatch, !isOnce, withdrawUntilMs());
        const verdict = endings.afterLoss(retries.factsOf(deps, run), result.detail, withdrawal);
        return retries.retryOrEnd(deps, run, target, verdict);
      }
      case 'deadline-passed': {
        // The caller is held back a little longer: "not run" needs the agent's word.
        const withdrawal = await withdrawals.withdraw(deps, dispatch, !isOnce, withdrawUntilMs());
        return retries.end(
          deps,
          run,
          endings.afterDeadline(retries.factsOf(deps, run), withdrawal),
        );
      }
      case 'withdrawn':
        return retries.end(deps, run, deps.stop.refusal());
      case 'stopped': {
        const withdrawal = await withdrawals.withdraw(deps, dispatch, !isOnce, withdrawUntilMs());
        return retries.end(deps, run, endings.afterStop(retries.factsOf(deps, run), withdrawal));
      }
      case 'caller-gone':
        return retries.end(
          deps,
          run,
          endings.afterCallerGone(
            await withdrawals.withdraw(deps, dispatch, true, withdrawUntilMs()),
          ),
        );
    }
  }

  async function runAt(run: runs.Run, dispatch: runs.Dispatch): Promise<runs.Step> {
    const { call } = run;
    const { dispatchId, target } = dispatch;
    const configVersion = deps.configuration()?.version ?? 0;
    const request = dispatchRequests.toDispatchRequest(
      call,
      dispatch,
      configVersion,
      clock.nowMs(),
    );
    const recorder = run.held === null ? null : once.createRecorder(run.sink);
    const isSuspect = run.crashCount > 0;
    journal.record(call.requestId, 'dispatched', { dispatchId, agentId: target.agentId });
    deps.calls.notePassedOn(call.requestId, target.agentId);
    if (isSuspect) suspects.noteStarted(target.agentId);
    const result = await attempts.runAttempt(deps, {
      target,
      dispatchId,
      deadlineMs: call.deadlineMs,
      sink: recorder ?? run.sink,
      callerGone: run.callerGone,
      open: (signal) => deps.link.dispatch(target, request, signal),
      onStarted: () => deps.calls.noteStarted(call.requestId),
      stop: {
        waitsUntilMs: () => deps.stop.latestStartMs(call),
        answerAtMs: () => deps.stop.times()?.lastAnswersMs ?? Infinity,
        onChange: deps.stop.onChange,
        takeBack: async () =>
          (await withdrawals.withdraw(deps, dispatch, false, withdrawUntilMs())) === 'did-not-run',
      },
    });
    if (isSuspect) suspects.noteEnded(target.agentId);
    journal.record(call.requestId, 'attempt-ended', { dispatchId, result: result.kind });
    deps.metrics.count('entry.attempts', 1, { result: result.kind });
    if (result.kind === 'ended') {
      deps.stop.noteDuration(call.target.name, result.runMs);
      deps.directory.noteAnswer(target.agentId, { ...result, target: call.target.name });
      return afterEnd(run, dispatch, result.status, recorder);
    }
    return afterAttempt(run, dispatch, result);
  }

  async function follow(run: runs.Run, first: claimTypes.HeldClaim): Promise<runs.Step> {
    const joined = await join.followClaim(deps, run, first);
    if (joined.kind === 'done') return done(joined.outcome);
    run.held = first;
    journal.record(run.call.requestId, 'claim-taken-over', { from: first.claim.requestId });
    const target = routes.choose(deps, run);
    return target === null ? nowhere(run) : { kind: 'again', target };
  }

  /** Another request changed the claim; nothing of this one runs any more. */
  async function followAgain(run: runs.Run): Promise<runs.Step> {
    run.followCount += 1;
    const present = run.followCount > MAX_FOLLOWS ? null : await once.readAgain(deps, run.call);
    if (present !== null) return follow(run, present);
    run.held = null;
    const retryAtMs = clock.nowMs() + endings.DEFAULT_RETRY_MS;
    const detail = 'another request with this key took over, and its claim cannot be read now';
    return done({ kind: 'unknown', cause: 'claim-lost', retryAtMs, detail });
  }

  async function step(run: runs.Run, target: links.AgentTarget): Promise<runs.Step> {
    if (!deps.stop.mayBegin(run.call)) return retries.end(deps, run, deps.stop.refusal());
    run.attemptCount += 1;
    const dispatch: runs.Dispatch = {
      target,
      dispatchId: `${run.call.requestId}/${run.attemptCount}`,
      agentTick: deps.directory.tickOf(target.agentId, target.incarnation),
    };
    if (run.call.idempotencyKey === null) return runAt(run, dispatch);
    const permit =
      run.held === null
        ? await once.claimFirst(deps, run.call, dispatch)
        : await once.claimNext(deps, run.call, run.held, dispatch);
    switch (permit.kind) {
      case 'run':
        run.held = permit.held;
        journal.record(run.call.requestId, 'claimed', { dispatchId: dispatch.dispatchId });
        // The store may have taken its time.
        if (!deps.stop.mayBegin(run.call)) return retries.end(deps, run, deps.stop.refusal());
        return runAt(run, dispatch);
      case 'taken':
        return follow(run, permit.held);
      case 'overtaken':
        return followAgain(run);
      case 'refused':
        return done(permit.outcome);
    }
  }

  function nowhere(run: runs.Run): runs.Step {
    const retryAtMs = clock.nowMs() + endings.DEFAULT_RETRY_MS;
    return retries.end(
      deps,
      run,
      endings.notRun('no-upstream', retryAtMs, `no agent for ${run.call.target.name}`),
    );
  }

  async function begin(run: runs.Run): Promise<runs.Step> {
    const untilMs = suspects.quarantinedUntilMs(run.call.fingerprint);
    if (untilMs !== null) {
      const detail = 'engines crashed while they ran this request; it is refused for a while';
      return done(endings.notRun('quarantined', untilMs, detail));
    }
    const target = routes.choose(deps, run);
    return target === null ? nowhere(run) : { kind: 'again', target };
  }

  return async (call, sink, callerGone) => {
    const run = runs.createRun(call, sink, callerGone);
    let next = await begin(run);
    while (next.kind !== 'done') {
      next = next.kind === 'follow' ? await followAgain(run) : await step(run, next.target);
    }
    const { outcome } = next;
    const cause = outcome.kind === 'answered' ? '' : outcome.cause;
    journal.record(call.requestId, 'outcome', { outcome: outcome.kind, cause });
    return outcome;
  };
}
