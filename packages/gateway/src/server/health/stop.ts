/** A planned stop: goes on serving until the balancer has turned away, then ends what is idle. */
import type * as http from 'node:http';

import { clocks } from '@copperlever/runtime';

export type DrainOptions = {
  clock: clocks.Clock;
  server: http.Server;
  inFlightCount: () => number;
  stopTimeoutMs: number;
};

/** The balancer asks once a second and turns away after two misses; one more for its own delay. */
const TURN_AWAY_MS = 3_000;
/** What is still being answered then is ended by the platform's kill otherwise. */
const EXIT_MARGIN_MS = 700;
const CHECK_MS = 50;
/** Requests that crossed the close of their connection are still answered. */
const LINGER_MS = 300;

export async function drain(options: DrainOptions): Promise<void> {
  const { clock, server } = options;
  const endMs = clock.nowMs() + options.stopTimeoutMs - EXIT_MARGIN_MS;
  await clocks.sleepUntil(clock, Math.min(endMs, clock.nowMs() + TURN_AWAY_MS));
  server.close();
  server.closeIdleConnections();
  await clocks.sleepUntil(clock, clock.nowMs() + LINGER_MS);
  while (options.inFlightCount() > 0 && clock.nowMs() < endMs) {
    await clocks.sleepUntil(clock, clock.nowMs() + CHECK_MS);
  }
  server.closeIdleConnections();
  await clocks.sleepUntil(clock, clock.nowMs() + CHECK_MS);
}
