/** Where answers go: streamed to the caller as they come, or held until they are whole. */
import type * as http from 'node:http';

import type { clocks, daemonHolds } from '@copperlever/runtime';
import * as reservations from '@copperlever/runtime/reservations';

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

export type HeldSink = calls.AnswerSink & {
  answer: () => HeldAnswer;
  /** Gives its room back, once the caller has the answer. */
  release: () => void;
};

export function passedHeaders(headers: readonly calls.HeaderPair[]): calls.HeaderPair[] {
  return headers.filter((header) => !DROPPED_HEADERS.has(header.name.toLowerCase()));
}

/** Held answers are whole in memory; a longer one has to be streamed. */
const MAX_HELD_BYTES = 16 * 1024 * 1024;

/** Holds the answer back until it is whole, so that a failure can still be told truthfully. */
export function createHeldSink(
  holds: Pick<daemonHolds.DaemonHolds, 'answers' | 'waitingAnswers' | 'noteClosed'>,
  requestId: string,
  clock: clocks.Clock,
): HeldSink {
  let status = 0;
  let headers: readonly calls.HeaderPair[] = [];
  let parts: Buffer[] = [];
  const { take, give, maxBytes: sumBytesMax } = holds.answers;
  const room = reservations.createReservation({
    clock,
    take,
    give,
    bytesMax: MAX_HELD_BYTES,
    sumBytesMax,
    waiting: holds.waitingAnswers,
  });

  function refuse(sizeBytes: number, bound: 'each' | 'sum', boundBytes: number): void {
    holds.noteClosed({ reader: 'held-answer', requestId, sizeBytes, bound, boundBytes });
  }

  return {
    head: (headStatus, headHeaders) => {
      status = headStatus;
      headers = passedHeaders(headHeaders);
      parts = [];
      room.release();
    },
    chunk: (data) => {
      parts.push(data);
      return Promise.resolve();
    },
    hasBegun: () => false,
    takeRoom: async (bytes, signal) => {
      const sizeBytes = room.usedBytes() + bytes;
      if (sizeBytes > MAX_HELD_BYTES) {
        refuse(sizeBytes, 'each', MAX_HELD_BYTES);
        return 'too-large';
      }
      if (await room.take(bytes, signal)) return 'taken';
      if (signal?.aborted !== true) refuse(sizeBytes, 'sum', sumBytesMax);
      return 'no-room';
    },
    answer: () => {
      room.trim();
      const body = Buffer.concat(parts);
      parts = [];
      return { status, headers, body };
    },
    release: room.release,
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
