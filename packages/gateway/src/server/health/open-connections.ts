/**
 * The connections of callers at a planned stop. What has arrived on a connection may lie unread, and a connection may wait to be
 * accepted: each is closed only behind a poll of the event loop that began after the decision to close and found nothing there.
 */
import type * as http from 'node:http';
import * as net from 'node:net';

export type OpenConnections = {
  /** Whether connections were accepted in the poll with that number. */
  hasAcceptedIn: (pollNumber: number) => boolean;
  /**
   * Ends accepting connections. The close of an HTTP server also destroys connections whose answer has ended for the application
   * and is still in this process's buffers.
   */
  stopAccepting: () => void;
  /** Closes connections that the poll with that number has read and found without a request. Returns how many. */
  closeIdle: (pollNumber: number) => number;
  /** Connections that are open, with a request or without. */
  count: () => number;
  /**
   * Closes the connections with an open request. Where the caller knows no chunks the connection is reset, since its answer would
   * otherwise look complete.
   */
  cutOpen: () => void;
};

type Connection = { requestCount: number; acceptedInPoll: number };

/**
 * Counts the requests in progress on each connection. Node's own list of idle connections leaves out those on which no
 * request has arrived yet: a request that arrives on one at the last moment would be accepted and then cut off.
 */
export function trackConnections(
  server: http.Server,
  loopAges: { pollCount: () => number },
): OpenConnections {
  const open = new Map<net.Socket, Connection>();
  const withoutChunks = new WeakSet<net.Socket>();
  let lastAcceptPoll = -1;
  server.on('connection', (socket: net.Socket) => {
    lastAcceptPoll = loopAges.pollCount();
    open.set(socket, { requestCount: 0, acceptedInPoll: lastAcceptPoll });
    socket.once('close', () => open.delete(socket));
  });
  server.on('request', (request: http.IncomingMessage, response: http.ServerResponse) => {
    const { socket } = request;
    const connection = open.get(socket);
    if (connection === undefined) return;
    connection.requestCount += 1;
    if (request.httpVersion === '1.0') withoutChunks.add(socket);
    response.once('close', () => {
      connection.requestCount -= 1;
    });
  });
  return {
    hasAcceptedIn: (pollNumber) => lastAcceptPoll >= pollNumber,
    stopAccepting: () => {
      net.Server.prototype.close.call(server);
    },
    closeIdle: (pollNumber) => {
      const idle = [...open].filter(
        ([, { requestCount, acceptedInPoll }]) => requestCount <= 0 && acceptedInPoll < pollNumber,
      );
      // Closed at once: behind a half-close, which takes another turn, requests would be read that get no answer.
      idle.forEach(([socket]) => socket.destroy());
      return idle.length;
    },
    count: () => open.size,
    cutOpen: () => {
      const cut = [...open].filter(([, { requestCount }]) => requestCount > 0);
      cut.forEach(([socket]) => {
        if (withoutChunks.has(socket)) socket.resetAndDestroy();
        else socket.destroy();
      });
    },
  };
}
