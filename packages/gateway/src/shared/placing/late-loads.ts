/**
 * Loads that were ordered and not answered: they may still begin, seconds later. While the upstream goes on, its
 * count of orders voids them. Failure: it starts again under its name, with its count anew, and the count meets
 * the late order's by chance. Symptom: a load that nobody plans for any more, and one model or adapter too many,
 * which crashes the upstream. So the next start keeps their room free until they can no longer come.
 */
import type * as dialects from '../../types/dialects.js';

export type LateLoad = { model: string; adapter: string | null; untilMs: number };

/** How long an order without an answer may still be carried out. */
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
