/** Writes answers to callers: as they arrive, as a whole, as an error of the gateway, or visibly cut off. */
import type * as http from 'node:http';

import type * as calls from '../../types/calls.js';
import type * as dialects from '../../types/dialects.js';

/** The body of an answer whose head has been written. */
export type AnswerBody = {
  /** False if the caller reads more slowly than the answer arrives. */
  write: (chunk: Buffer) => boolean;
  onceDrained: (task: () => void) => void;
  end: () => void;
};

export type AnswerSink = {
  hasBegun: () => boolean;
  /**
   * Writes the head. Only its result can be written to and ended: Node would answer 200 in place of a head that is missing.
   * `bodyBytes`: the length of the body, if the upstream has stated it; null otherwise. The end of an answer without a length is the
   * last chunk, so that a caller sees when it is missing; callers of HTTP/1.0 know no chunks, and get it until the connection closes.
   */
  begin: (
    status: number,
    headers: readonly dialects.HeaderPair[],
    bodyBytes: number | null,
  ) => AnswerBody;
  /** The body of the answer that `begin` has begun, for another attempt to go on with; null before. */
  begun: () => AnswerBody | null;
  sendWhole: (answer: calls.HeldAnswer) => void;
  /** Answers with a refusal or an error of the gateway itself. */
  refuse: (status: number, headers: readonly dialects.HeaderPair[], cause: string) => void;
  /**
   * The same for a request whose body has not been read. What still comes of a long one is dropped for a moment before the connection
   * is closed: a close with unread bytes is a reset, which may overtake the answer.
   */
  refuseUnread: (
    request: http.IncomingMessage,
    status: number,
    headers: readonly dialects.HeaderPair[],
    cause: string,
  ) => void;
  /** Ends the connection, so that the caller can't take the answer for complete. */
  cut: () => void;
  /** Sets the task that runs when the caller leaves, or at once if it has left; replaces the one set before. */
  onCallerGone: (task: (() => void) | null) => void;
  isCallerGone: () => boolean;
};

export type SinkOptions = {
  raw: http.ServerResponse;
  requestId: string;
  /** Whether callers are to open new connections, which their load balancer may send to another gateway. */
  closesConnections: () => boolean;
};

/** The rest of a body up to this size is read to its end, and the connection kept unless it is to be closed anyway. */
const REST_BYTES_MAX = 65_536;
/** So long the rest of a longer one is dropped; then its connection is closed. */
const REST_MS = 200;

/** Whether the rest of the body, if any, has at most that many bytes. */
function isRestWithin(request: http.IncomingMessage, bytes: number): boolean {
  if (request.complete) return true;
  const isChunked = request.headers['transfer-encoding'] !== undefined;
  return !isChunked && Number(request.headers['content-length'] ?? 0) <= bytes;
}

/** Behind another answer on its connection, this one has no socket yet: nothing of it is sent once the other has ended. */
export function cutAnswer(raw: http.ServerResponse): void {
  if (raw.socket === null) raw.destroy();
  else raw.socket.resetAndDestroy();
}

export function createAnswerSink(options: SinkOptions): AnswerSink {
  const { raw } = options;
  let callerGone: (() => void) | null = null;
  let isGone = false;
  let begun: AnswerBody | null = null;
  raw.once('close', () => {
    if (raw.writableFinished) return;
    isGone = true;
    callerGone?.();
  });
  // The close event is all that is needed, but without a listener an error would end the process.
  raw.on('error', () => {});

  function writeHead(status: number, headers: readonly dialects.HeaderPair[]): void {
    // A load balancer that keeps its connections open would go on using a gateway that is about to leave.
    if (options.closesConnections()) raw.setHeader('connection', 'close');
    const grouped = new Map<string, string[]>();
    headers.forEach(([name, value]) => grouped.set(name, [...(grouped.get(name) ?? []), value]));
    grouped.forEach((values, name) => {
      raw.setHeader(name, values.length === 1 ? (values[0] as string) : values);
    });
    raw.writeHead(status);
  }

  function writeHeadWithLength(
    status: number,
    headers: readonly dialects.HeaderPair[],
    bodyBytes: number,
  ): void {
    writeHead(status, [...headers, ['content-length', String(bodyBytes)]]);
  }

  function writeRefusal(
    status: number,
    headers: readonly dialects.HeaderPair[],
    cause: string,
  ): Buffer {
    const body = Buffer.from(JSON.stringify({ title: cause, status }));
    const ownHeaders: readonly dialects.HeaderPair[] = [
      ...headers,
      ['x-request-id', options.requestId],
      ['content-type', 'application/problem+json'],
    ];
    writeHeadWithLength(status, ownHeaders, body.length);
    return body;
  }

  function refuse(status: number, headers: readonly dialects.HeaderPair[], cause: string): void {
    if (!isGone) raw.end(writeRefusal(status, headers, cause));
  }

  return {
    hasBegun: () => raw.headersSent,
    begin: (status, headers, bodyBytes) => {
      if (bodyBytes === null) writeHead(status, headers);
      else writeHeadWithLength(status, headers, bodyBytes);
      begun = {
        write: (chunk) => raw.destroyed || raw.write(chunk),
        onceDrained: (task) => {
          raw.once('drain', task);
        },
        end: () => {
          raw.end();
        },
      };
      return begun;
    },
    begun: () => begun,
    sendWhole: (answer) => {
      if (isGone) return;
      if (answer.statedBytes === null) writeHead(answer.status, answer.headers);
      else writeHeadWithLength(answer.status, answer.headers, answer.statedBytes);
      raw.end(answer.body);
    },
    refuse,
    refuseUnread: (request, status, headers, cause) => {
      if (isGone) return;
      if (isRestWithin(request, options.closesConnections() ? 0 : REST_BYTES_MAX)) {
        refuse(status, headers, cause);
        return;
      }
      raw.write(writeRefusal(status, [...headers, ['connection', 'close']], cause));
      request.resume();
      const timer = setTimeout(() => raw.end(), REST_MS);
      request.once('end', () => raw.end());
      raw.once('close', () => clearTimeout(timer));
    },
    cut: () => cutAnswer(raw),
    onCallerGone: (task) => {
      callerGone = task;
      if (task !== null && isGone) task();
    },
    isCallerGone: () => isGone,
  };
}
