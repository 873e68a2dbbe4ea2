/** Calls to the upstream over HTTP by undici; orders and reports too where it is an engine. */
import { type clocks, results } from '@copperlever/runtime';
import * as resetAwareClients from '@copperlever/runtime/reset-aware-client';
import * as undici from 'undici';

import type * as upstreams from '../../types/upstreams.js';
import * as engineReports from './engine-report.js';

export type HttpUpstreamOptions = { baseUrl: string; clock: clocks.Clock };

/** Failures before a byte was sent: the upstream cannot have seen the call. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);
const CONNECT_TIMEOUT_MS = 1_000;
const JSON_HEADERS = { 'content-type': 'application/json' };

function codeOf(cause: unknown): string {
  if (typeof cause !== 'object' || cause === null || !('code' in cause)) return '';
  return String(cause.code);
}

function detailOf(cause: unknown): string {
  return cause instanceof Error ? `${codeOf(cause)} ${cause.message}`.trim() : 'unknown';
}

function lostPart(cause: unknown): upstreams.UpstreamPart {
  const kind = NOT_SENT_CODES.has(codeOf(cause)) ? 'not-sent' : 'broken';
  return { kind, detail: detailOf(cause) };
}

function toPairs(headers: undici.Dispatcher.ResponseData['headers']) {
  return Object.entries(headers).flatMap(([name, value]) => {
    const values = Array.isArray(value) ? value : [value ?? ''];
    return values.map((one) => ({ name, value: one }));
  });
}

function abortAt(clock: clocks.Clock, deadlineMs: number) {
  const controller = new AbortController();
  const cancel = clock.schedule(deadlineMs, () => controller.abort());
  return { signal: controller.signal, cancel };
}

export type HttpUpstream = upstreams.EnginePort & { close: () => Promise<void> };

export function createHttpUpstream(options: HttpUpstreamOptions): HttpUpstream {
  const { baseUrl, clock } = options;
  // Answers may stream for minutes; the attempt's own deadline ends them.
  const pool = new undici.Pool(baseUrl, {
    factory: (origin, clientOptions) =>
      resetAwareClients.createResetAwareClient(origin, {
        ...(clientOptions as undici.Client.Options),
        connect: { timeout: CONNECT_TIMEOUT_MS },
      }),
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
  });

  async function* run(
    call: upstreams.UpstreamCall,
    signal: AbortSignal,
  ): AsyncGenerator<upstreams.UpstreamPart> {
    try {
      const response = await pool.request({
        method: call.method,
        path: call.path,
        headers: [
          ...call.headers.flatMap((header) => [header.name, header.value]),
          'x-request-id',
          call.requestId,
          'x-priority',
          String(call.priority),
        ],
        body: call.body.length > 0 ? call.body : null,
        signal,
      });
      yield { kind: 'head', status: response.statusCode, headers: toPairs(response.headers) };
      for await (const data of response.body) yield { kind: 'data', data };
      yield { kind: 'end' };
    } catch (cause) {
      yield lostPart(cause);
    }
  }

  async function order(
    numbered: upstreams.NumberedOrder,
    deadlineMs: number,
  ): Promise<results.Result<void, upstreams.OrderError>> {
    const expiry = abortAt(clock, deadlineMs);
    try {
      const response = await pool.request({
        method: 'POST',
        path: '/orders',
        headers: JSON_HEADERS,
        body: JSON.stringify(numbered),
        signal: expiry.signal,
      });
      const reply = (await response.body.json()) as { verdict?: string };
      if (response.statusCode < 300) return results.Ok(undefined);
      if (reply.verdict === 'old-fencing-number') return results.Err({ kind: reply.verdict });
      if (reply.verdict === 'no-memory') return results.Err({ kind: reply.verdict });
      return results.Err({ kind: 'outcome-unknown', detail: `status ${response.statusCode}` });
    } catch (cause) {
      const kind = NOT_SENT_CODES.has(codeOf(cause)) ? 'not-sent' : 'outcome-unknown';
      return results.Err({ kind, detail: detailOf(cause) });
    } finally {
      expiry.cancel();
    }
  }

  async function report(
    deadlineMs: number,
  ): Promise<results.Result<upstreams.EngineReport, upstreams.ReportError>> {
    const expiry = abortAt(clock, deadlineMs);
    try {
      const response = await pool.request({ method: 'GET', path: '/state', signal: expiry.signal });
      if (response.statusCode === 200) {
        const state = engineReports.parse(await response.body.json());
        if (state !== null) return results.Ok(state);
        return results.Err({ kind: 'no-report', detail: 'malformed report' });
      }
      await response.body.dump();
      return results.Err({ kind: 'no-report', detail: `status ${response.statusCode}` });
    } catch (cause) {
      return results.Err({ kind: 'unreachable', detail: detailOf(cause) });
    } finally {
      expiry.cancel();
    }
  }

  return { run, order, report, close: () => pool.close() };
}
