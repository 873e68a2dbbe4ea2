/** Holds batch requests until their model's upstreams have room, and writes what became of them. */
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
   * Waits while the request is held. Resolves to whether it was: then it is to be routed anew, or its caller has left.
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
  router: Pick<routers.Router, 'needsModel' | 'places' | 'answerMs' | 'givesWay'>;
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
  let isTicking = false;
  let nextKey = 0;

  function capacityFor(call: calls.Call, run: runs.Run): batchHolding.Capacity {
    const room = router.givesWay(call) ? 0 : batchHolding.roomAmong(router.places(call, run));
    return { room, gatewayCount: deps.gatewayCount() };
  }

  function end({ key, cause }: batchHolding.Release): void {
    held.get(key)?.end(cause);
  }

  function releaseDue(group: string): void {
    const first = held.get(holding.first(group) ?? '');
    if (first === undefined) return;
    holding.due(group, capacityFor(first.call, first.run), clock.nowMs()).forEach(end);
  }

  function tick(): void {
    isTicking = false;
    if (deps.isStopping() || !deps.isOn()) holding.releaseAll().forEach(end);
    else holding.groups().forEach(releaseDue);
    scheduleTick();
  }

  function scheduleTick(): void {
    if (isTicking || holding.count() === 0) return;
    isTicking = true;
    clock.schedule(clock.nowMs() + batchHolding.LOOK_EVERY_MS, tick);
  }

  function mayHold(call: calls.Call, run: runs.Run): boolean {
    if (!deps.isOn() || deps.isStopping()) return false;
    return urgency.isBatch(call.route) && router.needsModel(call) && run.sentCount === 0;
  }

  /** By when it has to be sent; it stays what it was when the request came. */
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

  async function untilEnd(
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
      // Sent at once after its release; held again only where another request took its place.
      if (run.heldSinceMs !== null && choice.kind === 'send') return false;
      const nowMs = clock.nowMs();
      const startByMs = latestStartMs(call, run, choice.predictedMs);
      const capacity = capacityFor(call, run);
      if (choice.kind === 'overloaded') capacity.room = 0;
      const key = String(nextKey);
      nextKey += 1;
      const group = `${call.service} ${call.facts.model}`;
      const request = { key, group, latestStartMs: startByMs, sizeBytes: call.body.length };
      const verdict = holding.arrived(request, capacity, nowMs);
      if (verdict === 'full') deps.metrics.held('full', 0);
      if (verdict !== 'hold') return false;
      run.heldSinceMs ??= nowMs;
      run.stage = 'held';
      log.info('request-held', {
        requestId: call.requestId,
        model: call.facts.model,
        room: Math.floor(capacity.room),
        latestStartInMs: Math.round(startByMs - nowMs),
        heldCount: holding.count(),
      });
      scheduleTick();
      const cause = await untilEnd(key, call, run, sink);
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
