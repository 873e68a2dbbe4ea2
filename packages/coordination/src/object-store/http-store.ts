/** The platform's object API over HTTP. Each call makes one request; resilient-store adds retries. */
import { results } from '@copperlever/runtime';
import type { clocks } from '@copperlever/runtime';
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
  /** The delay before a retry when the API sends no `retry-after`. */
  retryAfterMs?: number;
};

export type HttpObjectStore = types.ObjectStore & { close: () => Promise<void> };

const DEFAULT_CONNECTIONS_MAX = 4;
const DEFAULT_RETRY_AFTER_MS = 500;
/** The server ends a watch at its deadline; the client waits this much longer for the answer. */
const WATCH_GRACE_MS = 1_000;
const VERSION_HEADER = 'x-object-version';

type Reply = { status: number; headers: Record<string, string | undefined>; body: Buffer };

type Failure = { kind: 'no-answer'; reason: string };

type Call = {
  method: 'GET' | 'PUT' | 'DELETE';
  path: string;
  headers?: Record<string, string>;
  body?: Buffer;
  deadlineMs: number;
};

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

  async function exchange(call: Call, signal: AbortSignal): Promise<Reply> {
    const answer = await pool.request({
      method: call.method,
      path: call.path,
      headers: call.headers ?? {},
      body: call.body ?? null,
      signal,
    });
    const body = Buffer.from(await answer.body.arrayBuffer());
    const headers = answer.headers as Record<string, string | undefined>;
    return { status: answer.statusCode, headers, body };
  }

  /** Aborting a call closes its connection, so that a connection that went silent is not used again. */
  async function send(call: Call): Promise<results.Result<Reply, Failure>> {
    const abortController = new AbortController();
    const cancel = clock.schedule(call.deadlineMs, () => abortController.abort());
    try {
      return results.Ok(await exchange(call, abortController.signal));
    } catch (cause) {
      const reason = abortController.signal.aborted ? 'deadline' : String(cause);
      return results.Err({ kind: 'no-answer', reason });
    } finally {
      cancel();
    }
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
