/** The audit trail: one object for each accepted patch, each naming the one before it. */
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

/** Follows the chain from the record `newestHash` back, as long as `wanted` says. */
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
    // The hash is the record's name: a record that does not match it was tampered with.
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
