/** Tells when callers' connections wait long to be accepted: what they have sent leaves no other trace until it is read. */
import type * as http from 'node:http';

import type { clocks } from '@copperlever/runtime';

import type * as logEvents from '../../types/log-events.js';
import type * as readDelays from '../forwarding/read-delay.js';

export type AcceptWatchDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  log: Pick<logEvents.GatewayLog, 'info' | 'warn'>;
  server: Pick<http.Server, 'on'>;
  loopAges: Pick<readDelays.ReadDelay, 'acceptWaitMs' | 'turnMs'>;
  callerCount: () => number;
};

/** Callers that wait for a second have mostly missed their objectives. */
const LATE_MS = 1_000;
const LINE_INTERVAL_MS = 1_000;

export function watchAccepts({ clock, log, server, loopAges, callerCount }: AcceptWatchDeps): void {
  let lateSinceMs: number | null = null;
  let lineMs = -Infinity;
  let acceptedCount = 0;

  function late(waitMs: number, nowMs: number): void {
    lateSinceMs ??= nowMs;
    if (nowMs - lineMs < LINE_INTERVAL_MS) return;
    lineMs = nowMs;
    log.warn('accepts-late', {
      acceptWaitMs: Math.round(waitMs),
      acceptedCount,
      callerCount: callerCount(),
      turnMs: Math.round(loopAges.turnMs()),
    });
    acceptedCount = 0;
  }

  server.on('connection', () => {
    const nowMs = clock.nowMs();
    const waitMs = loopAges.acceptWaitMs();
    acceptedCount += 1;
    if (waitMs > LATE_MS) late(waitMs, nowMs);
    else if (lateSinceMs !== null) {
      log.info('accepts-in-time', { lateForMs: Math.round(nowMs - lateSinceMs) });
      lateSinceMs = null;
      acceptedCount = 0;
    }
  });
}
