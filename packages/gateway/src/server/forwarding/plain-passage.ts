/** Which calls wait in the gateway for a slot, and what the gate is told of them. */
import type { clocks } from '@copperlever/runtime';

import type * as plainTimes from '../../shared/plain-times.js';
import type * as directories from '../../shared/upstream-directory.js';
import type * as calls from '../../types/calls.js';
import type * as logEvents from '../../types/log-events.js';
import type * as settingsModule from '../../types/settings.js';
import type * as upstreamStates from '../../types/upstream-states.js';
import type * as metricsModule from '../metrics/metrics.js';
import type * as answers from './answers.js';
import type * as plainGates from './plain-gate.js';
import type * as routers from './router.js';
import type * as runs from './run.js';

export type PlainPassageDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  metrics: Pick<metricsModule.GatewayMetrics, 'plainCall'>;
  setting: settingsModule.Settings['plainQueues'];
  gate: plainGates.PlainGate;
  gatewayCount: () => number;
  directory: Pick<directories.UpstreamDirectory, 'eligible'>;
  states: Pick<upstreamStates.UpstreamStates, 'state'>;
  plainTimes: Pick<plainTimes.PlainTimes, 'time'>;
  router: Pick<routers.Router, 'needsModel' | 'priorityOf' | 'choose'>;
};

export type PlainPassage = {
  /** Null where the call is not one that waits: its upstream is chosen at once. */
  pass: (
    call: calls.Call,
    run: runs.Run,
    sink: Pick<answers.AnswerSink, 'isCallerGone' | 'onCallerGone'>,
  ) => Promise<plainGates.Passage> | null;
};

export function createPlainPassage(deps: PlainPassageDeps): PlainPassage {
  const { clock, log, router } = deps;

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
          .some(({ upstreamId }) => deps.states.state(upstreamId, nowMs).tellsMoment);
    }
  }

  function note(call: calls.Call, passage: plainGates.Passage, sinceMs: number): void {
    const { requestId, service } = call;
    const waitedMs = Math.round(clock.nowMs() - sinceMs);
    const isHeld = clock.nowMs() > sinceMs;
    deps.metrics.plainCall(isHeld && passage.kind === 'passed' ? 'held' : passage.kind, waitedMs);
    if (passage.kind === 'refused') {
      const retryAfterMs = Math.round(passage.retryAfterMs);
      const basis = { ...deps.gate.basis(service), gatewayCount: deps.gatewayCount() };
      log.info('plain-call-refused', { requestId, service, waitedMs, retryAfterMs, ...basis });
    } else if (isHeld) {
      log.info('plain-call-held', { requestId, service, waitedMs, outcome: passage.kind });
    }
  }

  async function passGate(
    call: calls.Call,
    run: runs.Run,
    sink: Pick<answers.AnswerSink, 'isCallerGone' | 'onCallerGone'>,
    callMs: number,
  ): Promise<plainGates.Passage> {
    const sinceMs = clock.nowMs();
    const { service } = call;
    const askedAtMs = call.arrivedAtMs - call.elapsedBeforeMs;
    const gateCall: plainGates.GateCall = {
      service,
      priority: router.priorityOf(call),
      latestStartMs: Math.min(call.deadlineMs, askedAtMs + call.route.latencyObjectiveMs) - callMs,
      bodyBytes: call.body.length,
      callMs,
      hasRun: run.ranCount > 0,
      choose: (room) => router.choose(call, run, room),
      isCallerGone: sink.isCallerGone,
    };
    const passing = deps.gate.pass(gateCall);
    sink.onCallerGone(() => deps.gate.callerGone(gateCall));
    const passage = await passing;
    sink.onCallerGone(null);
    note(call, passage, sinceMs);
    return passage;
  }

  return {
    pass: (call, run, sink) => {
      if (router.needsModel(call) || call.route.kind === 'stream') return null;
      const time = deps.plainTimes.time(call.service);
      if (time === null || !isOn(call.service)) return null;
      return passGate(call, run, sink, time.meanMs);
    },
  };
}
