/** One attempt of a request at the upstream that was chosen for it, counted, noted and logged. */
import type { clocks } from '@copperlever/runtime';

import * as eventGaps from '../../shared/event-gaps.js';
import type * as inFlightModule from '../../shared/in-flight.js';
import type * as promptCaches from '../../shared/prompt-caches.js';
import type * as calls from '../../types/calls.js';
import type * as dialects from '../../types/dialects.js';
import type * as fleet from '../../types/fleet.js';
import type * as logEvents from '../../types/log-events.js';
import type * as upstreamStates from '../../types/upstream-states.js';
import type * as metricsModule from '../metrics/metrics.js';
import type * as turnTakers from '../turns/turn-taker.js';
import type * as answers from './answers.js';
import * as attemptNotes from './attempt-notes.js';
import * as attempts from './attempt.js';
import type * as connectionsModule from './connections.js';
import type * as routers from './router.js';
import * as runs from './run.js';
import type * as upstreamWords from './upstream-words.js';

export type AttemptSenderDeps = Omit<
  attemptNotes.AttemptNotesDeps,
  'needsModel' | 'states' | 'metrics'
> & {
  clock: clocks.Clock;
  loopAges: attempts.AttemptDeps['loopAges'];
  log: logEvents.GatewayLog;
  dialect: dialects.Dialect;
  inFlight: inFlightModule.InFlight;
  caches: promptCaches.PromptCaches;
  connections: connectionsModule.Connections;
  words: Pick<upstreamWords.UpstreamWords, 'heard'>;
  states: Pick<upstreamStates.UpstreamStates, 'state' | 'answered' | 'observed'>;
  metrics: Pick<
    metricsModule.GatewayMetrics,
    'predicted' | 'firstPiece' | 'attemptEnded' | 'cancelled'
  >;
  router: Pick<routers.Router, 'needsModel' | 'priorityOf'>;
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

/** What the upstream has told of the attempt so far. */
type Heard = { load: upstreamStates.LoadWord | null; firstPiece: attemptNotes.FirstPiece | null };

/** A connection that has not taken the request by then is taken for dark, and another upstream tried. */
const SEND_PATIENCE_MS = 300;
/** An idempotent call that is this many times later than usual is tried elsewhere. */
const SILENT_FACTOR = 8;
const SILENT_MIN_MS = 250;
const FIRST_ERROR_STATUS = 300;
/** A connection is kept for what all gateways together may hold; the rest is for those that join. */
const CONNECTION_SHARE = 0.8;

/** The list is older than it usually gets. */
const OLD_LIST_MS = 1_000;

function unlessYoung(ageMs: number | null): number | undefined {
  return ageMs === null || ageMs < OLD_LIST_MS ? undefined : Math.round(ageMs);
}

function unlessUsual(factor: number): number | undefined {
  return factor === 1 ? undefined : Math.round(factor * 100) / 100;
}

export function createAttemptSender(deps: AttemptSenderDeps): AttemptSender {
  const { clock, log, directory, beliefs, inFlight, router } = deps;
  const notes = attemptNotes.createAttemptNotes({ ...deps, needsModel: router.needsModel });

  /** A silent attempt is given up early only where another one may follow. */
  function firstByteByMs(call: calls.Call, run: runs.Run, upstreamId: string): number {
    const isLast = run.ranCount + 1 >= call.route.maxAttempts;
    if (call.route.kind !== 'idempotent' || isLast) return call.deadlineMs;
    const usualMs = beliefs.belief(upstreamId, clock.nowMs()).firstPieceMs ?? SILENT_MIN_MS;
    return Math.min(
      call.deadlineMs,
      clock.nowMs() + Math.max(SILENT_MIN_MS, usualMs * SILENT_FACTOR),
    );
  }

  /** Streams of models have their events at the pace of an engine; those of other services at any. */
  function gapsOf(call: calls.Call, upstreamId: string): eventGaps.EventGaps | undefined {
    if (call.route.kind !== 'stream' || !router.needsModel(call)) return undefined;
    const model = call.facts.model ?? '';
    return eventGaps.createEventGaps((gapMs, nowMs) => {
      deps.states.observed(upstreamId, model, gapMs, nowMs);
    });
  }

  return async (call, run, sink, { choice, turn }) => {
    const { upstreamId } = choice;
    const record = directory.find(upstreamId);
    const service = deps.serviceOf(call.service);
    if (record === undefined || service === null) return { kind: 'not-sent', reason: 'gone' };
    const connectionsMax = (service.connectionsMax / deps.gatewayCount()) * CONNECTION_SHARE;
    const connection = deps.connections.lend(record, connectionsMax);
    if (connection === null) return { kind: 'not-sent', reason: 'connections in use' };
    const startedAtMs = clock.nowMs();
    const scope = runs.cacheScope(call);
    const cachedTokens = deps.caches.cachedTokens(upstreamId, scope, call.facts.promptParts);
    const unreadTokens = Math.max(0, call.facts.promptTokens - cachedTokens);
    const priority = router.priorityOf(call);
    const started = inFlight.started({
      upstreamId,
      model: call.facts.model ?? '',
      priority,
      promptTokens: unreadTokens,
    });
    deps.caches.sent(upstreamId, scope, call.facts.promptParts);
    const isResumed = run.resumeAfterId !== null || call.resumeAfterId !== null;
    const noted = { call, upstreamId, isResumed, choice };
    const heard: Heard = { load: null, firstPiece: null };
    const listAgeMs = unlessYoung(deps.listAgeMs());
    const result = await attempts.runAttempt(deps, {
      call,
      upstreamName: record.name,
      sink,
      connection,
      priority,
      resumeAfterId: run.resumeAfterId,
      holdsFailure: call.route.kind === 'idempotent' && run.ranCount + 1 < call.route.maxAttempts,
      mayStart: () => directory.mayGetWork(upstreamId, clock.nowMs()),
      sendByMs: startedAtMs + SEND_PATIENCE_MS,
      firstByteByMs: firstByteByMs(call, run, upstreamId),
      gaps: gapsOf(call, upstreamId),
      onHead: (facts) => {
        heard.load = facts.load;
        const source = call.requestId;
        deps.words.heard({ upstreamId, facts, sentMs: startedAtMs, source });
      },
      onCancelled: deps.metrics.cancelled,
      onFirstPiece: (piece, status) => {
        started.promptRead();
        // An error tells nothing of prefill.
        turn.ended(status < FIRST_ERROR_STATUS, heard.load);
        heard.firstPiece = notes.firstPiece(noted, piece, clock.nowMs() - startedAtMs);
        const { kind } = call.route;
        deps.metrics.firstPiece(
          { kind, priority: call.priority },
          clock.nowMs() - call.arrivedAtMs,
        );
      },
    });
    started.ended();
    deps.metrics.attemptEnded(result.kind);
    connection.giveBack(result.kind !== 'not-sent');
    const tookMs = clock.nowMs() - startedAtMs;
    const { firstPiece } = heard;
    notes.ended({ ...noted, result, firstPiece, tookMs });
    log.info('attempt-ended', {
      requestId: call.requestId,
      upstreamId,
      result: result.kind,
      reason: 'reason' in result ? result.reason : undefined,
      priority,
      predictedMs: Math.round(choice.predictedMs),
      slowness: unlessUsual(choice.speed.slowness),
      momentFactor: unlessUsual(choice.speed.momentFactor),
      listAgeMs,
      firstPieceMs: firstPiece === null ? undefined : Math.round(firstPiece.tookMs),
      tookMs: Math.round(tookMs),
    });
    return result;
  };
}
