/** Logs when an upstream becomes slow, and when it is back at its baseline speed. */
import type { clocks } from '@copperlever/runtime';

import type * as speeds from '../../shared/speeds.js';
import type * as logEvents from '../../types/log-events.js';

export type SpeedReportsDeps = { clock: clocks.Clock; log: logEvents.GatewayLog };

export type SpeedReports = {
  /** Takes the speed of an upstream as it is known now. */
  note: (upstreamId: string, speed: speeds.Speed) => void;
};

/** From this factor of its baseline service time an upstream counts as slow. */
const SLOW_FROM = 1.5;
/** Below this factor an upstream is back at its baseline. Between the two its state does not change. */
const BASELINE_BELOW = 1.2;
/** Minimum interval between two lines for one upstream, whose machine may change several times a second. */
const UPSTREAM_INTERVAL_MS = 5_000;
/** Minimum interval between two lines for any upstreams of a large fleet. */
const FLEET_INTERVAL_MS = 200;
/** The state of an upstream is dropped when it has had no line for this long, since the upstream may be gone. */
const KEPT_MS = 60_000;

type LoggedState = { isSlow: boolean; slowSinceMs: number; atMs: number };

const rounded = (value: number) => Math.round(value * 100) / 100;

export function createSpeedReports({ clock, log }: SpeedReportsDeps): SpeedReports {
  const logged = new Map<string, LoggedState>();
  let lastMs = -Infinity;

  function removeOld(nowMs: number): void {
    for (const [id, { atMs }] of logged) if (nowMs - atMs > KEPT_MS) logged.delete(id);
  }

  return {
    note: (upstreamId, { latencyRatio, transientFactor }) => {
      const before = logged.get(upstreamId);
      const wasSlow = before?.isSlow ?? false;
      const factor = latencyRatio * transientFactor;
      const isSlow = wasSlow ? factor >= BASELINE_BELOW : factor >= SLOW_FROM;
      if (isSlow === wasSlow) return;
      const nowMs = clock.nowMs();
      const isTooSoon = nowMs - (before?.atMs ?? -Infinity) < UPSTREAM_INTERVAL_MS;
      if (isTooSoon || nowMs - lastMs < FLEET_INTERVAL_MS) return;
      lastMs = nowMs;
      removeOld(nowMs);
      logged.set(upstreamId, { isSlow, slowSinceMs: nowMs, atMs: nowMs });
      const figures = { slowness: rounded(latencyRatio), momentFactor: rounded(transientFactor) };
      if (isSlow) log.info('upstream-slow', { upstreamId, ...figures });
      else {
        const slowMs = Math.round(nowMs - (before?.slowSinceMs ?? nowMs));
        log.info('upstream-usual', { upstreamId, ...figures, slowMs });
      }
    },
  };
}
