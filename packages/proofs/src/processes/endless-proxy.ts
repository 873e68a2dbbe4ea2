/** Stands before a stand-in and answers some calls with bytes that don't end, until their reader closes. */
import * as http from 'node:http';
import type * as net from 'node:net';

import * as rigs from './rig.js';

/** What is answered so, what comes first, and what is sent over and over. */
export type Play = {
  matches: (method: string, path: string) => boolean;
  beginning: string;
  piece: string;
};

export type EndlessProxy = {
  url: string;
  play: Play | null;
  sentBytes: number;
  answeredCount: number;
  openCount: number;
  close: () => void;
};

const TICK_MS = 10;
/** 100 MB/s on each connection. */
const BYTES_PER_TICK = 1_000_000;
/** What is sent waits in this process, not in the one that reads. */
const UNSENT_BYTES_MAX = 4_000_000;
const JSON_HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n';

export const JSON_BODY = { beginning: `${JSON_HEAD}\r\n{"a":"`, piece: 'x'.repeat(1_000) };
export const HEAD = { beginning: JSON_HEAD, piece: `x-a: ${'x'.repeat(1_000)}\r\n` };
export const EVENT = {
  beginning: 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ',
  piece: 'x'.repeat(1_000),
};

export async function startEndlessProxy(targetUrl: string): Promise<EndlessProxy> {
  const port = await rigs.freePort();
  const { hostname, port: targetPort } = new URL(targetUrl);
  const agent = new http.Agent({ keepAlive: false });

  function flow(socket: net.Socket, { beginning, piece }: Play): void {
    proxy.answeredCount += 1;
    proxy.openCount += 1;
    socket.write(beginning);
    const block = Buffer.from(piece.repeat(Math.ceil(BYTES_PER_TICK / piece.length)));
    const timer = setInterval(() => {
      if (socket.writableLength > UNSENT_BYTES_MAX) return;
      socket.write(block);
      proxy.sentBytes += block.length;
    }, TICK_MS);
    socket.on('error', () => {});
    socket.once('close', () => {
      clearInterval(timer);
      proxy.openCount -= 1;
    });
  }

  const server = http.createServer((request, response) => {
    const { method = '', url: path = '', headers, socket } = request;
    if (proxy.play?.matches(method, path) === true) {
      request.resume();
      flow(socket, proxy.play);
      return;
    }
    const options = { hostname, port: targetPort, method, path, headers, agent };
    const forwarded = http.request(options, (answer) => {
      response.writeHead(answer.statusCode ?? 0, answer.headers);
      answer.pipe(response);
      answer.on('error', () => response.destroy());
    });
    forwarded.on('error', () => response.destroy());
    request.pipe(forwarded);
    response.on('close', () => forwarded.destroy());
  });
  const proxy: EndlessProxy = {
    url: `http://127.0.0.1:${port}`,
    play: null,
    sentBytes: 0,
    answeredCount: 0,
    openCount: 0,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
  await new Promise<void>((resolve) => {
    server.listen(port, '127.0.0.1', resolve);
  });
  return proxy;
}
