/** Updates what is known of an upstream when an attempt ends: its health, its speed, and the service times of its model. */
import type { clocks } from '@copperlever/runtime';

import type * as serviceTimesModule from '../../shared/service-times.js';
import type * as plainCapacityModule from '../../shared/plain-capacity.js';
import type * as plainServiceTimesModule from '../../shared/plain-service-times.js';
import * as speeds from '../../shared/speeds.js';
import type * as upstreamHealthModule from '../../shared/upstream-health.js';
import type * as upstreamChoice from '../../shared/upstream-choice.js';
import type * as directories from '../../shared/upstream-directory.js';
import type * as calls from '../../types/calls.js';
import type * as logEvents from '../../types/log-events.js';
import type * as placementTypes from '../../types/placement.js';
import type * as upstreamStates from '../../types/upstream-states.js';
import type * as metricsModule from '../metrics/metrics.js';
import * as speedReports from './speed-reports.js';
import * as serviceTimeReports from './service-time-reports.js';

export type AttemptOutcomesDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  directory: directories.UpstreamDirectory;
  beliefs: upstreamHealthModule.UpstreamHealthTracker;
  placement: placementTypes.Placement;
  paces: serviceTimesModule.ServiceTimeEstimator;
  plainTimes: plainServiceTimesModule.PlainServiceTimes;
  plainPlaces: Pick<plainCapacityModule.PlainCapacity, 'recordRejection'>;
  states: Pick<upstreamStates.UpstreamStates, 'state' | 'recordFirstChunk'>;
  metrics: Pick<metricsModule.GatewayMetrics, 'predicted'>;
  needsModel: (call: calls.Call) => boolean;
};

export type Attempt = {
  call: calls.Call;
  upstreamId: string;
  /** It resumed a stream after events that the caller already had. */
  isResumed: boolean;
  choice: Extract<upstreamChoice.Choice, { kind: 'send' }>;
};

/** Time to the first chunk, and the speed of the upstream as it was known when the chunk arrived. */
export type FirstChunk = { tookMs: number; speed: speeds.Speed };

export type EndedAttempt = Attempt & {
  result: calls.AttemptResult;
  /** Null if no chunk arrived. */
  firstChunk: FirstChunk | null;
  /** `recordSilence` has been called for it. */
  wasSilent: boolean;
  tookMs: number;
};

export type AttemptOutcomes = {
  /** Records that the first event of a stream, or a whole answer, has arrived. */
  recordFirstChunk: (attempt: Attempt, chunk: 'event' | 'whole', tookMs: number) => FirstChunk;
  /** An attempt has no answer for longer than one normally takes. */
  recordSilence: (upstreamId: string) => void;
  ended: (attempt: EndedAttempt) => void;
};

/** Longer than any caller of a stream waits for its first chunk. */
const LAST_GOOD_KEPT_MS = 30_000;

export function createAttemptOutcomes(deps: AttemptOutcomesDeps): AttemptOutcomes {
  const { clock, log, directory, beliefs, placement } = deps;
  const lastGoodMs = new Map<string, number>();
  const speedLog = speedReports.createSpeedReports(deps);
  const reportServiceTimes = serviceTimeReports.createServiceTimeReports(deps);

  function updateHealth(
    upstreamId: string,
    end: upstreamHealthModule.AttemptOutcome,
    nowMs: number,
  ): void {
    const change = beliefs.recordOutcome(upstreamId, end, nowMs);
    if (change === null) return;
    const { consecutiveBreaks: brokenInRow, backoffUntilMs: ejectedUntilMs } = change.health;
    if (change.kind === 'trusted') log.info('upstream-trusted', { upstreamId });
    else {
      const forMs = Math.round(ejectedUntilMs - nowMs);
      log.warn('upstream-avoided', { upstreamId, brokenInRow, forMs });
    }
  }

  function recordRejection(call: calls.Call, upstreamId: string, nowMs: number): void {
    updateHealth(upstreamId, { kind: 'rejected' }, nowMs);
    if (deps.needsModel(call)) return;
    deps.plainPlaces.recordRejection(upstreamId, deps.states.state(upstreamId, nowMs).load, nowMs);
  }

  /** Records an attempt that did not end with a good answer. */
  function recordFailure({ call, upstreamId, result, wasSilent }: EndedAttempt): void {
    const nowMs = clock.nowMs();
    switch (result.kind) {
      case 'not-sent':
      case 'lost':
        if (!wasSilent) updateHealth(upstreamId, { kind: 'broken' }, nowMs);
        break;
      case 'rejected':
        if (result.isMisdirected) recordMisdirected(call, upstreamId);
        else recordRejection(call, upstreamId, nowMs);
        break;
      case 'held-failure':
        updateHealth(upstreamId, { kind: 'failed' }, nowMs);
        break;
      case 'deadline':
        if (!result.hasBegun && !wasSilent) updateHealth(upstreamId, { kind: 'broken' }, nowMs);
        break;
      case 'answered':
        if (result.status >= 500) updateHealth(upstreamId, { kind: 'failed' }, nowMs);
        break;
      case 'caller-gone':
      case 'no-room':
        break;
    }
  }

  /** Either another upstream has the address now, or this one no longer has the model. */
  function recordMisdirected(call: calls.Call, upstreamId: string): void {
    const { model, adapter } = call.facts;
    if (model !== null && deps.needsModel(call)) placement.noteAbsent(upstreamId, model, adapter);
    else directory.noteMisdirected(upstreamId);
  }

  /** Resumed streams are left out: they do only a part of the work of a whole request. */
  function recordServiceTime(
    { call, isResumed, choice, tookMs }: EndedAttempt,
    { tookMs: firstChunkMs, speed }: FirstChunk,
  ): void {
    if (isResumed || !deps.needsModel(call)) return;
    const { service, facts } = call;
    const model = facts.model ?? '';
    const sample = { ...choice.predictionInputs, service, model, firstChunkMs, tookMs, speed };
    deps.paces.recordAnswer(sample, clock.nowMs());
    reportServiceTimes(service, sample.model);
  }

  /** Calls that waited for a slot are left out: their time does not show how long the call itself took. */
  function recordPlainTime({ call, upstreamId, choice }: EndedAttempt, firstChunkMs: number): void {
    if (choice.isQueued || deps.needsModel(call)) return;
    const nowMs = clock.nowMs();
    const { transientFactor } = deps.states.state(upstreamId, nowMs);
    const learned = deps.plainTimes.serviceTime(call.service);
    if (learned !== null)
      deps.states.recordFirstChunk(upstreamId, learned.geometricMeanMs, firstChunkMs, nowMs);
    deps.plainTimes.recordAnswer(call.service, firstChunkMs, transientFactor);
  }

  /**
   * Learns from requests whose caller left, or whose deadline passed, before the first chunk. Under overload these are the
   * slowest ones; service times learned from answers alone would be too short, and more requests would be admitted that
   * can't be answered in time. If the upstream answered other requests meanwhile it was working, and the time that the
   * caller waited is a lower bound for what the answer would have taken.
   */
  function recordUnansweredWait(attempt: EndedAttempt): void {
    const { upstreamId, result, tookMs, choice } = attempt;
    const isEndedByCaller = result.kind === 'caller-gone' || result.kind === 'deadline';
    const startedMs = clock.nowMs() - tookMs;
    const wasWorking = (lastGoodMs.get(upstreamId) ?? -Infinity) > startedMs;
    if (!isEndedByCaller || !wasWorking || tookMs <= choice.predictedMs) return;
    recordServiceTime(attempt, { tookMs, speed: speedOf(upstreamId) });
  }

  function speedOf(upstreamId: string): speeds.Speed {
    const { latencyRatio, transientFactor } = deps.states.state(upstreamId, clock.nowMs());
    return { latencyRatio, transientFactor };
  }

  function recordFirstChunk(
    { call, upstreamId, isResumed, choice }: Attempt,
    chunk: 'event' | 'whole',
    tookMs: number,
  ): FirstChunk {
    const speed = speedOf(upstreamId);
    speedLog.note(upstreamId, speed);
    if (chunk === 'event') deps.metrics.predicted(choice.predictedMs, tookMs);
    // How long a whole answer takes depends on its length, which is not predicted.
    const { predictionInputs: work, baselinePredictedMs } = choice;
    const { msPerToken } = deps.paces.estimate(call.service, call.facts.model ?? '');
    // Prompts ahead of it are known from other gateways' updates, which are old by then: they may already have been prefilled.
    const isMostlyOwnPrefill =
      work.prefillAheadMs <= work.uncachedTokens * msPerToken && work.slotWaiterCount === 0;
    if (chunk === 'event' && isMostlyOwnPrefill && !isResumed && deps.needsModel(call)) {
      deps.states.recordFirstChunk(upstreamId, baselinePredictedMs, tookMs, clock.nowMs());
    }
    return { tookMs, speed };
  }

  /**
   * The time by which the first chunk could be expected. An answer that is as late as its upstream's speed at the time explains
   * is not counted as late.
   */
  function expectedMs({ call, choice }: EndedAttempt, speed: speeds.Speed): number {
    const { baselinePredictedMs, predictedMs } = choice;
    if (!deps.needsModel(call)) return predictedMs;
    return Math.max(predictedMs, speeds.atSpeed(baselinePredictedMs, speed));
  }

  function recordEnd(attempt: EndedAttempt): void {
    const { upstreamId, result, firstChunk } = attempt;
    const isGood = result.kind === 'answered' && result.status < 500;
    if (firstChunk === null || !isGood) {
      if (firstChunk === null) recordUnansweredWait(attempt);
      recordFailure(attempt);
      return;
    }
    const predictedMs = expectedMs(attempt, firstChunk.speed);
    const firstChunkMs = firstChunk.tookMs;
    updateHealth(upstreamId, { kind: 'good', firstChunkMs, predictedMs }, clock.nowMs());
    recordServiceTime(attempt, firstChunk);
    recordPlainTime(attempt, firstChunkMs);
    lastGoodMs.set(upstreamId, clock.nowMs());
    for (const [id, atMs] of lastGoodMs) {
      if (clock.nowMs() - atMs > LAST_GOOD_KEPT_MS) lastGoodMs.delete(id);
    }
  }

  function recordSilence(upstreamId: string): void {
    updateHealth(upstreamId, { kind: 'broken' }, clock.nowMs());
  }

  return { recordFirstChunk, recordSilence, ended: recordEnd };
}
