/**
 * For engines that ignore fencing numbers. Failure: an agent is paused between deciding on a load
 * and sending it, another takes its place and fills the memory, then the first wakes and sends.
 * Symptom: the engine's memory is overcommitted by an order that the new agent never heard of.
 * Enough, because an order is sent only after it stands in the object API under this agent's own
 * ownership: the new agent takes the ownership over and charges every order that stands there.
 */
import { type clocks, type logs, results } from '@copperlever/runtime';

import type * as ledgers from '../../shared/memory-ledger.js';
import type * as intentsModule from './intents.js';
import type * as types from './types.js';

export type IntentsGuardDeps = {
  clock: clocks.Clock;
  log: logs.Logger;
  intents: intentsModule.IntentsStore;
  ledger: ledgers.MemoryLedger;
  incarnation: number;
};

/** An order whose record takes longer is given up; its caller may ask again. */
const WRITE_TIMEOUT_MS = 2_000;

export function createIntentsGuard(deps: IntentsGuardDeps): types.Guard {
  const { clock, intents, ledger } = deps;
  const openOrders = new Map<string, types.RecordedOrder>();
  /** Orders between their record and their answer. */
  const underWayIds = new Set<string>();
  let held: intentsModule.StoredIntents | null = null;
  let hasTakenOver = false;
  let authority: types.Authority = 'opening';
  let tryAgainAtMs = clock.nowMs();
  let lastWrite: Promise<unknown> = Promise.resolve();

  /** One write at a time: each depends on the version that the one before it made. */
  function inTurn<Value>(work: () => Promise<Value>): Promise<Value> {
    const done = lastWrite.then(work);
    lastWrite = done.catch(() => {});
    return done;
  }

  function chargeOrders(orders: readonly types.RecordedOrder[]): void {
    for (const order of orders) {
      openOrders.set(order.orderId, order);
      ledger.takeOver(order, order.orderId, order.fencingNumber);
    }
  }

  function lose(): types.Authority {
    authority = 'superseded';
    deps.log.error('orders-superseded', { reason: 'another agent owns the intents' });
    return authority;
  }

  async function takeOver(): Promise<types.Authority> {
    const read = await intents.read(clock.nowMs() + WRITE_TIMEOUT_MS);
    if (read.err) return authority;
    const found = read.val;
    const ownerIncarnation = found?.intents.ownerIncarnation ?? 0;
    if (ownerIncarnation > deps.incarnation) return lose();
    // After the first take-over the open orders are known here, also when a write's answer was lost.
    const orders = hasTakenOver ? [...openOrders.values()] : (found?.intents.orders ?? []);
    const written = await intents.write(found, orders, clock.nowMs() + WRITE_TIMEOUT_MS);
    if (written.err) return authority;
    held = written.val;
    if (!hasTakenOver) chargeOrders(orders);
    hasTakenOver = true;
    authority = 'open';
    return authority;
  }

  /** After a write without an answer the object's version has to be read again. */
  async function regain(): Promise<types.Authority> {
    if (authority === 'superseded' || held !== null) return authority;
    return takeOver();
  }

  function refusal(error: intentsModule.IntentsError): types.OrderFailure {
    switch (error.kind) {
      case 'conflict':
        lose();
        return { kind: 'superseded' };
      case 'unavailable':
        held = null;
        authority = 'opening';
        return { kind: 'not-authorized', retryAtMs: error.retryAtMs, detail: error.detail };
    }
  }

  async function write(): Promise<results.Result<void, types.OrderFailure>> {
    const deadlineMs = clock.nowMs() + WRITE_TIMEOUT_MS;
    const written = await intents.write(held, [...openOrders.values()], deadlineMs);
    if (written.err) return results.Err(refusal(written.val));
    held = written.val;
    return results.Ok(undefined);
  }

  async function record(
    order: types.RecordedOrder,
  ): Promise<results.Result<void, types.OrderFailure>> {
    const gained = await regain();
    if (gained === 'superseded') return results.Err({ kind: 'superseded' });
    if (gained === 'opening') {
      const retryAtMs = clock.nowMs() + WRITE_TIMEOUT_MS;
      return results.Err({ kind: 'not-authorized', retryAtMs, detail: 'object API down' });
    }
    // An unload charges nothing: its write only proves that this agent is still the owner.
    if (order.kind === 'load') {
      openOrders.set(order.orderId, order);
      underWayIds.add(order.orderId);
    }
    const written = await write();
    if (written.err) {
      openOrders.delete(order.orderId);
      underWayIds.delete(order.orderId);
    }
    return written;
  }

  /** Settled orders are left out of the next record: no call of its own is spent on that. */
  function forgetSettled(): void {
    for (const orderId of openOrders.keys()) {
      if (!underWayIds.has(orderId) && !ledger.isOrderUnknown(orderId)) openOrders.delete(orderId);
    }
  }

  /** Never waits for the object API: in its outage the engine's reports must still be read. */
  function open(): types.Authority {
    if (authority !== 'opening' || clock.nowMs() < tryAgainAtMs) return authority;
    tryAgainAtMs = clock.nowMs() + WRITE_TIMEOUT_MS;
    void inTurn(regain);
    return authority;
  }

  return {
    open: async () => open(),
    beforeOrder: (order) => inTurn(() => record(order)),
    afterAnswer: (orderId) => {
      underWayIds.delete(orderId);
      forgetSettled();
    },
    afterReport: forgetSettled,
  };
}
