/**
 * Finds the last known lease after the store was restored from a backup, which may lack the latest takeovers or have no
 * lease at all.
 */
import { results } from '@copperlever/runtime';

import type * as peerRegistries from '../../shared/peer-registry.js';
import type * as stores from '../../types/stores.js';

type StoredLease = stores.StoredRecord<stores.LeaseValue>;

export type EarlierLease = {
  /** The record with the highest term in the store; null if there is none. */
  stored: StoredLease | null;
  /** The lease as known to the store or other gateways, by the higher term. */
  value: stores.LeaseValue;
};

/** Stands for a holder of which neither the store nor any gateway known here knows. */
const UNKNOWN_HOLDER: stores.LeaseValue = {
  holderId: '',
  address: '',
  term: 0,
  gatewayCount: 1,
  scarceOrganisations: [],
  renewals: 0,
  isReleased: false,
  orderDelayMs: null,
};

/** What the store's copy says of a holder may have been followed by more, or by another holder. */
const ANY_LATER_HOLDER = { isReleased: false, orderDelayMs: null };

async function findStored(
  store: Pick<stores.RecordStore, 'list'>,
  deadlineMs: number,
): Promise<results.Result<StoredLease | null, stores.StoreError>> {
  const listed = await store.list('leases', deadlineMs);
  if (listed.err) return listed;
  const [latest] = [...listed.val.records].sort((a, b) => b.value.term - a.value.term);
  return results.Ok(latest ?? null);
}

/** A release is ignored: the backup may predate a later acquisition, so the last known holder counts as holding it. */
export async function find(
  store: Pick<stores.RecordStore, 'list'>,
  peerRegistry: Pick<peerRegistries.PeerRegistry, 'lease' | 'addressOf'>,
  deadlineMs: number,
): Promise<results.Result<EarlierLease, stores.StoreError>> {
  const found = await findStored(store, deadlineMs);
  if (found.err) return found;
  const stored = found.val;
  const known = peerRegistry.lease();
  const isStoredLater = known === null || (stored !== null && stored.value.term >= known.term);
  if (isStoredLater) {
    const value = { ...UNKNOWN_HOLDER, ...stored?.value, ...ANY_LATER_HOLDER };
    return results.Ok({ stored, value });
  }
  const address = peerRegistry.addressOf(known.holderId) ?? '';
  const value = { ...UNKNOWN_HOLDER, ...stored?.value, ...known, address, ...ANY_LATER_HOLDER };
  return results.Ok({ stored, value });
}
