/**
 * How a planned stop ends requests that are being served: what can't be over any more is refused, and what upstreams may still run
 * is told so at the end. What an upstream has is never told as not run.
 */
import type { clocks } from '@copperlever/runtime';

import type * as calls from '../../types/calls.js';
import type * as logEvents from '../../types/log-events.js';
import type * as answers from './answers.js';
import type * as runs from './run.js';
import type * as stopAdmissions from './stop-admission.js';
import * as unsentRequests from './unsent-requests.js';

export type StopEndingsDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  unsent: Pick<unsentRequests.UnsentRequests, 'add' | 'isRefusing'>;
  stopAdmission: stopAdmissions.StopAdmission;
  refuse: runs.Refuse;
  /** Null stays null; a failure gives way to an upstream's own error answer. */
  preferHeldFailure: (
    run: runs.Run,
    sink: answers.AnswerSink,
    ending: calls.Ending | null,
  ) => calls.Ending | null;
};

export type Watched = {
  /** For all that works on the request. */
  sink: answers.AnswerSink;
  /** Resolves once a stop has ended the request. */
  ending: Promise<calls.Ending>;
  remove: () => void;
};

export type StopEndings = {
  /** Whether another upstream may not be sent the request any more. */
  mustNotPassOn: (call: calls.Call) => boolean;
  /** Whether the end of a stop would cut it off if it was sent now. */
  isTooLate: (call: calls.Call, run: runs.Run, sink: answers.AnswerSink) => boolean;
  /** The ending if a stop leaves it no time: nothing of it is at an upstream. */
  refused: (call: calls.Call, run: runs.Run, sink: answers.AnswerSink) => calls.Ending;
  /** Notes how long an upstream took, by which later requests are judged. */
  recordAnswer: (call: calls.Call, run: runs.Run, result: calls.AttemptResult) => void;
  watch: (call: calls.Call, run: runs.Run, sink: answers.AnswerSink) => Watched;
};

export function createStopEndings(deps: StopEndingsDeps): StopEndings {
  const { clock, unsent, stopAdmission, refuse, preferHeldFailure } = deps;

  function mustNotPassOn(call: calls.Call): boolean {
    return unsent.isRefusing() || !stopAdmission.mayPassOn(call);
  }

  /** A stream that has begun would be cut off in any case; what was given up might still have been answered where it was. */
  function isTooLate(call: calls.Call, run: runs.Run, sink: answers.AnswerSink): boolean {
    if (sink.hasBegun()) return false;
    return run.wasGivenUp ? unsent.isRefusing() : mustNotPassOn(call);
  }

  function logStop(call: calls.Call, run: runs.Run, outcome: logEvents.StopOutcome): void {
    const { passedOnAtMs } = run;
    const upstreamId = passedOnAtMs === null ? null : run.upstreamId;
    stopAdmission.log({ ...call, passedOnAtMs, upstreamId }, outcome);
  }

  function refused(call: calls.Call, run: runs.Run, sink: answers.AnswerSink): calls.Ending {
    const ending = refuse(call, run, 'stopping', unsentRequests.STOPPING_RETRY_MS);
    logStop(call, run, 'refused');
    return preferHeldFailure(run, sink, ending) ?? ending;
  }

  /** The ending of what has no answer at the end of a stop: its upstream may go on running it. */
  function unanswered(call: calls.Call, run: runs.Run, sink: answers.AnswerSink): calls.Ending {
    if (!run.isAtUpstream && run.ranCount === 0) return refused(call, run, sink);
    const { upstreamId } = run;
    logStop(call, run, 'answered');
    const ending: calls.Ending = { kind: 'failed', cause: 'stopping', upstreamId };
    return preferHeldFailure(run, sink, ending) ?? ending;
  }

  return {
    mustNotPassOn,
    isTooLate,
    refused,
    recordAnswer: (call, run, result) => {
      // Resumed streams do only a part of the work. At its deadline an answer would have taken longer still.
      const isWhole = run.resumeAfterId === null && call.resumeAfterId === null;
      const isTold = result.kind === 'answered' || result.kind === 'deadline';
      if (!isWhole || !isTold || run.passedOnAtMs === null) return;
      stopAdmission.recordAnswer(call, clock.nowMs() - run.passedOnAtMs);
    },
    watch: (call, run, sink) => {
      const withdrawable = unsentRequests.createWithdrawableSink(sink);
      let remove = () => {};
      const ending = new Promise<calls.Ending>((resolve) => {
        const refuseWaiting = () => {
          if (run.isAtUpstream || sink.hasBegun() || sink.isCallerGone()) return;
          withdrawable.withdraw();
          resolve(refused(call, run, sink));
        };
        const end = () => {
          if (sink.isCallerGone()) return;
          // An answer that has begun can't become an error: the end of its connection shows that it is not whole.
          if (sink.hasBegun()) {
            logStop(call, run, 'cut');
            return;
          }
          withdrawable.withdraw();
          resolve(unanswered(call, run, sink));
        };
        remove = unsent.add(refuseWaiting, { isTooLate: () => isTooLate(call, run, sink), end });
      });
      return { sink: withdrawable, ending, remove };
    },
  };
}
