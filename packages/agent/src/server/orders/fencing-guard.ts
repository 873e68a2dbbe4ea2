/**
 * For engines that refuse old fencing numbers: once the engine has taken this agent's number, no
 * order of an earlier agent can act, so nothing has to be recorded before an order.
 */
import { type logs, results } from '@copperlever/runtime';

import type * as ledgers from '../../shared/memory-ledger.js';
import type * as upstreams from '../../types/upstreams.js';
import type * as types from './types.js';

export type FencingGuardDeps = {
  log: logs.Logger;
  ledger: ledgers.MemoryLedger;
  /** Sends a fence with the number given. */
  sendFence: (fencingNumber: number) => Promise<results.Result<void, upstreams.OrderError>>;
  firstNumber: number;
};

export type FencingGuard = types.Guard & {
  /** The number that orders carry now. */
  number: () => number;
  /** Raises the number: orders that are still on their way with the old one can no longer act. */
  raise: () => Promise<void>;
  /** The engine refused an order with this number as too old. */
  noteRefused: (fencingNumber: number) => void;
  isSuperseded: () => boolean;
};

export function createFencingGuard(deps: FencingGuardDeps): FencingGuard {
  let number = deps.firstNumber;
  let authority: types.Authority = 'opening';

  function noteRefused(fencingNumber: number): void {
    // An order that this agent's own newer fence overtook says nothing about other agents.
    if (fencingNumber < number || authority === 'superseded') return;
    authority = 'superseded';
    deps.log.error('orders-superseded', { fencingNumber });
  }

  async function fence(): Promise<types.Authority> {
    const sentNumber = number;
    const sent = await deps.sendFence(sentNumber);
    if (sent.ok) {
      deps.ledger.fenceAcknowledged(sentNumber);
      if (authority === 'opening') authority = 'open';
    } else if (sent.val.kind === 'old-fencing-number') {
      noteRefused(sentNumber);
    }
    return authority;
  }

  return {
    number: () => number,
    open: async () => (authority === 'opening' ? fence() : authority),
    raise: async () => {
      if (authority === 'superseded') return;
      number += 1;
      await fence();
    },
    noteRefused,
    isSuperseded: () => authority === 'superseded',
    beforeOrder: async () => {
      if (authority === 'superseded') return results.Err({ kind: 'superseded' });
      return results.Ok(undefined);
    },
    afterAnswer: () => {},
    afterReport: () => {},
  };
}
