/**
 * Requests whose model or adapter is at no upstream: waits for it where it can be ready in time, and refuses the others with a
 * retry time.
 */
import { clocks as clocksModule } from '@copperlever/runtime';
import type { clocks } from '@copperlever/runtime';

import * as modelWaits from '../../shared/model-waits.js';
import type * as calls from '../../types/calls.js';
import type * as logEvents from '../../types/log-events.js';
import type * as placementTypes from '../../types/placement.js';
import type * as metricsModule from '../metrics/metrics.js';
import type * as routers from './router.js';
import type * as runs from './run.js';

export type MissingCopies = {
  /** Null if an upstream is to be chosen again: the adapter has been loaded, or another upstream is to be tried. */
  ensureAdapter: (
    call: calls.Call,
    run: runs.Run,
    upstreamId: string,
  ) => Promise<calls.Ending | null>;
  /** Null after a wait, when an upstream is to be chosen again. */
  awaitModel: (
    call: calls.Call,
    run: runs.Run,
    cause: calls.RefusalCause,
  ) => Promise<calls.Ending | null>;
};

export type MissingCopiesDeps = {
  clock: clocks.Clock;
  log: Pick<logEvents.GatewayLog, 'info'>;
  placement: Pick<placementTypes.Placement, 'ensureAdapter' | 'expectedReady'>;
  metrics: Pick<metricsModule.GatewayMetrics, 'waited'>;
  router: Pick<routers.Router, 'isLate'>;
  isStopping: () => boolean;
  refuse: runs.Refuse;
};

/** How long a request waits for an adapter; loading one takes some tens of milliseconds. */
const ADAPTER_WAIT_MS = 400;
/** An upstream may be busy with another order; a second one seldom is too. */
const ADAPTER_REQUESTS_MAX = 3;
const ADAPTER_RETRY_MS = 500;

export function createMissingCopies(deps: MissingCopiesDeps): MissingCopies {
  const { clock, placement, refuse } = deps;
  let waitingCount = 0;

  function logWait(call: calls.Call, expected: placementTypes.ExpectedReady): void {
    deps.log.info('request-waits', {
      requestId: call.requestId,
      model: call.facts.model,
      expected: expected.kind,
      expectedInMs: Math.round(expected.inMs),
    });
  }

  return {
    ensureAdapter: async (call, run, upstreamId) => {
      const { model, adapter } = call.facts;
      if (run.adapterRequestCount >= ADAPTER_REQUESTS_MAX || model === null || adapter === null) {
        return refuse(call, run, 'adapter-not-ready', ADAPTER_RETRY_MS);
      }
      run.adapterRequestCount += 1;
      run.stage = 'adapter';
      const byMs = Math.min(call.deadlineMs, clock.nowMs() + ADAPTER_WAIT_MS);
      const isReady = await placement.ensureAdapter(upstreamId, model, adapter, byMs);
      if (!isReady) run.excludedIds.add(upstreamId);
      return null;
    },
    awaitModel: async (call, run, cause) => {
      const expected = placement.expectedReady(
        call.service,
        call.facts.model ?? '',
        run.boundVersion,
      );
      const decision = modelWaits.decideMissingModel({
        nowMs: clock.nowMs(),
        arrivedAtMs: call.arrivedAtMs,
        deadlineMs: call.deadlineMs,
        latencyObjectiveMs: call.route.latencyObjectiveMs,
        pauseObjectiveMs: call.route.pauseObjectiveMs,
        readyInMs: expected.inMs,
        isOrdered: expected.kind === 'on-its-way',
        isLate: deps.router.isLate(call),
        waitingCount,
        isStopping: deps.isStopping(),
      });
      if (decision.kind === 'refuse') return refuse(call, run, cause, decision.retryAfterMs);
      if (!run.hasWaitedForModel) logWait(call, expected);
      run.hasWaitedForModel = true;
      run.stage = 'model';
      waitingCount += 1;
      const startedAtMs = clock.nowMs();
      await clocksModule.sleepUntil(clock, decision.untilMs);
      waitingCount -= 1;
      deps.metrics.waited(clock.nowMs() - startedAtMs);
      return null;
    },
  };
}
