/**
 * Keeps callers' connections within their part of the descriptors. A listener can't be paused in this runtime: it accepts one
 * connection in each turn of the loop. So those beyond the bound are accepted, their requests refused at once and they are closed.
 * From the bound on, until there is room again, callers are sent elsewhere, answers close their connections, and idle ones are closed.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';

import { clocks } from '@copperlever/runtime';
import type * as openConnections from '@copperlever/runtime/open-connections';

import * as descriptorBounds from '../../shared/descriptor-bounds.js';
import type * as logEvents from '../../types/log-events.js';
import * as readDelays from '../forwarding/read-delay.js';

export type CallerBound = {
  /** Callers are to open their connections at other gateways: from the bound on, until a tenth of its connections is gone. */
  isFull: () => boolean;
  /** A request on that connection has to be refused. */
  isBeyond: (socket: net.Socket) => boolean;
};

export type CallerBoundDeps = {
  clock: clocks.Clock;
  log: Pick<logEvents.GatewayLog, 'info' | 'warn'>;
  server: http.Server;
  connections: Pick<openConnections.OpenConnections, 'count' | 'closeLongestIdle'>;
  loopAges: Pick<readDelays.ReadDelay, 'readPending' | 'pollCount'>;
  upstreamSocketCount: () => number;
  /** Null without a known limit. */
  bounds: () => descriptorBounds.DescriptorBounds | null;
};

/** Where a full gateway has room again: with one threshold alone readiness would change with each connection. */
const ROOM_SHARE = 0.9;
/** A caller's first or next request may be on its way for as long. */
const IDLE_MIN_MS = 500;
/** For one line at the begin and the end of a flood, not for each of its bursts. */
const BOUNDED_MIN_MS = 1_000;
/** A look goes over all connections. */
const LOOK_INTERVAL_MS = 25;

export function createCallerBound(deps: CallerBoundDeps): CallerBound {
  const { clock, log, connections, loopAges, bounds } = deps;
  const beyond = new WeakSet<net.Socket>();
  let wasFull = false;
  let isMakingRoom = false;
  let boundedUntilMs = -Infinity;

  /** By what upstreams leave. */
  function callersMax(): number {
    const known = bounds();
    if (known === null) return Infinity;
    return Math.max(1, Math.min(known.callersMax, known.sharedMax - deps.upstreamSocketCount()));
  }

  function isAbove(): boolean {
    return connections.count() > callersMax();
  }

  function isFull(): boolean {
    wasFull = connections.count() >= callersMax() * (wasFull ? ROOM_SHARE : 1);
    return wasFull;
  }

  /** Connections of callers and upstreams beyond their shared part. */
  function excess(): number {
    const sharedMax = bounds()?.sharedMax ?? Infinity;
    return connections.count() + deps.upstreamSocketCount() - sharedMax;
  }

  /** Behind a poll that has read all that had arrived: one with a part of a request on it is not idle. */
  async function closeIdle(): Promise<number> {
    const unreadMs = await loopAges.readPending();
    if (unreadMs > readDelays.UNREAD_AT_CLOSE_MAX_MS) return 0;
    const pollNumber = loopAges.pollCount();
    const nowMs = clock.nowMs();
    const max = isFull() ? Math.floor(connections.count() - callersMax() * ROOM_SHARE) + 1 : 0;
    const usedBeforeMs = nowMs - IDLE_MIN_MS;
    const idleCount = connections.closeLongestIdle({ pollNumber, usedBeforeMs, max });
    // Without a descriptor left, the next ones would be closed with whole requests on them.
    const silentMax = Math.max(0, excess() - descriptorBounds.SILENT_COUNT);
    const silent = { pollNumber, usedBeforeMs: nowMs, max: silentMax };
    return idleCount + connections.closeLongestIdle(silent);
  }

  async function makeRoom(): Promise<void> {
    isMakingRoom = true;
    let closedCount = 0;
    const callerCount = connections.count();
    log.warn('callers-bounded', { callerCount, callersMax: callersMax() });
    while (isFull() || clock.nowMs() < boundedUntilMs) {
      closedCount += await closeIdle();
      await clocks.sleepUntil(clock, clock.nowMs() + LOOK_INTERVAL_MS);
    }
    isMakingRoom = false;
    log.info('callers-unbounded', { callerCount: connections.count(), closedCount });
  }

  deps.server.on('connection', (socket: net.Socket) => {
    if (!isFull()) return;
    if (isAbove()) {
      beyond.add(socket);
      boundedUntilMs = clock.nowMs() + BOUNDED_MIN_MS;
    }
    if (!isMakingRoom) void makeRoom();
  });

  return {
    isFull,
    isBeyond: (socket) => beyond.has(socket) && isAbove(),
  };
}
