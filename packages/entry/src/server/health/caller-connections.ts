/** Closes the callers' connections at a stop, none of them while a request lies unread on it. */
import type * as http from 'node:http';

import type { clocks } from '@copperlever/runtime';
import * as eventLoop from '@copperlever/runtime/event-loop';
import * as openConnections from '@copperlever/runtime/open-connections';

export type CallerConnections = {
  /** One step: closes what a whole poll of the event loop has found unused. */
  closeUnused: () => Promise<void>;
  /** No connection is open, and no more are accepted. */
  isClosed: () => boolean;
};

/** Behind a longer poll more may have arrived, and the next step looks again. */
const POLL_MAX_MS = 100;

export function createCallerConnections(
  clock: Pick<clocks.Clock, 'nowMs'>,
  server: http.Server,
  /** Whether connections can't be accepted for want of a descriptor. */
  isExhausted: () => boolean = () => false,
): CallerConnections {
  const open = openConnections.trackConnections(
    server,
    { pollCount: eventLoop.pollCount },
    clock,
    isExhausted,
  );
  let isAccepting = true;
  return {
    closeUnused: async () => {
      await eventLoop.turnEnd();
      const beforePollMs = clock.nowMs();
      await eventLoop.turnEnd();
      if (clock.nowMs() - beforePollMs > POLL_MAX_MS) return;
      const pollNumber = eventLoop.pollCount();
      if (isAccepting && !open.mayWait(pollNumber)) {
        open.stopAccepting();
        isAccepting = false;
      }
      open.closeIdle(pollNumber);
    },
    isClosed: () => !isAccepting && open.count() === 0,
  };
}
