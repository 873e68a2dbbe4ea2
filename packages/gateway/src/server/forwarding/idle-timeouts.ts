/**
 * Idle time-outs of callers' connections. Timers run before the poll that reads what has arrived, so Node's own close behind a long turn
 * of the loop would drop a request that lies unread. Here a connection is closed behind a poll that read nothing from it.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';

import * as readDelays from './read-delay.js';

type LoopAges = Pick<readDelays.ReadDelay, 'readPending'>;

/** Resolves to whether nothing has arrived on the connection, as far as a recent poll can tell. */
async function isStillIdle(socket: net.Socket, loopAges: LoopAges): Promise<boolean> {
  const bytesBefore = socket.bytesRead;
  let unreadMs = Infinity;
  while (unreadMs > readDelays.UNREAD_AT_CLOSE_MAX_MS) {
    unreadMs = await loopAges.readPending();
    if (socket.destroyed || socket.bytesRead !== bytesBefore) return false;
  }
  return true;
}

/** With a listener for time-outs Node leaves the close to it. */
export function closeIdleBehindPolls(server: http.Server, loopAges: LoopAges): void {
  server.on('timeout', (socket: net.Socket) => {
    void isStillIdle(socket, loopAges).then((isIdle) => {
      if (isIdle) socket.destroy();
    });
  });
}
