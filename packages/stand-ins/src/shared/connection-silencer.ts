/** Simulates a middlebox that loses its connection state: open connections go silent, new ones work. */
import type * as http from 'node:http';
import type * as net from 'node:net';

export type ConnectionSilencer = {
  /** Silences all open connections in both directions. */
  silenceOpen: () => void;
  silencedCount: () => number;
};

function silenceSocket(socket: net.Socket): void {
  socket.pause();
  socket.removeAllListeners('data');
  // Writes succeed but the data is lost, as with a middlebox that has dropped the flow.
  socket.write = () => true;
  socket.end = () => socket;
}

export function createConnectionSilencer(server: http.Server): ConnectionSilencer {
  const openSockets = new Set<net.Socket>();
  let silencedCount = 0;
  server.on('connection', (socket) => {
    openSockets.add(socket);
    socket.once('close', () => openSockets.delete(socket));
  });
  return {
    silenceOpen: () => {
      openSockets.forEach(silenceSocket);
      silencedCount += openSockets.size;
      openSockets.clear();
    },
    silencedCount: () => silencedCount,
  };
}
