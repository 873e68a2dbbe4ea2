/** The attempts at this agent: from dispatch to the end of the answer. */
import type * as journals from '@copperlever/coordination/journal/types';
import { longestTimes, type queues, type types as work } from '@copperlever/decisions';
import { agent } from '@copperlever/protocol';
import type { clocks, daemonHolds, logs, metrics } from '@copperlever/runtime';
import * as stopTimes from '@copperlever/runtime/stop-times';

import * as answerLogs from '../../shared/answer-log.js';
import * as answerRooms from '../../shared/answer-rooms.js';
import type * as revocations from '../../shared/revocations.js';
import type * as answers from '../../types/answers.js';
import type * as causes from '../../types/causes.js';
import type * as copies from '../copies/types.js';
import * as runsModule from './runs.js';
import type * as types from './types.js';

/** How long a finished answer is kept for a reader that lost its connection. */
const KEEP_FINISHED_MS = 60_000;
/** A non-idempotent call may run this long past its deadline, so that its outcome gets known. */
const OUTCOME_GRACE_MS = 60_000;
/** When an agent cannot say when it will be better, callers come back after this. */
const DEFAULT_RETRY_MS = 1_000;
/** An entry that lives reads, or resumes within a few seconds; after this it is taken for dead. */
const UNREAD_LIMIT_MS = 15_000;

const EMPTY_BODY = Buffer.alloc(0);

export type AttemptsDeps = {
  clock: clocks.Clock;
  log: logs.Logger;
  journal: journals.Journal;
  queue: queues.WorkQueue;
  metrics: Pick<metrics.Metrics, 'count'>;
  runs: runsModule.Runs;
  revocations: revocations.Revocations;
  copies: copies.Copies;
  holds: Pick<daemonHolds.DaemonHolds, 'answers' | 'bodies' | 'noteClosed'>;
  incarnation: number;
  /** The newest configuration version in force here. */
  configVersion: () => number;
  /** Told of each request for a target that the upstream may serve, refused ones too. */
  onDemand?: (item: work.WorkItem) => void;
};

export type Attempts = {
  dispatch: (request: agent.DispatchRequest) => answerLogs.AnswerLog;
  find: (dispatchId: string) => types.Attempt | undefined;
  revoke: (request: agent.RevokeRequest) => agent.RevokeOutcome;
  acknowledge: (dispatchIds: readonly string[]) => void;
  load: () => agent.AgentLoad;
  /** Refuses new work from now on. */
  leave: () => void;
  /** To be called again and again in a drain: refuses what waits and can't be over in it, and ends what still runs at its end. */
  stopBy: (times: stopTimes.DrainTimes) => void;
  /** Attempts that are not closed, and answers that their entries have not read whole yet. */
  openCount: () => number;
};

const PRIORITY_NAMES: Readonly<Record<agent.PriorityClass, work.PriorityClass>> = {
  [agent.PriorityClass.PRIORITY_CLASS_UNSPECIFIED]: 'standard',
  [agent.PriorityClass.PRIORITY_CLASS_CRITICAL]: 'critical',
  [agent.PriorityClass.PRIORITY_CLASS_STANDARD]: 'standard',
  [agent.PriorityClass.PRIORITY_CLASS_BATCH]: 'batch',
};

function toWorkItem(attempt: types.Attempt, nowMs: number): work.WorkItem {
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
  const attempts = new Map<string, types.Attempt>();
  const durations = longestTimes.createLongestTimes();
  const rooms = answerRooms.createAnswerRooms(
    deps.clock,
    deps.holds.answers,
    runsModule.MAX_ANSWER_ROOM_BYTES,
  );
  let isLeaving = false;
  let stopping: stopTimes.DrainTimes | null = null;

  function record(
    attempt: types.Attempt,
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
    stopTimers(attempt);
    attempt.room.release();
    attempts.delete(dispatchId);
  }

  function schedule(attempt: types.Attempt, atMs: number, task: () => void): void {
    const cancel = clock.schedule(atMs, () => {
      attempt.timers.delete(cancel);
      task();
    });
    attempt.timers.add(cancel);
  }

  function stopTimers(attempt: types.Attempt): void {
    attempt.timers.forEach((cancel) => cancel());
    attempt.timers.clear();
    attempt.stopIdleTimer?.();
    attempt.stopIdleTimer = null;
  }

  function recordClosing(attempt: types.Attempt, part: answers.ClosingPart): void {
    const outcome = part.kind === 'end' ? 'answered' : part.kind;
    const cause = part.kind === 'end' ? '' : part.cause;
    deps.metrics.count('agent.attempts', 1, { outcome, cause });
    if (part.kind !== 'failed') {
      record(attempt, outcome, { cause, sizeBytes: attempt.log.sizeBytes() });
      return;
    }
    const { upstreamCrashed } = part;
    const { fingerprint, requestId } = attempt.request;
    record(attempt, outcome, { cause, upstreamCrashed, fingerprint });
    deps.log.warn('attempt-failed', { requestId, cause, upstreamCrashed, fingerprint });
  }

  /** The request's body is not needed any more, nor are the bytes of an answer that is none. */
  function releaseBytes(attempt: types.Attempt, part: answers.ClosingPart): void {
    deps.holds.bodies.give(attempt.bodyBytes);
    attempt.bodyBytes = 0;
    attempt.request = { ...attempt.request, body: EMPTY_BODY };
    if (part.kind === 'end') {
      attempt.room.finish();
      return;
    }
    attempt.log.discard();
    attempt.room.release();
  }

  function close(attempt: types.Attempt, part: answers.ClosingPart): void {
    if (attempt.state === 'closed') return;
    attempt.state = 'closed';
    attempt.closedAtMs = clock.nowMs();
    stopTimers(attempt);
    attempt.release();
    attempt.log.append(part);
    recordClosing(attempt, part);
    releaseBytes(attempt, part);
    schedule(attempt, clock.nowMs() + KEEP_FINISHED_MS, () => forget(attempt.request.dispatchId));
  }

  function refuse(
    attempt: types.Attempt,
    cause: causes.RefusalCause,
    retryAtMs: number,
    detail = '',
  ) {
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

  function mayBegin(attempt: types.Attempt): boolean {
    const longestMs = durations.longestMs(attempt.request.target);
    return stopTimes.mayBegin(stopping, clock.nowMs(), {
      deadlineMs: attempt.deadlineMs,
      longestMs,
    });
  }

  function logAtStop(attempt: types.Attempt, outcome: 'refused' | 'ended'): void {
    const stopAtMs = stopping?.stopAtMs ?? 0;
    const { request, deadlineMs, startedAtMs } = attempt;
    deps.log.info('attempt-at-stop', {
      requestId: request.requestId,
      dispatchId: request.dispatchId,
      outcome,
      arrivedSinceStopMs: Math.round(deadlineMs - request.remainingMs - stopAtMs),
      startedSinceStopMs: startedAtMs === null ? null : Math.round(startedAtMs - stopAtMs),
      sinceStopMs: Math.round(clock.nowMs() - stopAtMs),
    });
  }

  function refuseAtStop(attempt: types.Attempt): void {
    logAtStop(attempt, 'refused');
    refuse(attempt, 'leaving', clock.nowMs() + DEFAULT_RETRY_MS, 'it would not be over in time');
  }

  /** What is non-idempotent goes on at the upstream, which may finish it. */
  function endAtStop(attempt: types.Attempt): void {
    logAtStop(attempt, 'ended');
    const detail = 'the agent stopped before the answer was whole';
    close(attempt, { kind: 'failed', cause: 'agent-stopping', detail, upstreamCrashed: false });
    if (!attempt.request.nonIdempotent) attempt.abort.abort('cancelled');
  }

  function lookAtStop(attempt: types.Attempt, times: stopTimes.DrainTimes): void {
    switch (attempt.state) {
      case 'waiting-for-copy':
      case 'queued':
        if (mayBegin(attempt)) return;
        queue.withdraw(attempt.request.dispatchId);
        refuseAtStop(attempt);
        break;
      case 'running':
        if (clock.nowMs() >= times.lastAnswersMs) endAtStop(attempt);
        break;
      case 'closed':
    }
  }

  async function run(attempt: types.Attempt): Promise<void> {
    const closing = await deps.runs.run(attempt);
    if (closing.kind === 'end') {
      durations.observe(attempt.request.target, clock.nowMs() - (attempt.startedAtMs ?? 0));
    }
    close(attempt, closing);
    queue.finish(attempt.request.dispatchId, clock.nowMs());
    startWaiting();
  }

  function start(attempt: types.Attempt): void {
    attempt.state = 'running';
    attempt.startedAtMs = clock.nowMs();
    attempt.log.append({ kind: 'started' });
    record(attempt, 'started');
    const graceMs = attempt.request.nonIdempotent ? OUTCOME_GRACE_MS : 0;
    schedule(attempt, attempt.deadlineMs + graceMs, () => attempt.abort.abort('deadline-passed'));
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
      if (attempt?.state === 'queued' && mayBegin(attempt)) {
        start(attempt);
      } else {
        queue.finish(item.id, nowMs);
        if (attempt?.state === 'queued') refuseAtStop(attempt);
      }
    }
  }

  function enqueue(attempt: types.Attempt): void {
    const nowMs = clock.nowMs();
    const admission = queue.admit(toWorkItem(attempt, nowMs), nowMs);
    if (admission.kind === 'refuse') {
      refuse(attempt, admission.cause, admission.retryAtMs);
      return;
    }
    attempt.state = 'queued';
    attempt.release = copyHolder.hold(attempt.request.target);
    attempt.log.append({ kind: 'accepted' });
    record(attempt, 'queued', { predictedWaitMs: Math.round(admission.predictedWaitMs) });
    schedule(attempt, attempt.deadlineMs, startWaiting);
    startWaiting();
  }

  async function waitForCopy(attempt: types.Attempt): Promise<void> {
    const { target } = attempt.request;
    // The copy may be on its way out again by the time that its waiter runs.
    while (attempt.state === 'waiting-for-copy' && !copyHolder.isReady(target)) {
      const ready = await copyHolder.ensureReady(target, attempt.deadlineMs);
      if (attempt.state !== 'waiting-for-copy') return;
      if (ready.err) refuse(attempt, ready.val.cause, ready.val.retryAtMs, ready.val.detail);
    }
    if (attempt.state === 'waiting-for-copy') enqueue(attempt);
  }

  /**
   * Failure: the entry that dispatched the attempt has died. Symptom: the upstream's slots fill with
   * answers that nobody will read. Enough for idempotent work, which its caller sends again; what is
   * non-idempotent goes on once it has started, so that its outcome stands in the journal.
   */
  function giveUpUnread(attempt: types.Attempt): void {
    switch (attempt.state) {
      case 'waiting-for-copy':
      case 'queued':
        queue.withdraw(attempt.request.dispatchId);
        record(attempt, 'unread');
        refuse(attempt, 'revoked', clock.nowMs(), 'nobody reads the answer');
        return;
      case 'running':
        record(attempt, 'unread');
        if (!attempt.request.nonIdempotent) attempt.abort.abort('cancelled');
        break;

      case 'closed':
    }
  }

  function noteReaders(attempt: types.Attempt, readerCount: number): void {
    attempt.stopIdleTimer?.();
    attempt.stopIdleTimer = null;
    if (readerCount > 0 || attempt.state === 'closed') return;
    const giveUpAtMs = clock.nowMs() + UNREAD_LIMIT_MS;
    attempt.stopIdleTimer = clock.schedule(giveUpAtMs, () => giveUpUnread(attempt));
  }

  /** A finished answer that its entry may still come for. */
  function isAwaited(attempt: types.Attempt): boolean {
    if (attempt.state !== 'closed') return true;
    if (attempt.log.readerCount() > 0) return true;
    const sinceMs = clock.nowMs() - (attempt.closedAtMs ?? 0);
    return !attempt.log.isReadWhole() && sinceMs < UNREAD_LIMIT_MS;
  }

  function takeBodyRoom(attempt: types.Attempt): boolean {
    const { bodies } = deps.holds;
    const { body, requestId } = attempt.request;
    if (bodies.take(body.length, 0)) {
      attempt.bodyBytes = body.length;
      return true;
    }
    const sizeBytes = body.length;
    const boundBytes = bodies.maxBytes;
    deps.holds.noteClosed({
      reader: 'request-body',
      requestId,
      sizeBytes,
      bound: 'sum',
      boundBytes,
    });
    return false;
  }

  function begin(attempt: types.Attempt): void {
    const obstacle = findObstacle(attempt.request);
    if (obstacle !== null) {
      refuse(attempt, obstacle, clock.nowMs() + DEFAULT_RETRY_MS);
      return;
    }
    deps.onDemand?.(toWorkItem(attempt, clock.nowMs()));
    if (!takeBodyRoom(attempt)) {
      refuse(attempt, 'queue-full', clock.nowMs() + DEFAULT_RETRY_MS);
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
    const log = answerLogs.createAnswerLog((readerCount) => noteReaders(attempt, readerCount));
    const attempt: types.Attempt = {
      request,
      state: 'waiting-for-copy',
      deadlineMs: clock.nowMs() + request.remainingMs,
      log,
      room: rooms.open({ ...log, discard: () => forget(request.dispatchId) }),
      bodyBytes: 0,
      abort: new AbortController(),
      startedAtMs: null,
      closedAtMs: null,
      timers: new Set(),
      stopIdleTimer: null,
      release: () => {},
    };
    noteReaders(attempt, 0);
    attempts.set(request.dispatchId, attempt);
    begin(attempt);
    return attempt.log;
  }

  function revokeKnown(attempt: types.Attempt, cancelIfStarted: boolean): agent.RevokeOutcome {
    switch (attempt.state) {
      case 'waiting-for-copy':
      case 'queued':
        queue.withdraw(attempt.request.dispatchId);
        refuse(attempt, 'revoked', clock.nowMs());
        return agent.RevokeOutcome.REVOKE_OUTCOME_REVOKED;
      case 'running':
        if (cancelIfStarted) attempt.abort.abort('cancelled');
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
    stopBy: (times) => {
      stopping = times;
      attempts.forEach((attempt) => lookAtStop(attempt, times));
    },
    openCount: () => [...attempts.values()].filter(isAwaited).length,
  };
}
