/** HTTP calls whose answers are read whole: each bounded in bytes, all together by a budget, and ended by a deadline. */
import type * as http from 'node:http';

import type * as undici from 'undici';

import * as answerStatus from './answer-status.js';
import type * as byteBudgets from './byte-budget.js';
import * as byteCollectors from './byte-collector.js';
import type * as clocks from './clocks.js';
import type * as daemonHolds from './daemon-holds.js';
import * as results from './results.js';

export type BoundedCall = {
  origin: string;
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  path: string;
  headers?: Record<string, string>;
  body?: Buffer | string;
  deadlineMs: number;
};

export type AnswerLimits = {
  /** Names what is read, for `noteClosed`. */
  reader: string;
  bytesMax: number;
  budget: byteBudgets.ByteBudget;
  noteClosed: (closed: daemonHolds.ClosedRead) => void;
};

export type Answer = { status: number; headers: http.IncomingHttpHeaders; body: Buffer };

/** `not-sent`: no byte of the call has left. `too-long`: it did, and its answer was closed for its length. */
export type NoAnswer = {
  kind: 'not-sent' | 'deadline' | 'too-long' | 'broken';
  reason: string;
};

export class AnswerTooLongError extends Error {
  constructor({ sizeBytes, bound, boundBytes }: daemonHolds.ClosedRead) {
    super(`an answer of ${sizeBytes} bytes or more, ${boundBytes} allowed (${bound})`);
  }
}

/** In a log line. */
const PATH_LENGTH_MAX = 200;

/** Failures before a byte was sent. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

export function codeOf(cause: unknown): string {
  if (typeof cause !== 'object' || cause === null || !('code' in cause)) return '';
  return String(cause.code);
}

/** Whether a call that failed so cannot have been seen by its server. */
export function wasNotSent(cause: unknown): boolean {
  return NOT_SENT_CODES.has(codeOf(cause));
}

function statedBytes(headers: http.IncomingHttpHeaders): number | null {
  const stated = Number(headers['content-length'] ?? Number.NaN);
  return Number.isSafeInteger(stated) && stated >= 0 ? stated : null;
}

/** Throws where the answer is too long; the body that is left then closes its connection. */
async function readWhole(
  answer: undici.Dispatcher.ResponseData,
  path: string,
  limits: AnswerLimits,
): Promise<Buffer> {
  const { budget, bytesMax, reader } = limits;
  // The length that an answer states may never come: the buffer grows with the bytes.
  const collector = byteCollectors.createByteCollector(limits, null);

  function tooLong(sizeBytes: number, bound: 'each' | 'sum'): AnswerTooLongError {
    const boundBytes = bound === 'each' ? bytesMax : budget.maxBytes;
    const closed = { reader, path: path.slice(0, PATH_LENGTH_MAX), sizeBytes, bound, boundBytes };
    limits.noteClosed(closed);
    return new AnswerTooLongError(closed);
  }

  try {
    const lengthBytes = statedBytes(answer.headers);
    if (lengthBytes !== null && lengthBytes > bytesMax) throw tooLong(lengthBytes, 'each');
    for await (const chunk of answer.body as AsyncIterable<Buffer>) {
      const sizeBytes = collector.sizeBytes() + chunk.length;
      if (sizeBytes > bytesMax) throw tooLong(sizeBytes, 'each');
      if (!collector.push(chunk)) throw tooLong(sizeBytes, 'sum');
    }
    return collector.bytes();
  } finally {
    collector.release();
    // Closes the connection of an answer that was not read to its end.
    answer.body.destroy();
  }
}

/** An aborted call gives up its connection, so one that went silent is not used again. */
export async function call(
  dispatcher: undici.Dispatcher,
  clock: clocks.Clock,
  request: BoundedCall,
  limits: AnswerLimits,
): Promise<results.Result<Answer, NoAnswer>> {
  const aborter = new AbortController();
  // Timers run before the poll that reads an answer which has arrived meanwhile.
  const cancel = clock.schedule(request.deadlineMs, () => setImmediate(() => aborter.abort()));
  const { origin, method, path } = request;
  try {
    const answer = await dispatcher.compose(answerStatus.interceptor).request({
      origin,
      method,
      path,
      headers: request.headers ?? {},
      body: request.body ?? null,
      signal: aborter.signal,
    });
    const body = await readWhole(answer, path, limits);
    return results.Ok({ status: answer.statusCode, headers: answer.headers, body });
  } catch (cause) {
    if (aborter.signal.aborted) return results.Err({ kind: 'deadline', reason: 'deadline' });
    if (cause instanceof AnswerTooLongError) {
      return results.Err({ kind: 'too-long', reason: cause.message });
    }
    return results.Err({
      kind: wasNotSent(cause) ? 'not-sent' : 'broken',
      reason: String(cause),
    });
  } finally {
    cancel();
  }
}
