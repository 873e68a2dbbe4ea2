/** The journal: what became of each request, in compressed batches in the object store. */
import type { results } from '@copperlever/runtime';

import type * as objectStore from '../object-store/types.js';

/** One event of one request. `fields` are opaque to the library. */
export type JournalEvent = {
  requestId: string;
  /** Epoch milliseconds at the process that recorded it. */
  atMs: number;
  memberId: string;
  /** Orders the events of one process that share a millisecond. */
  sequence: number;
  event: string;
  fields: Readonly<Record<string, string | number | boolean>>;
};

export type Journal = {
  /** Never waits and never fails: in an outage events stay in bounded memory. */
  record: (
    requestId: string,
    event: string,
    fields?: Readonly<Record<string, string | number | boolean>>,
  ) => void;
  /** Writes what is pending; resolves when it is written or the deadline is reached. */
  flush: (deadlineMs: number) => Promise<void>;
  /** Events that had to be dropped since the start. */
  droppedCount: () => number;
};

export type JournalReader = {
  /** The events of a request in order of time. */
  trace: (
    requestId: string,
    deadlineMs: number,
  ) => Promise<results.Result<readonly JournalEvent[], objectStore.ObjectError>>;
};
