/** The caller's side of an answer: written as it comes, held whole, refused or visibly cut off. */
import type * as http from 'node:http';

import type * as calls from '../../types/calls.js';
import type * as dialects from '../../types/dialects.js';

export type AnswerSink = {
  hasBegun: () => boolean;
  begin: (status: number, headers: readonly dialects.HeaderPair[], framing: calls.Framing) => void;
  /** False when the caller reads more slowly than the answer comes. */
  write: (chunk: Buffer) => boolean;
  onceDrained: (task: () => void) => void;
  end: () => void;
  sendWhole: (answer: calls.HeldAnswer) => void;
  /** A refusal or failure of the gateway's own. */
  refuse: (status: number, headers: readonly dialects.HeaderPair[], cause: string) => void;
  /** Ends the connection so that the answer cannot be taken for a whole one. */
  cut: () => void;
  /** Called once when the caller has left; replaces what was set before. */
  onCallerGone: (task: (() => void) | null) => void;
  isCallerGone: () => boolean;
};

export type SinkOptions = {
  raw: http.ServerResponse;
  requestId: string;
  closesConnections: () => boolean;
};

export function createAnswerSink(options: SinkOptions): AnswerSink {
  const { raw } = options;
  let callerGone: (() => void) | null = null;
  let isGone = false;
  raw.once('close', () => {
    if (raw.writableFinished) return;
    isGone = true;
    callerGone?.();
  });
  // The close event tells all there is to know; without a listener an error would end the process.
  raw.on('error', () => {});

  function writeHead(status: number, headers: readonly dialects.HeaderPair[]): void {
    // A balancer that keeps its connections would go on using a gateway that is about to leave.
    if (options.closesConnections()) raw.setHeader('connection', 'close');
    const grouped = new Map<string, string[]>();
    headers.forEach(([name, value]) => grouped.set(name, [...(grouped.get(name) ?? []), value]));
    grouped.forEach((values, name) => {
      raw.setHeader(name, values.length === 1 ? (values[0] as string) : values);
    });
    raw.writeHead(status);
  }

  function endWithConnection(): void {
    raw.useChunkedEncodingByDefault = false;
    raw.shouldKeepAlive = false;
  }

  return {
    hasBegun: () => raw.headersSent,
    begin: (status, headers, framing) => {
      if (framing === 'until-close') endWithConnection();
      writeHead(status, headers);
    },
    write: (chunk) => raw.destroyed || raw.write(chunk),
    onceDrained: (task) => {
      raw.once('drain', task);
    },
    end: () => {
      raw.end();
    },
    sendWhole: (answer) => {
      if (isGone) return;
      if (answer.framing === 'until-close') {
        endWithConnection();
        writeHead(answer.status, answer.headers);
      } else {
        const length: dialects.HeaderPair = ['content-length', String(answer.body.length)];
        writeHead(answer.status, [...answer.headers, length]);
      }
      raw.end(answer.body);
    },
    refuse: (status, headers, cause) => {
      if (isGone) return;
      const body = Buffer.from(JSON.stringify({ title: cause, status }));
      writeHead(status, [
        ...headers,
        ['x-request-id', options.requestId],
        ['content-type', 'application/problem+json'],
        ['content-length', String(body.length)],
      ]);
      raw.end(body);
    },
    cut: () => {
      raw.socket?.resetAndDestroy();
    },
    onCallerGone: (task) => {
      callerGone = task;
      if (task !== null && isGone) task();
    },
    isCallerGone: () => isGone,
  };
}
