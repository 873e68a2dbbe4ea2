/**
 * Whether a request may still be sent. Load: a loop that stands or has long turns while requests wait for something.
 * Failure: what ends the wait is handled before the close of a caller that left meanwhile is read. Symptom: an upstream works
 * for nobody. The caller is looked at right before the bytes go out, and connections are read once more before where
 * the last look may be too old.
 */
import type { clocks } from '@copperlever/runtime';

import type * as calls from '../../types/calls.js';
import type * as answers from './answers.js';
import * as loopAgesModule from './loop-ages.js';

export type LastLook = (
  call: Pick<calls.Call, 'deadlineMs'>,
  sink: Pick<answers.AnswerSink, 'isCallerGone'>,
) => Promise<LookVerdict>;

export type LookVerdict = 'may-send' | 'caller-gone' | 'deadline';

export type LastLookDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  loopAges: Pick<loopAgesModule.LoopAges, 'unreadMs' | 'readAgain'>;
};

/** A loop that stands as often as this would hold a request back for good. */
const LOOKS_MAX = 4;

export function createLastLook({ clock, loopAges }: LastLookDeps): LastLook {
  return async (call, sink) => {
    let unreadMs = loopAges.unreadMs();
    for (let looks = 0; unreadMs > loopAgesModule.LOOK_AFTER_MS && looks < LOOKS_MAX; looks += 1) {
      if (sink.isCallerGone()) break;
      unreadMs = await loopAges.readAgain();
    }
    if (sink.isCallerGone()) return 'caller-gone';
    return clock.nowMs() >= call.deadlineMs ? 'deadline' : 'may-send';
  };
}
