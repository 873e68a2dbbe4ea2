/** The journal: what became of each request, in compressed batches in the object store. */
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
  /** Never waits and never fails: in an outage events stay in bounded memory. */
  record: (requestId: string, event: string, fields?: JournalFields) => void;
  /** Writes what is pending; resolves when it is written or the deadline is reached. */
  flush: (deadlineMs: number) => Promise<void>;
  /** Events that had to be dropped since the start. */
  droppedCount: () => number;
  /** Writes at intervals from now on. */
  start: () => void;
  /** Writes what is pending and ends. */
  stop: (deadlineMs: number) => Promise<void>;
};

/** `isWhole` is false when a batch could not be read or the search stopped at its bound. */
export type Trace = { events: readonly JournalEvent[]; isWhole: boolean };

export type JournalReader = {
  /** The events of a request in order of time. */
  trace: (
    requestId: string,
    deadlineMs: number,
  ) => Promise<results.Result<readonly JournalEvent[], objectStore.ObjectError>>;
  /** The same, and whether anything may be missing. */
  search: (
    requestId: string,
    deadlineMs: number,
  ) => Promise<results.Result<Trace, objectStore.ObjectError>>;
};
