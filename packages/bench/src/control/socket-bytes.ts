/** Counts the bytes of every TCP socket of this process, open and closed ones. */
import * as diagnosticsChannel from 'node:diagnostics_channel';
import type * as net from 'node:net';

export type SocketBytes = {
  /** To and from the object API. */
  storeBytes: number;
  /** To and from peers: what is not the object API. */
  peerBytes: number;
  /** Connections that were opened or accepted since the start. */
  connectionCount: number;
};

/** Must be called before the first socket is made. */
export function createSocketCounter(storePort: number): () => SocketBytes {
  const open = new Set<net.Socket>();
  const closed: SocketBytes = { storeBytes: 0, peerBytes: 0, connectionCount: 0 };
  /** The remote port is unknown once a socket is closed. */
  const storeSockets = new WeakSet<net.Socket>();

  function addTo(totals: SocketBytes, socket: net.Socket): void {
    if (socket.remotePort === storePort) storeSockets.add(socket);
    const bytes = socket.bytesRead + socket.bytesWritten;
    if (storeSockets.has(socket)) totals.storeBytes += bytes;
    else totals.peerBytes += bytes;
  }

  function track(message: unknown): void {
    const { socket } = message as { socket: net.Socket };
    open.add(socket);
    closed.connectionCount += 1;
    socket.once('connect', () => {
      if (socket.remotePort === storePort) storeSockets.add(socket);
    });
    socket.once('close', () => {
      open.delete(socket);
      addTo(closed, socket);
    });
  }

  diagnosticsChannel.subscribe('net.client.socket', track);
  diagnosticsChannel.subscribe('net.server.socket', track);
  return () => {
    const totals = { ...closed };
    for (const socket of open) addTo(totals, socket);
    return totals;
  };
}
