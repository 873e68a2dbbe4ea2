/** A gRPC server whose every answer is one message of that stated length, of which bytes come without end. */
import * as http2 from 'node:http2';
import type * as net from 'node:net';

const PIECE = Buffer.alloc(64 * 1024, 1);

export async function startEndlessPeer(statedBytes: number) {
  const state = { sentBytes: 0, openCount: 0 };
  const server = http2.createServer();
  const sessions = new Set<http2.ServerHttp2Session>();
  server.on('session', (session) => {
    sessions.add(session);
    session.on('error', () => {});
  });
  server.on('stream', (stream) => {
    state.openCount += 1;
    stream.on('error', () => {});
    stream.once('close', () => {
      state.openCount -= 1;
    });
    stream.respond({ ':status': 200, 'content-type': 'application/grpc+proto' });
    const prefix = Buffer.alloc(5);
    prefix.writeUInt32BE(statedBytes, 1);
    stream.write(prefix);
    const write = () => {
      if (stream.destroyed || stream.closed) return;
      state.sentBytes += PIECE.length;
      if (stream.write(PIECE)) setImmediate(write);
      else stream.once('drain', write);
    };
    write();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`,
    state,
    close: () => {
      sessions.forEach((session) => session.destroy());
      server.close();
    },
  };
}
