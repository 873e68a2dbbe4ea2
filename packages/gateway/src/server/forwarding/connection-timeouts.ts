/**
 * Time-outs of callers' connections. Timers run before the poll that reads what has arrived, so Node's own closes behind a long turn of the
 * loop would drop or refuse a request that lies unread. Here they come behind a poll that read nothing of it.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';

import * as readDelays from './read-delay.js';

type LoopAges = Pick<readDelays.ReadDelay, 'readPending'>;

/** Node's code for a head that was not complete in time. */
const LATE_HEAD = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Resolves to false once `hasArrived`, or the connection is closed; to true if a recent poll has read nothing of the kind. */
async function isStillDue(
  socket: net.Socket,
  loopAges: LoopAges,
  hasArrived: () => boolean,
): Promise<boolean> {
  let unreadMs = Infinity;
  while (unreadMs > readDelays.UNREAD_AT_CLOSE_MAX_MS) {
    unreadMs = await loopAges.readPending();
    if (socket.destroyed || hasArrived()) return false;
  }
  return true;
}

/** Idle connections. With a listener for time-outs Node leaves the close to it. */
function closeIdle(server: http.Server, loopAges: LoopAges): void {
  server.on('timeout', (socket: net.Socket) => {
    const bytesBefore = socket.bytesRead;
    void isStillDue(socket, loopAges, () => socket.bytesRead !== bytesBefore).then((isDue) => {
      if (isDue) socket.destroy();
    });
  });
}

/** Heads that are not complete in time; the listeners that the server has refuse them. */
function refuseLateHeads(server: http.Server, loopAges: LoopAges): void {
  const latest = new WeakMap<net.Socket, http.IncomingMessage>();
  server.on('request', (request: http.IncomingMessage) => latest.set(request.socket, request));
  const refusals = server.listeners('clientError');
  server.removeAllListeners('clientError');
  server.on('clientError', (error: NodeJS.ErrnoException, socket: net.Socket) => {
    const refuse = () => refusals.forEach((listener) => listener.call(server, error, socket));
    if (error.code !== LATE_HEAD) {
      refuse();
      return;
    }
    const before = latest.get(socket);
    void isStillDue(socket, loopAges, () => latest.get(socket) !== before).then((isDue) => {
      if (isDue) refuse();
    });
  });
}

export function judgeBehindPolls(server: http.Server, loopAges: LoopAges): void {
  closeIdle(server, loopAges);
  refuseLateHeads(server, loopAges);
}
