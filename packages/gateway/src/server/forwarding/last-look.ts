/**
 * Whether a request may still be sent. Load: a loop that stands or has long turns while requests wait for something.
 * Failure: what ends the wait is handled before the close of a caller that left meanwhile is read. Symptom: an upstream works
 * for nobody. The caller is looked at right before the bytes go out, and connections are read once more before where
 * the last look may be too old.
 */
import type { clocks } from '@copperlever/runtime';

import type * as calls from '../../types/calls.js';
import type * as answers from './answers.js';
import type * as loopAgesModule from './loop-ages.js';

export type LastLook = (
  call: Pick<calls.Call, 'deadlineMs'>,
  sink: Pick<answers.AnswerSink, 'isCallerGone'>,
) => Promise<LookVerdict>;

export type LookVerdict = 'may-send' | 'caller-gone' | 'deadline';

export type LastLookDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  loopAges: Pick<loopAgesModule.LoopAges, 'isStale' | 'readAgain'>;
};

export function createLastLook({ clock, loopAges }: LastLookDeps): LastLook {
  return async (call, sink) => {
    if (!sink.isCallerGone() && loopAges.isStale()) await loopAges.readAgain();
    if (sink.isCallerGone()) return 'caller-gone';
    return clock.nowMs() >= call.deadlineMs ? 'deadline' : 'may-send';
  };
}
