/** The platform's object API over HTTP. Each call makes one request; resilient-store adds retries. */
import { results } from '@copperlever/runtime';
import type { clocks, daemonHolds } from '@copperlever/runtime';
import * as boundedCalls from '@copperlever/runtime/bounded-calls';
import * as processMemory from '@copperlever/runtime/memory';
import * as resetAwareClients from '@copperlever/runtime/reset-aware-client';
import * as undici from 'undici';
import type * as zod from 'zod';

import * as answers from './answers.js';
import type * as types from './types.js';

export type HttpObjectStoreOptions = {
  /** Such as `http://10.0.0.5:7000`, without a path. */
  baseUrl: string;
  clock: clocks.Clock;
  /** The maximum number of connections to the API; a waiting watch occupies one. */
  connectionsMax?: number;
  /** Bounds the bytes of all answers that are being read; the default memory's share without it. */
  reads?: Pick<daemonHolds.DaemonHolds, 'reads' | 'noteClosed'>;
  /** The delay before a retry when the API sends no `retry-after`. */
  retryAfterMs?: number;
};

export type HttpObjectStore = types.ObjectStore & { close: () => Promise<void> };

const DEFAULT_CONNECTIONS_MAX = 4;
const DEFAULT_RETRY_AFTER_MS = 500;
/** The server ends a watch at its deadline; the client waits this much longer for the answer. */
const WATCH_GRACE_MS = 1_000;
const VERSION_HEADER = 'x-object-version';

/** Listings are the longest answers. */
const ANSWER_BYTES_MAX = 8 * 1024 * 1024;
const DEFAULT_SHARE_OF_READS = 0.1;

type Reply = boundedCalls.Answer;

/** The path of an object: each segment of the key is encoded, and the slashes are kept. */
export function objectPath(key: string): string {
  return `/objects/${key.split('/').map(encodeURIComponent).join('/')}`;
}

function conditionHeaders(condition: types.WriteCondition): Record<string, string> {
  switch (condition.kind) {
    case 'absent':
      return { 'if-none-match': '*' };
    case 'version':
      return { 'if-match': String(condition.version) };
  }
}

export function createHttpObjectStore(options: HttpObjectStoreOptions): HttpObjectStore {
  const { clock } = options;
  const retryAfterMs = options.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
  const pool = new undici.Pool(options.baseUrl, {
    factory: (origin, clientOptions) =>
      resetAwareClients.createResetAwareClient(origin, {
        ...(clientOptions as undici.Client.Options),
        connect: {},
      }),
    connections: options.connectionsMax ?? DEFAULT_CONNECTIONS_MAX,
    // The deadline of each call is enforced in `send`, on the injected clock.
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  const limits = {
    reader: 'object-api',
    bytesMax: ANSWER_BYTES_MAX,
    budget: options.reads?.reads ?? processMemory.budgetOf(undefined, DEFAULT_SHARE_OF_READS),
    noteClosed: options.reads?.noteClosed ?? (() => {}),
  };

  function send(call: Omit<boundedCalls.BoundedCall, 'origin'>) {
    return boundedCalls.call(pool, clock, { ...call, origin: options.baseUrl }, limits);
  }

  function unavailable(reason: string, headers: Reply['headers'] = {}): types.ObjectError {
    const seconds = Number(headers['retry-after'] ?? Number.NaN);
    const waitMs = Number.isFinite(seconds) ? seconds * 1_000 : retryAfterMs;
    return { kind: 'unavailable', retryAtMs: clock.nowMs() + waitMs, reason };
  }

  function unavailableFrom(reply: Reply): types.ObjectError {
    return unavailable(`status ${reply.status}`, reply.headers);
  }

  async function read(path: string, deadlineMs: number) {
    const sent = await send({ method: 'GET', path, deadlineMs });
    return sent.mapErr((failure) => unavailable(failure.reason));
  }

  /** Whoever answers at that address may be another than the platform. */
  async function readJson<Value>(
    path: string,
    schema: zod.ZodType<Value>,
    deadlineMs: number,
  ): Promise<results.Result<Value, types.ObjectError>> {
    const sent = await read(path, deadlineMs);
    if (sent.err) return sent;
    if (sent.val.status !== 200) return results.Err(unavailableFrom(sent.val));
    const value = answers.parse(sent.val.body, schema);
    return value === null ? results.Err(unavailable('malformed answer')) : results.Ok(value);
  }

  return {
    get: async (key, deadlineMs) => {
      const sent = await read(objectPath(key), deadlineMs);
      if (sent.err) return sent;
      const { status, headers, body } = sent.val;
      if (status === 404) return results.Ok(null);
      if (status !== 200) return results.Err(unavailableFrom(sent.val));
      const version = Number(headers[VERSION_HEADER]);
      if (!Number.isSafeInteger(version)) return results.Err(unavailable('malformed answer'));
      return results.Ok({ key, version, value: body });
    },

    put: async (key, value, condition, deadlineMs) => {
      const headers = {
        'content-type': 'application/octet-stream',
        ...conditionHeaders(condition),
      };
      const path = objectPath(key);
      const sent = await send({ method: 'PUT', path, headers, body: value, deadlineMs });
      if (sent.err) {
        return results.Err({ kind: 'outcome-unknown', key, reason: sent.val.reason });
      }
      switch (sent.val.status) {
        case 200:
          return results.Ok(Number(sent.val.headers[VERSION_HEADER]));
        case 412:
          return results.Err({ kind: 'conflict', key });
        case 413:
          return results.Err({ kind: 'too-large', key, sizeBytes: value.length });
        case 429:
        case 503:
          return results.Err(unavailableFrom(sent.val));
        default: {
          // Any other status, such as one from a proxy, leaves open whether the write took effect.
          const reason = `status ${sent.val.status}`;
          return results.Err({ kind: 'outcome-unknown', key, reason });
        }
      }
    },

    remove: async (key, deadlineMs) => {
      const sent = await send({ method: 'DELETE', path: objectPath(key), deadlineMs });
      if (sent.err) {
        return results.Err({ kind: 'outcome-unknown', key, reason: sent.val.reason });
      }
      const isDone = [200, 204, 404].includes(sent.val.status);
      return isDone ? results.Ok(undefined) : results.Err(unavailableFrom(sent.val));
    },

    list: async (prefix, deadlineMs) => {
      const path = `/list?prefix=${encodeURIComponent(prefix)}`;
      const reply = await readJson(path, answers.listing, deadlineMs);
      return reply.map((body) => body.objects);
    },

    watch: (prefix, afterRevision, deadlineMs) => {
      const waitMs = Math.max(0, Math.round(deadlineMs - clock.nowMs()));
      const query = `prefix=${encodeURIComponent(prefix)}&after=${afterRevision}`;
      return readJson(
        `/watch?${query}&timeout-ms=${waitMs}`,
        answers.changes,
        deadlineMs + WATCH_GRACE_MS,
      );
    },

    listVms: async (deadlineMs) => {
      const reply = await readJson('/vms', answers.machines, deadlineMs);
      return reply.map((body) => body.vms);
    },

    close: () => pool.destroy(),
  };
}
