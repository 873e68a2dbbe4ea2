/** Answers that end early in various ways, between an upstream that writes raw bytes and a caller that judges by the framing alone. */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';

import { clocks, logs } from '@copperlever/runtime';
import * as openConnections from '@copperlever/runtime/open-connections';

import type * as answers from '../server/forwarding/answers.js';
import * as attempts from '../server/forwarding/attempt.js';
import * as connectionsModule from '../server/forwarding/connections.js';
import * as heldAnswers from '../server/forwarding/held-answers.js';
import * as readDelays from '../server/forwarding/read-delay.js';
import * as stops from '../server/health/stop.js';
import type * as calls from '../types/calls.js';
import * as callersApps from './callers-app.js';
import * as rawUpstreams from './raw-upstream.js';
import * as testDialects from './test-dialect.js';

/**
 * `killed`: the kernel closes the connections of a process that is gone. `broken`: an error is thrown in the gateway. `broken-twice`:
 * the upstream resets the stream, and again where it is resumed.
 */
export const CUTS = [
  'none',
  'upstream-reset',
  'upstream-closed',
  'broken-twice',
  'deadline',
  'stopped',
  'killed',
  'broken',
] as const;
export type Cut = (typeof CUTS)[number];

export type AnswerPlay = {
  kind: 'plain' | 'stream' | 'resumable';
  framing: calls.Framing;
  httpVersion: '1.0' | '1.1';
  method: 'POST' | 'HEAD';
  status: 200 | 204;
  /** The caller takes the stream up after this event; null if it asks for the whole. */
  takenUpAfter: number | null;
  body: Buffer;
  cut: Cut;
  /** The upstream writes so many bytes of the body before the cut. */
  cutAtBytes: number;
};

export type Received = {
  status: number;
  /** The head has the signature and the request's id from the upstream. */
  isSigned: boolean;
  /** Its `Content-Length`. */
  statedBytes: number | null;
  body: Buffer;
  isComplete: boolean;
  framing: calls.Framing;
};

const PIECE_BYTES = 1_000;
const EVENT_BYTES_MAX = 100_000;
const DEADLINE_MS = 120;
/** Until what the upstream has written has reached the caller. */
const PASSING_MS = 20;
/** An answer that is held back until it is whole sends nothing before. */
const FIRST_BYTES_MS = 150;
const GIVE_UP_MS = 5_000;

/** By the protocol, such an answer ends with its head, whatever that states. */
function hasNoBody({ method, status }: AnswerPlay): boolean {
  return method === 'HEAD' || status === 204;
}

function framed({ framing }: AnswerPlay, bytes: Buffer): Buffer {
  if (framing !== 'chunked' || bytes.length === 0) return bytes;
  const head = Buffer.from(`${bytes.length.toString(16)}\r\n`);
  return Buffer.concat([head, bytes, Buffer.from('\r\n')]);
}

function headOf({ framing, kind, status }: AnswerPlay, length: number): string {
  const lines = [`HTTP/1.1 ${status} OK`, 'T-Id: r1', 'T-Signed: s'];
  if (kind !== 'plain') lines.push('Content-Type: text/event-stream');
  switch (framing) {
    case 'length':
      if (status !== 204) lines.push(`Content-Length: ${length}`);
      break;
    case 'chunked':
      lines.push('Transfer-Encoding: chunked');
      break;
    case 'until-close':
      lines.push('Connection: close');
  }
  return `${lines.join('\r\n')}\r\n\r\n`;
}

function piecesOf(bytes: Buffer): Buffer[] {
  const pieces = [];
  for (let from = 0; from < bytes.length; from += PIECE_BYTES) {
    pieces.push(bytes.subarray(from, from + PIECE_BYTES));
  }
  return pieces;
}

async function answerAt(play: AnswerPlay, socket: net.Socket, body: Buffer): Promise<void> {
  const isWhole = play.cut === 'none';
  const bytes = isWhole ? body : body.subarray(0, play.cutAtBytes);
  socket.write(headOf(play, body.length));
  if (hasNoBody(play)) {
    if (play.framing === 'until-close') socket.end();
    return;
  }
  piecesOf(bytes).forEach((piece) => socket.write(framed(play, piece)));
  if (isWhole) {
    if (play.framing === 'chunked') socket.write('0\r\n\r\n');
    if (play.framing === 'until-close') socket.end();
    return;
  }
  if (play.cut === 'upstream-closed') socket.end();
  if (play.cut !== 'upstream-reset' && play.cut !== 'broken-twice') return;
  await timers.setTimeout(PASSING_MS);
  socket.resetAndDestroy();
}

/** The events after the one that the request names. */
function restOf(play: AnswerPlay, request: string): Buffer {
  const [, id] = /^last-event-id: (\d+)/im.exec(request) ?? [];
  if (id === undefined) return play.body;
  const from = play.body.indexOf(`id: ${Number(id) + 1}\n`);
  return from < 0 ? Buffer.alloc(0) : play.body.subarray(from);
}

function endingOf(result: calls.AttemptResult): calls.Ending {
  const upstreamId = 'u1';
  switch (result.kind) {
    case 'answered':
      return { kind: 'answered', status: result.status, upstreamId };
    case 'caller-gone':
      return { kind: 'caller-gone', stage: 'upstream' };
    case 'lost':
    case 'deadline':
      return { kind: result.hasBegun ? 'cut' : 'failed', cause: 'upstream-lost', upstreamId };
    default:
      return { kind: 'failed', cause: 'upstream-lost', upstreamId };
  }
}

/** What the body is by the framing, and whether it is complete by it. */
function judge(play: AnswerPlay, bytes: Buffer, hasEnded: boolean): Received {
  const headEnd = bytes.indexOf('\r\n\r\n');
  const body = Buffer.alloc(0);
  if (headEnd < 0) {
    return {
      status: 0,
      isSigned: false,
      statedBytes: null,
      body,
      isComplete: false,
      framing: 'until-close',
    };
  }
  const head = bytes.subarray(0, headEnd).toString('latin1').toLowerCase();
  const status = Number(head.slice(9, 12));
  const isSigned = head.includes('\r\nt-signed: s') && head.includes('\r\nt-id: r1');
  const rest = bytes.subarray(headEnd + 4);
  const [, length] = /\r\ncontent-length: (\d+)/.exec(head) ?? [];
  const statedBytes = length === undefined ? null : Number(length);
  const facts = { status, isSigned, statedBytes };
  if (hasNoBody(play)) return { ...facts, body, isComplete: true, framing: 'length' };
  if (statedBytes !== null) {
    const isComplete = rest.length >= statedBytes;
    return { ...facts, body: rest, isComplete, framing: 'length' };
  }
  if (!head.includes('transfer-encoding: chunked')) {
    return { ...facts, body: rest, isComplete: hasEnded, framing: 'until-close' };
  }
  const parts: Buffer[] = [];
  for (let from = 0; ;) {
    const sizeEnd = rest.indexOf('\r\n', from);
    const size = sizeEnd < 0 ? NaN : Number.parseInt(rest.toString('latin1', from, sizeEnd), 16);
    const next = sizeEnd + 2 + size + 2;
    const isComplete = size === 0;
    if (isComplete || !(next <= rest.length)) {
      return { ...facts, body: Buffer.concat(parts), isComplete, framing: 'chunked' };
    }
    parts.push(rest.subarray(sizeEnd + 2, next - 2));
    from = next;
  }
}

function receive(port: number, play: AnswerPlay, onFirstBytes: () => void): Promise<Received> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const socket = net.connect(port, '127.0.0.1');
    const finish = (hasEnded: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(judge(play, Buffer.concat(chunks), hasEnded));
    };
    const timer = setTimeout(() => finish(false), GIVE_UP_MS);
    socket.on('data', (chunk) => {
      chunks.push(chunk);
      onFirstBytes();
      if (judge(play, Buffer.concat(chunks), false).isComplete) finish(false);
    });
    // Behind data that is still unread, a reset is reported as a regular end; its socket has no peer any more.
    socket.once('end', () => finish(socket.remoteAddress !== undefined));
    socket.once('error', () => finish(false));
    const headers = ['host: a.example', 't-id: r1', `t-wait: ${DEADLINE_MS}`, 'content-length: 4'];
    if (play.takenUpAfter !== null) headers.push(`last-event-id: ${play.takenUpAfter}`);
    const { method, httpVersion } = play;
    socket.write(`${method} /x HTTP/${httpVersion}\r\n${headers.join('\r\n')}\r\n\r\nbody`);
  });
}

function createSignal(): [Promise<void>, () => void] {
  let signal = () => {};
  const signalled = new Promise<void>((resolve) => {
    signal = resolve;
  });
  return [signalled, signal];
}

export async function playAnswer(play: AnswerPlay): Promise<Received> {
  const upstream = await rawUpstreams.startRawUpstream((socket, request) => {
    void answerAt(play, socket, restOf(play, request));
  });
  const clock = clocks.createSystemClock();
  const loopAges = readDelays.createReadDelay(clock);
  const connections = connectionsModule.createConnections(clock);
  const dialect = testDialects.createTestDialect();
  const log = logs.createSilentLogger();
  const held = heldAnswers.createHeldAnswers({ log, maxBytes: 10_000_000 });

  async function attempt(
    call: calls.Call,
    sink: answers.AnswerSink,
    resumeAfterId: string | null,
  ): Promise<calls.AttemptResult> {
    const acquired = connections.acquire(upstream.record, 4);
    if (acquired.err) return { kind: 'not-sent', reason: 'no connection' };
    const connection = acquired.val;
    const untilMs = play.cut === 'deadline' ? call.deadlineMs : clock.nowMs() + GIVE_UP_MS;
    const result = await attempts.runAttempt(
      { clock, log: logs.createSilentLogger(), dialect, loopAges, eventBytesMax: EVENT_BYTES_MAX },
      {
        call: { ...call, deadlineMs: untilMs },
        upstreamName: 'u1',
        connection,
        sink,
        holds: held.forCall(call.requestId),
        priority: 0,
        resumeAfterId,
        mayStart: () => true,
        sendByMs: untilMs,
        firstByteByMs: untilMs,
        mayGiveUp: async () => true,
        onFirstChunk: () => {},
        onResponseHead: () => {},
        onCancelled: () => {},
      },
    );
    connection.release(result.kind !== 'not-sent');
    return result;
  }

  async function serve(call: calls.Call, sink: answers.AnswerSink): Promise<calls.Ending> {
    const first = await attempt(call, sink, null);
    const mayResume = play.kind === 'resumable' && first.kind === 'lost' && first.hasBegun;
    return endingOf(mayResume ? await attempt(call, sink, first.lastEventId) : first);
  }

  async function serveBroken(call: calls.Call, sink: answers.AnswerSink): Promise<calls.Ending> {
    void serve(call, sink);
    await timers.setTimeout(2 * PASSING_MS);
    throw new Error('broken');
  }

  const isStream = play.kind !== 'plain';
  const app = await callersApps.startCallersApp({
    route: { kind: isStream ? 'stream' : 'idempotent', isResumable: play.kind === 'resumable' },
    serve: play.cut === 'broken' ? serveBroken : serve,
  });
  const open = openConnections.trackConnections(app.server, { pollCount: () => 0 }, clock);
  const [firstBytes, onFirstBytes] = createSignal();
  const received = receive(app.port, play, onFirstBytes);
  if (play.cut === 'stopped' || play.cut === 'killed') {
    await Promise.race([firstBytes, timers.setTimeout(FIRST_BYTES_MS)]);
    await timers.setTimeout(PASSING_MS);
    if (play.cut === 'stopped') stops.cutOff(app.server, open);
    else app.server.closeAllConnections();
  }
  const result = await received;
  loopAges.stop();
  upstream.close();
  await Promise.all([app.close(), connections.close()]);
  return result;
}
