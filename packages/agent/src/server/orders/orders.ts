/** Sends orders to the engine under the guard that its kind needs, and tells the ledger of each. */
import { type clocks, type logs, type metrics, results } from '@copperlever/runtime';

import type * as ledgers from '../../shared/memory-ledger.js';
import type * as upstreams from '../../types/upstreams.js';
import * as fencingGuards from './fencing-guard.js';
import * as intentsGuards from './intents-guard.js';
import type * as intentsModule from './intents.js';
import type * as types from './types.js';

export type OrdersDeps = {
  clock: clocks.Clock;
  log: logs.Logger;
  metrics: Pick<metrics.Metrics, 'count'>;
  engine: Pick<upstreams.EnginePort, 'order'>;
  ledger: ledgers.MemoryLedger;
  intents: intentsModule.IntentsStore;
  upstreamId: string;
  incarnation: number;
  /** Whether the engine refuses old fencing numbers, as the configuration says. */
  checksFencing: () => boolean;
};

const CALL_TIMEOUT_MS = 2_000;
/** An incarnation is a time in milliseconds: an agent cannot raise its number past its successor's. */
const NUMBERS_PER_INCARNATION = 1_000;

/** The first fencing number of an agent's incarnation. */
export function firstFencingNumber(incarnation: number): number {
  return incarnation * NUMBERS_PER_INCARNATION;
}

/** The least incarnation whose numbers are all above `fencingNumber`. */
export function incarnationAbove(fencingNumber: number): number {
  return Math.floor(fencingNumber / NUMBERS_PER_INCARNATION) + 1;
}

type LoadAnswer = Parameters<ledgers.MemoryLedger['loadAnswered']>[2];

function answerOf(sent: results.Result<void, upstreams.OrderError>): LoadAnswer {
  if (sent.ok) return 'taken';
  return sent.val.kind === 'outcome-unknown' ? 'unknown' : 'refused';
}

export function createOrders(deps: OrdersDeps): types.Orders {
  const { clock, engine, ledger, log } = deps;
  let orderCount = 0;

  const fencing = fencingGuards.createFencingGuard({
    log,
    ledger,
    firstNumber: firstFencingNumber(deps.incarnation),
    sendFence: (fencingNumber) => send({ kind: 'fence', orderId: nextOrderId(), fencingNumber }),
  });
  const intents = intentsGuards.createIntentsGuard({ ...deps });

  function guard(): types.Guard {
    return deps.checksFencing() ? fencing : intents;
  }

  function nextOrderId(): string {
    orderCount += 1;
    return `${deps.upstreamId}.${deps.incarnation}.${orderCount}`;
  }

  async function send(order: upstreams.NumberedOrder) {
    const sent = await engine.order(order, clock.nowMs() + CALL_TIMEOUT_MS);
    const outcome = sent.ok ? 'taken' : sent.val.kind;
    deps.metrics.count('agent.orders', 1, { order: order.kind, outcome });
    if (sent.err) log.warn('order-failed', { order: order.kind, cause: outcome });
    return sent;
  }

  async function sendGuarded(
    kind: types.OrderKind,
    copy: ledgers.SizedCopy,
  ): Promise<results.Result<void, types.OrderFailure>> {
    const { name, version, sizeBytes } = copy;
    const orderId = nextOrderId();
    const used = guard();
    const fencingNumber = fencing.number();
    const order = { kind, orderId, fencingNumber, name, version, sizeBytes };
    const allowed = await used.beforeOrder(order);
    if (allowed.err) return allowed;
    if (kind === 'load') ledger.loadSent(copy, orderId, fencingNumber);
    const sent = await send(order);
    if (kind === 'load') ledger.loadAnswered(copy, orderId, answerOf(sent));
    used.afterAnswer(orderId);
    if (sent.err && sent.val.kind === 'old-fencing-number') fencing.noteRefused(fencingNumber);
    return sent;
  }

  return {
    open: () => guard().open(),
    prepareReport: async () => {
      if (deps.checksFencing() && ledger.needsFence()) await fencing.raise();
    },
    afterReport: () => guard().afterReport(),
    load: async (copy) => {
      const sent = await sendGuarded('load', copy);
      // Not sent for want of authority: nothing can come of it.
      if (sent.err) ledger.cancelReservation(copy);
      return sent;
    },
    unload: (copy) => sendGuarded('unload', copy),
    checksFencing: deps.checksFencing,
  };
}
