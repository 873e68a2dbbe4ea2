/** Orders to the engine: who may give them, and what became of one. */
import type { results } from '@copperlever/runtime';

import type * as ledgers from '../../shared/memory-ledger.js';
import type * as upstreams from '../../types/upstreams.js';

export type OrderFailure =
  | upstreams.OrderError
  /** This agent may give no orders for now: it waits for its fence or for the object API. */
  | { kind: 'not-authorized'; retryAtMs: number; detail: string }
  /** A newer agent has this engine: this one gives no order any more. */
  | { kind: 'superseded' };

export type Authority =
  /** Not yet known to be the only one whose orders the engine's memory must allow for. */
  | 'opening'
  | 'open'
  /** A newer agent took over. */
  | 'superseded';

export type OrderKind = 'load' | 'unload';

/** An order as the agent remembers it: what it is for, and its number. */
export type RecordedOrder = ledgers.SizedCopy & {
  kind: OrderKind;
  orderId: string;
  fencingNumber: number;
};

/** How an agent makes sure that no earlier agent's order surprises it. */
export type Guard = {
  /** Gains the authority over the engine; may be asked again after a failure. */
  open: () => Promise<Authority>;
  /** To be done before an order is sent. */
  beforeOrder: (order: RecordedOrder) => Promise<results.Result<void, OrderFailure>>;
  /** The order was answered, or its answer is given up and the ledger knows it as unknown. */
  afterAnswer: (orderId: string) => void;
  /** A report was applied to the ledger and may have settled orders. */
  afterReport: () => void;
};

/** The one place that orders leave this agent from. */
export type Orders = {
  /** Gains the authority over the engine; no load is ordered before it. */
  open: () => Promise<Authority>;
  /** Raises the fencing number where that settles an order, before a report is asked for. */
  prepareReport: () => Promise<void>;
  afterReport: () => void;
  /** Orders the load of a copy that the ledger has charged. */
  load: (copy: ledgers.SizedCopy) => Promise<results.Result<void, OrderFailure>>;
  unload: (copy: ledgers.SizedCopy) => Promise<results.Result<void, OrderFailure>>;
  checksFencing: () => boolean;
};
