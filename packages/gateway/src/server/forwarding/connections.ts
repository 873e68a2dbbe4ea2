/** Connections to upstreams: a pool for each, which serves one request at a time on a connection. */
import * as undici from 'undici';

import type * as fleet from '../../types/fleet.js';

export type ConnectionEnd = 'reset' | 'closed';

export type Connections = {
  poolFor: (upstream: fleet.UpstreamRecord, connectionsMax: number) => undici.Pool;
  /** Closes pools of upstreams that are gone, once their requests have ended. */
  retain: (upstreamIds: ReadonlySet<string>) => void;
  /**
   * How a connection is ending in this very turn, if one is. Failure: an answer without a length ends with
   * its connection, and the client library takes a reset for that end, and an early end of a chunked
   * answer too. Symptom: a part of an answer is passed on as the whole. The socket tells of its end first,
   * within the same turn.
   */
  endingNow: () => ConnectionEnd | null;
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

export function createConnections(): Connections {
  const pools = new Map<string, undici.Pool>();
  const connect = undici.buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  let ending: ConnectionEnd | null = null;

  function noteEnd(how: ConnectionEnd): void {
    ending = how;
    setImmediate(() => {
      ending = null;
    });
  }

  return {
    endingNow: () => ending,
    poolFor: (upstream, connectionsMax) => {
      const found = pools.get(upstream.upstreamId);
      if (found !== undefined) return found;
      const pool = new undici.Pool(`http://${upstream.address}`, {
        connections: Math.max(CONNECTIONS_MIN, Math.floor(connectionsMax)),
        pipelining: 1,
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
        keepAliveMaxTimeout: LONGEST_IDLE_MS,
        connect: (options, done) => {
          connect(options, (...result) => {
            result[1]?.prependListener('error', () => noteEnd('reset'));
            result[1]?.prependListener('end', () => noteEnd('closed'));
            done(...result);
          });
        },
        // Deadlines are each request's own.
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      pools.set(upstream.upstreamId, pool);
      return pool;
    },
    retain: (upstreamIds) => {
      for (const [id, pool] of pools) {
        if (!upstreamIds.has(id)) {
          pools.delete(id);
          // Requests in flight end first; a pool that is closing takes no new ones.
          void pool.close();
        }
      }
    },
    close: async () => {
      await Promise.all([...pools.values()].map((pool) => pool.destroy()));
    },
  };
}
