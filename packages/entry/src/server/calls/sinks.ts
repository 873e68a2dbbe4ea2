/** Where answers go: streamed to the caller as they come, or held until they are whole. */
import type * as http from 'node:http';

import type * as calls from '../../types/calls.js';

/** Headers that belong to one connection, and those that this entry sets itself. */
const DROPPED_HEADERS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'trailer',
  'upgrade',
  'x-request-id',
]);

export type HeldAnswer = {
  status: number;
  headers: readonly calls.HeaderPair[];
  body: Buffer;
};

export type HeldSink = calls.AnswerSink & { answer: () => HeldAnswer };

export function passedHeaders(headers: readonly calls.HeaderPair[]): calls.HeaderPair[] {
  return headers.filter((header) => !DROPPED_HEADERS.has(header.name.toLowerCase()));
}

/** Held answers are whole in memory; a longer one has to be streamed. */
const MAX_HELD_BYTES = 16 * 1024 * 1024;

/** Holds the answer back until it is whole, so that a failure can still be told truthfully. */
export function createHeldSink(): HeldSink {
  let status = 0;
  let headers: readonly calls.HeaderPair[] = [];
  let parts: Buffer[] = [];
  return {
    head: (headStatus, headHeaders) => {
      status = headStatus;
      headers = passedHeaders(headHeaders);
      parts = [];
    },
    chunk: (data) => {
      parts.push(data);
      return Promise.resolve();
    },
    hasBegun: () => false,
    limitBytes: MAX_HELD_BYTES,
    answer: () => ({ status, headers, body: Buffer.concat(parts) }),
  };
}

/** Writes the answer as it comes; the head waits for the first byte of the body. */
export function createStreamSink(
  raw: http.ServerResponse,
  requestId: string,
  onFirstByte: () => void = () => {},
  /** Whether the answer was ended before it was whole. */
  isOver: () => boolean = () => false,
): calls.AnswerSink {
  let status = 0;
  let headers: readonly calls.HeaderPair[] = [];
  return {
    head: (headStatus, headHeaders) => {
      status = headStatus;
      headers = passedHeaders(headHeaders);
    },
    chunk: (data) => {
      if (isOver()) return Promise.resolve();
      if (!raw.headersSent) {
        headers.forEach((header) => raw.setHeader(header.name, header.value));
        raw.setHeader('x-request-id', requestId);
        raw.writeHead(status);
        onFirstByte();
      }
      if (raw.write(data) || raw.destroyed) return Promise.resolve();
      return new Promise((resolve) => {
        const settle = () => {
          raw.off('drain', settle);
          raw.off('close', settle);
          resolve();
        };
        raw.once('drain', settle);
        raw.once('close', settle);
      });
    },
    hasBegun: () => raw.headersSent,
  };
}
