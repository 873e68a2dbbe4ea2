/**
 * How old what has just been read from a connection can be. Load: a small gateway in a burst, or one that has just started
 * again, reads late, and accepts one new connection in each turn of its loop. Failure: what is read is taken for of now.
 * Symptom: requests of callers that have left are sent on, and deadlines begin when requests were read. Connections
 * are read in each poll, so what was not there in an earlier poll came after that one had begun.
 */
import * as perfHooks from 'node:perf_hooks';

import type { clocks } from '@copperlever/runtime';

/** What is asked of the event loop. */
export type EventLoop = {
  /** Polls that have begun. */
  pollCount: () => number;
  /** Time that was spent waiting in polls, all of it. */
  idleMs: () => number;
  /** Runs `task` at the end of a turn, after what has been read in it. */
  atTurnEnd: (task: () => void) => void;
  /** Runs `task` each `periodMs`, until the function that is returned is called. */
  every: (periodMs: number, task: () => void) => () => void;
};

/** The age of a request as it is read, at most; and whether its connection was new. */
export type ReadAge = { unreadMs: number; isNewConnection: boolean };

/** What the loop did between two beats: the mean length of its turns, and the share of the time in which it did not wait. */
export type Beat = { turnMs: number; busyShare: number; elapsedMs: number };

export type LoopAges = {
  /** A connection was accepted; `key` stands for it. */
  accepted: (key: object) => void;
  /** A request is read on that connection. */
  readAge: (key: object) => ReadAge;
  /** For how long what has come on a connection that was open before may lie unread, at most. */
  unreadMs: () => number;
  /** It may be too long to judge an upstream by what has not come. */
  isStale: () => boolean;
  /** Once all that has come by now has been read: how old what is known then can be. */
  readAgain: () => Promise<number>;
  /** Polls that have begun. */
  pollCount: () => number;
  /** The mean length of the loop's turns lately, without its waits. */
  turnMs: () => number;
  stop: () => void;
};

/** Twenty wake-ups a second: a tenth of the time after which work for a caller that has left counts as such. */
const BEAT_MS = 50;
const BEATS_KEPT = 4;
/** A poll that returned at once also counts as a wait, of some microseconds. */
const IDLE_MIN_MS = 1;
/** The poll that began after a moment is over once the next has begun. */
const POLLS_AFTER = 2;

/** Below the shortest time that an upstream is given. */
const STALE_MS = 100;
/**
 * Half of the time after which work for a caller that has left counts as such: the rest is for the turn in which its request
 * is begun, and for the way.
 */
export const LOOK_AFTER_MS = 250;

/** A moment between two polls, or at which it is known that nothing older lay unread. */
type Mark = { atMs: number; pollCount: number; idleMs: number };

type Accepted = Mark & { waitedMs: number };

const systemLoop: EventLoop = {
  pollCount: () => {
    // Missing in the types of this version of Node.
    const { uvMetricsInfo } = perfHooks.performance.nodeTiming as unknown as {
      uvMetricsInfo: { loopCount: number };
    };
    return uvMetricsInfo.loopCount;
  },
  idleMs: () => perfHooks.performance.nodeTiming.idleTime,
  atTurnEnd: setImmediate,
  every: (periodMs, task) => {
    const timer = setInterval(task, periodMs);
    timer.unref();
    return () => clearInterval(timer);
  },
};

export function createLoopAges(
  clock: Pick<clocks.Clock, 'nowMs'>,
  onBeat: (beat: Beat) => void = () => {},
  loop: EventLoop = systemLoop,
): LoopAges {
  const accepted = new WeakMap<object, Accepted>();
  const started = mark();
  let beats: readonly Mark[] = [started];
  let meanTurnMs = 0;
  let lastAccept: Mark | null = null;
  /** No connection that waits to be accepted is older than this. */
  let queueEmpty = mark();

  function mark(): Mark {
    return { atMs: clock.nowMs(), pollCount: loop.pollCount(), idleMs: loop.idleMs() };
  }

  function turnEnd(): Promise<void> {
    return new Promise((resolve) => {
      loop.atTurnEnd(resolve);
    });
  }

  /** Time that the loop did not spend waiting: whatever comes while it waits is read at once. */
  function busyMs(since: Mark, now: Mark): number {
    return Math.max(0, now.atMs - since.atMs - (now.idleMs - since.idleMs));
  }

  /** The latest beat after which a whole poll has passed. */
  function passedBeat(now: Mark): Mark {
    const passed = beats.findLast((beat) => beat.pollCount + POLLS_AFTER <= now.pollCount);
    return passed ?? beats[0] ?? started;
  }

  function unreadAt(now: Mark): number {
    return busyMs(passedBeat(now), now);
  }

  function noteQueue(now: Mark): void {
    const last = lastAccept;
    const hasPolled = last === null || now.pollCount >= last.pollCount + POLLS_AFTER;
    const hasWaited = last !== null && now.idleMs - last.idleMs > IDLE_MIN_MS;
    if (!hasPolled && !hasWaited) return;
    const beat = passedBeat(now);
    queueEmpty = last !== null && last.atMs > beat.atMs ? last : beat;
  }

  const stop = loop.every(BEAT_MS, () => {
    const now = mark();
    const last = beats.at(-1) ?? started;
    meanTurnMs = busyMs(last, now) / Math.max(1, now.pollCount - last.pollCount);
    beats = [...beats.slice(1 - BEATS_KEPT), now];
    const elapsedMs = now.atMs - last.atMs;
    onBeat({
      turnMs: meanTurnMs,
      busyShare: busyMs(last, now) / Math.max(1, elapsedMs),
      elapsedMs,
    });
  });

  return {
    accepted: (key) => {
      const now = mark();
      noteQueue(now);
      lastAccept = now;
      accepted.set(key, { ...now, waitedMs: busyMs(queueEmpty, now) });
    },
    readAge: (key) => {
      const now = mark();
      const kept = unreadAt(now);
      const since = accepted.get(key);
      // A connection that was accepted in this poll or the one before had its bytes with it.
      const isNewConnection = since !== undefined && now.pollCount < since.pollCount + POLLS_AFTER;
      if (!isNewConnection) return { unreadMs: kept, isNewConnection };
      return { unreadMs: since.waitedMs + busyMs(since, now), isNewConnection };
    },
    unreadMs: () => unreadAt(mark()),
    isStale: () => unreadAt(mark()) > STALE_MS,
    readAgain: async () => {
      await turnEnd();
      const beforePoll = mark();
      await turnEnd();
      return busyMs(beforePoll, mark());
    },
    pollCount: loop.pollCount,
    turnMs: () => meanTurnMs,
    stop,
  };
}
