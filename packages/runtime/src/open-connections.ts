/**
 * The connections of callers at a planned stop. What has arrived on a connection may lie unread, and a connection may wait to be
 * accepted: each is closed only behind a poll of the event loop that began after the decision to close and found nothing there.
 */
import type * as http from 'node:http';
import * as net from 'node:net';

import type * as clocks from './clocks.js';

export type OpenConnections = {
  /** Whether connections that are open for their callers may wait to be accepted, as far as the poll with that number can tell. */
  mayWait: (pollNumber: number) => boolean;
  /**
   * Ends accepting connections. The close of an HTTP server also destroys connections whose answer has ended for the application
   * and is still in this process's buffers.
   */
  stopAccepting: () => void;
  /** Closes connections that the poll with that number has read and found without a request. Returns how many. */
  closeIdle: (pollNumber: number) => number;
  /**
   * Closes connections that a poll has read and found without any part of a request, those first that were used longest ago. Returns
   * how many.
   */
  closeLongestIdle: (which: IdleChoice) => number;
  /** Connections that are open, with a request or without. */
  count: () => number;
  /**
   * Closes the connections with an open request. Where the caller knows no chunks the connection is reset, since its answer would
   * otherwise look complete.
   */
  cutOpen: () => void;
  /** The same, but leaves those whose latest answer has been written to its end and is on its way. */
  cutUnended: () => void;
};

/** Opened, or last used, before that time; at most `max` of them. */
export type IdleChoice = { pollNumber: number; usedBeforeMs: number; max: number };

/** Connections that the system keeps until they are accepted, by default. */
export const ACCEPT_QUEUE_MAX = 511;
/** By then a caller's system has sent again what found the queue of the listener full: the interval before its fifth try. */
const RETRANSMISSION_MS = 3_200;
/** Some ten milliseconds of work; the next step closes the others. */
const CLOSED_AT_ONCE_MAX = 500;

type Connection = {
  requestCount: number;
  latest: http.ServerResponse | null;
  acceptedInPoll: number;
  /** When it was opened, or its latest request ended; what had been read from it by then. */
  usedMs: number;
  usedBytes: number;
};

/** Node's parser, without a type there: how long it has been within a request, or has waited for a connection's first one. */
type ParsedSocket = net.Socket & { parser?: { duration?: () => number } | null };

/** Bytes of a next request may have been read together with the request before it: only the parser knows. */
function isWithinRequest(socket: ParsedSocket): boolean {
  return socket.parser?.duration?.() !== 0;
}

/**
 * Counts the requests in progress on each connection. Node's own list of idle connections leaves out those on which no
 * request has arrived yet: a request that arrives on one at the last moment would be accepted and then cut off.
 */
export function trackConnections(
  server: http.Server,
  loopAges: { pollCount: () => number },
  clock: Pick<clocks.Clock, 'nowMs'>,
  /** Whether connections can't be accepted for want of a descriptor: a poll without one says nothing then. */
  isExhausted: () => boolean = () => false,
): OpenConnections {
  const open = new Map<net.Socket, Connection>();
  const withoutChunks = new WeakSet<net.Socket>();
  let lastAcceptPoll = -1;
  let acceptedInRow = 0;
  /** Latest accept at which the queue of the listener may have been full since it was last empty. */
  let maybeFullMs = -Infinity;
  server.on('connection', (socket: net.Socket) => {
    const pollNumber = loopAges.pollCount();
    acceptedInRow = pollNumber <= lastAcceptPoll + 1 ? acceptedInRow + 1 : 1;
    lastAcceptPoll = pollNumber;
    if (acceptedInRow >= ACCEPT_QUEUE_MAX) maybeFullMs = clock.nowMs();
    open.set(socket, {
      requestCount: 0,
      latest: null,
      acceptedInPoll: lastAcceptPoll,
      usedMs: clock.nowMs(),
      usedBytes: 0,
    });
    socket.once('close', () => open.delete(socket));
  });
  server.on('request', (request: http.IncomingMessage, response: http.ServerResponse) => {
    const { socket } = request;
    const connection = open.get(socket);
    if (connection === undefined) return;
    connection.requestCount += 1;
    connection.latest = response;
    if (request.httpVersion === '1.0') withoutChunks.add(socket);
    response.once('close', () => {
      connection.requestCount -= 1;
      connection.usedMs = clock.nowMs();
      connection.usedBytes = socket.bytesRead;
      // Kept in the order of their latest use.
      if (open.delete(socket)) open.set(socket, connection);
    });
  });
  function cut(isCut: (connection: Connection) => boolean): void {
    const busy = [...open].filter(([, one]) => one.requestCount > 0 && isCut(one));
    busy.forEach(([socket]) => {
      if (withoutChunks.has(socket)) socket.resetAndDestroy();
      else socket.destroy();
    });
  }

  const isUnused = ({ requestCount, acceptedInPoll }: Connection, pollNumber: number) =>
    requestCount <= 0 && acceptedInPoll < pollNumber;

  return {
    mayWait: (pollNumber) =>
      lastAcceptPoll >= pollNumber ||
      clock.nowMs() - maybeFullMs < RETRANSMISSION_MS ||
      isExhausted(),
    stopAccepting: () => {
      net.Server.prototype.close.call(server);
    },
    closeIdle: (pollNumber) => {
      const idle = [...open]
        .filter(([, connection]) => isUnused(connection, pollNumber))
        .slice(0, CLOSED_AT_ONCE_MAX);
      // Closed at once: behind a half-close, which takes another turn, requests would be read that get no answer.
      idle.forEach(([socket]) => socket.destroy());
      return idle.length;
    },
    closeLongestIdle: ({ pollNumber, usedBeforeMs, max }) => {
      const isIdle = (socket: net.Socket, connection: Connection) =>
        isUnused(connection, pollNumber) &&
        connection.usedMs <= usedBeforeMs &&
        socket.bytesRead === connection.usedBytes &&
        (socket.bytesRead === 0 || !isWithinRequest(socket));
      const idle = [...open]
        .filter(([socket, connection]) => isIdle(socket, connection))
        .slice(0, Math.min(max, CLOSED_AT_ONCE_MAX));
      idle.forEach(([socket]) => socket.destroy());
      return idle.length;
    },
    count: () => open.size,
    cutOpen: () => cut(() => true),
    cutUnended: () => cut(({ latest }) => latest?.writableEnded !== true),
  };
}
