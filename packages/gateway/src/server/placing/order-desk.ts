/**
 * Sends orders to one upstream, one at a time, and asks for its reports. Every order says after how many others it
 * counts, so that one which is carried out late, after newer ones, is void: what an upstream holds follows from the
 * orders that it has taken.
 */
import { clocks as clocksModule } from '@copperlever/runtime';
import type { clocks } from '@copperlever/runtime';

import * as lateLoads from '../../shared/placing/late-loads.js';
import type * as dialects from '../../types/dialects.js';
import type * as fleet from '../../types/fleet.js';
import type * as logEvents from '../../types/log-events.js';
import type * as upstreamWords from '../forwarding/upstream-words.js';
import type * as metricsModule from '../metrics/metrics.js';

export type OrderDeskDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  control: dialects.UpstreamControl;
  words: Pick<upstreamWords.UpstreamWords, 'reported'>;
  upstreamId: string;
  target: dialects.OrderTarget;
  holderId: string;
  /** The term for orders given now; null while none may be given. */
  orderTerm: () => number | null;
  onFenced: () => void;
  /** A report that is no older than what is known. */
  onReport: (report: fleet.UpstreamReport) => void;
  /** The upstream has taken the unload of an adapter, which goes once the requests that use it have ended. */
  onAdapterLeaves: (model: string, adapter: string) => void;
  stopping: AbortSignal;
  metrics: Pick<metricsModule.GatewayMetrics, 'orderGiven'>;
};

/** `pending`: taken, and done once the requests that use it have ended. */
export type Sent = 'accepted' | 'pending' | 'conflict' | 'unknown' | 'not-allowed';

export type OrderDesk = {
  /** Orders and reports are sent one after the other. */
  inTurn: <Value>(task: () => Promise<Value>) => Promise<Value>;
  /** Asks what the upstream holds; null without an answer, or for a report older than our own orders. */
  refresh: () => Promise<fleet.UpstreamReport | null>;
  /** Whether it is known how many orders the upstream has taken, after asking if need be. */
  ensureKnown: () => Promise<boolean>;
  /** Orders taken by the upstream; null when that has to be asked. */
  orderCount: () => number | null;
  /** One order, as part of a turn. */
  send: (order: dialects.Order) => Promise<Sent>;
  /** In turns of its own, until the upstream takes it or `untilMs`; refused, it waits until the upstream is free. */
  sendUntilTaken: (order: dialects.Order, untilMs: number, onDelayed?: () => void) => Promise<Sent>;
  /** Reports of the next while may be from before what has just changed. */
  noteChanged: () => void;
  /** Loads without an answer, which may still begin. */
  lateLoads: () => readonly lateLoads.LateLoad[];
};

/** Answers come within a round trip; more is an upstream that does not answer. */
export const CALL_TIMEOUT_MS = 700;
/** Reports are some hundred milliseconds old; asked more often they say the same again. */
export const REPORT_PAUSE_MS = 150;
/** An order that gets no answer is sent again: its count voids whichever of the two comes second. */
const ORDER_TIMEOUT_MS = 300;
const REPORT_LAG_MS = 1_000;
/** How often an upstream that is busy is asked whether it still is: its reports change a few times a second. */
export const BUSY_PAUSE_MS = 250;
/** An order that was refused though the report called the upstream free is tried after twice as long each time. */
const LONGEST_RETRY_MS = 2_000;

export function createOrderDesk(deps: OrderDeskDeps): OrderDesk {
  const { clock, log, upstreamId, target, stopping } = deps;
  let orderCount: number | null = null;
  /** A report that counts fewer is older than what is known already. */
  let leastOrderCount = 0;
  let changedMs = -Infinity;
  let turn: Promise<unknown> = Promise.resolve();
  let ownLateLoads: readonly lateLoads.LateLoad[] = [];

  function inTurn<Value>(task: () => Promise<Value>): Promise<Value> {
    const done = turn.then(task);
    turn = done.catch((cause: unknown) => {
      log.error('steward-broken', { upstreamId, reason: String(cause) });
    });
    return done;
  }

  async function refresh(): Promise<fleet.UpstreamReport | null> {
    const sentMs = clock.nowMs();
    const answer = await deps.control.report(target, sentMs + CALL_TIMEOUT_MS);
    if (answer.err) {
      log.warn('report-missing', { upstreamId, reason: answer.val.reason });
      return null;
    }
    const { report } = answer.val;
    deps.words.reported(upstreamId, answer.val, sentMs);
    const mayBeOld = clock.nowMs() - changedMs < REPORT_LAG_MS;
    if (mayBeOld && report.orderCount < leastOrderCount) return null;
    orderCount = report.orderCount;
    deps.onReport(report);
    return report;
  }

  async function ensureKnown(): Promise<boolean> {
    if (orderCount !== null) return true;
    return (await refresh()) !== null;
  }

  function noteOutcome(order: dialects.Order, outcome: dialects.OrderOutcome): Sent {
    switch (outcome.kind) {
      case 'accepted':
        orderCount = (orderCount ?? 0) + 1;
        leastOrderCount = orderCount;
        if (order.kind !== 'unload-adapter') return 'accepted';
        deps.onAdapterLeaves(order.model, order.adapter);
        return 'pending';
      case 'holds-already':
        // An adapter that nobody uses goes at once, which counts as an order taken; one that had gone
        // before does not. The next report tells.
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
    if (late !== null) ownLateLoads = [...lateLoads.pending(ownLateLoads, clock.nowMs()), late];
  }

  async function send(order: dialects.Order): Promise<Sent> {
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
   * Sends an order that was planned when the upstream had taken `plannedCount` orders. Failure: the answer to an
   * order is lost, and the count that is asked for next has grown by an order of another's. Symptom: a load on
   * top of one that nobody planned with.
   */
  async function sendPlanned(
    order: dialects.Order,
    plannedCount: number | null,
  ): Promise<Sent | 'overtaken'> {
    if (!(await ensureKnown())) return 'unknown';
    if (plannedCount !== null && orderCount !== plannedCount) return 'overtaken';
    return send(order);
  }

  /** Asks until the upstream says that no other order is being carried out. */
  async function awaitFree(untilMs: number, onDelayed: () => void): Promise<void> {
    for (;;) {
      const report = await inTurn(refresh);
      if (report !== null && !report.isBusy) return;
      if (clock.nowMs() >= untilMs || stopping.aborted) return;
      onDelayed();
      await clocksModule.sleepUntil(clock, clock.nowMs() + BUSY_PAUSE_MS, stopping);
    }
  }

  /**
   * Sends until the upstream takes it. Given up once the upstream has taken someone else's order, since the plan was made
   * before that. A refused order is sent again when the upstream is free: behind an unload that waits for its runs every
   * earlier try is refused.
   */
  async function sendUntilTaken(
    order: dialects.Order,
    untilMs: number,
    onDelayed = () => {},
  ): Promise<Sent> {
    const plannedCount = orderCount;
    let waitMs = BUSY_PAUSE_MS;
    for (;;) {
      const sent = await inTurn(() => sendPlanned(order, plannedCount));
      if (sent === 'overtaken') return 'conflict';
      if (sent === 'accepted' || sent === 'pending' || sent === 'not-allowed') return sent;
      if (clock.nowMs() >= untilMs || stopping.aborted) return sent;
      onDelayed();
      const pauseMs = sent === 'unknown' ? REPORT_PAUSE_MS : waitMs;
      await clocksModule.sleepUntil(clock, clock.nowMs() + pauseMs, stopping);
      if (sent !== 'conflict') continue;
      waitMs = Math.min(LONGEST_RETRY_MS, waitMs * 2);
      await awaitFree(untilMs, onDelayed);
    }
  }

  return {
    inTurn,
    refresh,
    ensureKnown,
    orderCount: () => orderCount,
    send,
    sendUntilTaken,
    noteChanged: () => {
      changedMs = clock.nowMs();
    },
    lateLoads: () => lateLoads.pending(ownLateLoads, clock.nowMs()),
  };
}
