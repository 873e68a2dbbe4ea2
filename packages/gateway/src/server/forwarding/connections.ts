/** Connections to upstreams. Each carries one request at a time, so that no answer can be matched to another request. */
import { type clocks, connectionEnds, results } from '@copperlever/runtime';
import * as undici from 'undici';

import type * as fleet from '../../types/fleet.js';

/** A connection in use by one attempt. */
export type AcquiredConnection = {
  dispatch: (
    options: undici.Dispatcher.DispatchOptions,
    handler: undici.Dispatcher.DispatchHandler,
  ) => void;
  /**
   * How the connection has ended, if it has. An answer without a length ends with its connection, and the client library
   * reports a reset, and an early end of a chunked answer, as a regular end: a truncated answer would be forwarded as
   * complete. The socket's own events come before those of the library.
   */
  end: () => connectionEnds.ConnectionEnd | null;
  /**
   * A connection that never sent its request must not be reused: it may still be opening. One whose answer is still being read is free
   * once that has ended, and is closed if it doesn't end soon.
   */
  release: (isReusable: boolean) => void;
};

export type AcquireError =
  /** This gateway already uses as many connections to the upstream, or to all, as it may. */
  | { kind: 'in-use' }
  /** There is nothing to connect to, as with an address that the client library cannot read. */
  | { kind: 'unusable'; reason: string };

export type Connections = {
  acquire: (
    upstream: fleet.UpstreamRecord,
    connectionsMax: number,
  ) => results.Result<AcquiredConnection, AcquireError>;
  /** Sockets to all upstreams, open or opening. */
  socketCount: () => number;
  /** Closes connections of upstreams that are gone, once their requests have ended. */
  retain: (upstreamIds: ReadonlySet<string>) => void;
  close: () => Promise<void>;
};

/** Upstreams that announce no keep-alive timeout may close an idle connection within a second. */
const IDLE_TIMEOUT_MS = 800;
/** Upstreams announce timeouts in whole seconds. The margin keeps a request from crossing the close of its connection. */
const IDLE_MARGIN_MS = 600;
const LONGEST_IDLE_MS = 20_000;
/** Two hundred times the round trip within a region; an upstream that takes longer counts as unreachable. */
const CONNECT_TIMEOUT_MS = 1_000;
const CONNECTIONS_MIN = 2;
/** The body of a rejection is read so long and so far for its connection to be used again: a word or two, sent with the head. */
const REST_MS = 50;
const REST_BYTES_MAX = 16_384;

type Connection = {
  client: undici.Client;
  end: connectionEnds.ConnectionEnd | null;
  /** Its socket is open or opening. */
  hasSocket: boolean;
  /** An answer is on its way. */
  isReading: boolean;
  /** Of an answer that nobody waits for any more: what has come since, and what happens at its end. */
  rest: { bytes: number; onEnded: () => void } | null;
};

/** The connection that was released last is reused first, so that surplus connections become idle and close. */
type Pool = { free: Connection[]; usedCount: number; isGone: boolean };

class AnswerUnwanted extends Error {}

const connect = undici.buildConnector({ timeout: CONNECT_TIMEOUT_MS });

function createConnection(address: string, sockets: { count: number }): Connection {
  const connection: Connection = {
    end: null,
    hasSocket: false,
    isReading: false,
    rest: null,
    client: new undici.Client(`http://${address}`, {
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      keepAliveMaxTimeout: LONGEST_IDLE_MS,
      // Each request has a deadline of its own.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (options, done) => {
        connection.hasSocket = true;
        sockets.count += 1;
        const onClosed = () => {
          connection.hasSocket = false;
          sockets.count -= 1;
        };
        connect(options, (...result) => {
          const [error, socket] = result;
          connection.end = null;
          if (error === null) {
            socket.once('close', onClosed);
            connectionEnds.watchEnd(socket, (end) => {
              connection.end ??= end;
            });
          } else {
            onClosed();
          }
          done(...result);
        });
      },
    }),
  };
  return connection;
}

/** Follows the answer on the connection, and reads to its end what is left of one that was released before. */
function watched(
  connection: Connection,
  handler: undici.Dispatcher.DispatchHandler,
): undici.Dispatcher.DispatchHandler {
  const ended = () => {
    connection.isReading = false;
    const { rest } = connection;
    connection.rest = null;
    rest?.onEnded();
  };
  return {
    onRequestStart: (controller, context) => {
      connection.isReading = true;
      handler.onRequestStart?.(controller, context);
    },
    onResponseStart: (controller, status, headers, message) => {
      handler.onResponseStart?.(controller, status, headers, message);
    },
    onResponseData: (controller, chunk) => {
      const { rest } = connection;
      if (rest === null) {
        handler.onResponseData?.(controller, chunk);
        return;
      }
      rest.bytes += chunk.length;
      if (rest.bytes > REST_BYTES_MAX) controller.abort(new AnswerUnwanted('rest too long'));
    },
    onResponseEnd: (controller, trailers) => {
      handler.onResponseEnd?.(controller, trailers);
      ended();
    },
    onResponseError: (controller, error) => {
      handler.onResponseError?.(controller, error);
      ended();
    },
  };
}

/** `socketsMax`: to all upstreams together. */
export function createConnections(
  clock: Pick<clocks.Clock, 'nowMs' | 'schedule'>,
  socketsMax: () => number = () => Infinity,
): Connections {
  const sockets = { count: 0 };
  const pools = new Map<string, Pool>();

  function poolOf(upstreamId: string): Pool {
    const found = pools.get(upstreamId);
    if (found !== undefined) return found;
    const pool = { free: [], usedCount: 0, isGone: false };
    pools.set(upstreamId, pool);
    return pool;
  }

  function takeConnection(pool: Pool, address: string): results.Result<Connection, AcquireError> {
    const free = pool.free.pop();
    if (free !== undefined) return results.Ok(free);
    try {
      return results.Ok(createConnection(address, sockets));
    } catch (cause) {
      return results.Err({ kind: 'unusable', reason: String(cause) });
    }
  }

  function release(pool: Pool, connection: Connection, isReusable: boolean): void {
    if (isReusable && connection.isReading) {
      readRest(pool, connection);
      return;
    }
    pool.usedCount -= 1;
    if (!isReusable) void connection.client.destroy();
    else if (pool.isGone) void connection.client.close();
    else pool.free.push(connection);
  }

  function readRest(pool: Pool, connection: Connection): void {
    const cancel = clock.schedule(clock.nowMs() + REST_MS, () => {
      connection.rest = null;
      release(pool, connection, false);
    });
    const onEnded = () => {
      cancel();
      release(pool, connection, true);
    };
    connection.rest = { bytes: 0, onEnded };
  }

  return {
    acquire: (upstream, connectionsMax) => {
      const pool = poolOf(upstream.upstreamId);
      if (pool.usedCount >= Math.max(CONNECTIONS_MIN, Math.floor(connectionsMax))) {
        return results.Err({ kind: 'in-use' });
      }
      // One that opens for want of a descriptor would count as a fault of the upstream.
      const isOpen = pool.free.at(-1)?.hasSocket ?? false;
      if (!isOpen && sockets.count >= socketsMax()) return results.Err({ kind: 'in-use' });
      const created = takeConnection(pool, upstream.address);
      if (created.err) return created;
      const connection = created.val;
      pool.usedCount += 1;
      let isInUse = true;
      return results.Ok({
        dispatch: (options, handler) => {
          connection.client.dispatch(options, watched(connection, handler));
        },
        end: () => connection.end,
        release: (isReusable) => {
          if (isInUse) release(pool, connection, isReusable);
          isInUse = false;
        },
      });
    },
    socketCount: () => sockets.count,
    retain: (upstreamIds) => {
      for (const [id, pool] of pools) {
        if (upstreamIds.has(id)) continue;
        pools.delete(id);
        pool.isGone = true;
        pool.free.forEach(({ client }) => void client.close());
      }
    },
    close: async () => {
      const free = [...pools.values()].flatMap((pool) => pool.free);
      await Promise.all(free.map(({ client }) => client.destroy()));
    },
  };
}
