/** An object store in memory, with the semantics of the platform's object API. */
import { results } from '@copperlever/runtime';
import type { clocks } from '@copperlever/runtime';

import * as types from './types.js';

export type MemoryStore = types.ObjectStore & {
  /** Grows with each write to any key. */
  revision: () => number;
  setVms: (vms: readonly types.ListedVm[]) => void;
  objectCount: () => number;
};

/** How many changes are kept for watches; a watch from an earlier revision gets every key. */
const CHANGE_LOG_MAX = 10_000;

type Change = { revision: number; key: string };
type Watcher = { prefix: string; wake: () => void };

export function createMemoryStore(clock: clocks.Clock): MemoryStore {
  const objects = new Map<string, types.StoredObject>();
  const watchers = new Set<Watcher>();
  let changes: Change[] = [];
  let discardedRevision = 0;
  let revision = 0;
  let vms: readonly types.ListedVm[] = [];

  function recordChange(key: string): void {
    changes.push({ revision, key });
    if (changes.length > CHANGE_LOG_MAX) {
      discardedRevision = changes[changes.length - CHANGE_LOG_MAX / 2]?.revision ?? revision;
      changes = changes.filter((change) => change.revision > discardedRevision);
    }
    for (const watcher of [...watchers]) {
      if (key.startsWith(watcher.prefix)) watcher.wake();
    }
  }

  function isConditionMet(
    condition: types.WriteCondition,
    present: types.StoredObject | undefined,
  ) {
    switch (condition.kind) {
      case 'absent':
        return present === undefined;
      case 'version':
        return present?.version === condition.version;
    }
  }

  function changedSince(prefix: string, afterRevision: number): string[] {
    if (afterRevision < discardedRevision) return keysUnder(prefix);
    const keys = changes
      .filter((change) => change.revision > afterRevision && change.key.startsWith(prefix))
      .map((change) => change.key);
    return [...new Set(keys)];
  }

  function keysUnder(prefix: string): string[] {
    return [...objects.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  function waitForChange(prefix: string, deadlineMs: number): Promise<void> {
    return new Promise((resolve) => {
      const watcher: Watcher = { prefix, wake: () => {} };
      const cancel = clock.schedule(deadlineMs, () => watcher.wake());
      watcher.wake = () => {
        cancel();
        watchers.delete(watcher);
        resolve();
      };
      watchers.add(watcher);
    });
  }

  return {
    get: async (key) => {
      const found = objects.get(key);
      return results.Ok(found === undefined ? null : { ...found, value: Buffer.from(found.value) });
    },

    // The version is the store's revision, so a key that was removed and created again never repeats a version.
    put: async (key, value, condition) => {
      if (value.length > types.MAX_VALUE_BYTES) {
        return results.Err({ kind: 'too-large', key, sizeBytes: value.length });
      }
      if (!isConditionMet(condition, objects.get(key)))
        return results.Err({ kind: 'conflict', key });
      revision += 1;
      objects.set(key, { key, version: revision, value: Buffer.from(value) });
      recordChange(key);
      return results.Ok(revision);
    },

    remove: async (key) => {
      if (objects.delete(key)) {
        revision += 1;
        recordChange(key);
      }
      return results.Ok(undefined);
    },

    list: async (prefix) =>
      results.Ok(
        keysUnder(prefix).map((key) => ({ key, version: objects.get(key)?.version ?? 0 })),
      ),

    watch: async (prefix, afterRevision, deadlineMs) => {
      if (changedSince(prefix, afterRevision).length === 0) await waitForChange(prefix, deadlineMs);
      return results.Ok({ revision, changedKeys: changedSince(prefix, afterRevision) });
    },

    listVms: async () => results.Ok(vms),
    revision: () => revision,
    setVms: (next) => {
      vms = next;
    },
    objectCount: () => objects.size,
  };
}
