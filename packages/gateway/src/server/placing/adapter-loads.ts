/** Loads adapters into an upstream's places, one of which is made free at the cost of the one asked for longest ago. */
import { clocks as clocksModule } from '@copperlever/runtime';
import type { clocks } from '@copperlever/runtime';

import type * as adapterPlaces from './adapter-places.js';
import * as orderDesks from './order-desk.js';

/** A copy as far as its adapters matter. */
export type AdapterCopy = { adapters: Set<string>; isClosing: boolean };

export type AdapterLoadsDeps = {
  clock: clocks.Clock;
  desk: orderDesks.OrderDesk;
  places: adapterPlaces.AdapterPlaces;
  copy: (model: string) => AdapterCopy | undefined;
  held: () => readonly adapterPlaces.HeldAdapter[];
  /** Places taken by all that is held, on its way, or may still come. */
  takenCount: () => number;
  /** While it loads a model the upstream refuses orders for adapters. */
  isBlocked: () => boolean;
  lastAskedMs: (model: string, adapter: string) => number;
  onChanged: () => void;
  stopping: AbortSignal;
};

export type AdapterLoads = {
  /** Resolves to whether the adapter is there. */
  ensure: (model: string, adapter: string, adaptersMax: number) => Promise<boolean>;
  isLoading: (model: string, adapter: string) => boolean;
  loadingCount: () => number;
};

/** An adapter loads within 30 ms while the store is not crowded. */
const ADAPTER_LOAD_MS = 32;
/** A report may be some orders old; the next one is not. */
const ADAPTER_TRIES = 3;

export function createAdapterLoads(deps: AdapterLoadsDeps): AdapterLoads {
  const { clock, desk, places } = deps;
  const running = new Map<string, Promise<boolean>>();
  const keyOf = (model: string, adapter: string) => `${model}/${adapter}`;

  function sleep(durationMs: number): Promise<'elapsed' | 'aborted'> {
    return clocksModule.sleepUntil(clock, clock.nowMs() + durationMs, deps.stopping);
  }

  async function freePlace(): Promise<boolean> {
    const lastAskedMs = ({ model, adapter }: adapterPlaces.HeldAdapter) =>
      deps.lastAskedMs(model, adapter);
    const oldest = [...deps.held()].sort((a, b) => lastAskedMs(a) - lastAskedMs(b))[0];
    if (oldest === undefined) return false;
    deps.copy(oldest.model)?.adapters.delete(oldest.adapter);
    deps.onChanged();
    const sent = await desk.send({ kind: 'unload-adapter', ...oldest });
    // What was not taken may be in its place still.
    if (sent !== 'accepted' && sent !== 'pending') {
      deps.copy(oldest.model)?.adapters.add(oldest.adapter);
    }
    return sent === 'accepted';
  }

  /** Orders the load, with as many tries as a report that is some orders old needs. */
  async function order(model: string, adapter: string, adaptersMax: number): Promise<boolean> {
    for (let tries = 0; tries < ADAPTER_TRIES; tries += 1) {
      // Places are counted by what the upstream holds at this count of orders; a later look may find others.
      await desk.ensureKnown();
      const copy = deps.copy(model);
      if (copy === undefined || copy.isClosing || deps.isBlocked()) return false;
      if (copy.adapters.has(adapter)) return true;
      const isFull = deps.takenCount() >= adaptersMax;
      const hasRoom = desk.orderCount() !== null && (!isFull || (await freePlace()));
      const sent = hasRoom ? await desk.send({ kind: 'load-adapter', model, adapter }) : 'conflict';
      if (sent === 'accepted') return true;
      if (sent === 'not-allowed') return false;
      await sleep(orderDesks.REPORT_PAUSE_MS);
      await desk.refresh();
    }
    return false;
  }

  async function load(model: string, adapter: string, adaptersMax: number): Promise<boolean> {
    const isOrdered = await desk.inTurn(async () => {
      const isTaken = await order(model, adapter, adaptersMax);
      if (isTaken) places.arrives(model, adapter);
      return isTaken;
    });
    if (!isOrdered) return false;
    await sleep(ADAPTER_LOAD_MS);
    places.arrived(model, adapter);
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
  };
}
