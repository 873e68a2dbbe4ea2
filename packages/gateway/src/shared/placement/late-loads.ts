/**
 * Loads that were ordered but not answered; they may still start seconds later. While the upstream runs, its order
 * counter rejects late orders. If it restarts under the same name, the counter starts again and may match the counter
 * of a late order by chance. The upstream would then load one model or adapter too many, one that is in no plan, and
 * crash. Therefore room for these loads stays reserved after a restart until they can no longer arrive.
 */
import type * as dialects from '../../types/dialects.js';

export type LateLoad = { model: string; adapter: string | null; untilMs: number };

/** How long an order that was not answered may still be executed. */
export const LATE_ORDER_MS = 13_000;

export function toLateLoad(order: dialects.Order, nowMs: number): LateLoad | null {
  const untilMs = nowMs + LATE_ORDER_MS;
  switch (order.kind) {
    case 'load-model':
      return { model: order.model, adapter: null, untilMs };
    case 'load-adapter':
      return { model: order.model, adapter: order.adapter, untilMs };
    case 'unload-model':
    case 'unload-adapter':
      return null;
  }
}

export function pending(loads: readonly LateLoad[], nowMs: number): readonly LateLoad[] {
  return loads.filter(({ untilMs }) => untilMs > nowMs);
}
