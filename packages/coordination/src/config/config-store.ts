/** Stores the configuration in the object store: a head, content-addressed parts and an audit trail. */
import { results } from '@copperlever/runtime';
import type { clocks, randoms } from '@copperlever/runtime';
import * as zod from 'zod';

import * as nonces from '../nonces.js';
import * as answers from '../object-store/answers.js';
import * as ownWrites from '../object-store/own-writes.js';
import * as objectStore from '../object-store/types.js';

import * as auditTrail from './audit-trail.js';
import * as documentCodec from './document-codec.js';
import type * as types from './types.js';

export type ConfigStoreOptions<Document> = {
  store: Pick<objectStore.ObjectStore, 'get' | 'put' | 'remove'>;
  codec: types.DocumentCodec<Document>;
  clock: clocks.Clock;
  random: randoms.Random;
};

export const HEAD_KEY = 'config/head';

const DEFAULT_RETRY_AFTER_MS = 1_000;

export function partKey(hash: string): string {
  return `config/parts/${hash}`;
}

const headSchema = zod.object({
  version: zod.int(),
  parts: zod.array(zod.object({ partName: zod.string(), hash: zod.string() })),
  auditHash: zod.string(),
  nonce: zod.string(),
});

export function parseHead(value: Buffer): types.ConfigHead | undefined {
  return answers.parse(value, headSchema) ?? undefined;
}

type ReadHead = { head: types.ConfigHead; objectVersion: number };

export function createConfigStore<Document>(
  options: ConfigStoreOptions<Document>,
): types.ConfigStore<Document> {
  const { store, codec, clock, random } = options;

  function unavailable(error: objectStore.ObjectError | null): types.ConfigError {
    const retryAtMs =
      error?.kind === 'unavailable' ? error.retryAtMs : clock.nowMs() + DEFAULT_RETRY_AFTER_MS;
    return { kind: 'store-unavailable', retryAtMs };
  }

  async function readHead(
    deadlineMs: number,
  ): Promise<results.Result<ReadHead | null, types.ConfigError>> {
    const read = await store.get(HEAD_KEY, deadlineMs);
    if (read.err) return results.Err(unavailable(read.val));
    if (read.val === null) return results.Ok(null);
    const head = parseHead(read.val.value);
    if (head === undefined) return results.Err({ kind: 'malformed', key: HEAD_KEY });
    return results.Ok({ head, objectVersion: read.val.version });
  }

  function assemble(
    head: types.ConfigHead,
    parts: ReadonlyMap<string, Buffer>,
  ): types.StoredVersion<Document> | undefined {
    const verified: types.Part[] = [];
    for (const reference of head.parts) {
      const data = parts.get(reference.hash);
      if (data === undefined || documentCodec.hashOf(data) !== reference.hash) return undefined;
      verified.push({ ...reference, data });
    }
    const document = codec.fromParts(verified);
    if (document === undefined) return undefined;
    const held = new Map(verified.map((part) => [part.hash, part.data]));
    return { version: head.version, document, head, parts: held };
  }

  async function readParts(
    head: types.ConfigHead,
    known: ReadonlyMap<string, Buffer>,
    deadlineMs: number,
  ): Promise<results.Result<Map<string, Buffer>, types.ConfigError>> {
    const parts = new Map<string, Buffer>();
    for (const { hash } of head.parts) {
      const held = known.get(hash);
      if (held !== undefined) {
        parts.set(hash, held);
        continue;
      }
      const read = await store.get(partKey(hash), deadlineMs);
      if (read.err) return results.Err(unavailable(read.val));
      if (read.val === null) return results.Err({ kind: 'malformed', key: partKey(hash) });
      parts.set(hash, read.val.value);
    }
    return results.Ok(parts);
  }

  /** Writes an object whose key is the hash of its content; an object that exists already is the same. */
  async function writeContentAddressed(
    key: string,
    value: Buffer,
    deadlineMs: number,
  ): Promise<results.Result<void, types.ConfigError>> {
    const write = { key, value, condition: { kind: 'absent' as const }, isOwn: () => true };
    const done = await ownWrites.writeOwn(options, write, deadlineMs);
    if (done.ok) return results.Ok(undefined);
    switch (done.val.kind) {
      case 'unavailable':
        return results.Err({ kind: 'store-unavailable', retryAtMs: done.val.retryAtMs });
      case 'conflict':
      case 'outcome-unknown':
      case 'too-large':
        return results.Err(unavailable(null));
    }
  }

  async function writeParts(
    parts: readonly types.Part[],
    present: types.ConfigHead | undefined,
    deadlineMs: number,
  ): Promise<results.Result<void, types.ConfigError>> {
    const existing = new Set(present?.parts.map((part) => part.hash));
    for (const part of parts) {
      if (existing.has(part.hash)) continue;
      const done = await writeContentAddressed(partKey(part.hash), part.data, deadlineMs);
      if (done.err) return done;
    }
    return results.Ok(undefined);
  }

  /** Whether the patch `auditHash` is in the chain of audit records that ends at the present head. */
  async function wasAccepted(
    auditHash: string,
    version: number,
    present: types.ConfigHead,
    deadlineMs: number,
  ): Promise<boolean | 'unknown'> {
    if (present.auditHash === auditHash) return true;
    const isLater = (record: types.AuditRecord) => record.version > version;
    const later = await auditTrail.walk(store, present.auditHash, isLater, deadlineMs);
    if (later.err) return 'unknown';
    return later.val.at(-1)?.previousAuditHash === auditHash;
  }

  async function writeHead(
    head: types.ConfigHead,
    before: ReadHead | null,
    deadlineMs: number,
  ): Promise<results.Result<void, types.ConfigError>> {
    const { version, auditHash } = head;
    const unknown: types.ConfigError = { kind: 'outcome-unknown', version, auditHash };
    const write: ownWrites.OwnWrite = {
      key: HEAD_KEY,
      value: Buffer.from(JSON.stringify(head)),
      condition:
        before === null ? { kind: 'absent' } : { kind: 'version', version: before.objectVersion },
      isOwn: (stored) => parseHead(stored)?.nonce === head.nonce,
    };
    const done = await ownWrites.writeOwn(options, write, deadlineMs);
    if (done.ok) return results.Ok(undefined);
    switch (done.val.kind) {
      case 'unavailable':
        return results.Err({ kind: 'store-unavailable', retryAtMs: done.val.retryAtMs });
      case 'outcome-unknown':
        return results.Err(unknown);
      case 'too-large':
        return results.Err({ kind: 'too-large', partName: 'head', sizeBytes: done.val.sizeBytes });
      case 'conflict': {
        const present = done.val.present === null ? undefined : parseHead(done.val.present.value);
        if (present === undefined) return results.Err({ kind: 'malformed', key: HEAD_KEY });
        // Another patch may have been accepted on top of this one while its answer was lost.
        const accepted = await wasAccepted(auditHash, version, present, deadlineMs);
        if (accepted === 'unknown') return results.Err(unknown);
        if (accepted) return results.Ok(undefined);
        return results.Err({ kind: 'stale', presentVersion: present.version });
      }
    }
  }

  async function submit(
    submission: types.Submission<Document>,
    deadlineMs: number,
  ): Promise<results.Result<types.StoredVersion<Document>, types.ConfigError>> {
    const { operator, patch, againstVersion, document } = submission;
    const read = await readHead(deadlineMs);
    if (read.err) return read;
    const presentVersion = read.val?.head.version ?? 0;
    if (presentVersion !== againstVersion) {
      return results.Err({ kind: 'stale', presentVersion });
    }
    const parts = codec.toParts(document);
    const oversized = parts.find((part) => part.data.length > objectStore.MAX_VALUE_BYTES);
    if (oversized !== undefined) {
      const { partName, data } = oversized;
      return results.Err({ kind: 'too-large', partName, sizeBytes: data.length });
    }
    const version = againstVersion + 1;
    const audit = auditTrail.encodeRecord({
      version,
      againstVersion,
      operator,
      acceptedAt: new Date(clock.wallMs()).toISOString(),
      patch,
      previousAuditHash: read.val?.head.auditHash ?? '',
    });
    if (audit.data.length > objectStore.MAX_VALUE_BYTES) {
      const sizeBytes = audit.data.length;
      return results.Err({ kind: 'too-large', partName: 'patch', sizeBytes });
    }
    // All objects that the head references must exist before the head, since readers follow it at once.
    const written = await writeParts(parts, read.val?.head, deadlineMs);
    if (written.err) return written;
    const audited = await writeContentAddressed(
      auditTrail.auditKey(audit.hash),
      audit.data,
      deadlineMs,
    );
    if (audited.err) return audited;
    const head: types.ConfigHead = {
      version,
      parts: parts.map(({ partName, hash }) => ({ partName, hash })),
      auditHash: audit.hash,
      nonce: nonces.createNonce(random),
    };
    const done = await writeHead(head, read.val, deadlineMs);
    const held = new Map(parts.map((part) => [part.hash, part.data]));
    return done.map(() => ({ version, document, head, parts: held }));
  }

  return {
    assemble,
    submit,

    read: async (deadlineMs, known = new Map()) => {
      const read = await readHead(deadlineMs);
      if (read.err) return read;
      if (read.val === null) return results.Ok(null);
      const parts = await readParts(read.val.head, known, deadlineMs);
      if (parts.err) return parts;
      const version = assemble(read.val.head, parts.val);
      return version === undefined
        ? results.Err({ kind: 'malformed', key: HEAD_KEY })
        : results.Ok(version);
    },

    history: async (limit, deadlineMs) => {
      const read = await readHead(deadlineMs);
      if (read.err) return read;
      const newest = read.val?.head.auditHash ?? '';
      const wanted = (_record: types.AuditRecord, count: number) => count < limit;
      const walked = await auditTrail.walk(store, newest, wanted, deadlineMs);
      if (walked.ok) return walked;
      return walked.val === null
        ? results.Err({ kind: 'malformed', key: 'config/audit' })
        : results.Err(unavailable(walked.val));
    },
  };
}
