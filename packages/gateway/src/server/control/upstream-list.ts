/**
 * Keeps this gateway's list of upstreams up to date from the store. While the lease holder relays the list, the store
 * is not called.
 */
import type { clocks, randoms } from '@copperlever/runtime';

import * as listBudgets from '../../shared/list-budget.js';
import type * as relayedLists from '../../shared/relayed-list.js';
import * as storePositions from '../../shared/store-positions.js';
import type * as storeContacts from '../../shared/store-contact.js';
import type * as directories from '../../shared/upstream-directory.js';
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
  listFeed: Pick<relayedLists.RelayedList, 'isRelayed' | 'noteConfirmed'>;
  contact: storeContacts.StoreContact;
  isHolder: () => boolean;
  /** How long an upstream that is leaving may still get requests. */
  drainTimeoutMs: number;
  onListed: () => void;
  onChanged: () => void;
};

/** Some times longer than watches hear nothing while changes are made, and far shorter than the store's history. */
const TRAIL_MS = 5_000;

function describeChange(change: stores.Change<fleet.UpstreamRecord>) {
  switch (change.kind) {
    case 'written': {
      const { upstreamId, state, softwareVersion: version } = change.record.value;
      return { upstreamId, state, version, position: storePositions.format(change.record) };
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
  const budget = listBudgets.listBudget(deps.drainTimeoutMs);

  function describePosition(): string {
    return storePositions.format(directory.position());
  }

  return followers.createFollower({
    kind: 'upstreams',
    store: deps.store,
    clock,
    random: deps.random,
    log,
    waitMs: () => budget.waitMs,
    pauseMs: () => budget.pauseMs,
    graceMs: budget.graceMs,
    listTimeoutMs: budget.listTimeoutMs,
    trailMs: TRAIL_MS,
    onConfirmed: (asOfMs) => {
      deps.listFeed.noteConfirmed(asOfMs);
      deps.contact.noteAnswered(asOfMs);
      directory.noteStoreReturn(deps.contact.returnedMs());
    },
    isRelayed: () => !deps.isHolder() && deps.listFeed.isRelayed(clock.nowMs()),
    onRelayed: (isRelayedNow, relayedMs) => {
      if (isRelayedNow) log.info('list-feed-began', { position: describePosition() });
      else log.info('list-feed-ended', { fedMs: relayedMs });
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
      const described = describeChange(change);
      const keptForMs = directory.keptForMs(described.upstreamId, clock.nowMs());
      log.info('upstream-changed', { ...described, source: 'watch', before, isTaken, keptForMs });
      deps.onChanged();
    },
    onFailed: () => deps.contact.noteFailed(clock.nowMs()),
  });
}
