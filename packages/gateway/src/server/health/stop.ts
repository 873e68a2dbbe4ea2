/**
 * Planned stop: goes on serving until the balancer sends no more connections, then closes idle connections and waits
 * for running requests.
 */
import type * as http from 'node:http';
import * as net from 'node:net';

import { clocks } from '@copperlever/runtime';

import type * as logEvents from '../../types/log-events.js';
import type * as readDelays from '../forwarding/read-delay.js';

export type DrainOptions = {
  clock: clocks.Clock;
  log: Pick<logEvents.GatewayLog, 'info'>;
  loopAges: Pick<readDelays.ReadDelay, 'unreadMs' | 'acceptWaitMs' | 'turnMs'>;
  connections: OpenConnections;
  openCallCount: () => number;
  /** When the drain has to be over. */
  endMs: number;
};

/**
 * The balancer polls once a second and stops sending connections after two failed polls. A request that is accepted
 * later than three seconds after the stop began may take too long to be answered before the end, so none is accepted.
 */
const BALANCER_NOTICE_MS = 2_500;
/** Time before the platform's kill at which the process exits by itself, since the kill would cut off open answers. */
const EXIT_MARGIN_MS = 700;
const CHECK_MS = 50;
/** Time in which requests that were sent before their connection was closed still arrive and are answered. */
const LINGER_MS = 300;

export type OpenConnections = {
  /**
   * Ends accepting connections. The close of an HTTP server also destroys connections whose answer has ended for the application
   * and is still in this process's buffers.
   */
  stopAccepting: () => void;
  /** Closes connections without a request in progress: kept-alive ones, and those that have not sent one yet. Returns their number. */
  closeIdle: () => number;
  /** Connections with a request that is still being read, or whose answer has not left this process's buffers. */
  busyCount: () => number;
  /** Resets the connections whose open answer would otherwise look complete, since its caller knows no chunks. */
  resetUnframed: () => void;
};

/**
 * Counts the requests in progress on each connection. Node's own list of idle connections leaves out those on which no
 * request has arrived yet: a request that arrives on one at the last moment would be accepted and then cut off.
 */
export function trackConnections(server: http.Server): OpenConnections {
  const requestCounts = new Map<net.Socket, number>();
  const withoutChunks = new WeakSet<net.Socket>();
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
    if (request.httpVersion === '1.0') withoutChunks.add(socket);
    // An answer that began before the stop does not announce that its connection closes, so the caller would send its
    // next request at once.
    response.once('finish', () => {
      if (isClosing) socket.end();
    });
    response.once('close', () => add(-1));
  });
  return {
    stopAccepting: () => {
      net.Server.prototype.close.call(server);
    },
    closeIdle: () => {
      isClosing = true;
      const idle = [...requestCounts].filter(
        ([socket, count]) => count <= 0 && !socket.writableEnded,
      );
      idle.forEach(([socket]) => socket.end());
      return idle.length;
    },
    busyCount: () => [...requestCounts.values()].filter((count) => count > 0).length,
    resetUnframed: () => {
      for (const [socket, count] of requestCounts) {
        if (count > 0 && withoutChunks.has(socket)) socket.resetAndDestroy();
      }
    },
  };
}

/** When a stop that begins at `stopAtMs` has to be over, which is before the platform kills the process. */
export function exitByMs(stopAtMs: number, stopTimeoutMs: number): number {
  return stopAtMs + stopTimeoutMs - EXIT_MARGIN_MS;
}

export async function drain(options: DrainOptions): Promise<void> {
  const { clock, log, loopAges, connections, endMs } = options;
  const turnMs = () => Math.round(loopAges.turnMs());
  const closeIdle = () => {
    const unreadMs = Math.round(loopAges.unreadMs());
    const closedCount = connections.closeIdle();
    if (closedCount > 0) log.info('idle-closed', { closedCount, unreadMs, turnMs: turnMs() });
  };
  await clocks.sleepUntil(clock, Math.min(endMs, clock.nowMs() + BALANCER_NOTICE_MS));
  const acceptWaitMs = Math.round(loopAges.acceptWaitMs());
  connections.stopAccepting();
  log.info('accepting-ended', { acceptWaitMs, turnMs: turnMs() });
  closeIdle();
  await clocks.sleepUntil(clock, clock.nowMs() + LINGER_MS);
  const isBusy = () => options.openCallCount() > 0 || connections.busyCount() > 0;
  while (isBusy() && clock.nowMs() < endMs) {
    closeIdle();
    await clocks.sleepUntil(clock, clock.nowMs() + CHECK_MS);
  }
  closeIdle();
  // The data written last is still on its way to the callers.
  await clocks.sleepUntil(clock, clock.nowMs() + LINGER_MS);
}

export type ReleaseOptions = {
  clock: clocks.Clock;
  drained: Promise<void>;
  /** Releases the lease, if it is held, by `untilMs`. */
  releaseLease: (untilMs: number) => Promise<void>;
  endMs: number;
};

/** Time for the store's answer and one retry. */
const LEASE_RELEASE_MS = 1_000;

/**
 * Releases the lease at the end of the drain. No orders can be given for the lease time after each change of holder.
 * When gateways are restarted one after the other, a lease that is released at the start of the drain would go to a
 * gateway that is stopped next; kept until the end, it changes hands once.
 */
export async function releaseLeaseLast(options: ReleaseOptions): Promise<void> {
  const { clock, drained, releaseLease: release, endMs } = options;
  await Promise.race([drained, clocks.sleepUntil(clock, endMs - LEASE_RELEASE_MS)]);
  await Promise.all([drained, release(endMs)]);
}

/** Closes all connections at the end of a stop. An answer that is still open misses its last chunk or a part of its length. */
export function cutOff(server: http.Server, connections: OpenConnections): void {
  connections.resetUnframed();
  server.closeAllConnections();
}
