/** When each copy was ordered, became ready and was last used; and how long loads take here. */
import type { clocks } from '@copperlever/runtime';

import * as loadTimes from '../../shared/load-times.js';
import type * as ledgers from '../../shared/memory-ledger.js';

export type CopyTimes = {
  noteOrdered: (copy: ledgers.CopyId) => void;
  noteUsed: (name: string) => void;
  /** Compares the charges with those seen before, and learns from loads that ended. */
  noteCharges: (charges: readonly ledgers.Charge[]) => void;
  lastUsedMs: (name: string) => number;
  readySinceMs: (copy: ledgers.CopyId) => number;
  /** What is left of a load: of one under way, or of one that is ordered now. */
  expectedLoadMs: (copy: ledgers.SizedCopy) => number;
  /** How long a load of that size takes here, by those that were seen. */
  loadTookMs: (copy: ledgers.SizedCopy) => number;
};

function keyOf(copy: ledgers.CopyId): string {
  return `${copy.name}@${copy.version}`;
}

export function createCopyTimes(
  clock: clocks.Clock,
  onLoaded: (tookMs: number) => void,
): CopyTimes {
  const times = loadTimes.createLoadTimes();
  const orderedAtMs = new Map<string, number>();
  const readyAtMs = new Map<string, number>();
  const usedAtMs = new Map<string, number>();

  function noteReady(charge: ledgers.Charge): void {
    const key = keyOf(charge);
    if (readyAtMs.has(key)) return;
    readyAtMs.set(key, clock.nowMs());
    const startedMs = orderedAtMs.get(key);
    orderedAtMs.delete(key);
    if (startedMs === undefined) return;
    const tookMs = clock.nowMs() - startedMs;
    times.observe(charge.sizeBytes, tookMs);
    onLoaded(tookMs);
  }

  return {
    noteOrdered: (copy) => {
      if (!orderedAtMs.has(keyOf(copy))) orderedAtMs.set(keyOf(copy), clock.nowMs());
    },
    noteUsed: (name) => {
      usedAtMs.set(name, clock.nowMs());
    },
    noteCharges: (charges) => {
      const keys = new Set(charges.map(keyOf));
      [...orderedAtMs.keys()]
        .filter((key) => !keys.has(key))
        .forEach((key) => {
          orderedAtMs.delete(key);
        });
      [...readyAtMs.keys()]
        .filter((key) => !keys.has(key))
        .forEach((key) => {
          readyAtMs.delete(key);
        });
      charges.filter((charge) => charge.state === 'ready').forEach(noteReady);
    },
    lastUsedMs: (name) => usedAtMs.get(name) ?? 0,
    readySinceMs: (copy) => readyAtMs.get(keyOf(copy)) ?? Number.NEGATIVE_INFINITY,
    loadTookMs: (copy) => times.expectedMs(copy.sizeBytes),
    expectedLoadMs: (copy) => {
      const wholeMs = times.expectedMs(copy.sizeBytes);
      const startedMs = orderedAtMs.get(keyOf(copy)) ?? clock.nowMs();
      return Math.max(0, startedMs + wholeMs - clock.nowMs());
    },
  };
}
