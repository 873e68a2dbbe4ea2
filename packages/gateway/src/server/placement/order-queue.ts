/**
 * Sends orders and requests for reports to one upstream, one at a time. Each order names the number of orders that the
 * upstream must have accepted before it. An order that arrives late, after newer ones, is therefore void, and what an
 * upstream holds follows from the orders that it has accepted.
 */
import { clocks as clocksModule } from '@copperlever/runtime';
import type { clocks } from '@copperlever/runtime';

import * as lateLoads from '../../shared/placement/late-loads.js';
import type * as dialects from '../../types/dialects.js';
import type * as fleet from '../../types/fleet.js';
import type * as logEvents from '../../types/log-events.js';
import type * as upstreamSignals from '../forwarding/upstream-signals.js';
import type * as metricsModule from '../metrics/metrics.js';

export type OrderQueueDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  control: dialects.UpstreamControl;
  signals: Pick<upstreamSignals.UpstreamSignals, 'applyReport'>;
  upstreamId: string;
  target: dialects.OrderTarget;
  holderId: string;
  /** The term for orders given now; null while none may be given. */
  orderTerm: () => number | null;
  onFenced: () => void;
  /** Called with each report that is not older than what is known already. */
  onReport: (report: fleet.UpstreamReport) => void;
  /** The upstream has accepted the unload of an adapter, which is done once the requests that use it have ended. */
  onAdapterUnloading: (model: string, adapter: string) => void;
  stopping: AbortSignal;
  metrics: Pick<metricsModule.GatewayMetrics, 'orderGiven'>;
};

/** `pending`: accepted, and done once the requests that use the adapter have ended. */
export type SendResult = 'accepted' | 'pending' | 'conflict' | 'unknown' | 'not-allowed';

export type OrderQueue = {
  /** Runs `task` after all earlier ones, so that orders and requests for reports do not overlap. */
  enqueue: <Value>(task: () => Promise<Value>) => Promise<Value>;
  /** Requests a report; null without an answer, or when the report is older than the latest accepted order. */
  refresh: () => Promise<fleet.UpstreamReport | null>;
  /** Whether the upstream's order count is known, after requesting a report if necessary. */
  ensureKnown: () => Promise<boolean>;
  /** Orders accepted by the upstream; null while that is unknown. */
  orderCount: () => number | null;
  /** Sends one order, within a task that was passed to `enqueue`. */
  send: (order: dialects.Order) => Promise<SendResult>;
  /**
   * Enqueues the order again and again until it is accepted or `untilMs`; refused, it waits until the upstream is free.
   */
  sendUntilTaken: (
    order: dialects.Order,
    untilMs: number,
    onDelayed?: () => void,
  ) => Promise<SendResult>;
  /** The upstream has just changed: reports received in the next second may still show the state before. */
  noteChanged: () => void;
  /** Load orders that got no answer and may still be carried out. */
  lateLoads: () => readonly lateLoads.LateLoad[];
};

/** An upstream answers within a round trip; after this time the call is given up. */
export const CALL_TIMEOUT_MS = 700;
/** Reports are some hundred milliseconds old; requested more often, they would show the same state again. */
export const REPORT_POLL_MS = 150;
/** An order without an answer is sent again; the order count voids the one of the two that arrives second. */
const ORDER_TIMEOUT_MS = 300;
const REPORT_LAG_MS = 1_000;
/** Interval at which a busy upstream is polled: its reports change a few times a second. */
export const BUSY_POLL_MS = 250;
/** Upper limit of the back-off for orders that are refused although the report shows the upstream as free. */
const MAX_RETRY_MS = 2_000;

export function createOrderQueue(deps: OrderQueueDeps): OrderQueue {
  const { clock, log, upstreamId, target, stopping } = deps;
  let orderCount: number | null = null;
  /** Orders known to be accepted: a report that counts fewer is out of date. */
  let minOrderCount = 0;
  let changedMs = -Infinity;
  let tail: Promise<unknown> = Promise.resolve();
  let unansweredLoads: readonly lateLoads.LateLoad[] = [];

  function enqueue<Value>(task: () => Promise<Value>): Promise<Value> {
    const done = tail.then(task);
    tail = done.catch((cause: unknown) => {
      log.error('steward-broken', { upstreamId, reason: String(cause) });
    });
    return done;
  }

  async function readReport(): Promise<fleet.UpstreamReport | null> {
    const sentMs = clock.nowMs();
    const answer = await deps.control.report(target, sentMs + CALL_TIMEOUT_MS);
    if (answer.err) {
      log.warn('report-missing', { upstreamId, reason: answer.val.reason });
      return null;
    }
    const { report } = answer.val;
    deps.signals.applyReport(upstreamId, answer.val, sentMs);
    const mayBeOld = clock.nowMs() - changedMs < REPORT_LAG_MS;
    if (mayBeOld && report.orderCount < minOrderCount) return null;
    orderCount = report.orderCount;
    deps.onReport(report);
    return report;
  }

  /** Never rejects, since nobody awaits the polls of an upstream. A report that cannot be applied counts as missing. */
  async function refresh(): Promise<fleet.UpstreamReport | null> {
    try {
      return await readReport();
    } catch (cause) {
      log.error('steward-broken', { upstreamId, reason: String(cause) });
      return null;
    }
  }

  async function ensureKnown(): Promise<boolean> {
    if (orderCount !== null) return true;
    return (await refresh()) !== null;
  }

  function noteOutcome(order: dialects.Order, outcome: dialects.OrderOutcome): SendResult {
    switch (outcome.kind) {
      case 'accepted':
        orderCount = (orderCount ?? 0) + 1;
        minOrderCount = orderCount;
        if (order.kind !== 'unload-adapter') return 'accepted';
        deps.onAdapterUnloading(order.model, order.adapter);
        return 'pending';
      case 'holds-already':
        // An adapter that no request uses is unloaded at once, which counts as an accepted order; an adapter that was
        // not loaded does not count. The next report shows which of the two it was.
        if (order.kind === 'unload-adapter') orderCount = (orderCount ?? 0) + 1;
        return 'accepted';
      case 'conflict':
        return 'conflict';
      case 'fenced':
        deps.onFenced();
        return 'not-allowed';
      case 'other-upstream':
      case 'invalid':
        orderCount = null;
        return 'not-allowed';
    }
  }

  function noteUnanswered(order: dialects.Order): void {
    orderCount = null;
    const late = lateLoads.toLateLoad(order, clock.nowMs());
    if (late !== null)
      unansweredLoads = [...lateLoads.pending(unansweredLoads, clock.nowMs()), late];
  }

  async function send(order: dialects.Order): Promise<SendResult> {
    if (!(await ensureKnown())) return 'unknown';
    const term = deps.orderTerm();
    if (term === null || stopping.aborted) return 'not-allowed';
    const expectedOrderCount = orderCount ?? 0;
    const context = { holderId: deps.holderId, fence: term, expectedOrderCount };
    const deadlineMs = clock.nowMs() + ORDER_TIMEOUT_MS;
    const answer = await deps.control.order(target, order, context, deadlineMs);
    changedMs = clock.nowMs();
    const result = answer.ok ? noteOutcome(order, answer.val) : 'unknown';
    if (answer.err) noteUnanswered(order);
    deps.metrics.orderGiven(order.kind, answer.ok ? answer.val.kind : 'unknown');
    log.info('order-given', {
      upstreamId,
      order: order.kind,
      model: order.model,
      adapter: 'adapter' in order ? order.adapter : undefined,
      term,
      expectedOrderCount,
      outcome: answer.ok ? answer.val.kind : answer.val.reason,
    });
    return result;
  }

  /**
   * Sends an order that was planned when the upstream had accepted `plannedCount` orders. If the answer to an order is
   * lost, the count in the next report may have grown by another holder's order; sent under that count, a load would
   * come on top of one that the plan does not include.
   */
  async function sendPlanned(
    order: dialects.Order,
    plannedCount: number | null,
  ): Promise<SendResult | 'overtaken'> {
    if (!(await ensureKnown())) return 'unknown';
    if (plannedCount !== null && orderCount !== plannedCount) return 'overtaken';
    return send(order);
  }

  /** Polls until the upstream reports that it carries out no other order. */
  async function awaitFree(untilMs: number, onDelayed: () => void): Promise<void> {
    for (;;) {
      const report = await enqueue(refresh);
      if (report !== null && !report.isBusy) return;
      if (clock.nowMs() >= untilMs || stopping.aborted) return;
      onDelayed();
      await clocksModule.sleepUntil(clock, clock.nowMs() + BUSY_POLL_MS, stopping);
    }
  }

  /**
   * Gives up once the upstream has accepted another holder's order, since the plan does not include that. A refused
   * order is sent again when the upstream is free: while an unload waits for running requests, each attempt is refused.
   */
  async function sendUntilTaken(
    order: dialects.Order,
    untilMs: number,
    onDelayed = () => {},
  ): Promise<SendResult> {
    const plannedCount = orderCount;
    let waitMs = BUSY_POLL_MS;
    for (;;) {
      const sent = await enqueue(() => sendPlanned(order, plannedCount));
      if (sent === 'overtaken') return 'conflict';
      if (sent === 'accepted' || sent === 'pending' || sent === 'not-allowed') return sent;
      if (clock.nowMs() >= untilMs || stopping.aborted) return sent;
      onDelayed();
      const pauseMs = sent === 'unknown' ? REPORT_POLL_MS : waitMs;
      await clocksModule.sleepUntil(clock, clock.nowMs() + pauseMs, stopping);
      if (sent !== 'conflict') continue;
      waitMs = Math.min(MAX_RETRY_MS, waitMs * 2);
      await awaitFree(untilMs, onDelayed);
    }
  }

  return {
    enqueue,
    refresh,
    ensureKnown,
    orderCount: () => orderCount,
    send,
    sendUntilTaken,
    noteChanged: () => {
      changedMs = clock.nowMs();
    },
    lateLoads: () => lateLoads.pending(unansweredLoads, clock.nowMs()),
  };
}
