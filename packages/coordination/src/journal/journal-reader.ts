/** Finds the events of one request in the batches in the object store. */
import { results } from '@copperlever/runtime';

import type * as objectStore from '../object-store/types.js';

import * as batches from './batches.js';
import * as requestIds from './request-ids.js';
import type * as types from './types.js';

export type JournalReaderOptions = {
  store: Pick<objectStore.ObjectStore, 'get' | 'list'>;
};

/** The maximum number of batches read for one search: at 38 batches a second, more than a full minute. */
const BATCHES_MAX = 4_000;

export function createJournalReader(options: JournalReaderOptions): types.JournalReader {
  const { store } = options;

  async function readBatch(
    key: string,
    deadlineMs: number,
  ): Promise<readonly types.JournalEvent[] | undefined> {
    const read = await store.get(key, deadlineMs);
    if (read.err || read.val === null) return undefined;
    return batches.decompress(read.val.value);
  }

  async function readAll(
    keys: readonly string[],
    requestId: string,
    deadlineMs: number,
  ): Promise<types.Trace> {
    const events: types.JournalEvent[] = [];
    let isWhole = keys.length <= BATCHES_MAX;
    for (const key of keys.slice(0, BATCHES_MAX)) {
      const found = await readBatch(key, deadlineMs);
      if (found === undefined) isWhole = false;
      else events.push(...found.filter((event) => event.requestId === requestId));
      if (found?.some((event) => event.event === batches.DROPPED_EVENT)) isWhole = false;
    }
    return { events, isWhole };
  }

  function sortByTime(events: readonly types.JournalEvent[]): types.JournalEvent[] {
    return [...events].sort(
      (a, b) =>
        a.atMs - b.atMs ||
        (a.memberId < b.memberId ? -1 : Number(a.memberId > b.memberId)) ||
        a.sequence - b.sequence,
    );
  }

  /** Members that the events of the entry mention; they recorded the other events. */
  function namedMembers(events: readonly types.JournalEvent[]): Set<string> {
    const names = events.flatMap((event) => Object.values(event.fields));
    return new Set(names.filter((name) => typeof name === 'string'));
  }

  async function search(
    requestId: string,
    deadlineMs: number,
  ): Promise<results.Result<types.Trace, objectStore.ObjectError>> {
    const id = requestIds.parseRequestId(requestId);
    if (id === undefined) return results.Ok({ events: [], isWhole: true });
    const listed = await store.list(batches.minutePrefix(id.minute), deadlineMs);
    if (listed.err) return listed;
    const keys = listed.val.map((object) => object.key);
    const isOfEntry = (key: string) => key.startsWith(batches.memberPrefix(id.minute, id.entryId));
    const entryTrace = await readAll(keys.filter(isOfEntry), requestId, deadlineMs);
    const named = namedMembers(entryTrace.events);
    const isOfNamed = (key: string) => named.has(key.split('/')[2] ?? '');
    // Without events of the entry, for example after it was killed, the batches of all members are read.
    const others = keys.filter(
      (key) => !isOfEntry(key) && (entryTrace.events.length === 0 || isOfNamed(key)),
    );
    const otherTrace = await readAll(others, requestId, deadlineMs);
    return results.Ok({
      events: sortByTime([...entryTrace.events, ...otherTrace.events]),
      isWhole: entryTrace.isWhole && otherTrace.isWhole,
    });
  }

  return {
    search,
    trace: async (requestId, deadlineMs) => {
      const found = await search(requestId, deadlineMs);
      return found.map((trace) => trace.events);
    },
  };
}
