/** The audit trail: one object for each accepted patch, each referencing the previous one. */
import { results } from '@copperlever/runtime';

import type * as objectStore from '../object-store/types.js';

import * as documentCodec from './document-codec.js';
import type * as types from './types.js';

export function auditKey(auditHash: string): string {
  return `config/audit/${auditHash}`;
}

export function encodeRecord(record: types.AuditRecord): { hash: string; data: Buffer } {
  const data = Buffer.from(JSON.stringify(record));
  return { hash: documentCodec.hashOf(data), data };
}

/** Follows the chain backwards from the record `newestHash`, as long as `shouldInclude` returns true. */
export async function walk(
  store: Pick<objectStore.ObjectStore, 'get'>,
  newestHash: string,
  shouldInclude: (record: types.AuditRecord, count: number) => boolean,
  deadlineMs: number,
): Promise<results.Result<types.AuditRecord[], objectStore.ObjectError | null>> {
  const found: types.AuditRecord[] = [];
  let hash = newestHash;
  while (hash !== '') {
    const read = await store.get(auditKey(hash), deadlineMs);
    if (read.err) return read;
    // The key of a record is the hash of its content: a record that does not match was tampered with.
    if (read.val === null || documentCodec.hashOf(read.val.value) !== hash) {
      return results.Err(null);
    }
    const record = JSON.parse(read.val.value.toString('utf8')) as types.AuditRecord;
    if (!shouldInclude(record, found.length)) break;
    found.push(record);
    hash = record.previousAuditHash;
  }
  return results.Ok(found);
}
