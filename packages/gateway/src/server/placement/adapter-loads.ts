/** Loads adapters into an upstream's slots. When all are in use, the least recently requested adapter is unloaded. */
import { clocks as clocksModule } from '@copperlever/runtime';
import type { clocks } from '@copperlever/runtime';

import type * as dialects from '../../types/dialects.js';
import type * as adapterSlots from './adapter-slots.js';
import * as orderQueues from './order-queue.js';

/** A copy of a model, reduced to what matters for its adapters. */
export type AdapterCopy = { adapters: Set<string>; isClosing: boolean };

export type AdapterLoadsDeps = {
  clock: clocks.Clock;
  desk: orderQueues.OrderQueue;
  slots: adapterSlots.AdapterSlots;
  copy: (model: string) => AdapterCopy | undefined;
  held: () => readonly adapterSlots.HeldAdapter[];
  /** Slots used by adapters that are loaded, being loaded, or that a late order may still load. */
  takenCount: () => number;
  /** Whether the upstream is loading a model; it refuses orders for adapters meanwhile. */
  isBlocked: () => boolean;
  lastRequestedMs: (model: string, adapter: string) => number;
  onChanged: () => void;
};

export type AdapterLoads = {
  /** Loads the adapter unless it is loaded; resolves to whether it is. */
  ensure: (model: string, adapter: string, adaptersMax: number) => Promise<boolean>;
  isLoading: (model: string, adapter: string) => boolean;
  loadingCount: () => number;
  /** Until when no orders for adapters are sent after refusals; in the past while the upstream accepts them. */
  backoffUntilMs: () => number;
};

/** An adapter loads within 30 ms while the store is not crowded. */
const ADAPTER_LOAD_MS = 32;
/** The first attempt may fail on a report that is some orders old; the next report is not. */
const ADAPTER_ATTEMPTS = 3;
/** After this many refusals in a row the cause is not an outdated order count: the upstream is busy. */
const MAX_REFUSALS = 2;
/** How long a busy upstream gets no orders for adapters; doubled after each further refusal. */
const FIRST_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 2_000;

/** `there`: loaded already. `wait`: no order could be sent, or it was not accepted; another attempt may succeed. */
type AttemptResult = 'ordered' | 'there' | 'wait' | 'given-up';

export function createAdapterLoads(deps: AdapterLoadsDeps): AdapterLoads {
  const { clock, desk: orderQueue, slots } = deps;
  const running = new Map<string, Promise<boolean>>();
  let refusalsInRow = 0;
  let backoffUntilMs = -Infinity;
  const keyOf = (model: string, adapter: string) => `${model}/${adapter}`;

  /** Not cancelled by a stop: pauses are short, any number of loads may wait, and nothing is sent after a stop. */
  function sleep(durationMs: number): Promise<'elapsed' | 'aborted'> {
    return clocksModule.sleepUntil(clock, clock.nowMs() + durationMs);
  }

  async function send(wanted: dialects.Order): Promise<orderQueues.SendResult> {
    const sent = await orderQueue.send(wanted);
    if (sent === 'accepted' || sent === 'pending') refusalsInRow = 0;
    if (sent !== 'conflict') return sent;
    refusalsInRow += 1;
    if (refusalsInRow >= MAX_REFUSALS) {
      const forMs = FIRST_BACKOFF_MS * 2 ** (refusalsInRow - MAX_REFUSALS);
      backoffUntilMs = clock.nowMs() + Math.min(MAX_BACKOFF_MS, forMs);
      deps.onChanged();
    }
    return sent;
  }

  async function freeSlot(): Promise<boolean> {
    // Each load in progress has an unload already, which is done once the requests that use the adapter have ended.
    if (slots.unloadingCount() >= running.size) return false;
    const lastRequestedMs = ({ model, adapter }: adapterSlots.HeldAdapter) =>
      deps.lastRequestedMs(model, adapter);
    const leastRecent = [...deps.held()].sort((a, b) => lastRequestedMs(a) - lastRequestedMs(b))[0];
    if (leastRecent === undefined) return false;
    deps.copy(leastRecent.model)?.adapters.delete(leastRecent.adapter);
    deps.onChanged();
    const sent = await send({ kind: 'unload-adapter', ...leastRecent });
    // An adapter whose unload was not accepted may still be loaded.
    if (sent !== 'accepted' && sent !== 'pending') {
      deps.copy(leastRecent.model)?.adapters.add(leastRecent.adapter);
    }
    return sent === 'accepted';
  }

  /** One attempt, within a task of the order queue. */
  async function tryOnce(
    model: string,
    adapter: string,
    adaptersMax: number,
  ): Promise<AttemptResult> {
    // The slots in use are counted as of the known order count; a report that is requested later may show others.
    await orderQueue.ensureKnown();
    const copy = deps.copy(model);
    if (copy === undefined || copy.isClosing || deps.isBlocked()) return 'given-up';
    if (clock.nowMs() < backoffUntilMs) return 'given-up';
    if (copy.adapters.has(adapter)) return 'there';
    const isFull = deps.takenCount() >= adaptersMax;
    const hasSlot = orderQueue.orderCount() !== null && (!isFull || (await freeSlot()));
    if (!hasSlot) return 'wait';
    switch (await send({ kind: 'load-adapter', model, adapter })) {
      case 'accepted':
        slots.loadOrdered(model, adapter);
        return 'ordered';
      case 'not-allowed':
        return 'given-up';
      case 'pending':
      case 'conflict':
      case 'unknown':
        return 'wait';
    }
  }

  /** Each attempt is a task of its own, so that orders for models do not wait for the pauses between attempts. */
  async function order(
    model: string,
    adapter: string,
    adaptersMax: number,
  ): Promise<AttemptResult> {
    for (let attempts = 0; attempts < ADAPTER_ATTEMPTS; attempts += 1) {
      const result = await orderQueue.enqueue(() => tryOnce(model, adapter, adaptersMax));
      if (result !== 'wait') return result;
      await sleep(orderQueues.REPORT_POLL_MS);
      await orderQueue.enqueue(orderQueue.refresh);
    }
    return 'given-up';
  }

  async function load(model: string, adapter: string, adaptersMax: number): Promise<boolean> {
    const result = await order(model, adapter, adaptersMax);
    if (result === 'there') return true;
    if (result !== 'ordered') return false;
    await sleep(ADAPTER_LOAD_MS);
    slots.loaded(model, adapter);
    deps.copy(model)?.adapters.add(adapter);
    deps.onChanged();
    return true;
  }

  return {
    ensure: (model, adapter, adaptersMax) => {
      if (deps.copy(model)?.adapters.has(adapter) === true) return Promise.resolve(true);
      const key = keyOf(model, adapter);
      const known = running.get(key);
      if (known !== undefined) return known;
      const loading = load(model, adapter, adaptersMax).finally(() => running.delete(key));
      running.set(key, loading);
      return loading;
    },
    isLoading: (model, adapter) => running.has(keyOf(model, adapter)),
    loadingCount: () => running.size,
    backoffUntilMs: () => backoffUntilMs,
  };
}
