/** How a TCP connection has ended. */
import type * as net from 'node:net';

export type ConnectionEnd = 'reset' | 'closed';

/**
 * To be asked at a socket's `end` event. A reset that arrives together with data is reported as a regular end (libuv, on POLLHUP
 * after a partial read). The kernel knows no peer of a connection that was reset, and still knows it where the peer has only ended
 * its side.
 */
export function endOf(socket: net.Socket): ConnectionEnd {
  return socket.remoteAddress === undefined ? 'reset' : 'closed';
}

/** Calls `onEnd` once the connection has ended, before other listeners that the socket has by then. */
export function watchEnd(socket: net.Socket, onEnd: (end: ConnectionEnd) => void): void {
  socket.prependListener('error', () => onEnd('reset'));
  socket.prependListener('end', () => onEnd(endOf(socket)));
}
