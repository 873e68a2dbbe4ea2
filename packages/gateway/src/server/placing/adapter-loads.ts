/** Loads adapters into an upstream's places, one of which is made free at the cost of the one asked for longest ago. */
import { clocks as clocksModule } from '@copperlever/runtime';
import type { clocks } from '@copperlever/runtime';

import type * as dialects from '../../types/dialects.js';
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
};

export type AdapterLoads = {
  /** Resolves to whether the adapter is there. */
  ensure: (model: string, adapter: string, adaptersMax: number) => Promise<boolean>;
  isLoading: (model: string, adapter: string) => boolean;
  loadingCount: () => number;
  /** Until when it is asked for no adapters, having refused some; in the past while it takes orders. */
  refusedUntilMs: () => number;
};

/** An adapter loads within 30 ms while the store is not crowded. */
const ADAPTER_LOAD_MS = 32;
/** A report may be some orders old; the next one is not. */
const ADAPTER_TRIES = 3;
/** After so many refusals in a row the count of orders is not the reason: the upstream is busy with something. */
const REFUSALS_MAX = 2;
/** It is left alone for so long then, twice as long after each further refusal. */
const FIRST_REFUSED_MS = 250;
const LONGEST_REFUSED_MS = 2_000;

/** `wait`: no order could be given, or it was not taken; another try may help. */
type Tried = 'ordered' | 'there' | 'wait' | 'given-up';

export function createAdapterLoads(deps: AdapterLoadsDeps): AdapterLoads {
  const { clock, desk, places } = deps;
  const running = new Map<string, Promise<boolean>>();
  let refusalsInRow = 0;
  let refusedUntilMs = -Infinity;
  const keyOf = (model: string, adapter: string) => `${model}/${adapter}`;

  /** Not ended by a stop: the pauses are short, any number of loads wait, and the desk sends nothing after a stop. */
  function sleep(durationMs: number): Promise<'elapsed' | 'aborted'> {
    return clocksModule.sleepUntil(clock, clock.nowMs() + durationMs);
  }

  async function send(wanted: dialects.Order): Promise<orderDesks.Sent> {
    const sent = await desk.send(wanted);
    if (sent === 'accepted' || sent === 'pending') refusalsInRow = 0;
    if (sent !== 'conflict') return sent;
    refusalsInRow += 1;
    if (refusalsInRow >= REFUSALS_MAX) {
      const forMs = FIRST_REFUSED_MS * 2 ** (refusalsInRow - REFUSALS_MAX);
      refusedUntilMs = clock.nowMs() + Math.min(LONGEST_REFUSED_MS, forMs);
      deps.onChanged();
    }
    return sent;
  }

  async function freePlace(): Promise<boolean> {
    // As many as are to come are about to go already, once the requests that use them have ended.
    if (places.leavingCount() >= running.size) return false;
    const lastAskedMs = ({ model, adapter }: adapterPlaces.HeldAdapter) =>
      deps.lastAskedMs(model, adapter);
    const oldest = [...deps.held()].sort((a, b) => lastAskedMs(a) - lastAskedMs(b))[0];
    if (oldest === undefined) return false;
    deps.copy(oldest.model)?.adapters.delete(oldest.adapter);
    deps.onChanged();
    const sent = await send({ kind: 'unload-adapter', ...oldest });
    // What was not taken may be in its place still.
    if (sent !== 'accepted' && sent !== 'pending') {
      deps.copy(oldest.model)?.adapters.add(oldest.adapter);
    }
    return sent === 'accepted';
  }

  /** As part of a turn. */
  async function tryOnce(model: string, adapter: string, adaptersMax: number): Promise<Tried> {
    // Places are counted by what the upstream holds at this count of orders; a later look may find others.
    await desk.ensureKnown();
    const copy = deps.copy(model);
    if (copy === undefined || copy.isClosing || deps.isBlocked()) return 'given-up';
    if (clock.nowMs() < refusedUntilMs) return 'given-up';
    if (copy.adapters.has(adapter)) return 'there';
    const isFull = deps.takenCount() >= adaptersMax;
    const hasRoom = desk.orderCount() !== null && (!isFull || (await freePlace()));
    if (!hasRoom) return 'wait';
    switch (await send({ kind: 'load-adapter', model, adapter })) {
      case 'accepted':
        places.arrives(model, adapter);
        return 'ordered';
      case 'not-allowed':
        return 'given-up';
      case 'pending':
      case 'conflict':
      case 'unknown':
        return 'wait';
    }
  }

  /** In turns of its own, so that orders for models do not wait for the pauses between them. */
  async function order(model: string, adapter: string, adaptersMax: number): Promise<Tried> {
    for (let tries = 0; tries < ADAPTER_TRIES; tries += 1) {
      const tried = await desk.inTurn(() => tryOnce(model, adapter, adaptersMax));
      if (tried !== 'wait') return tried;
      await sleep(orderDesks.REPORT_PAUSE_MS);
      await desk.inTurn(desk.refresh);
    }
    return 'given-up';
  }

  async function load(model: string, adapter: string, adaptersMax: number): Promise<boolean> {
    const tried = await order(model, adapter, adaptersMax);
    if (tried === 'there') return true;
    if (tried !== 'ordered') return false;
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
    refusedUntilMs: () => refusedUntilMs,
  };
}
