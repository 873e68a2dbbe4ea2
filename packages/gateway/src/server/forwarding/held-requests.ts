/** Holds batch requests in the gateway until the upstreams of their model have room, and logs how each hold ended. */
import type { clocks } from '@copperlever/runtime';

import * as batchHolding from '../../shared/batch-holding.js';
import type * as upstreamChoice from '../../shared/upstream-choice.js';
import * as urgency from '../../shared/urgency.js';
import type * as calls from '../../types/calls.js';
import type * as logEvents from '../../types/log-events.js';
import type * as metricsModule from '../metrics/metrics.js';
import type * as answers from './answers.js';
import type * as routers from './router.js';
import type * as runs from './run.js';

export type HeldRequests = {
  /**
   * Resolves to false at once if the request is not held, otherwise to true when the hold ends. After a hold an upstream has to
   * be chosen again, unless the caller has left.
   */
  hold: (
    call: calls.Call,
    run: runs.Run,
    sink: Pick<answers.AnswerSink, 'onCallerGone' | 'isCallerGone'>,
    choice: upstreamChoice.Choice,
  ) => Promise<boolean>;
  count: () => number;
};

export type HeldRequestsDeps = {
  clock: clocks.Clock;
  log: Pick<logEvents.GatewayLog, 'info'>;
  metrics: Pick<metricsModule.GatewayMetrics, 'held'>;
  router: Pick<routers.Router, 'needsModel' | 'upstreamLoads' | 'answerMs' | 'mustYield'>;
  isOn: () => boolean;
  gatewayCount: () => number;
  isStopping: () => boolean;
  holdingLimits?: batchHolding.HoldingLimits;
};

type EndCause = batchHolding.ReleaseCause | 'caller-gone';

type Held = { call: calls.Call; run: runs.Run; end: (cause: EndCause) => void };

export function createHeldRequests(deps: HeldRequestsDeps): HeldRequests {
  const { clock, log, router } = deps;
  const holding = batchHolding.createBatchHolding(deps.holdingLimits);
  const held = new Map<string, Held>();
  let isCheckScheduled = false;
  let nextKey = 0;

  /** What the upstreams can take now; no room while the request has to yield to others. */
  function capacityFor(call: calls.Call, run: runs.Run): batchHolding.Capacity {
    const room = router.mustYield(call)
      ? 0
      : batchHolding.totalRoom(router.upstreamLoads(call, run));
    return { room, gatewayCount: deps.gatewayCount() };
  }

  function end({ key, cause }: batchHolding.Release): void {
    held.get(key)?.end(cause);
  }

  function releaseDue(group: string): void {
    const first = held.get(holding.first(group) ?? '');
    if (first === undefined) return;
    holding.releaseDue(group, capacityFor(first.call, first.run), clock.nowMs()).forEach(end);
  }

  function checkHeld(): void {
    isCheckScheduled = false;
    if (deps.isStopping() || !deps.isOn()) holding.releaseAll().forEach(end);
    else holding.groups().forEach(releaseDue);
    scheduleCheck();
  }

  function scheduleCheck(): void {
    if (isCheckScheduled || holding.count() === 0) return;
    isCheckScheduled = true;
    clock.schedule(clock.nowMs() + batchHolding.RELEASE_CHECK_INTERVAL_MS, checkHeld);
  }

  function mayHold(call: calls.Call, run: runs.Run): boolean {
    if (!deps.isOn() || deps.isStopping()) return false;
    return urgency.isBatch(call.route) && router.needsModel(call) && run.sentCount === 0;
  }

  /** The time by which it has to be sent. It is computed once, from the first prediction. */
  function latestStartMs(call: calls.Call, run: runs.Run, predictedMs: number): number {
    run.latestStartMs ??= batchHolding.latestStartMs({
      arrivedAtMs: call.arrivedAtMs,
      elapsedBeforeMs: call.elapsedBeforeMs,
      deadlineMs: call.deadlineMs,
      latencyObjectiveMs: call.route.latencyObjectiveMs,
      answerMs: router.answerMs(call, predictedMs),
    });
    return run.latestStartMs;
  }

  async function waitForEnd(
    key: string,
    call: calls.Call,
    run: runs.Run,
    sink: Pick<answers.AnswerSink, 'onCallerGone'>,
  ): Promise<EndCause> {
    const cause = await new Promise<EndCause>((resolve) => {
      held.set(key, { call, run, end: resolve });
      sink.onCallerGone(() => resolve('caller-gone'));
    });
    sink.onCallerGone(null);
    holding.withdraw(key);
    held.delete(key);
    return cause;
  }

  return {
    hold: async (call, run, sink, choice) => {
      if (!mayHold(call, run)) return false;
      if (choice.kind !== 'send' && choice.kind !== 'overloaded') return false;
      // A released request is sent at once. It is held again only if other requests have used up the room meanwhile.
      if (run.heldSinceMs !== null && choice.kind === 'send') return false;
      const nowMs = clock.nowMs();
      const startByMs = latestStartMs(call, run, choice.predictedMs);
      const capacity = capacityFor(call, run);
      if (choice.kind === 'overloaded') capacity.room = 0;
      const key = String(nextKey);
      nextKey += 1;
      const group = `${call.service} ${call.facts.model}`;
      const request = { key, group, latestStartMs: startByMs, sizeBytes: call.body.length };
      const decision = holding.decideArrival(request, capacity, nowMs);
      if (decision === 'full') deps.metrics.held('full', 0);
      if (decision !== 'hold') return false;
      run.heldSinceMs ??= nowMs;
      run.stage = 'held';
      log.info('request-held', {
        requestId: call.requestId,
        model: call.facts.model,
        room: Math.floor(capacity.room),
        latestStartInMs: Math.round(startByMs - nowMs),
        heldCount: holding.count(),
      });
      scheduleCheck();
      const cause = await waitForEnd(key, call, run, sink);
      const heldMs = clock.nowMs() - nowMs;
      deps.metrics.held(cause, heldMs);
      log.info('request-hold-ended', {
        requestId: call.requestId,
        cause,
        heldMs: Math.round(heldMs),
      });
      return true;
    },
    count: () => holding.count(),
  };
}
