/** Decides which calls go through the admission of plain calls, runs them through it and logs the result. */
import type { clocks } from '@copperlever/runtime';

import type * as plainServiceTimes from '../../shared/plain-service-times.js';
import type * as directories from '../../shared/upstream-directory.js';
import type * as calls from '../../types/calls.js';
import type * as logEvents from '../../types/log-events.js';
import type * as settingsModule from '../../types/settings.js';
import type * as upstreamStates from '../../types/upstream-states.js';
import type * as metricsModule from '../metrics/metrics.js';
import type * as answers from './answers.js';
import type * as plainAdmissions from './plain-admission.js';
import type * as routers from './router.js';
import type * as runs from './run.js';

export type PlainCallPathDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  metrics: Pick<metricsModule.GatewayMetrics, 'plainCall'>;
  setting: settingsModule.Settings['plainQueues'];
  gate: plainAdmissions.PlainAdmission;
  gatewayCount: () => number;
  directory: Pick<directories.UpstreamDirectory, 'eligible'>;
  states: Pick<upstreamStates.UpstreamStates, 'state'>;
  plainTimes: Pick<plainServiceTimes.PlainServiceTimes, 'serviceTime'>;
  router: Pick<routers.Router, 'needsModel' | 'priorityOf' | 'choose'>;
};

export type PlainCallPath = {
  /** Null for a call that is never queued in the gateway: its upstream is chosen at once. */
  admit: (
    call: calls.Call,
    run: runs.Run,
    sink: Pick<answers.AnswerSink, 'isCallerGone' | 'onCallerGone'>,
  ) => Promise<plainAdmissions.PlainAdmissionResult> | null;
  /** Whether it would be sent at once if its attempt ended now; null for a call that is never queued in the gateway. */
  wouldSend: (call: calls.Call, run: runs.Run) => boolean | null;
};

export function createPlainCallPath(deps: PlainCallPathDeps): PlainCallPath {
  const { clock, log, router } = deps;

  /** `auto`: only if an upstream of the service reports its transient slowdowns. */
  function isOn(service: string): boolean {
    const nowMs = clock.nowMs();
    switch (deps.setting) {
      case 'on':
        return true;
      case 'off':
        return false;
      case 'auto':
        return deps.directory
          .eligible(service, nowMs)
          .some(({ upstreamId }) => deps.states.state(upstreamId, nowMs).reportsTransientFactor);
    }
  }

  function recordResult(
    call: calls.Call,
    result: plainAdmissions.PlainAdmissionResult,
    sinceMs: number,
  ): void {
    const { requestId, service } = call;
    const waitedMs = Math.round(clock.nowMs() - sinceMs);
    const isHeld = clock.nowMs() > sinceMs;
    deps.metrics.plainCall(isHeld && result.kind === 'passed' ? 'held' : result.kind, waitedMs);
    if (result.kind === 'refused') {
      const retryAfterMs = Math.round(result.retryAfterMs);
      const inputs = {
        ...deps.gate.decisionInputs(service),
        gatewayCount: deps.gatewayCount(),
      };
      log.info('plain-call-refused', { requestId, service, waitedMs, retryAfterMs, ...inputs });
    } else if (isHeld) {
      log.info('plain-call-held', { requestId, service, waitedMs, outcome: result.kind });
    }
  }

  /** Null for a call that is never queued. */
  function admissionRequest(
    call: calls.Call,
    run: runs.Run,
    isCallerGone: () => boolean,
  ): plainAdmissions.PlainAdmissionRequest | null {
    if (router.needsModel(call) || call.route.kind === 'stream') return null;
    const { service } = call;
    const time = deps.plainTimes.serviceTime(service);
    if (time === null || !isOn(service)) return null;
    const callMs = time.meanMs;
    const requestedAtMs = call.arrivedAtMs - call.elapsedBeforeMs;
    return {
      service,
      priority: router.priorityOf(call),
      latestStartMs:
        Math.min(call.deadlineMs, requestedAtMs + call.route.latencyObjectiveMs) - callMs,
      bodyBytes: call.body.length,
      callMs,
      hasRun: run.ranCount > 0,
      choose: (room) => router.choose(call, run, room),
      isCallerGone,
    };
  }

  async function runAdmission(
    call: calls.Call,
    plainCall: plainAdmissions.PlainAdmissionRequest,
    sink: Pick<answers.AnswerSink, 'onCallerGone'>,
  ): Promise<plainAdmissions.PlainAdmissionResult> {
    const sinceMs = clock.nowMs();
    const pending = deps.gate.admit(plainCall);
    sink.onCallerGone(() => deps.gate.cancel(plainCall));
    const result = await pending;
    sink.onCallerGone(null);
    recordResult(call, result, sinceMs);
    return result;
  }

  return {
    admit: (call, run, sink) => {
      const plainCall = admissionRequest(call, run, sink.isCallerGone);
      return plainCall === null ? null : runAdmission(call, plainCall, sink);
    },
    wouldSend: (call, run) => {
      const plainCall = admissionRequest(call, run, () => false);
      return plainCall === null ? null : deps.gate.wouldSend(plainCall);
    },
  };
}
