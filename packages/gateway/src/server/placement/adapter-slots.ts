/**
 * Counts the adapter slots in use at one upstream: besides the adapters that its reports list, those being loaded and
 * those whose unload has not finished.
 */
import type { clocks } from '@copperlever/runtime';

import type * as fleet from '../../types/fleet.js';

export type HeldAdapter = { model: string; adapter: string };

export type AdapterSlots = {
  /** The upstream accepted the order to load the adapter. */
  loadOrdered: (model: string, adapter: string) => void;
  loaded: (model: string, adapter: string) => void;
  /** The upstream accepted the unload, which is done once the requests that use the adapter have ended. */
  unloadOrdered: (model: string, adapter: string) => void;
  isLeaving: (model: string, adapter: string) => boolean;
  unloadingCount: () => number;
  applyReport: (report: fleet.UpstreamReport) => void;
  /** Slots used by `held` and by adapters that are being loaded or unloaded. */
  takenCount: (held: readonly HeldAdapter[]) => number;
  loadingCount: () => number;
};

/** A report received this long after an order may still show the state before it. */
const REPORT_LAG_MS = 1_000;

function keyOf(model: string, adapter: string): string {
  return `${model}/${adapter}`;
}

export function createAdapterSlots(clock: Pick<clocks.Clock, 'nowMs'>): AdapterSlots {
  const loading = new Set<string>();
  /**
   * Being loaded according to the latest report. A report can count the order for an adapter that it does not list as
   * loaded yet: the slot would look free, and one more adapter would crash the upstream.
   */
  let reportedLoading: ReadonlySet<string> = new Set();
  /**
   * Ordered to be unloaded while requests use them, with the time of the order. Reusing such a slot at once would load
   * one adapter too many, which crashes the upstream. It is free once a report from after the order does not list the
   * adapter.
   */
  const unloading = new Map<string, number>();

  return {
    loadOrdered: (model, adapter) => {
      loading.add(keyOf(model, adapter));
    },
    loaded: (model, adapter) => {
      loading.delete(keyOf(model, adapter));
    },
    unloadOrdered: (model, adapter) => {
      unloading.set(keyOf(model, adapter), clock.nowMs());
    },
    isLeaving: (model, adapter) => unloading.has(keyOf(model, adapter)),
    unloadingCount: () => unloading.size,
    applyReport: (report) => {
      reportedLoading = new Set(report.arrivingAdapters);
      const listed = new Set(
        report.models.flatMap(({ name, adapters }) =>
          adapters.map((adapter) => keyOf(name, adapter)),
        ),
      );
      for (const [key, orderedMs] of unloading) {
        const mayBeOld = clock.nowMs() - orderedMs < REPORT_LAG_MS;
        if (!mayBeOld && !listed.has(key)) unloading.delete(key);
      }
    },
    takenCount: (held) => {
      const keys = held.map(({ model, adapter }) => keyOf(model, adapter));
      return new Set([...keys, ...loading, ...reportedLoading, ...unloading.keys()]).size;
    },
    loadingCount: () => loading.size,
  };
}
