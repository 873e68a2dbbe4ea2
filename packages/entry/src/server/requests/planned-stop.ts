/** A planned stop as calls meet it: what may still begin, when what waits is taken back, and when the rest is answered. */
import { type longestTimes } from '@copperlever/decisions';
import { clocks } from '@copperlever/runtime';
import * as stopTimes from '@copperlever/runtime/stop-times';

import * as endings from '../../shared/endings.js';
import type * as calls from '../../types/calls.js';

type Call = Pick<calls.Call, 'deadlineMs' | 'target'>;

export type PlannedStop = {
  begin: (times: stopTimes.DrainTimes) => void;
  /** Null while no stop is under way. */
  times: () => stopTimes.DrainTimes | null;
  /** Calls `task` when a stop begins, unless the returned function is called before. */
  onBegin: (task: () => void) => () => void;
  /** Calls `task` when a stop begins, and when it is learned during one that answers take longer. */
  onChange: (task: () => void) => () => void;
  /** Whether `call` may be passed on now. */
  mayBegin: (call: Call) => boolean;
  /** Until when `call` may begin; infinite while no stop is under way. */
  latestStartMs: (call: Call) => number;
  /** Waits as long as `call` may begin afterwards. */
  sleepUntil: (untilMs: number, call: Call, signal: AbortSignal) => Promise<void>;
  /** Of a call that the stop takes no more; it did not run. */
  refusal: () => calls.Refusal;
  noteDuration: longestTimes.LongestTimes['observe'];
};

/** Another entry serves the call at once. */
const RETRY_MS = 100;

function addTo(tasks: Set<() => void>, task: () => void): () => void {
  // The same function may be added for several calls.
  const entry = () => task();
  tasks.add(entry);
  return () => {
    tasks.delete(entry);
  };
}

function runAll(tasks: ReadonlySet<() => void>): void {
  [...tasks].forEach((task) => task());
}

export function createPlannedStop(
  clock: clocks.Clock,
  durations: longestTimes.LongestTimes,
): PlannedStop {
  const beginTasks = new Set<() => void>();
  const changeTasks = new Set<() => void>();
  let times: stopTimes.DrainTimes | null = null;

  function workOf({ deadlineMs, target }: Call): stopTimes.Work {
    return { deadlineMs, longestMs: durations.longestMs(target.name) };
  }

  function noteDuration(target: string, tookMs: number): void {
    const before = durations.longestMs(target);
    durations.observe(target, tookMs);
    if (times !== null && tookMs > (before ?? 0)) runAll(changeTasks);
  }

  function latestStartMs(call: Call): number {
    return times === null ? Infinity : stopTimes.latestStartMs(times, workOf(call));
  }

  return {
    begin: (newTimes) => {
      times = newTimes;
      runAll(beginTasks);
      runAll(changeTasks);
    },
    times: () => times,
    onBegin: (task) => addTo(beginTasks, task),
    onChange: (task) => addTo(changeTasks, task),
    mayBegin: (call) => stopTimes.mayBegin(times, clock.nowMs(), workOf(call)),
    latestStartMs,
    sleepUntil: async (untilMs, call, signal) => {
      const begun = new AbortController();
      const wake = () => begun.abort();
      const remove = addTo(beginTasks, wake);
      signal.addEventListener('abort', wake, { once: true });
      await clocks.sleepUntil(clock, Math.min(untilMs, latestStartMs(call)), begun.signal);
      signal.removeEventListener('abort', wake);
      remove();
      if (!begun.signal.aborted) return;
      await clocks.sleepUntil(clock, Math.min(untilMs, latestStartMs(call)), signal);
    },
    refusal: () => {
      const detail = 'this entry stops; it would not be over in time';
      return endings.notRun('leaving', clock.nowMs() + RETRY_MS, detail);
    },
    noteDuration,
  };
}
