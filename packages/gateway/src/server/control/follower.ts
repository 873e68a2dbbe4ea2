/**
 * Keeps up with the store's records of one kind by a listing and then watches. Recovers from outages of the store and
 * from lost history by listing again.
 */
import { clocks } from '@copperlever/runtime';
import type { randoms, results } from '@copperlever/runtime';

import * as listBudgets from '../../shared/list-budget.js';
import * as storePositions from '../../shared/store-positions.js';
import type * as logEvents from '../../types/log-events.js';
import type * as stores from '../../types/stores.js';

export type FollowerOptions<K extends stores.Kind> = {
  kind: K;
  store: stores.RecordStore;
  clock: clocks.Clock;
  random: randoms.Random;
  log: logEvents.GatewayLog;
  onListing: (listing: stores.Listing<stores.KindValues[K]>) => void;
  onChange: (change: stores.Change<stores.KindValues[K]>) => void;
  /** A call failed. */
  onFailed: () => void;
  /** An answer of the store confirms that the records are complete up to this time; called before they are applied. */
  onConfirmed: (asOfMs: number) => void;
  /** How long a watch waits. Each call is paid for, but a connection that fell silent is noticed only at its end. */
  waitMs: () => number;
  /** Pause before the next watch after one that returned changes, so that one call returns several. */
  pauseMs: () => number;
  /**
   * Time allowed for the answer beyond `waitMs`; after it the connection is taken for silent and the call is given up.
   */
  graceMs: number;
  listTimeoutMs: number;
  /**
   * For so long after an answer without changes the next watches begin where that one began. A store whose watches hear nothing
   * while changes are made, and that then drops its history, so reports the gap.
   */
  trailMs: number;
  /** Whether the records are relayed by another gateway; the store is not called meanwhile. */
  isRelayed: () => boolean;
  /** Relaying has begun, or has ended after `forMs`. */
  onRelayed: (isRelayed: boolean, forMs: number) => void;
};

export type Follower = {
  start: () => void;
  stop: () => void;
  /** Another gateway knows a later era of the store: gives up the present watch and lists again. */
  relist: () => void;
  isConnected: () => boolean;
};

/** Limit of a watch's wait while the store does not answer. */
const UNAVAILABLE_WAIT_MS = 400;
const MAX_BACKOFF_MS = 1_000;

/** A call that was sent before the store was restored and is answered after it does not show the present state. */
const EARLIER_ERA: stores.StoreError = { kind: 'unavailable', reason: 'answer of an earlier era' };

const NOT_APPLIED: stores.StoreError = { kind: 'unavailable', reason: 'listing not applied' };

type StepResult = 'ok' | 'changed' | 'failed' | 'list-again';

export function createFollower<K extends stores.Kind>(options: FollowerOptions<K>): Follower {
  const { kind, store, clock, log } = options;
  const stopping = new AbortController();
  let abortWatch: () => void = () => {};
  let position: storePositions.Position | null = null;
  /** Where the store stood by answers without changes, from which watches do not begin yet. */
  let trailing: readonly { at: storePositions.Position; atMs: number }[] = [];
  let unavailableSinceMs: number | null = null;
  let failureCount = 0;

  function describePosition(): string | undefined {
    return position === null ? undefined : storePositions.format(position);
  }

  function noteFailure(error: stores.StoreError): StepResult {
    failureCount += 1;
    options.onFailed();
    if (unavailableSinceMs === null) {
      unavailableSinceMs = clock.nowMs();
      const reason = 'reason' in error ? error.reason : '';
      log.warn('store-lost', { kind, error: error.kind, reason, position: describePosition() });
    }
    return error.kind === 'history-gone' ? 'list-again' : 'failed';
  }

  function noteSuccess(): void {
    failureCount = 0;
    if (unavailableSinceMs === null) return;
    const awayMs = clock.nowMs() - unavailableSinceMs;
    unavailableSinceMs = null;
    const rounded = Math.round(awayMs);
    log.info('store-regained', { kind, awayMs: rounded, position: describePosition() });
  }

  /** What is thrown for one record ends neither the following nor the process. Returns whether it was applied. */
  function isApplied(recordName: string, apply: () => void): boolean {
    try {
      apply();
      return true;
    } catch (cause) {
      log.error('record-not-applied', { kind, recordName, reason: String(cause) });
      return false;
    }
  }

  async function list(): Promise<StepResult> {
    const requestedAtMs = clock.nowMs();
    const listed = await store.list(kind, requestedAtMs + options.listTimeoutMs);
    if (listed.err) return noteFailure(listed.val);
    if (listed.val.era < store.era()) return noteFailure(EARLIER_ERA);
    noteSuccess();
    position = listed.val;
    trailing = [];
    options.onConfirmed(requestedAtMs);
    if (isApplied('', () => options.onListing(listed.val))) return 'ok';
    position = null;
    return noteFailure(NOT_APPLIED);
  }

  async function watch(after: storePositions.Position): Promise<StepResult> {
    // A watch that is sent while the store is silent is not answered after the outage either, so it must end soon.
    const waitMs =
      unavailableSinceMs === null
        ? options.waitMs()
        : Math.min(UNAVAILABLE_WAIT_MS, options.waitMs());
    const requestedAtMs = clock.nowMs();
    const deadlineMs = requestedAtMs + waitMs + options.graceMs;
    const relisted = new Promise<'renewed'>((resolve) => {
      abortWatch = () => resolve('renewed');
    });
    const watched = store.watch(kind, after.revision, waitMs, deadlineMs);
    const first = await Promise.race([watched, relisted]);
    if (first === 'renewed') return 'list-again';
    return applyChanges(first, after, { requestedAtMs, waitMs });
  }

  function applyChanges(
    watched: results.Result<stores.Changes<stores.KindValues[K]>, stores.StoreError>,
    after: storePositions.Position,
    { requestedAtMs, waitMs }: { requestedAtMs: number; waitMs: number },
  ): StepResult {
    if (watched.err) return noteFailure(watched.val);
    if (watched.val.era < store.era()) {
      position = null;
      return noteFailure(EARLIER_ERA);
    }
    noteSuccess();
    // In a later era the revision that the watch started from stands for another change.
    if (watched.val.era > after.era) return 'list-again';
    const isChanged = watched.val.changes.length > 0;
    // Without changes the answer was sent at the end of the wait; with changes, at any time since the request.
    const unchangedMs = Math.min(requestedAtMs + waitMs, clock.nowMs());
    options.onConfirmed(isChanged ? requestedAtMs : unchangedMs);
    watched.val.changes.forEach((change) => {
      const { name } = change.kind === 'written' ? change.record : change;
      isApplied(name, () => options.onChange(change));
    });
    advance(watched.val, isChanged);
    return isChanged ? 'changed' : 'ok';
  }

  function advance(reached: storePositions.Position, isChanged: boolean): void {
    if (isChanged) {
      position = reached;
      trailing = [];
      return;
    }
    const nowMs = clock.nowMs();
    trailing = [...trailing, { at: reached, atMs: nowMs }];
    const settled = trailing.filter(({ atMs }) => nowMs - atMs >= options.trailMs);
    position = settled.at(-1)?.at ?? position;
    trailing = trailing.slice(settled.length);
  }

  /**
   * Waits while another gateway relays the records. Afterwards they are listed, since the changes of that time may be
   * gone from the store's history.
   */
  async function awaitRelayEnd(): Promise<void> {
    if (position === null || !options.isRelayed()) return;
    const startedMs = clock.nowMs();
    options.onRelayed(true, 0);
    while (options.isRelayed() && !stopping.signal.aborted) {
      await clocks.sleepUntil(
        clock,
        clock.nowMs() + listBudgets.RELAY_CHECK_INTERVAL_MS,
        stopping.signal,
      );
    }
    options.onRelayed(false, Math.round(clock.nowMs() - startedMs));
    position = null;
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      await awaitRelayEnd();
      if (stopping.signal.aborted) return;
      const step = position === null ? await list() : await watch(position);
      if (step === 'list-again') position = null;
      const pauseMs = step === 'changed' ? options.pauseMs() : 0;
      if (pauseMs > 0) {
        await clocks.sleepUntil(clock, clock.nowMs() + pauseMs, stopping.signal);
      }
      if (step === 'failed') {
        const limitMs = Math.min(
          MAX_BACKOFF_MS,
          listBudgets.FIRST_BACKOFF_MS * 2 ** (failureCount - 1),
        );
        const waitMs = limitMs * (0.5 + options.random.fraction() / 2);
        await clocks.sleepUntil(clock, clock.nowMs() + waitMs, stopping.signal);
      }
    }
  }

  return {
    start: () => {
      void run();
    },
    stop: () => {
      stopping.abort();
      abortWatch();
    },
    relist: () => abortWatch(),
    isConnected: () => unavailableSinceMs === null,
  };
}
