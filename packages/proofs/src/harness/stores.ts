/** The object API as one process reaches it. */
import type { objectStoreTypes } from '@copperlever/coordination';
import { clocks } from '@copperlever/runtime';

import type * as processes from './processes.js';

type Store = objectStoreTypes.ObjectStore;

/** Told of each write as it is sent. */
export type OnPut = (process: processes.FakeProcess, key: string) => void;

const LATENCY_MS = 1;

/** Calls take a moment each way, and answers reach the process only while it runs. */
export function createProcessStore(
  process: processes.FakeProcess,
  inner: Store,
  world: clocks.Clock,
  onPut: OnPut,
): Store & { close: () => Promise<void> } {
  const pause = () => clocks.sleepUntil(world, world.nowMs() + LATENCY_MS);

  async function call<Value>(work: () => Promise<Value>): Promise<Value> {
    // A process that is gone calls no more.
    if (process.isKilled()) return new Promise(() => {});
    return process.settleHere(
      pause()
        .then(work)
        .then(async (value) => {
          await pause();
          return value;
        }),
    );
  }

  return {
    get: (key, deadlineMs) => call(() => inner.get(key, deadlineMs)),
    put: (key, value, condition, deadlineMs) => {
      onPut(process, key);
      return call(() => inner.put(key, value, condition, deadlineMs));
    },
    remove: (key, deadlineMs) => call(() => inner.remove(key, deadlineMs)),
    list: (prefix, deadlineMs) => call(() => inner.list(prefix, deadlineMs)),
    watch: (prefix, afterRevision, deadlineMs) =>
      call(() => inner.watch(prefix, afterRevision, deadlineMs)),
    listVms: (deadlineMs) => call(() => inner.listVms(deadlineMs)),
    close: () => Promise.resolve(),
  };
}
