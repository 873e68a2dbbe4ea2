/**
 * Keeps the origins of streams in the platform's store while streams of a service can have begun at several versions, so that they
 * outlive all gateways. The lease holder alone writes, in batches to a ring of records; others read when nobody else knows a stream.
 */
import { clocks as clocksModule } from '@copperlever/runtime';
import type { clocks } from '@copperlever/runtime';
import * as steps from '@copperlever/runtime/steps';

import type * as streamOrigins from '../../shared/stream-origins.js';
import type * as logEvents from '../../types/log-events.js';
import type * as stores from '../../types/stores.js';

export type OriginArchiveDeps = {
  clock: clocks.Clock;
  log: Pick<logEvents.GatewayLog, 'info' | 'warn' | 'error'>;
  store: Pick<stores.RecordStore, 'list' | 'get' | 'put'>;
  origins: streamOrigins.StreamOrigins;
  /** The only version that streams of the service can have begun at; null if there may be several. */
  onlyVersion: (service: string) => string | null;
  heldTerm: () => number | null;
  streamLifeMs: () => number;
};

export type OriginArchive = {
  start: () => void;
  stop: () => void;
  /** Notes the origins that the store has, unless it was read just now. */
  read: () => Promise<void>;
};

/** A stream that began within so long before the end of all gateways is refused. */
const WRITE_MS = 1_000;
const CALL_TIMEOUT_MS = 1_000;
/** Reads that many callers wait for are one. */
const READ_AGAIN_MS = 5_000;
/** Callers wait for it. */
const READ_TIMEOUT_MS = 500;
const FAILED_AGAIN_MS = 1_000;
/** About 300 KB, of the megabyte that a record may have. */
const BATCH_MAX = 4_000;
/** More records than are written while a stream lives; the oldest is then written over. */
const SLOTS = 256;
/** Each term of a holder has a ring of its own, so that it need not know where the one before it stopped. */
const RINGS = 4;
/** Times of day differ by seconds. */
const CLOCK_MARGIN_MS = 60_000;

type Slot = { name: string; revision: number | null };

export function createOriginArchive(deps: OriginArchiveDeps): OriginArchive {
  const { clock, log, store, origins } = deps;
  const stopping = new AbortController();
  const revisions = new Map<string, number | null>();
  let term: number | null = null;
  let archived = new WeakSet<streamOrigins.KeptOrigin>();
  let nextSlot = 0;
  let nextReadMs = -Infinity;
  let reading: Promise<void> | null = null;

  function isNeeded({ service }: streamOrigins.StreamOrigin): boolean {
    return deps.onlyVersion(service) === null;
  }

  async function slotOf(held: number): Promise<Slot | null> {
    const name = `${held % RINGS}-${nextSlot % SLOTS}`;
    const known = revisions.get(name);
    if (known !== undefined) return { name, revision: known };
    const found = await store.get('streamOrigins', name, clock.nowMs() + CALL_TIMEOUT_MS);
    return found.err ? null : { name, revision: found.val?.revision ?? null };
  }

  async function write(held: number, batch: readonly streamOrigins.KeptOrigin[]): Promise<void> {
    const slot = await slotOf(held);
    if (slot === null) return;
    const value = {
      writtenAtWallMs: clock.wallMs(),
      origins: batch.map(({ requestId, service, version }) => ({ requestId, service, version })),
    };
    const deadlineMs = clock.nowMs() + CALL_TIMEOUT_MS;
    const put = await store.put('streamOrigins', slot.name, value, slot.revision, deadlineMs);
    revisions.delete(slot.name);
    if (put.err) return;
    revisions.set(slot.name, put.val.revision);
    batch.forEach((origin) => archived.add(origin));
    nextSlot += 1;
  }

  async function step(): Promise<void> {
    const held = deps.heldTerm();
    if (held !== term) {
      term = held;
      archived = new WeakSet();
      revisions.clear();
    }
    if (held === null) return;
    const batch: streamOrigins.KeptOrigin[] = [];
    for (const origin of origins.all()) {
      if (batch.length < BATCH_MAX && !archived.has(origin) && isNeeded(origin)) batch.push(origin);
    }
    if (batch.length > 0) await write(held, batch);
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      await steps.guard(log, 'stream-origins', step);
      await clocksModule.sleepUntil(clock, clock.nowMs() + WRITE_MS, stopping.signal);
    }
  }

  async function readAll(): Promise<void> {
    const startedMs = clock.nowMs();
    const listed = await store.list('streamOrigins', startedMs + READ_TIMEOUT_MS);
    if (listed.err) {
      nextReadMs = clock.nowMs() + FAILED_AGAIN_MS;
      log.warn('stream-origins-unread', { reason: listed.val.kind });
      return;
    }
    const readMs = clock.nowMs();
    nextReadMs = readMs + READ_AGAIN_MS;
    const oldestWallMs = clock.wallMs() - deps.streamLifeMs() - CLOCK_MARGIN_MS;
    const batches = listed.val.records
      .map(({ value }) => value)
      .filter(({ writtenAtWallMs }) => writtenAtWallMs >= oldestWallMs)
      .sort((left, right) => left.writtenAtWallMs - right.writtenAtWallMs);
    // When each began is not known on this clock: they are kept for as long as if it were now.
    batches.forEach((batch) =>
      batch.origins.forEach(({ requestId, service, version }) =>
        origins.note(requestId, { service, version, begunAtMs: readMs }, readMs, 0),
      ),
    );
    log.info('stream-origins-read', {
      batchCount: batches.length,
      originCount: batches.reduce((sum, batch) => sum + batch.origins.length, 0),
      tookMs: Math.round(readMs - startedMs),
    });
  }

  return {
    start: () => void run(),
    stop: () => stopping.abort(),
    read: () => {
      if (reading !== null) return reading;
      if (clock.nowMs() < nextReadMs) return Promise.resolve();
      reading = readAll().finally(() => {
        reading = null;
      });
      return reading;
    },
  };
}
