/** Who held the lease before the store came back from a copy: the copy may lack some takeovers, or the lease itself. */
import { results } from '@copperlever/runtime';

import type * as peerBooks from '../../shared/peer-book.js';
import type * as stores from '../../types/stores.js';

type StoredLease = stores.StoredRecord<stores.LeaseValue>;

export type EarlierLease = {
  /** As the store has it; null where it has none. */
  stored: StoredLease | null;
  /** As the store or other gateways know it, whichever is later; null if nobody is known to have held it. */
  value: stores.LeaseValue | null;
};

const NOBODY: stores.LeaseValue = {
  holderId: '',
  address: '',
  term: 0,
  gatewayCount: 1,
  scarceOrganisations: [],
  renewals: 0,
  isReleased: false,
};

async function findStored(
  store: Pick<stores.RecordStore, 'list'>,
  deadlineMs: number,
): Promise<results.Result<StoredLease | null, stores.StoreError>> {
  const listed = await store.list('leases', deadlineMs);
  if (listed.err) return listed;
  const [latest] = [...listed.val.records].sort((a, b) => b.value.term - a.value.term);
  return results.Ok(latest ?? null);
}

/** Also where the copy is of before a release: whoever held it counts as holding it. */
export async function find(
  store: Pick<stores.RecordStore, 'list'>,
  book: Pick<peerBooks.PeerBook, 'lease' | 'addressOf'>,
  deadlineMs: number,
): Promise<results.Result<EarlierLease, stores.StoreError>> {
  const found = await findStored(store, deadlineMs);
  if (found.err) return found;
  const stored = found.val;
  const known = book.lease();
  const isStoredLater = known === null || (stored !== null && stored.value.term >= known.term);
  if (isStoredLater) {
    const value = stored === null ? null : { ...stored.value, isReleased: false };
    return results.Ok({ stored, value });
  }
  const address = book.addressOf(known.holderId) ?? '';
  const value = { ...NOBODY, ...stored?.value, ...known, address, isReleased: false };
  return results.Ok({ stored, value });
}
