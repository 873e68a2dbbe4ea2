/** The calls that are open, and one line for each call that a planned stop refuses, answers at its end or cuts. */
import type { clocks, logs } from '@copperlever/runtime';

/** `refused`: not run; `answered`: told that it may have run; `cut`: its connection was closed without a whole answer. */
export type StopOutcome = 'refused' | 'answered' | 'cut';

export type OpenCalls = {
  /** A call was read; `noteAnswered` once its answer is written. */
  add: (requestId: string) => void;
  notePassedOn: (requestId: string, agentId: string) => void;
  /** Its agent says that it runs. */
  noteStarted: (requestId: string) => void;
  noteAnswered: (requestId: string) => void;
  noteStopBegan: (atMs: number) => void;
  logAtStop: (requestId: string, outcome: StopOutcome, cause: string) => void;
  /** Logs each call that is open as cut; returns how many. */
  logCut: () => number;
};

type OpenCall = {
  readAtMs: number;
  passedOnAtMs: number | null;
  startedAtMs: number | null;
  agentId: string | null;
};

export function createOpenCalls(clock: Pick<clocks.Clock, 'nowMs'>, log: logs.Logger): OpenCalls {
  const open = new Map<string, OpenCall>();
  let stopAtMs: number | null = null;

  /** Negative for what was before the stop began; null for what has not been. */
  function sinceStopMs(atMs: number | null): number | null {
    return atMs === null || stopAtMs === null ? null : Math.round(atMs - stopAtMs);
  }

  function logAtStop(requestId: string, outcome: StopOutcome, cause: string): void {
    const call = open.get(requestId);
    if (call === undefined || stopAtMs === null) return;
    log[outcome === 'cut' ? 'error' : 'info']('call-at-stop', {
      requestId,
      outcome,
      cause,
      agent: call.agentId,
      readSinceStopMs: sinceStopMs(call.readAtMs),
      passedOnSinceStopMs: sinceStopMs(call.passedOnAtMs),
      startedSinceStopMs: sinceStopMs(call.startedAtMs),
      sinceStopMs: sinceStopMs(clock.nowMs()),
    });
  }

  return {
    add: (requestId) => {
      const readAtMs = clock.nowMs();
      open.set(requestId, { readAtMs, passedOnAtMs: null, startedAtMs: null, agentId: null });
    },
    notePassedOn: (requestId, agentId) => {
      const call = open.get(requestId);
      if (call === undefined) return;
      Object.assign(call, { agentId, passedOnAtMs: clock.nowMs(), startedAtMs: null });
    },
    noteStarted: (requestId) => {
      const call = open.get(requestId);
      if (call !== undefined) call.startedAtMs = clock.nowMs();
    },
    noteAnswered: (requestId) => {
      open.delete(requestId);
    },
    noteStopBegan: (atMs) => {
      stopAtMs = atMs;
    },
    logAtStop,
    logCut: () => {
      open.forEach((_call, requestId) => logAtStop(requestId, 'cut', 'stop-over'));
      return open.size;
    },
  };
}
