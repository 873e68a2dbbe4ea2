/** The attempts at this agent: from dispatch to the end of the answer. */
import type * as journals from '@copperlever/coordination/journal/types';
import type { queues, serviceTimes, types as work } from '@copperlever/decisions';
import { agent } from '@copperlever/protocol';
import type { clocks, logs } from '@copperlever/runtime';

import * as answerLogs from '../../shared/answer-log.js';
import type * as revocations from '../../shared/revocations.js';
import type * as answers from '../../types/answers.js';
import type * as causes from '../../types/causes.js';
import type * as upstreams from '../../types/upstreams.js';
import type * as copies from '../copies/types.js';

/** How long a finished answer is kept for a reader that lost its connection. */
const KEEP_FINISHED_MS = 60_000;
/** A non-idempotent call may run this long past its deadline, so that its outcome gets known. */
const OUTCOME_GRACE_MS = 60_000;
/** When an agent cannot say when it will be better, callers come back after this. */
const DEFAULT_RETRY_MS = 1_000;
const NOT_FOUND_STATUS = 404;

export type Attempt = {
  request: agent.DispatchRequest;
  state: 'waiting-for-copy' | 'queued' | 'running' | 'closed';
  deadlineMs: number;
  log: answerLogs.AnswerLog;
  abort: AbortController;
  startedAtMs: number | null;
};

export type AttemptsDeps = {
  clock: clocks.Clock;
  log: logs.Logger;
  journal: journals.Journal;
  queue: queues.WorkQueue;
  times: serviceTimes.ServiceTimes;
  revocations: revocations.Revocations;
  copies: copies.Copies;
  upstream: upstreams.UpstreamPort;
  incarnation: number;
  /** The newest configuration version in force here. */
  configVersion: () => number;
};

export type Attempts = {
  dispatch: (request: agent.DispatchRequest) => answerLogs.AnswerLog;
  find: (dispatchId: string) => Attempt | undefined;
  revoke: (request: agent.RevokeRequest) => agent.RevokeOutcome;
  acknowledge: (dispatchIds: readonly string[]) => void;
  load: () => agent.AgentLoad;
  /** Refuses new work from now on. */
  leave: () => void;
  openCount: () => number;
};

const PRIORITY_NAMES: Readonly<Record<agent.PriorityClass, work.PriorityClass>> = {
  [agent.PriorityClass.PRIORITY_CLASS_UNSPECIFIED]: 'standard',
  [agent.PriorityClass.PRIORITY_CLASS_CRITICAL]: 'critical',
  [agent.PriorityClass.PRIORITY_CLASS_STANDARD]: 'standard',
  [agent.PriorityClass.PRIORITY_CLASS_BATCH]: 'batch',
};

function toWorkItem(attempt: Attempt, nowMs: number): work.WorkItem {
  const { request } = attempt;
  return {
    id: request.dispatchId,
    target: request.target,
    priorityClass: PRIORITY_NAMES[request.priorityClass],
    callerGroup: request.callerGroup,
    arrivedAtMs: nowMs,
    deadlineMs: attempt.deadlineMs,
    promptTokens: request.promptTokens,
    outputTokens: request.outputTokens,
  };
}

export function createAttempts(deps: AttemptsDeps): Attempts {
  const { clock, queue, copies: copyHolder, journal } = deps;
  const attempts = new Map<string, Attempt>();
  let isLeaving = false;

  function record(
    attempt: Attempt,
    event: string,
    fields: Record<string, string | number | boolean> = {},
  ): void {
    const { requestId, dispatchId } = attempt.request;
    journal.record(requestId, event, { dispatchId, ...fields });
  }

  /**
   * Without its answer the id alone must still be known: a late copy of its dispatch would otherwise
   * run the request a second time.
   */
  function forget(dispatchId: string): void {
    const attempt = attempts.get(dispatchId);
    if (attempt === undefined) return;
    const didRun = attempt.log.closing()?.kind !== 'refused';
    if (!didRun) deps.revocations.revoke(dispatchId, clock.nowMs());
    else deps.revocations.noteRan(dispatchId, clock.nowMs());
    attempts.delete(dispatchId);
  }

  function close(attempt: Attempt, part: answers.ClosingPart): void {
    if (attempt.state === 'closed') return;
    attempt.state = 'closed';
    attempt.log.append(part);
    record(attempt, part.kind === 'end' ? 'answered' : part.kind, {
      cause: part.kind === 'end' ? '' : part.cause,
    });
    clock.schedule(clock.nowMs() + KEEP_FINISHED_MS, () => forget(attempt.request.dispatchId));
  }

  function refuse(attempt: Attempt, cause: causes.RefusalCause, retryAtMs: number, detail = '') {
    close(attempt, { kind: 'refused', cause, retryAtMs, detail });
  }

  /** Why the attempt cannot even be considered; null when it can. */
  function findObstacle(request: agent.DispatchRequest): causes.RefusalCause | null {
    const nowMs = clock.nowMs();
    if (request.agentIncarnation !== deps.incarnation) return 'other-incarnation';
    switch (deps.revocations.judge(request.dispatchId, request.agentTick, nowMs)) {
      // An entry never dispatches one id twice: nobody is told "not run" of what ran.
      case 'ran':
      case 'revoked':
        return 'revoked';
      case 'stale':
        return 'stale-dispatch';
      case 'allowed':
        break;
    }
    if (isLeaving) return 'leaving';
    if (request.remainingMs <= 0) return 'deadline-passed';
    if (copyHolder.knows(request.target)) return null;
    return request.configVersion > deps.configVersion() ? 'config-behind' : 'unknown-target';
  }

  function observeServiceTime(attempt: Attempt, firstDataAtMs: number | null): void {
    const { request, startedAtMs } = attempt;
    if (startedAtMs === null || firstDataAtMs === null) return;
    deps.times.observe(request.target, {
      prefillMsPerToken: (firstDataAtMs - startedAtMs) / Math.max(1, request.promptTokens),
      decodeMsPerToken: (clock.nowMs() - firstDataAtMs) / Math.max(1, request.outputTokens),
    });
  }

  function toCall(request: agent.DispatchRequest): upstreams.UpstreamCall {
    return {
      requestId: request.requestId,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      priority: request.priorityClass,
    };
  }

  function closeFor(
    attempt: Attempt,
    part: Exclude<upstreams.UpstreamPart, { kind: 'head' | 'data' }>,
  ): void {
    switch (part.kind) {
      case 'end':
        return close(attempt, { kind: 'end', sizeBytes: attempt.log.sizeBytes() });
      case 'not-sent': {
        const retryAtMs = clock.nowMs() + DEFAULT_RETRY_MS;
        return refuse(attempt, 'upstream-unreachable', retryAtMs, part.detail);
      }
      case 'broken': {
        const cause = attempt.abort.signal.aborted ? 'cancelled' : 'upstream-broken';
        const upstreamCrashed = cause === 'upstream-broken';
        return close(attempt, { kind: 'failed', cause, detail: part.detail, upstreamCrashed });
      }
    }
  }

  /** An engine answers 404 for a model that it does not hold; a plain service means its own thing. */
  function isMissingCopy(head: Extract<upstreams.UpstreamPart, { kind: 'head' }>): boolean {
    return copyHolder.noteMissing !== undefined && head.status === NOT_FOUND_STATUS;
  }

  /**
   * Failure: the engine restarted since its last report, and holds nothing. Symptom: the caller of a
   * served model gets 404. Enough, because the engine has run nothing, so that another agent may.
   */
  function refuseMissing(attempt: Attempt): void {
    copyHolder.noteMissing?.(attempt.request.target);
    const retryAtMs = clock.nowMs() + DEFAULT_RETRY_MS;
    refuse(attempt, 'upstream-unreachable', retryAtMs, 'the engine lost its copy');
  }

  async function run(attempt: Attempt): Promise<void> {
    let firstDataAtMs: number | null = null;
    for await (const part of deps.upstream.run(toCall(attempt.request), attempt.abort.signal)) {
      if (part.kind === 'head') {
        if (isMissingCopy(part)) refuseMissing(attempt);
        else attempt.log.append(part);
      } else if (part.kind === 'data') {
        firstDataAtMs ??= clock.nowMs();
        const offsetBytes = attempt.log.sizeBytes();
        attempt.log.append({ kind: 'chunk', offsetBytes, data: part.data });
      } else {
        closeFor(attempt, part);
      }
    }
    closeFor(attempt, { kind: 'broken', detail: 'the upstream ended without a last part' });
    observeServiceTime(attempt, firstDataAtMs);
    queue.finish(attempt.request.dispatchId, clock.nowMs());
    startWaiting();
  }

  function start(attempt: Attempt): void {
    attempt.state = 'running';
    attempt.startedAtMs = clock.nowMs();
    attempt.log.append({ kind: 'started' });
    record(attempt, 'started');
    const graceMs = attempt.request.nonIdempotent ? OUTCOME_GRACE_MS : 0;
    clock.schedule(attempt.deadlineMs + graceMs, () => attempt.abort.abort());
    void run(attempt);
  }

  function startWaiting(): void {
    const nowMs = clock.nowMs();
    for (const item of queue.takeExpired(nowMs)) {
      const expired = attempts.get(item.id);
      if (expired !== undefined) refuse(expired, 'deadline-passed', nowMs + DEFAULT_RETRY_MS);
    }
    for (let item = queue.startNext(nowMs); item !== null; item = queue.startNext(nowMs)) {
      const attempt = attempts.get(item.id);
      if (attempt?.state === 'queued') start(attempt);
      else queue.finish(item.id, nowMs);
    }
  }

  function enqueue(attempt: Attempt): void {
    const nowMs = clock.nowMs();
    const admission = queue.admit(toWorkItem(attempt, nowMs), nowMs);
    if (admission.kind === 'refuse') {
      refuse(attempt, admission.cause, admission.retryAtMs);
      return;
    }
    attempt.state = 'queued';
    attempt.log.append({ kind: 'accepted' });
    record(attempt, 'queued', { predictedWaitMs: Math.round(admission.predictedWaitMs) });
    clock.schedule(attempt.deadlineMs, startWaiting);
    startWaiting();
  }

  async function waitForCopy(attempt: Attempt): Promise<void> {
    const ready = await copyHolder.ensureReady(attempt.request.target, attempt.deadlineMs);
    if (attempt.state !== 'waiting-for-copy') return;
    if (ready.err) refuse(attempt, ready.val.cause, ready.val.retryAtMs, ready.val.detail);
    else enqueue(attempt);
  }

  function begin(attempt: Attempt): void {
    const obstacle = findObstacle(attempt.request);
    if (obstacle !== null) {
      refuse(attempt, obstacle, clock.nowMs() + DEFAULT_RETRY_MS);
      return;
    }
    if (copyHolder.isReady(attempt.request.target)) {
      enqueue(attempt);
      return;
    }
    if (!attempt.request.loadIfNeeded) {
      refuse(attempt, 'not-resident', clock.nowMs() + DEFAULT_RETRY_MS);
      return;
    }
    void waitForCopy(attempt);
  }

  function dispatch(request: agent.DispatchRequest): answerLogs.AnswerLog {
    const known = attempts.get(request.dispatchId);
    if (known !== undefined) return known.log;
    const attempt: Attempt = {
      request,
      state: 'waiting-for-copy',
      deadlineMs: clock.nowMs() + request.remainingMs,
      log: answerLogs.createAnswerLog(),
      abort: new AbortController(),
      startedAtMs: null,
    };
    attempts.set(request.dispatchId, attempt);
    begin(attempt);
    return attempt.log;
  }

  function revokeKnown(attempt: Attempt, cancelIfStarted: boolean): agent.RevokeOutcome {
    switch (attempt.state) {
      case 'waiting-for-copy':
      case 'queued':
        queue.withdraw(attempt.request.dispatchId);
        refuse(attempt, 'revoked', clock.nowMs());
        return agent.RevokeOutcome.REVOKE_OUTCOME_REVOKED;
      case 'running':
        if (cancelIfStarted) attempt.abort.abort();
        return agent.RevokeOutcome.REVOKE_OUTCOME_STARTED;
      case 'closed':
        return attempt.log.closing()?.kind === 'refused'
          ? agent.RevokeOutcome.REVOKE_OUTCOME_REVOKED
          : agent.RevokeOutcome.REVOKE_OUTCOME_FINISHED;
    }
  }

  function revoke(request: agent.RevokeRequest): agent.RevokeOutcome {
    if (request.agentIncarnation !== deps.incarnation) {
      return agent.RevokeOutcome.REVOKE_OUTCOME_OTHER_INCARNATION;
    }
    const attempt = attempts.get(request.dispatchId);
    if (attempt !== undefined) return revokeKnown(attempt, request.cancelIfStarted);
    const nowMs = clock.nowMs();
    switch (deps.revocations.recall(request.dispatchId, request.agentTick, nowMs)) {
      case 'never-ran':
        deps.revocations.revoke(request.dispatchId, nowMs);
        return agent.RevokeOutcome.REVOKE_OUTCOME_REVOKED;
      case 'ran':
        return agent.RevokeOutcome.REVOKE_OUTCOME_FINISHED;
      case 'forgotten':
        // It may have run long ago: neither "revoked" nor "finished" would be the truth.
        return agent.RevokeOutcome.REVOKE_OUTCOME_UNSPECIFIED;
    }
  }

  return {
    dispatch,
    find: (dispatchId) => attempts.get(dispatchId),
    revoke,
    acknowledge: (dispatchIds) => {
      dispatchIds.forEach((dispatchId) => {
        if (attempts.get(dispatchId)?.state === 'closed') forget(dispatchId);
      });
    },
    load: () => ({
      incarnation: deps.incarnation,
      tick: deps.revocations.tick(clock.nowMs()),
      queueLength: queue.waitingCount(),
      predictedWaitMs: Math.round(queue.predictedWaitMs(clock.nowMs())),
      runningCount: queue.runningCount(),
    }),
    leave: () => {
      isLeaving = true;
    },
    openCount: () => [...attempts.values()].filter((attempt) => attempt.state !== 'closed').length,
  };
}
