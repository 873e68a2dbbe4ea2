/** The line of each request that a planned stop refuses, answers at its end or cuts. */
import type { clocks } from '@copperlever/runtime';
import type * as stopTimes from '@copperlever/runtime/stop-times';

import type * as logEvents from '../../types/log-events.js';

/** When a request was read, and where it is. */
export type Progress = {
  requestId: string;
  arrivedAtMs: number;
  bufferedMs: number;
  deadlineMs: number;
  /** Of the latest attempt; null before the first. */
  passedOnAtMs: number | null;
  upstreamId: string | null;
};

export type StopAdmission = {
  /** `answered`: told at the end of the stop that it may have run. */
  log: (progress: Progress, outcome: logEvents.StopOutcome) => void;
};

export type StopAdmissionDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  log: Pick<logEvents.GatewayLog, 'info'>;
  stopTimes: () => stopTimes.StopTimes | null;
};

export function createStopAdmission(deps: StopAdmissionDeps): StopAdmission {
  const { clock } = deps;
  return {
    log: ({ requestId, passedOnAtMs, upstreamId, ...progress }, outcome) => {
      const stop = deps.stopTimes();
      if (stop === null) return;
      const readAtMs = progress.arrivedAtMs + progress.bufferedMs;
      deps.log.info('ended-by-stop', {
        requestId,
        outcome,
        readSinceStopMs: Math.round(readAtMs - stop.startedMs),
        passedOnSinceStopMs:
          passedOnAtMs === null ? undefined : Math.round(passedOnAtMs - stop.startedMs),
        upstreamId: upstreamId ?? undefined,
        remainingMs: Math.round(progress.deadlineMs - clock.nowMs()),
      });
    },
  };
}
