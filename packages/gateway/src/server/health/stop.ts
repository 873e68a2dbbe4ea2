/** A planned stop: goes on serving until the balancer has turned away, then ends what is idle. */
import type * as http from 'node:http';
import type * as net from 'node:net';

import { clocks } from '@copperlever/runtime';

export type DrainOptions = {
  clock: clocks.Clock;
  server: http.Server;
  connections: OpenConnections;
  openCallCount: () => number;
  /** By when it has to be over. */
  endMs: number;
};

/**
 * The balancer asks once a second and turns away after two misses. What is taken later than three seconds
 * after the stop began may be too long to be answered before the end, so nothing is.
 */
const TURN_AWAY_MS = 2_500;
/** What is still being answered then is ended by the platform's kill otherwise. */
const EXIT_MARGIN_MS = 700;
const CHECK_MS = 50;
/** Requests that crossed the close of their connection are still answered. */
const LINGER_MS = 300;

export type OpenConnections = {
  /** Ends connections without a request: those kept, and those that never sent one. */
  closeQuiet: () => void;
};

/**
 * Node's own list of idle connections leaves out those on which no request has come yet: a request that
 * arrives on one at the last moment would be taken and given up.
 */
export function trackConnections(server: http.Server): OpenConnections {
  const requestCounts = new Map<net.Socket, number>();
  let isClosing = false;
  server.on('connection', (socket: net.Socket) => {
    requestCounts.set(socket, 0);
    socket.once('close', () => requestCounts.delete(socket));
  });
  server.on('request', (request: http.IncomingMessage, response: http.ServerResponse) => {
    const { socket } = request;
    const add = (count: number) => {
      const before = requestCounts.get(socket);
      if (before !== undefined) requestCounts.set(socket, before + count);
    };
    add(1);
    // An answer that began before the stop does not say that its connection closes: the caller would
    // send its next request at once.
    response.once('finish', () => {
      if (isClosing) socket.end();
    });
    response.once('close', () => add(-1));
  });
  return {
    closeQuiet: () => {
      isClosing = true;
      for (const [socket, count] of requestCounts) if (count <= 0) socket.end();
    },
  };
}

/** By when a stop that begins at `stopAtMs` has to be over, before the platform kills the process. */
export function exitByMs(stopAtMs: number, stopTimeoutMs: number): number {
  return stopAtMs + stopTimeoutMs - EXIT_MARGIN_MS;
}

export async function drain(options: DrainOptions): Promise<void> {
  const { clock, server, connections, endMs } = options;
  await clocks.sleepUntil(clock, Math.min(endMs, clock.nowMs() + TURN_AWAY_MS));
  server.close();
  connections.closeQuiet();
  await clocks.sleepUntil(clock, clock.nowMs() + LINGER_MS);
  while (options.openCallCount() > 0 && clock.nowMs() < endMs) {
    connections.closeQuiet();
    await clocks.sleepUntil(clock, clock.nowMs() + CHECK_MS);
  }
  connections.closeQuiet();
  // What was written last is still on its way to its callers.
  await clocks.sleepUntil(clock, clock.nowMs() + LINGER_MS);
}

export type HandBackOptions = {
  clock: clocks.Clock;
  drained: Promise<void>;
  /** Gives the lease back by then, if it is held. */
  handBack: (untilMs: number) => Promise<void>;
  endMs: number;
};

/** Enough for the store's answer, and for another try. */
const HAND_BACK_MS = 1_000;

/**
 * Each change of holder costs the lease time without orders. When gateways are restarted in turn, a lease that is
 * given back at once goes to one that is stopped next; kept until the drain is over, it changes hands once.
 */
export async function handBackLast(options: HandBackOptions): Promise<void> {
  const { clock, drained, handBack, endMs } = options;
  await Promise.race([drained, clocks.sleepUntil(clock, endMs - HAND_BACK_MS)]);
  await Promise.all([drained, handBack(endMs)]);
}
