/** What a planned stop still takes up and passes on, and the line of each request that it refuses, answers at its end or cuts. */
import type { clocks } from '@copperlever/runtime';
import * as stopTimes from '@copperlever/runtime/stop-times';

import type * as answerTimes from '../../shared/answer-times.js';
import type * as calls from '../../types/calls.js';
import type * as logEvents from '../../types/log-events.js';

export type Request = Pick<calls.Call, 'route' | 'facts' | 'deadlineMs'>;

/** When a request was read, and where it is. */
export type Progress = Request & {
  requestId: string;
  arrivedAtMs: number;
  bufferedMs: number;
  /** Of the latest attempt; null before the first. */
  passedOnAtMs: number | null;
  upstreamId: string | null;
};

export type StopAdmission = {
  /**
   * False for a request that would not be over before the stop ends if it was sent to an upstream now: by its deadline, or by what
   * answers of its kind take.
   */
  mayPassOn: (request: Request) => boolean;
  /** Notes how long an upstream took. */
  recordAnswer: (request: Request, tookMs: number) => void;
  /** `answered`: told at the end of the stop that it may have run. */
  log: (progress: Progress, outcome: logEvents.StopOutcome) => void;
};

export type StopAdmissionDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  log: Pick<logEvents.GatewayLog, 'info'>;
  stopTimes: () => stopTimes.StopTimes | null;
  answerTimes: answerTimes.AnswerTimes;
};

export function createStopAdmission(deps: StopAdmissionDeps): StopAdmission {
  const { clock } = deps;

  function kindOf({ route, facts }: Request): answerTimes.RequestKind {
    return { route: route.name, model: facts.model };
  }

  return {
    mayPassOn: (request) => {
      const stop = deps.stopTimes();
      if (stop === null) return true;
      const usualMs = deps.answerTimes.usualMs(kindOf(request));
      return stopTimes.mayTake(stop, clock.nowMs(), request.deadlineMs, usualMs);
    },
    recordAnswer: (request, tookMs) => deps.answerTimes.record(kindOf(request), tookMs),
    log: ({ requestId, passedOnAtMs, upstreamId, ...progress }, outcome) => {
      const stop = deps.stopTimes();
      if (stop === null) return;
      const usualMs = deps.answerTimes.usualMs(kindOf(progress));
      const readAtMs = progress.arrivedAtMs + progress.bufferedMs;
      deps.log.info('ended-by-stop', {
        requestId,
        outcome,
        readSinceStopMs: Math.round(readAtMs - stop.stopAtMs),
        passedOnSinceStopMs:
          passedOnAtMs === null ? undefined : Math.round(passedOnAtMs - stop.stopAtMs),
        upstreamId: upstreamId ?? undefined,
        remainingMs: Math.round(progress.deadlineMs - clock.nowMs()),
        usualMs: usualMs === null ? undefined : Math.round(usualMs),
      });
    },
  };
}
