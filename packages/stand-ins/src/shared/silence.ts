/** Connections that something in between has lost track of: open ones go silent, new ones work. */
import type * as http from 'node:http';
import type * as net from 'node:net';

export type Silence = {
  /** From now on the connections that are open carry nothing any more, in either direction. */
  silenceOpen: () => void;
  silencedCount: () => number;
};

function silence(socket: net.Socket): void {
  socket.pause();
  socket.removeAllListeners('data');
  // What is written is taken and lost, as by a middlebox that has forgotten the flow.
  socket.write = () => true;
  socket.end = () => socket;
}

export function createSilence(server: http.Server): Silence {
  const openSockets = new Set<net.Socket>();
  let silencedCount = 0;
  server.on('connection', (socket) => {
    openSockets.add(socket);
    socket.once('close', () => openSockets.delete(socket));
  });
  return {
    silenceOpen: () => {
      openSockets.forEach(silence);
      silencedCount += openSockets.size;
      openSockets.clear();
    },
    silencedCount: () => silencedCount,
  };
}
