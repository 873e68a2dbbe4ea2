/** Records events in memory and writes them in compressed batches, one for each minute in which requests began. */
import { clocks } from '@copperlever/runtime';
import type { logs, randoms } from '@copperlever/runtime';

import * as resilientStore from '../object-store/resilient-store.js';
import type * as objectStore from '../object-store/types.js';

import * as batches from './batches.js';
import * as requestIds from './request-ids.js';
import type * as types from './types.js';

export type JournalOptions = {
  store: Pick<objectStore.ObjectStore, 'put'>;
  memberId: string;
  incarnation: number;
  clock: clocks.Clock;
  random: randoms.Random;
  /** The longest time that an event waits in memory while the store is available. */
  flushIntervalMs?: number;
  /** The maximum memory for events that are not yet written. */
  pendingMaxBytes?: number;
  /** Compresses a batch; tests on a fake clock use `batches.compressInline`. */
  compress?: (lines: readonly string[]) => Promise<Buffer>;
  /** Told of what the end of a stop leaves unwritten. */
  log?: Pick<logs.Logger, 'error'>;
};

/** Each process writes once per interval for each minute of requests: 38 writes a second at 1,140 processes. */
const DEFAULT_FLUSH_INTERVAL_MS = 30_000;
const DEFAULT_PENDING_MAX_BYTES = 8_000_000;
/** This much text, compressed, is well below the largest value that the store accepts. */
const BATCH_MAX_BYTES = 2_000_000;
const WRITE_TIMEOUT_MS = 5_000;

type PendingEvent = { minute: number; line: string };
type Batch = { key: string; value: Buffer; sizeBytes: number; eventCount: number };

export function createJournal(options: JournalOptions): types.Journal {
  const { store, memberId, incarnation, clock, random } = options;
  const flushIntervalMs = options.flushIntervalMs ?? DEFAULT_FLUSH_INTERVAL_MS;
  const pendingMaxBytes = options.pendingMaxBytes ?? DEFAULT_PENDING_MAX_BYTES;
  const compress = options.compress ?? batches.compress;
  const stopping = new AbortController();
  let pending: PendingEvent[] = [];
  let pendingBytes = 0;
  /** Batches whose write is not confirmed; they keep their keys, so writing them again is harmless. */
  let unconfirmed: Batch[] = [];
  let unconfirmedBytes = 0;
  let eventSequence = 0;
  let batchSequence = 0;
  let droppedCount = 0;
  let reportedDroppedCount = 0;
  let writing: Promise<void> | null = null;
  let isFlushScheduled = false;
  let loopDone: Promise<void> = Promise.resolve();

  function toPending(requestId: string, event: string, fields: types.JournalFields): PendingEvent {
    eventSequence += 1;
    const atMs = clock.wallMs();
    const line = batches.encodeLine({
      requestId,
      atMs,
      memberId,
      sequence: eventSequence,
      event,
      fields,
    });
    // An event without a valid request id is stored under the minute in which it happened.
    const minute = requestIds.parseRequestId(requestId)?.minute ?? requestIds.minuteOf(atMs);
    return { minute, line };
  }

  function append(item: PendingEvent): void {
    pending.push(item);
    pendingBytes += item.line.length;
  }

  /**
   * If the store is down for long, the journal would exhaust the memory of the process. Above the limit the newest
   * events are dropped, so that each recorded trace is complete up to a point, and the number dropped is recorded too.
   */
  function record(requestId: string, event: string, fields: types.JournalFields = {}): void {
    const item = toPending(requestId, event, fields);
    if (pendingBytes + unconfirmedBytes + item.line.length > pendingMaxBytes) {
      droppedCount += 1;
      return;
    }
    append(item);
    if (pendingBytes > BATCH_MAX_BYTES && !isFlushScheduled && writing === null) scheduleFlush();
  }

  function scheduleFlush(): void {
    isFlushScheduled = true;
    clock.schedule(clock.nowMs(), () => {
      isFlushScheduled = false;
      void flush(clock.nowMs() + WRITE_TIMEOUT_MS);
    });
  }

  function reportDropped(): void {
    if (droppedCount === reportedDroppedCount) return;
    const count = droppedCount - reportedDroppedCount;
    reportedDroppedCount = droppedCount;
    append(toPending('', batches.DROPPED_EVENT, { count }));
  }

  /** Removes and returns the next lines of one minute, up to the size of a batch. */
  function takeLines(): { minute: number; lines: string[] } {
    const minute = pending[0]?.minute ?? 0;
    const lines: string[] = [];
    const rest: PendingEvent[] = [];
    let takenBytes = 0;
    for (const item of pending) {
      if (item.minute === minute && takenBytes < BATCH_MAX_BYTES) {
        lines.push(item.line);
        takenBytes += item.line.length;
      } else {
        rest.push(item);
      }
    }
    pending = rest;
    pendingBytes -= takenBytes;
    return { minute, lines };
  }

  async function buildBatches(): Promise<void> {
    reportDropped();
    while (pending.length > 0) {
      const { minute, lines } = takeLines();
      batchSequence += 1;
      const key = batches.batchKey(minute, memberId, incarnation, batchSequence);
      const value = await compress(lines);
      unconfirmed.push({ key, value, sizeBytes: value.length, eventCount: lines.length });
      unconfirmedBytes += value.length;
    }
  }

  function removeBatch(batch: Batch): void {
    unconfirmed = unconfirmed.filter((other) => other !== batch);
    unconfirmedBytes -= batch.sizeBytes;
  }

  async function writeBatches(deadlineMs: number): Promise<void> {
    await buildBatches();
    for (const batch of [...unconfirmed]) {
      const done = await store.put(batch.key, batch.value, { kind: 'absent' }, deadlineMs);
      // A conflict means that an earlier attempt wrote this batch and its answer was lost.
      if (done.ok || done.val.kind === 'conflict') removeBatch(batch);
      else if (done.val.kind === 'too-large') {
        droppedCount += batch.eventCount;
        removeBatch(batch);
      } else return;
    }
  }

  async function flush(deadlineMs: number): Promise<void> {
    if (writing !== null) await clocks.raceDeadline(clock, deadlineMs, writing);
    if (writing !== null) return;
    writing = writeBatches(deadlineMs).finally(() => {
      writing = null;
    });
    await clocks.raceDeadline(clock, deadlineMs, writing);
  }

  async function run(): Promise<void> {
    // The random first wait spreads the writes of processes that start together.
    let waitMs = flushIntervalMs * random.fraction();
    let failureCount = 0;
    while (
      (await clocks.sleepUntil(clock, clock.nowMs() + waitMs, stopping.signal)) === 'elapsed'
    ) {
      await flush(clock.nowMs() + WRITE_TIMEOUT_MS);
      failureCount = unconfirmed.length > 0 ? failureCount + 1 : 0;
      waitMs = failureCount > 0 ? resilientStore.backoffMs(failureCount, random) : flushIntervalMs;
    }
  }

  return {
    record,
    flush,
    droppedCount: () => droppedCount,
    start: () => {
      loopDone = run();
    },
    stop: async (deadlineMs) => {
      stopping.abort();
      await clocks.raceDeadline(clock, deadlineMs, loopDone);
      await flush(deadlineMs);
      const eventCount = unconfirmed.reduce((sum, batch) => sum + batch.eventCount, pending.length);
      if (eventCount > 0) options.log?.error('journal-cut-off', { eventCount });
    },
  };
}
