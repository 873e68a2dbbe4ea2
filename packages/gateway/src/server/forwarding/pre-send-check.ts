/**
 * Checks right before a request is sent that its caller is still connected and its deadline has not passed. If the event loop
 * stalls or has long turns while a request waits, the event that ends the wait may be handled before the close of the
 * caller's connection is read, and an upstream would work for a caller that has left. Sockets are therefore read again first
 * if they may have been unread for too long.
 */
import type { clocks } from '@copperlever/runtime';

import type * as calls from '../../types/calls.js';
import type * as answers from './answers.js';
import * as readDelays from './read-delay.js';

export type PreSendCheck = (
  call: Pick<calls.Call, 'deadlineMs'>,
  sink: Pick<answers.AnswerSink, 'isCallerGone'>,
) => Promise<PreSendDecision>;

export type PreSendDecision = 'may-send' | 'caller-gone' | 'deadline';

export type PreSendCheckDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  loopAges: Pick<readDelays.ReadDelay, 'unreadMs' | 'readPending'>;
};

/** Bounds the delay of a request on an event loop that stalls again and again. */
const READS_MAX = 4;

export function createPreSendCheck({ clock, loopAges }: PreSendCheckDeps): PreSendCheck {
  return async (call, sink) => {
    let bufferedMs = loopAges.unreadMs();
    for (let reads = 0; bufferedMs > readDelays.RECHECK_AFTER_MS && reads < READS_MAX; reads += 1) {
      if (sink.isCallerGone()) break;
      bufferedMs = await loopAges.readPending();
    }
    if (sink.isCallerGone()) return 'caller-gone';
    return clock.nowMs() >= call.deadlineMs ? 'deadline' : 'may-send';
  };
}
