/** Runs one attempt of a request at the upstream that was chosen for it, and records and logs its result. */
import type { clocks } from '@copperlever/runtime';

import * as eventIntervals from '../../shared/event-intervals.js';
import type * as inFlightModule from '../../shared/in-flight.js';
import type * as promptCaches from '../../shared/prompt-caches.js';
import type * as calls from '../../types/calls.js';
import type * as dialects from '../../types/dialects.js';
import type * as fleet from '../../types/fleet.js';
import type * as logEvents from '../../types/log-events.js';
import type * as restartDoubts from '../../shared/restart-doubts.js';
import type * as upstreamStates from '../../types/upstream-states.js';
import type * as metricsModule from '../metrics/metrics.js';
import type * as turnTakers from '../turns/turn-taker.js';
import type * as answers from './answers.js';
import * as attemptOutcomes from './attempt-outcomes.js';
import * as attempts from './attempt.js';
import type * as connectionsModule from './connections.js';
import type * as crashWatches from '../crashes/crash-watch.js';
import * as resumedStreams from '../streams/resumed-streams.js';
import type * as routers from './router.js';
import * as runs from './run.js';
import type * as upstreamSignals from './upstream-signals.js';

export type AttemptSenderDeps = Omit<
  attemptOutcomes.AttemptOutcomesDeps,
  'needsModel' | 'states' | 'metrics'
> & {
  clock: clocks.Clock;
  loopAges: attempts.AttemptDeps['loopAges'];
  eventBytesMax: attempts.AttemptDeps['eventBytesMax'];
  log: logEvents.GatewayLog;
  dialect: dialects.Dialect;
  inFlight: inFlightModule.InFlight;
  caches: promptCaches.PromptCaches;
  connections: connectionsModule.Connections;
  words: Pick<upstreamSignals.UpstreamSignals, 'applyAnswerHead'>;
  states: Pick<upstreamStates.UpstreamStates, 'state' | 'recordFirstChunk' | 'recordEventInterval'>;
  metrics: Pick<
    metricsModule.GatewayMetrics,
    'predicted' | 'firstPiece' | 'attemptEnded' | 'answerInvalid' | 'cancelled'
  >;
  router: Pick<routers.Router, 'needsModel' | 'priorityOf'>;
  streams: resumedStreams.ResumedStreams;
  crashWatch: Pick<crashWatches.CrashWatch, 'started' | 'noteAnswered'>;
  doubts: Pick<restartDoubts.RestartDoubts, 'noteUnreachable' | 'noteAnswered'>;
  /** Whether the request's attempt, which has no answer yet, may be ended for another one now. */
  mayGiveUp: (call: calls.Call, run: runs.Run) => Promise<boolean>;
  serviceOf: (name: string) => fleet.Service | null;
  listAgeMs: () => number | null;
  gatewayCount: () => number;
};

export type AttemptSender = (
  call: calls.Call,
  run: runs.Run,
  sink: answers.AnswerSink,
  to: Extract<turnTakers.TurnVerdict, { kind: 'send' }>,
) => Promise<calls.AttemptResult>;

/** What is known of the answer so far. */
type AnswerSoFar = {
  framing: calls.Framing | null;
  load: upstreamStates.LoadSignal | null;
  firstChunk: attemptOutcomes.FirstChunk | null;
  /** It took so long that another upstream would be tried if that were possible. */
  wasSilent: boolean;
};

/** If no connection has started to send the request by then, the upstream counts as unreachable and another one is tried. */
const SEND_TIMEOUT_MS = 300;
/** An idempotent call that takes this many times its usual time is retried at another upstream, if that is possible. */
const SILENT_FACTOR = 8;
const SILENT_MIN_MS = 250;
const FIRST_ERROR_STATUS = 300;
/** Part of an upstream's connections that the known gateways share; the rest is reserved for gateways that join. */
const CONNECTION_SHARE = 0.8;

/** The list of upstreams is normally younger than this; its age is logged only beyond it. */
const OLD_LIST_MS = 1_000;

function loggedListAgeMs(ageMs: number | null): number | undefined {
  return ageMs === null || ageMs < OLD_LIST_MS ? undefined : Math.round(ageMs);
}

/** Undefined, which isn't logged, for an upstream of baseline speed. */
function loggedFactor(factor: number): number | undefined {
  return factor === 1 ? undefined : Math.round(factor * 100) / 100;
}

/** Undefined, which isn't logged, for a first attempt. */
function againOf({ trial, sentCount }: runs.Run): 'second' | 'trial' | undefined {
  if (trial !== null) return 'trial';
  return sentCount > 0 ? 'second' : undefined;
}

/** What the end of an attempt shows about its upstream. */
function evidenceOf(
  result: calls.AttemptResult,
  framing: calls.Framing | null,
): crashWatches.AttemptEvidence {
  if (result.kind === 'lost') return result.reason === 'connection' ? 'lost' : 'other';
  if (result.kind !== 'answered' || result.status >= FIRST_ERROR_STATUS) return 'other';
  return framing === 'until-close' ? 'unframed' : 'whole';
}

export function createAttemptSender(deps: AttemptSenderDeps): AttemptSender {
  const { clock, log, directory, beliefs, inFlight, router } = deps;
  const outcomes = attemptOutcomes.createAttemptOutcomes({
    ...deps,
    needsModel: router.needsModel,
  });

  /** When an attempt without an answer counts as silent; only one that another may follow is given up before the deadline. */
  function firstByteByMs(call: calls.Call, run: runs.Run, upstreamId: string): number {
    const isLast = run.ranCount + 1 >= call.route.maxAttempts;
    if (call.route.kind !== 'idempotent' || isLast) return call.deadlineMs;
    const baselineMs = beliefs.health(upstreamId, clock.nowMs()).firstChunkMs ?? SILENT_MIN_MS;
    return Math.min(
      call.deadlineMs,
      clock.nowMs() + Math.max(SILENT_MIN_MS, baselineMs * SILENT_FACTOR),
    );
  }

  /** Measures inter-event intervals, but only of models' streams: elsewhere they don't show the speed of an engine. */
  function eventIntervalsOf(
    call: calls.Call,
    upstreamId: string,
  ): eventIntervals.EventIntervals | undefined {
    if (call.route.kind !== 'stream' || !router.needsModel(call)) return undefined;
    const model = call.facts.model ?? '';
    return eventIntervals.createEventIntervals((intervalMs, nowMs) => {
      deps.states.recordEventInterval(upstreamId, model, intervalMs, nowMs);
    });
  }

  /** The list of upstreams may have changed since the choice. */
  function mayStart(run: runs.Run, upstreamId: string): boolean {
    if (!directory.mayGetWork(upstreamId, clock.nowMs())) return false;
    const { boundVersion } = run;
    const record = directory.find(upstreamId);
    if (boundVersion === null || record === undefined) return true;
    return deps.streams.mayGoOn(record, boundVersion);
  }

  /** What cannot be connected to counts as broken, so that other requests avoid it too. */
  function notAcquired(
    attempt: attemptOutcomes.Attempt,
    { address }: fleet.UpstreamRecord,
    error: connectionsModule.AcquireError,
  ): calls.AttemptResult {
    if (error.kind === 'in-use') return { kind: 'not-sent', reason: 'connections in use' };
    const { call, upstreamId } = attempt;
    const result = { kind: 'not-sent', reason: error.reason } as const;
    log.warn('upstream-unusable', {
      requestId: call.requestId,
      upstreamId,
      address,
      reason: error.reason,
    });
    deps.doubts.noteUnreachable(upstreamId);
    deps.metrics.attemptEnded(result.kind);
    outcomes.ended({ ...attempt, result, firstChunk: null, wasSilent: false, tookMs: 0 });
    return result;
  }

  return async (call, run, sink, { choice, turn }) => {
    const { upstreamId } = choice;
    const record = directory.find(upstreamId);
    const service = deps.serviceOf(call.service);
    if (record === undefined || service === null) return { kind: 'not-sent', reason: 'gone' };
    const connectionsMax = (service.connectionsMax / deps.gatewayCount()) * CONNECTION_SHARE;
    const isResumed = run.resumeAfterId !== null || call.resumeAfterId !== null;
    const attempt = { call, upstreamId, isResumed, choice };
    const acquired = deps.connections.acquire(record, connectionsMax);
    if (acquired.err) return notAcquired(attempt, record, acquired.val);
    const connection = acquired.val;
    const startedAtMs = clock.nowMs();
    const scope = runs.cacheScope(call);
    const cachedTokens = deps.caches.cachedTokens(upstreamId, scope, call.facts.promptParts);
    const uncachedTokens = Math.max(0, call.facts.promptTokens - cachedTokens);
    const priority = router.priorityOf(call);
    const started = inFlight.start({
      upstreamId,
      model: call.facts.model ?? '',
      priority,
      promptTokens: uncachedTokens,
    });
    deps.caches.recordSent(upstreamId, scope, call.facts.promptParts);
    const answer: AnswerSoFar = { framing: null, load: null, firstChunk: null, wasSilent: false };
    const watched = deps.crashWatch.started(
      upstreamId,
      record.address,
      { traits: run.traits, pool: `${record.service}/${call.facts.model ?? ''}` },
      run.trial?.trait,
    );
    const listAgeMs = loggedListAgeMs(deps.listAgeMs());
    const keptForMs = directory.keptForMs(upstreamId, clock.nowMs());
    const lastEventId = run.resumeAfterId ?? call.resumeAfterId;
    if (lastEventId !== null) deps.streams.noteSentOn(call, run, record, lastEventId);
    const result = await attempts.runAttempt(deps, {
      call,
      upstreamName: record.name,
      sink,
      holds: run.holds,
      connection,
      priority,
      resumeAfterId: run.resumeAfterId,
      mayStart: () => {
        run.isAtUpstream = mayStart(run, upstreamId);
        return run.isAtUpstream;
      },
      sendByMs: startedAtMs + SEND_TIMEOUT_MS,
      firstByteByMs: firstByteByMs(call, run, upstreamId),
      mayGiveUp: async () => {
        // Others avoid the upstream from now on, whether this attempt goes on or not.
        if (!answer.wasSilent) outcomes.recordSilence(upstreamId);
        answer.wasSilent = true;
        return deps.mayGiveUp(call, run);
      },
      eventIntervals: eventIntervalsOf(call, upstreamId),
      onResponseHead: (facts, framing) => {
        answer.load = facts.load;
        answer.framing = framing;
        if (!facts.isMisdirected) deps.crashWatch.noteAnswered(upstreamId, startedAtMs);
        deps.doubts.noteAnswered(upstreamId, clock.nowMs());
        const source = call.requestId;
        deps.words.applyAnswerHead({ upstreamId, facts, sentMs: startedAtMs, source });
      },
      onCancelled: deps.metrics.cancelled,
      onFirstChunk: (chunk, status) => {
        started.promptPrefilled();
        if (status < FIRST_ERROR_STATUS) watched.began();
        if (chunk === 'event') deps.streams.noteBegun(call, run, record);
        // An error answer doesn't show that the prompt was prefilled.
        turn.ended(status < FIRST_ERROR_STATUS, answer.load);
        answer.firstChunk = outcomes.recordFirstChunk(attempt, chunk, clock.nowMs() - startedAtMs);
        const { kind } = call.route;
        deps.metrics.firstPiece(
          { kind, priority: call.priority },
          clock.nowMs() - call.arrivedAtMs,
        );
      },
    });
    run.isAtUpstream = false;
    if (result.kind === 'held-failure') turn.ended(false, answer.load);
    started.end();
    watched.ended(evidenceOf(result, answer.framing));
    if (result.kind === 'not-sent') deps.doubts.noteUnreachable(upstreamId);
    deps.metrics.attemptEnded(result.kind);
    if (result.kind === 'lost' && result.reason === 'invalid') deps.metrics.answerInvalid();
    connection.release(result.kind !== 'not-sent');
    const tookMs = clock.nowMs() - startedAtMs;
    const { firstChunk, wasSilent } = answer;
    outcomes.ended({ ...attempt, result, firstChunk, wasSilent, tookMs });
    log.info('attempt-ended', {
      requestId: call.requestId,
      upstreamId,
      result: result.kind,
      reason: 'reason' in result ? result.reason : undefined,
      again: againOf(run),
      priority,
      predictedMs: Math.round(choice.predictedMs),
      slowness: loggedFactor(choice.speed.latencyRatio),
      momentFactor: loggedFactor(choice.speed.transientFactor),
      listAgeMs,
      keptForMs,
      firstPieceMs: firstChunk === null ? undefined : Math.round(firstChunk.tookMs),
      tookMs: Math.round(tookMs),
      version: resumedStreams.isResumable(call) ? record.softwareVersion : undefined,
    });
    return result;
  };
}
