/** The list of upstreams in a store on a virtual clock, reached over a link of each gateway that can fail. */
import { clocks as clocksModule, results } from '@copperlever/runtime';
import type { clocks } from '@copperlever/runtime';

import type * as fleet from '../types/fleet.js';
import type * as stores from '../types/stores.js';

/**
 * `refused`: an error at once. `silent`: nothing until the caller's deadline. `late`: answered shortly before the caller's deadline.
 * `lost`: the answer to a call is lost.
 */
export type StoreLink = 'works' | 'refused' | 'silent' | 'late' | 'lost';

export type ListStore = {
  put: (record: fleet.UpstreamRecord) => void;
  remove: (name: string) => void;
  /** The store as one gateway reaches it. */
  reachedBy: (link: () => StoreLink) => stores.RecordStore;
  callCount: () => number;
  /** For so long watches are answered without changes; then the history is gone and they are cut. */
  compact: (forMs: number) => void;
  /** Watches that wait now are never answered. */
  silenceWatches: () => void;
  /** Keeps a copy of what it has now; the function that is returned takes the store back to it, in a new era. */
  copy: () => () => void;
};

type Stored = stores.StoredRecord<fleet.UpstreamRecord>;
type Change = { revision: number; record: Stored | null; name: string };

const ANSWER_MS = 2;

export function createListStore(clock: clocks.Clock): ListStore {
  let records = new Map<string, Stored>();
  let history: Change[] = [];
  let era = 0;
  let revision = 10;
  let calls = 0;
  let waiting = new Set<() => void>();
  let mutedUntilMs = -Infinity;
  /** Changes up to it are forgotten. */
  let compactedTo = 0;

  function wakeAll(): void {
    if (clock.nowMs() < mutedUntilMs) return;
    [...waiting].forEach((wake) => wake());
  }

  /** Null once the caller has given up. */
  async function answered<Value>(
    link: () => StoreLink,
    deadlineMs: number,
    answer: () => Promise<results.Result<Value, stores.StoreError>>,
  ): Promise<results.Result<Value, stores.StoreError>> {
    calls += 1;
    await clocksModule.sleepUntil(clock, clock.nowMs() + ANSWER_MS);
    if (link() === 'refused') return results.Err({ kind: 'unavailable', reason: 'refused' });
    const isLost = link() === 'lost';
    const value = await clocksModule.raceDeadline(clock, deadlineMs, answer());
    if (link() === 'late') await clocksModule.sleepUntil(clock, deadlineMs - ANSWER_MS);
    const isAnswered = value !== 'deadline' && link() !== 'silent' && link() !== 'refused';
    if (isAnswered && !isLost) return value;
    await clocksModule.sleepUntil(clock, deadlineMs);
    return results.Err({ kind: 'unavailable', reason: 'deadline' });
  }

  function changesAfter(after: number) {
    const isMuted = clock.nowMs() < mutedUntilMs;
    const changes = history
      .filter((change) => !isMuted && change.revision > after)
      .map(({ record, name, revision: at }) =>
        record === null
          ? { kind: 'deleted' as const, name, era, revision: at }
          : { kind: 'written' as const, record: { ...record, era } },
      );
    return { changes, era, revision };
  }

  async function waitForChange(waitMs: number): Promise<void> {
    const waits = waiting;
    await new Promise<void>((resolve) => {
      const cancel = clock.schedule(clock.nowMs() + waitMs, () => {
        waits.delete(wake);
        resolve();
      });
      const wake = () => {
        waits.delete(wake);
        cancel();
        resolve();
      };
      waits.add(wake);
    });
  }

  return {
    put: (value) => {
      revision += 1;
      const record = { name: value.name, era, revision, value };
      records.set(value.name, record);
      history.push({ revision, record, name: value.name });
      wakeAll();
    },
    remove: (name) => {
      if (!records.delete(name)) return;
      revision += 1;
      history.push({ revision, record: null, name });
      wakeAll();
    },
    callCount: () => calls,
    compact: (forMs) => {
      mutedUntilMs = clock.nowMs() + forMs;
      clock.schedule(mutedUntilMs, () => {
        compactedTo = revision;
        history = [];
        wakeAll();
      });
    },
    silenceWatches: () => {
      // Those that wait are woken by nothing any more, not even by their own end.
      waiting = new Set();
    },
    copy: () => {
      const kept = new Map(records);
      const keptHistory = [...history];
      const keptRevision = revision;
      return () => {
        records = new Map(kept);
        history = [...keptHistory];
        revision = keptRevision;
        era += 1;
        wakeAll();
      };
    },
    reachedBy: (link) => ({
      era: () => era,
      list: (_kind, deadlineMs) =>
        answered(link, deadlineMs, async () => {
          const listed = [...records.values()].map((record) => ({ ...record, era }));
          return results.Ok({ records: listed, unreadable: [], era, revision } as never);
        }),
      watch: (_kind, after, waitMs, deadlineMs) =>
        answered(link, deadlineMs, async () => {
          const isGone = () => after < compactedTo;
          if (!isGone() && changesAfter(after).changes.length === 0) await waitForChange(waitMs);
          if (isGone()) return results.Err({ kind: 'history-gone' } as const);
          return results.Ok(changesAfter(after) as never);
        }),
      get: () => Promise.resolve(results.Err({ kind: 'unavailable', reason: 'not here' })),
      put: () => Promise.resolve(results.Err({ kind: 'unavailable', reason: 'not here' })),
    }),
  };
}
