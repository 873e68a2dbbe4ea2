/** Logs that an upstream has become slow, and that it is back at its usual speed. */
import type { clocks } from '@copperlever/runtime';

import type * as speeds from '../../shared/speeds.js';
import type * as logEvents from '../../types/log-events.js';

export type SpeedReportsDeps = { clock: clocks.Clock; log: logEvents.GatewayLog };

export type SpeedReports = {
  /** The speed of an upstream, as it is known now. */
  note: (upstreamId: string, speed: speeds.Speed) => void;
};

const SLOW_FROM = 1.5;
/** Below this it is usual again; between the two nothing changes. */
const USUAL_BELOW = 1.2;
/** For one upstream, whose machine may change several times a second. */
const PAUSE_MS = 5_000;
/** For all upstreams of a large fleet. */
const COMMON_PAUSE_MS = 200;
/** An upstream that has gone, or has had no request for so long, is forgotten. */
const KEPT_MS = 60_000;

type Reported = { isSlow: boolean; slowSinceMs: number; atMs: number };

const rounded = (value: number) => Math.round(value * 100) / 100;

export function createSpeedReports({ clock, log }: SpeedReportsDeps): SpeedReports {
  const reported = new Map<string, Reported>();
  let lastMs = -Infinity;

  function forgetOld(nowMs: number): void {
    for (const [id, { atMs }] of reported) if (nowMs - atMs > KEPT_MS) reported.delete(id);
  }

  return {
    note: (upstreamId, { slowness, momentFactor }) => {
      const before = reported.get(upstreamId);
      const wasSlow = before?.isSlow ?? false;
      const factor = slowness * momentFactor;
      const isSlow = wasSlow ? factor >= USUAL_BELOW : factor >= SLOW_FROM;
      if (isSlow === wasSlow) return;
      const nowMs = clock.nowMs();
      const isTooSoon = nowMs - (before?.atMs ?? -Infinity) < PAUSE_MS;
      if (isTooSoon || nowMs - lastMs < COMMON_PAUSE_MS) return;
      lastMs = nowMs;
      forgetOld(nowMs);
      reported.set(upstreamId, { isSlow, slowSinceMs: nowMs, atMs: nowMs });
      const figures = { slowness: rounded(slowness), momentFactor: rounded(momentFactor) };
      if (isSlow) log.info('upstream-slow', { upstreamId, ...figures });
      else {
        const slowMs = Math.round(nowMs - (before?.slowSinceMs ?? nowMs));
        log.info('upstream-usual', { upstreamId, ...figures, slowMs });
      }
    },
  };
}
