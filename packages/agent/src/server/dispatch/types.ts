/** One attempt at this agent, and what the parts of the request path know of it. */
import type { agent } from '@copperlever/protocol';
import type { clocks } from '@copperlever/runtime';

import type * as answerLogs from '../../shared/answer-log.js';
import type * as answerRooms from '../../shared/answer-rooms.js';

/** Why an attempt that runs is cut short. */
export type AbortCause = 'cancelled' | 'deadline-passed' | 'upstream-silent' | 'answer-too-large';

export type Attempt = {
  request: agent.DispatchRequest;
  state: 'waiting-for-copy' | 'queued' | 'running' | 'closed';
  deadlineMs: number;
  log: answerLogs.AnswerLog;
  /** Of the bytes in its log. */
  room: answerRooms.AnswerRoom;
  /** Of the request's body, until the attempt is closed. */
  bodyBytes: number;
  abort: AbortController;
  startedAtMs: number | null;
  closedAtMs: number | null;
  /** Timers that end with the attempt. */
  timers: Set<clocks.Cancel>;
  /** Stops the wait for a reader; null while somebody reads. */
  stopIdleTimer: clocks.Cancel | null;
  /** Lets the copies that it runs on go. */
  release: () => void;
};
