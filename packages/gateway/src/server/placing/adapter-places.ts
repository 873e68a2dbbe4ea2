/** Which of an upstream's places for adapters are taken, by more than what its reports list. */
import type { clocks } from '@copperlever/runtime';

import type * as fleet from '../../types/fleet.js';

export type HeldAdapter = { model: string; adapter: string };

export type AdapterPlaces = {
  /** The upstream took the order; the adapter is on its way. */
  arrives: (model: string, adapter: string) => void;
  arrived: (model: string, adapter: string) => void;
  /** Its unload was taken, and is done once the requests that use it have ended. */
  leaves: (model: string, adapter: string) => void;
  isLeaving: (model: string, adapter: string) => boolean;
  leavingCount: () => number;
  reported: (report: fleet.UpstreamReport) => void;
  /** Places taken by `held` and by all that is on its way in or out. */
  takenCount: (held: readonly HeldAdapter[]) => number;
  arrivingCount: () => number;
};

/** A report from before an order may be this old. */
const REPORT_LAG_MS = 1_000;

function keyOf(model: string, adapter: string): string {
  return `${model}/${adapter}`;
}

export function createAdapterPlaces(clock: Pick<clocks.Clock, 'nowMs'>): AdapterPlaces {
  const arriving = new Set<string>();
  /**
   * On their way at the time of the latest report. Failure: a report counts an adapter's order and does not
   * list the adapter yet. Symptom: its place looks free, and one more adapter crashes the upstream.
   */
  let coming: ReadonlySet<string> = new Set();
  /**
   * Ordered to go while requests use them, with the time of the order. Failure: such a place is given away
   * at once. Symptom: one adapter too many, which crashes the upstream. A report from after the order that
   * does not list it is enough.
   */
  const leaving = new Map<string, number>();

  return {
    arrives: (model, adapter) => {
      arriving.add(keyOf(model, adapter));
    },
    arrived: (model, adapter) => {
      arriving.delete(keyOf(model, adapter));
    },
    leaves: (model, adapter) => {
      leaving.set(keyOf(model, adapter), clock.nowMs());
    },
    isLeaving: (model, adapter) => leaving.has(keyOf(model, adapter)),
    leavingCount: () => leaving.size,
    reported: (report) => {
      coming = new Set(report.arrivingAdapters);
      const listed = new Set(
        report.models.flatMap(({ name, adapters }) =>
          adapters.map((adapter) => keyOf(name, adapter)),
        ),
      );
      for (const [key, orderedMs] of leaving) {
        const mayBeOld = clock.nowMs() - orderedMs < REPORT_LAG_MS;
        if (!mayBeOld && !listed.has(key)) leaving.delete(key);
      }
    },
    takenCount: (held) => {
      const keys = held.map(({ model, adapter }) => keyOf(model, adapter));
      return new Set([...keys, ...arriving, ...coming, ...leaving.keys()]).size;
    },
    arrivingCount: () => arriving.size,
  };
}
