/** An upstream on loopback that answers with exactly the bytes that a test wants. */
import * as net from 'node:net';

import type * as fleet from '../types/fleet.js';
import * as fixtures from './fleet-fixtures.js';

export type RawUpstream = {
  record: fleet.UpstreamRecord;
  /** Requests that came, as text. */
  requests: string[];
  close: () => void;
};

/** `answer` gets the request's text and writes to the socket whatever it likes. */
export async function startRawUpstream(
  answer: (socket: net.Socket, request: string) => void,
): Promise<RawUpstream> {
  const requests: string[] = [];
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('data', (data) => {
      requests.push(data.toString('latin1'));
      answer(socket, data.toString('latin1'));
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  return {
    record: fixtures.upstreamRecord('u1', { address: `127.0.0.1:${port}` }),
    requests,
    close: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}
