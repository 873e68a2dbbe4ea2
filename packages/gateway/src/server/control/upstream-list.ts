/** Keeps this gateway's list of upstreams: by its own listing and watch, or by what the holder of the lease tells. */
import type { clocks, randoms } from '@copperlever/runtime';

import type * as listFeeds from '../../shared/list-feed.js';
import type * as peerBooks from '../../shared/peer-book.js';
import * as storePositions from '../../shared/store-positions.js';
import type * as directories from '../../shared/upstream-directory.js';
import * as watchPauses from '../../shared/watch-pauses.js';
import type * as fleet from '../../types/fleet.js';
import type * as logEvents from '../../types/log-events.js';
import type * as stores from '../../types/stores.js';
import * as followers from './follower.js';

export type UpstreamListDeps = {
  store: stores.RecordStore;
  clock: clocks.Clock;
  random: randoms.Random;
  log: logEvents.GatewayLog;
  directory: directories.UpstreamDirectory;
  listFeed: Pick<listFeeds.ListFeed, 'isFed'>;
  book: Pick<peerBooks.PeerBook, 'lease' | 'lastHeardMs'>;
  isHolder: () => boolean;
  /** How long an upstream that leaves may still get work. */
  drainTimeoutMs: number;
  onListed: () => void;
  onChanged: () => void;
};

/** An absence shorter than this lets no entry of the platform's list lapse. */
const LAPSE_ABSENCE_MS = 1_000;
const FOLLOWER_WAIT_MS = 15_000;
const HOLDER_HEARD_MS = 1_000;

/** One gateway has to notice a silent connection in time; the others learn from it. */
export function watchWaitMs({
  book,
  clock,
  drainTimeoutMs,
}: Pick<UpstreamListDeps, 'book' | 'clock' | 'drainTimeoutMs'>): number {
  const lease = book.lease();
  const heardMs = lease === null ? null : book.lastHeardMs(lease.holderId);
  const hearsHolder = heardMs !== null && clock.nowMs() - heardMs < HOLDER_HEARD_MS;
  return hearsHolder ? FOLLOWER_WAIT_MS : watchPauses.holderWaitMs(drainTimeoutMs);
}

function describeChange(change: stores.Change<fleet.UpstreamRecord>) {
  switch (change.kind) {
    case 'written': {
      const { upstreamId, state } = change.record.value;
      return { upstreamId, state, position: storePositions.format(change.record) };
    }
    case 'unreadable':
      return {
        upstreamId: change.name,
        state: 'unreadable',
        position: storePositions.format(change),
      };
    case 'deleted':
      return { upstreamId: change.name, state: 'gone', position: storePositions.format(change) };
  }
}

export function createUpstreamList(deps: UpstreamListDeps): followers.Follower {
  const { clock, directory, log } = deps;

  function describePosition(): string {
    return storePositions.format(directory.position());
  }

  return followers.createFollower({
    kind: 'upstreams',
    store: deps.store,
    clock,
    random: deps.random,
    log,
    waitMs: () => watchWaitMs(deps),
    pauseMs: () =>
      deps.isHolder()
        ? watchPauses.HOLDER_PAUSE_MS
        : watchPauses.followerPauseMs(deps.drainTimeoutMs),
    isFed: () => !deps.isHolder() && deps.listFeed.isFed(clock.nowMs()),
    onFed: (isFedNow, fedMs) => {
      if (isFedNow) log.info('list-feed-began', { position: describePosition() });
      else log.info('list-feed-ended', { fedMs });
    },
    onListing: (listing) => {
      const before = describePosition();
      const isTaken = directory.applyListing(listing, clock.nowMs());
      deps.onListed();
      const position = storePositions.format(listing);
      log.info('upstreams-listed', { count: listing.records.length, position, before, isTaken });
      deps.onChanged();
    },
    onChange: (change) => {
      const before = describePosition();
      const isTaken = directory.applyChange(change, clock.nowMs());
      log.info('upstream-changed', { ...describeChange(change), source: 'watch', before, isTaken });
      deps.onChanged();
    },
    onRegained: (awayMs) => {
      if (awayMs > LAPSE_ABSENCE_MS) directory.storeRegained(clock.nowMs());
    },
  });
}
