/**
 * Order of the requests on each connection of a caller. An answer that announces the close of its connection is the last one there:
 * what was read behind it would run and get no answer.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';

export type PipelinedRequests = {
  /** Records a request; false if an answer before it has announced the close, so that it can't be answered. */
  add: (request: http.IncomingMessage, response: http.ServerResponse) => boolean;
  /** Whether no request has been read behind it so far. */
  isLast: (request: http.IncomingMessage) => boolean;
};

export function createPipelinedRequests(): PipelinedRequests {
  const latest = new WeakMap<
    net.Socket,
    { request: http.IncomingMessage; response: http.ServerResponse }
  >();
  return {
    add: (request, response) => {
      const before = latest.get(request.socket)?.response;
      if (before?.headersSent === true && before.getHeader('connection') === 'close') return false;
      latest.set(request.socket, { request, response });
      return true;
    },
    isLast: (request) => latest.get(request.socket)?.request === request,
  };
}
