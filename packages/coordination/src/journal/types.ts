/** The journal: the events of each request, in compressed batches in the object store. */
import type { results } from '@copperlever/runtime';

import type * as objectStore from '../object-store/types.js';

export type JournalFields = Readonly<Record<string, string | number | boolean>>;

/** One event of one request. `fields` are opaque to the library. */
export type JournalEvent = {
  requestId: string;
  /** Epoch milliseconds at the process that recorded it. */
  atMs: number;
  memberId: string;
  /** Orders the events of one process that share a millisecond. */
  sequence: number;
  event: string;
  fields: JournalFields;
};

export type Journal = {
  /** Never waits and never fails: during an outage events stay in bounded memory. */
  record: (requestId: string, event: string, fields?: JournalFields) => void;
  /** Writes what is pending; resolves when it is written or the deadline is reached. */
  flush: (deadlineMs: number) => Promise<void>;
  /** The number of events that were dropped since the start. */
  droppedCount: () => number;
  /** Starts writing at intervals. */
  start: () => void;
  /** Writes what is pending and stops. */
  stop: (deadlineMs: number) => Promise<void>;
};

/** `isWhole` is false if events were dropped, a batch could not be read or the search stopped at its limit. */
export type Trace = { events: readonly JournalEvent[]; isWhole: boolean };

export type JournalReader = {
  /** The events of a request, ordered by time. */
  trace: (
    requestId: string,
    deadlineMs: number,
  ) => Promise<results.Result<readonly JournalEvent[], objectStore.ObjectError>>;
  /** The events of a request, and whether the trace is complete. */
  search: (
    requestId: string,
    deadlineMs: number,
  ) => Promise<results.Result<Trace, objectStore.ObjectError>>;
};
