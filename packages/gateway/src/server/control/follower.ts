/** Follows one kind of the store's records: a listing, then watches, through outages and lost history. */
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
  /** The store answers again after it did not for `awayMs`. */
  onRegained: (awayMs: number) => void;
  /** The store's answer shows the state as of then at least. */
  onVouched: (asOfMs: number) => void;
  /** How long a watch waits: each call is paid for, and one that fell silent is noticed only at its end. */
  waitMs: () => number;
  /** After changes the next watch waits this long, so that one call brings several. */
  pauseMs: () => number;
  /** What the answer to a watch may take on top; a connection that went silent is given up after it. */
  graceMs: number;
  listTimeoutMs: number;
  /** Others tell of all changes: meanwhile nothing is asked of the store. */
  isFed: () => boolean;
  onFed: (isFed: boolean, forMs: number) => void;
};

export type Follower = {
  start: () => void;
  stop: () => void;
  /** Others have heard more: what waits now is given up, and the store asked anew. */
  renew: () => void;
  isConnected: () => boolean;
};

/** How long a watch waits while the store does not answer. */
const LOST_WAIT_MS = 400;
const MAX_BACKOFF_MS = 1_000;

/** What was asked before the store went away and is answered after its return says nothing of it. */
const EARLIER_ERA: stores.StoreError = { kind: 'unavailable', reason: 'answer of an earlier era' };

type Step = 'ok' | 'changed' | 'failed' | 'list-again';

export function createFollower<K extends stores.Kind>(options: FollowerOptions<K>): Follower {
  const { kind, store, clock, log } = options;
  const stopping = new AbortController();
  let renewWaiting: () => void = () => {};
  let position: storePositions.Position | null = null;
  let lostAtMs: number | null = null;
  let failureCount = 0;

  function describePosition(): string | undefined {
    return position === null ? undefined : storePositions.format(position);
  }

  function noteFailure(error: stores.StoreError): Step {
    failureCount += 1;
    if (lostAtMs === null) {
      lostAtMs = clock.nowMs();
      const reason = 'reason' in error ? error.reason : '';
      log.warn('store-lost', { kind, error: error.kind, reason, position: describePosition() });
    }
    return error.kind === 'history-gone' ? 'list-again' : 'failed';
  }

  function noteSuccess(): void {
    failureCount = 0;
    if (lostAtMs === null) return;
    const awayMs = clock.nowMs() - lostAtMs;
    lostAtMs = null;
    const rounded = Math.round(awayMs);
    log.info('store-regained', { kind, awayMs: rounded, position: describePosition() });
    options.onRegained(awayMs);
  }

  async function list(): Promise<Step> {
    const askedAtMs = clock.nowMs();
    const listed = await store.list(kind, askedAtMs + options.listTimeoutMs);
    if (listed.err) return noteFailure(listed.val);
    if (listed.val.era < store.era()) return noteFailure(EARLIER_ERA);
    noteSuccess();
    position = listed.val;
    options.onListing(listed.val);
    options.onVouched(askedAtMs);
    return 'ok';
  }

  async function watch(after: storePositions.Position): Promise<Step> {
    // What is asked while the store is silent is not answered after its return either.
    const waitMs = lostAtMs === null ? options.waitMs() : Math.min(LOST_WAIT_MS, options.waitMs());
    const askedAtMs = clock.nowMs();
    const deadlineMs = askedAtMs + waitMs + options.graceMs;
    const renewed = new Promise<'renewed'>((resolve) => {
      renewWaiting = () => resolve('renewed');
    });
    const watched = store.watch(kind, after.revision, waitMs, deadlineMs);
    const first = await Promise.race([watched, renewed]);
    if (first === 'renewed') return 'list-again';
    const step = takeChanges(first, after);
    // Without changes it was answered at the end of its wait; with some at any moment since it was asked for.
    if (step === 'ok') options.onVouched(Math.min(askedAtMs + waitMs, clock.nowMs()));
    if (step === 'changed') options.onVouched(askedAtMs);
    return step;
  }

  function takeChanges(
    watched: results.Result<stores.Changes<stores.KindValues[K]>, stores.StoreError>,
    after: storePositions.Position,
  ): Step {
    if (watched.err) return noteFailure(watched.val);
    if (watched.val.era < store.era()) {
      position = null;
      return noteFailure(EARLIER_ERA);
    }
    noteSuccess();
    // There the revision that was asked for means another change.
    if (watched.val.era > after.era) return 'list-again';
    watched.val.changes.forEach(options.onChange);
    position = watched.val;
    return watched.val.changes.length > 0 ? 'changed' : 'ok';
  }

  /** Rests while others tell of changes. Those of that time are listed: as events they may be gone from the history. */
  async function awaitOwnTurn(): Promise<void> {
    if (position === null || !options.isFed()) return;
    const startedMs = clock.nowMs();
    options.onFed(true, 0);
    while (options.isFed() && !stopping.signal.aborted) {
      await clocks.sleepUntil(clock, clock.nowMs() + listBudgets.FED_STEP_MS, stopping.signal);
    }
    options.onFed(false, Math.round(clock.nowMs() - startedMs));
    position = null;
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      await awaitOwnTurn();
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
      renewWaiting();
    },
    renew: () => renewWaiting(),
    isConnected: () => lostAtMs === null,
  };
}
