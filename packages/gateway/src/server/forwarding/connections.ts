/** Connections to upstreams. Each serves one request at a time, so that no answer can meet another's request. */
import * as undici from 'undici';

import type * as fleet from '../../types/fleet.js';

export type ConnectionEnd = 'reset' | 'closed';

/** One connection, lent to one attempt. */
export type LentConnection = {
  dispatch: (
    options: undici.Dispatcher.DispatchOptions,
    handler: undici.Dispatcher.DispatchHandler,
  ) => void;
  /**
   * How the connection has ended, if it has. Failure: an answer without a length ends with its connection,
   * and the client library takes a reset for that end, and an early end of a chunked answer too. Symptom:
   * a part of an answer is passed on as the whole. The socket tells of its end before the library does.
   */
  end: () => ConnectionEnd | null;
  /** A connection that never took its request is not lent again: it may still be opening. */
  giveBack: (isReusable: boolean) => void;
};

export type Connections = {
  /** Null when all connections that this gateway may have to the upstream are in use. */
  lend: (upstream: fleet.UpstreamRecord, connectionsMax: number) => LentConnection | null;
  /** Closes connections of upstreams that are gone, once their requests have ended. */
  retain: (upstreamIds: ReadonlySet<string>) => void;
  close: () => Promise<void>;
};

/** Upstreams that announce no timeout may close an idle connection within a second. */
const IDLE_TIMEOUT_MS = 800;
/** Upstreams announce whole seconds; a request must not meet the close on its way. */
const IDLE_MARGIN_MS = 600;
const LONGEST_IDLE_MS = 20_000;
/** Two hundred times the round trip within a region; what takes longer is dark. */
const CONNECT_TIMEOUT_MS = 1_000;
const CONNECTIONS_MIN = 2;

type Connection = { client: undici.Client; end: ConnectionEnd | null };

/** Free connections are used again latest first, so that those that are not needed fall idle and close. */
type Pool = { free: Connection[]; lentCount: number; isGone: boolean };

const connect = undici.buildConnector({ timeout: CONNECT_TIMEOUT_MS });

function createConnection(address: string): Connection {
  const connection: Connection = {
    end: null,
    client: new undici.Client(`http://${address}`, {
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      keepAliveMaxTimeout: LONGEST_IDLE_MS,
      // Deadlines are each request's own.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (options, done) => {
        connect(options, (...result) => {
          const [, socket] = result;
          connection.end = null;
          socket?.prependListener('error', () => {
            connection.end = 'reset';
          });
          socket?.prependListener('end', () => {
            connection.end ??= 'closed';
          });
          done(...result);
        });
      },
    }),
  };
  return connection;
}

export function createConnections(): Connections {
  const pools = new Map<string, Pool>();

  function poolOf(upstreamId: string): Pool {
    const found = pools.get(upstreamId);
    if (found !== undefined) return found;
    const pool = { free: [], lentCount: 0, isGone: false };
    pools.set(upstreamId, pool);
    return pool;
  }

  function giveBack(pool: Pool, connection: Connection, isReusable: boolean): void {
    pool.lentCount -= 1;
    if (!isReusable) void connection.client.destroy();
    else if (pool.isGone) void connection.client.close();
    else pool.free.push(connection);
  }

  return {
    lend: (upstream, connectionsMax) => {
      const pool = poolOf(upstream.upstreamId);
      if (pool.lentCount >= Math.max(CONNECTIONS_MIN, Math.floor(connectionsMax))) return null;
      const connection = pool.free.pop() ?? createConnection(upstream.address);
      pool.lentCount += 1;
      let isLent = true;
      return {
        dispatch: (options, handler) => {
          connection.client.dispatch(options, handler);
        },
        end: () => connection.end,
        giveBack: (isReusable) => {
          if (isLent) giveBack(pool, connection, isReusable);
          isLent = false;
        },
      };
    },
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
