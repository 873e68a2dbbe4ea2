/** Calls to the upstream over HTTP by undici; orders and reports too where it is an engine. */
import { type clocks, type daemonHolds, results } from '@copperlever/runtime';
import * as boundedCalls from '@copperlever/runtime/bounded-calls';
import * as resetAwareClients from '@copperlever/runtime/reset-aware-client';
import * as undici from 'undici';

import type * as upstreams from '../../types/upstreams.js';
import * as engineReports from './engine-report.js';

export type HttpUpstreamOptions = {
  baseUrl: string;
  clock: clocks.Clock;
  holds: Pick<daemonHolds.DaemonHolds, 'reads' | 'noteClosed'>;
};

const CONNECT_TIMEOUT_MS = 1_000;
/** A report names the copies that an engine holds: some 100 bytes each. */
const REPORT_BYTES_MAX = 1024 * 1024;
const ORDER_ANSWER_BYTES_MAX = 64 * 1024;
const JSON_HEADERS = { 'content-type': 'application/json' };

function detailOf(cause: unknown): string {
  return cause instanceof Error
    ? `${boundedCalls.codeOf(cause)} ${cause.message}`.trim()
    : 'unknown';
}

function lostPart(cause: unknown): upstreams.UpstreamPart {
  const kind = boundedCalls.wasNotSent(cause) ? 'not-sent' : 'broken';
  return { kind, detail: detailOf(cause) };
}

function toPairs(headers: undici.Dispatcher.ResponseData['headers']) {
  return Object.entries(headers).flatMap(([name, value]) => {
    const values = Array.isArray(value) ? value : [value ?? ''];
    return values.map((one) => ({ name, value: one }));
  });
}

/** Null for what is no JSON. */
function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch {
    return null;
  }
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

  function readAnswer(
    request: Omit<boundedCalls.BoundedCall, 'origin'>,
    limits: Pick<boundedCalls.AnswerLimits, 'reader' | 'bytesMax'>,
  ) {
    const { reads: budget, noteClosed } = options.holds;
    const whole = { ...request, origin: baseUrl };
    return boundedCalls.call(pool, clock, whole, { ...limits, budget, noteClosed });
  }

  async function order(
    numbered: upstreams.NumberedOrder,
    deadlineMs: number,
  ): Promise<results.Result<void, upstreams.OrderError>> {
    const request = {
      method: 'POST' as const,
      path: '/orders',
      headers: JSON_HEADERS,
      body: JSON.stringify(numbered),
      deadlineMs,
    };
    const limits = { reader: 'order-answer', bytesMax: ORDER_ANSWER_BYTES_MAX };
    const answer = await readAnswer(request, limits);
    if (answer.err) {
      const kind = answer.val.kind === 'not-sent' ? 'not-sent' : 'outcome-unknown';
      return results.Err({ kind, detail: answer.val.reason });
    }
    const { status, body } = answer.val;
    const reply = parseJson(body) as { verdict?: string } | null;
    if (reply === null) return results.Err({ kind: 'outcome-unknown', detail: 'no JSON' });
    if (status < 300) return results.Ok(undefined);
    if (reply.verdict === 'old-fencing-number') return results.Err({ kind: reply.verdict });
    if (reply.verdict === 'no-memory') return results.Err({ kind: reply.verdict });
    return results.Err({ kind: 'outcome-unknown', detail: `status ${status}` });
  }

  async function report(
    deadlineMs: number,
  ): Promise<results.Result<upstreams.EngineReport, upstreams.ReportError>> {
    const limits = { reader: 'report', bytesMax: REPORT_BYTES_MAX };
    const answer = await readAnswer({ method: 'GET', path: '/state', deadlineMs }, limits);
    if (answer.err) {
      // An upstream that sends too much has not crashed.
      const kind = answer.val.kind === 'too-long' ? 'no-report' : 'unreachable';
      return results.Err({ kind, detail: answer.val.reason });
    }
    const { status, body } = answer.val;
    if (status !== 200) return results.Err({ kind: 'no-report', detail: `status ${status}` });
    const state = parseJson(body);
    if (state === null) return results.Err({ kind: 'unreachable', detail: 'no JSON' });
    const found = engineReports.parse(state);
    if (found === null) return results.Err({ kind: 'no-report', detail: 'malformed report' });
    return results.Ok(found);
  }

  return { run, order, report, close: () => pool.close() };
}
