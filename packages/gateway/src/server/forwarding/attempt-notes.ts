/** What the end of an attempt says of its upstream. */
import type { clocks } from '@copperlever/runtime';

import type * as pacesModule from '../../shared/paces.js';
import type * as plainPlacesModule from '../../shared/plain-places.js';
import type * as plainTimesModule from '../../shared/plain-times.js';
import * as speeds from '../../shared/speeds.js';
import type * as beliefsModule from '../../shared/upstream-beliefs.js';
import type * as upstreamChoice from '../../shared/upstream-choice.js';
import type * as directories from '../../shared/upstream-directory.js';
import type * as calls from '../../types/calls.js';
import type * as logEvents from '../../types/log-events.js';
import type * as placementTypes from '../../types/placement.js';
import type * as upstreamStates from '../../types/upstream-states.js';
import type * as metricsModule from '../metrics/metrics.js';
import * as speedReports from './speed-reports.js';
import * as paceReports from './pace-reports.js';

export type AttemptNotesDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  directory: directories.UpstreamDirectory;
  beliefs: beliefsModule.UpstreamBeliefs;
  placement: placementTypes.Placement;
  paces: pacesModule.Paces;
  plainTimes: plainTimesModule.PlainTimes;
  plainPlaces: Pick<plainPlacesModule.PlainPlaces, 'rejected'>;
  states: Pick<upstreamStates.UpstreamStates, 'state' | 'answered'>;
  metrics: Pick<metricsModule.GatewayMetrics, 'predicted'>;
  needsModel: (call: calls.Call) => boolean;
};

type Attempt = {
  call: calls.Call;
  upstreamId: string;
  /** It went on after the events that its caller had. */
  isResumed: boolean;
  choice: Extract<upstreamChoice.Choice, { kind: 'send' }>;
};

/** The speed of the upstream, as it was known when the piece came. */
export type FirstPiece = { tookMs: number; speed: speeds.Speed };

export type EndedAttempt = Attempt & {
  result: calls.AttemptResult;
  /** Null when no piece came. */
  firstPiece: FirstPiece | null;
  tookMs: number;
};

export type AttemptNotes = {
  /** The first event of a stream, or a whole answer, has come. */
  firstPiece: (attempt: Attempt, piece: 'event' | 'whole', tookMs: number) => FirstPiece;
  ended: (attempt: EndedAttempt) => void;
};

/** Longer than any caller of a stream waits for its first piece. */
const GOOD_KEPT_MS = 30_000;

export function createAttemptNotes(deps: AttemptNotesDeps): AttemptNotes {
  const { clock, log, directory, beliefs, placement } = deps;
  const lastGoodMs = new Map<string, number>();
  const speedLines = speedReports.createSpeedReports(deps);
  const reportPace = paceReports.createPaceReports(deps);

  function noteBelief(upstreamId: string, end: beliefsModule.AttemptEnd, nowMs: number): void {
    const change = beliefs.ended(upstreamId, end, nowMs);
    if (change === null) return;
    const { brokenInRow, avoidUntilMs } = change.belief;
    if (change.kind === 'trusted') log.info('upstream-trusted', { upstreamId });
    else {
      const forMs = Math.round(avoidUntilMs - nowMs);
      log.warn('upstream-avoided', { upstreamId, brokenInRow, forMs });
    }
  }

  function noteRejected(call: calls.Call, upstreamId: string, nowMs: number): void {
    noteBelief(upstreamId, { kind: 'rejected' }, nowMs);
    if (deps.needsModel(call)) return;
    deps.plainPlaces.rejected(upstreamId, deps.states.state(upstreamId, nowMs).load, nowMs);
  }

  function noteEnd(call: calls.Call, upstreamId: string, result: calls.AttemptResult): void {
    const nowMs = clock.nowMs();
    switch (result.kind) {
      case 'not-sent':
      case 'lost':
        noteBelief(upstreamId, { kind: 'broken' }, nowMs);
        break;
      case 'rejected':
        if (result.isMisdirected) noteMisdirected(call, upstreamId);
        else noteRejected(call, upstreamId, nowMs);
        break;
      case 'held-failure':
        noteBelief(upstreamId, { kind: 'failed' }, nowMs);
        break;
      case 'deadline':
        if (!result.hasBegun) noteBelief(upstreamId, { kind: 'broken' }, nowMs);
        break;
      case 'answered':
        if (result.status >= 500) noteBelief(upstreamId, { kind: 'failed' }, nowMs);
        break;
      case 'caller-gone':
        break;
    }
  }

  /** Either another upstream has the address, or the model has gone from this one. */
  function noteMisdirected(call: calls.Call, upstreamId: string): void {
    const { model, adapter } = call.facts;
    if (model !== null && deps.needsModel(call)) placement.noteAbsent(upstreamId, model, adapter);
    else directory.noteMisdirected(upstreamId);
  }

  /** A stream that was resumed has a part of its work behind it and says nothing of a whole one. */
  function notePace(
    { call, isResumed, choice, tookMs }: EndedAttempt,
    { tookMs: firstPieceMs, speed }: FirstPiece,
  ): void {
    if (isResumed || !deps.needsModel(call)) return;
    const { service, facts } = call;
    const model = facts.model ?? '';
    const sample = { ...choice.work, service, model, firstPieceMs, tookMs, speed };
    deps.paces.answered(sample, clock.nowMs());
    reportPace(service, sample.model);
  }

  /** What waited for a slot says nothing of the time that the call itself took. */
  function notePlainTime({ call, upstreamId, choice }: EndedAttempt, firstPieceMs: number): void {
    if (choice.isQueued || deps.needsModel(call)) return;
    const nowMs = clock.nowMs();
    const { momentFactor } = deps.states.state(upstreamId, nowMs);
    const usual = deps.plainTimes.time(call.service);
    if (usual !== null) deps.states.answered(upstreamId, usual.usualMs, firstPieceMs, nowMs);
    deps.plainTimes.answered(call.service, firstPieceMs, momentFactor);
  }

  /**
   * Failure: under overload the answers that take longest are those whose callers leave before. Symptom: what is
   * learnt from answers alone is too short, and more are let in to wait in vain. An upstream that answered others
   * meanwhile is at work; its caller's patience is the least that the answer would have taken.
   */
  function noteWaitedInVain(attempt: EndedAttempt): void {
    const { upstreamId, result, tookMs, choice } = attempt;
    const isEndedByCaller = result.kind === 'caller-gone' || result.kind === 'deadline';
    const startedMs = clock.nowMs() - tookMs;
    const isAtWork = (lastGoodMs.get(upstreamId) ?? -Infinity) > startedMs;
    if (!isEndedByCaller || !isAtWork || tookMs <= choice.predictedMs) return;
    notePace(attempt, { tookMs, speed: speedOf(upstreamId) });
  }

  function speedOf(upstreamId: string): speeds.Speed {
    const { slowness, momentFactor } = deps.states.state(upstreamId, clock.nowMs());
    return { slowness, momentFactor };
  }

  function noteFirstPiece(
    { call, upstreamId, isResumed, choice }: Attempt,
    piece: 'event' | 'whole',
    tookMs: number,
  ): FirstPiece {
    const speed = speedOf(upstreamId);
    speedLines.note(upstreamId, speed);
    if (piece === 'event') deps.metrics.predicted(choice.predictedMs, tookMs);
    // What a whole answer takes depends on its length, which is not predicted.
    const { work, usualPredictedMs } = choice;
    const { msPerToken } = deps.paces.pace(call.service, call.facts.model ?? '');
    // What was read before it is known from news, and may have been read by then.
    const isMostlyOwn = work.readAheadMs <= work.ownTokens * msPerToken && work.overCount === 0;
    if (piece === 'event' && isMostlyOwn && !isResumed && deps.needsModel(call)) {
      deps.states.answered(upstreamId, usualPredictedMs, tookMs, clock.nowMs());
    }
    return { tookMs, speed };
  }

  /** An answer that took as long as its upstream says that work takes at the moment is not unexpectedly late. */
  function expectedMs({ call, choice }: EndedAttempt, speed: speeds.Speed): number {
    const { usualPredictedMs, predictedMs } = choice;
    if (!deps.needsModel(call)) return predictedMs;
    return Math.max(predictedMs, speeds.atSpeed(usualPredictedMs, speed));
  }

  function noteEnded(attempt: EndedAttempt): void {
    const { call, upstreamId, result, firstPiece } = attempt;
    const isGood = result.kind === 'answered' && result.status < 500;
    if (firstPiece === null || !isGood) {
      if (firstPiece === null) noteWaitedInVain(attempt);
      noteEnd(call, upstreamId, result);
      return;
    }
    const predictedMs = expectedMs(attempt, firstPiece.speed);
    const firstPieceMs = firstPiece.tookMs;
    noteBelief(upstreamId, { kind: 'good', firstPieceMs, predictedMs }, clock.nowMs());
    notePace(attempt, firstPiece);
    notePlainTime(attempt, firstPieceMs);
    lastGoodMs.set(upstreamId, clock.nowMs());
    for (const [id, atMs] of lastGoodMs) {
      if (clock.nowMs() - atMs > GOOD_KEPT_MS) lastGoodMs.delete(id);
    }
  }

  return { firstPiece: noteFirstPiece, ended: noteEnded };
}
