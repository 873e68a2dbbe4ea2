/** The interface to the platform's object API. */
import type { results } from '@copperlever/runtime';

/** The largest value that the platform accepts. */
export const MAX_VALUE_BYTES = 1_000_000;

/** An object as read. Its version grows with each write to the key. */
export type StoredObject = { key: string; version: number; value: Buffer };

/** The condition of a write: the key is absent, or still at a version. */
export type WriteCondition = { kind: 'absent' } | { kind: 'version'; version: number };

export type ObjectError =
  /** The condition did not hold; nothing was written. */
  | { kind: 'conflict'; key: string }
  /** The call had no effect; the API is down or refuses calls for now. */
  | { kind: 'unavailable'; retryAtMs: number; reason: string }
  /** The write may or may not have taken effect: its answer was lost. */
  | { kind: 'outcome-unknown'; key: string; reason: string }
  | { kind: 'too-large'; key: string; sizeBytes: number };

/** Changes under a prefix since a revision of the whole store. */
export type WatchReply = { revision: number; changedKeys: readonly string[] };

export type ListedObject = { key: string; version: number };

/** A machine on the platform's list, which may be out of date. */
export type ListedVm = { vmId: string; address: string; status: 'live' | 'leaving' };

/** All calls end by `deadlineMs` on the local monotonic clock. */
export type ObjectStore = {
  get: (
    key: string,
    deadlineMs: number,
  ) => Promise<results.Result<StoredObject | null, ObjectError>>;
  /** Resolves to the new version of the object. */
  put: (
    key: string,
    value: Buffer,
    condition: WriteCondition,
    deadlineMs: number,
  ) => Promise<results.Result<number, ObjectError>>;
  remove: (key: string, deadlineMs: number) => Promise<results.Result<void, ObjectError>>;
  list: (
    prefix: string,
    deadlineMs: number,
  ) => Promise<results.Result<readonly ListedObject[], ObjectError>>;
  /** Waits for a change under `prefix` after `afterRevision`; the reply is empty at the deadline. */
  watch: (
    prefix: string,
    afterRevision: number,
    deadlineMs: number,
  ) => Promise<results.Result<WatchReply, ObjectError>>;
  listVms: (deadlineMs: number) => Promise<results.Result<readonly ListedVm[], ObjectError>>;
};
