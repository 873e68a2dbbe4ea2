/**
 * Upper bounds for how long data may have been in a socket's buffer when it is read. A small gateway in a burst, or one that
 * has just restarted, reads late and accepts one new connection in each turn of its event loop. If the time of reading were
 * taken for the time of arrival, requests of callers that have left would be forwarded, and deadlines would start too late.
 * Each poll of the event loop reads all sockets, so data that an earlier poll did not find has arrived since that poll began.
 */
import * as perfHooks from 'node:perf_hooks';

import type { clocks } from '@copperlever/runtime';
import * as eventLoop from '@copperlever/runtime/event-loop';
import * as openConnections from '@copperlever/runtime/open-connections';

import * as acceptProbes from './accept-probe.js';

/** The event loop, as far as it is used here. */
export type EventLoop = {
  /** Number of polls that have begun. */
  pollCount: () => number;
  /** Total time that the loop has spent waiting in polls. */
  idleMs: () => number;
  /** Runs `task` at the end of a turn, after its reads have been handled. */
  atTurnEnd: (task: () => void) => void;
  /** Runs `task` every `periodMs` until the returned function is called. */
  every: (periodMs: number, task: () => void) => () => void;
};

/**
 * Upper bound for the time that a request was buffered before it was read, and whether its connection was new. `sinceAcceptMs`:
 * since its connection was accepted.
 */
export type RequestAge = { bufferedMs: number; isNewConnection: boolean; sinceAcceptMs: number };

/** The event loop between two samples: mean length of its turns, and the share of the time in which it was not waiting. */
export type LoopSample = { turnMs: number; busyShare: number; elapsedMs: number };

export type ReadDelay = {
  /** Records that a connection was accepted; `key` identifies it. */
  accepted: (key: object & { remotePort?: number | undefined }) => void;
  /** Has probes opened where connections may wait long to be accepted. */
  probeWith: (open: acceptProbes.OpenProbe) => void;
  /** The age of a request that is being read from that connection. */
  requestAge: (key: object) => RequestAge;
  /** Upper bound for the time that data on an already open connection may have been unread. */
  unreadMs: () => number;
  /** Upper bound for how long the connections that are not accepted yet may have waited. */
  acceptWaitMs: () => number;
  /** Whether data may have been unread for so long that an upstream's answer can't be called missing yet. */
  mayBeStale: () => boolean;
  /** Resolves when all data that has arrived by now has been read, to an upper bound for how long newer data is unread. */
  readPending: () => Promise<number>;
  /** Number of polls that have begun. */
  pollCount: () => number;
  /** Mean length of the loop's turns between the last two samples, without its waits. */
  turnMs: () => number;
  stop: () => void;
};

/**
 * Twenty wake-ups a second. A tenth of the 500 ms after which work for a caller that has left counts as wasted.
 */
const SAMPLE_INTERVAL_MS = 50;
const SAMPLES_KEPT = 4;
/** A poll that returned at once is also counted as idle, for some microseconds; shorter waits than this are ignored. */
const IDLE_MIN_MS = 1;
/** The first poll that begins after a mark is known to be over when the next one has begun. */
const POLLS_AFTER = 2;

/** Shorter than the shortest time-out for an upstream's answer. */
const STALE_MS = 100;
/**
 * Half of the time after which work for a caller that has left counts as wasted. The rest is left for the turn in which its
 * request is started and for the network.
 */
export const RECHECK_AFTER_MS = 250;

/** Nothing is closed that may have lain unread for longer; half of the time after which a caller counts its request as taken. */
export const UNREAD_AT_CLOSE_MAX_MS = 100;

/** Connections are accepted in order, so that none of them is older than the accept of the one so many before it. */
export const { ACCEPT_QUEUE_MAX } = openConnections;

/** A point in time, with the state of the event loop at it. */
type Mark = { atMs: number; pollCount: number; idleMs: number };

/** Connections that may wait longer than this are worth a probe. */
const PROBED_WAIT_MS = 100;

type Accepted = Mark & { waitedMs: number };

const systemLoop: EventLoop = {
  pollCount: eventLoop.pollCount,
  idleMs: () => perfHooks.performance.nodeTiming.idleTime,
  atTurnEnd: setImmediate,
  every: (periodMs, task) => {
    const timer = setInterval(task, periodMs);
    timer.unref();
    return () => clearInterval(timer);
  },
};

export function createReadDelay(
  clock: Pick<clocks.Clock, 'nowMs'>,
  onSample: (sample: LoopSample) => void = () => {},
  loop: EventLoop = systemLoop,
  /** Whether connections can't be accepted for want of a descriptor: a poll without one doesn't show an empty queue then. */
  isExhausted: () => boolean = () => false,
): ReadDelay {
  const accepted = new WeakMap<object, Accepted>();
  const started = mark();
  let samples: readonly Mark[] = [started];
  let meanTurnMs = 0;
  let probe: acceptProbes.AcceptProbe | null = null;
  let lastAccept: Mark | null = null;
  /** The latest accepts, one more than the queue can hold; written round and round. */
  const accepts: Mark[] = [];
  let acceptCount = 0;
  /** The latest time at which no connection was waiting to be accepted, as far as known: none that waits now is older. */
  let acceptQueueEmpty = mark();

  function mark(): Mark {
    return { atMs: clock.nowMs(), pollCount: loop.pollCount(), idleMs: loop.idleMs() };
  }

  function turnEnd(): Promise<void> {
    return new Promise((resolve) => {
      loop.atTurnEnd(resolve);
    });
  }

  /** Time in which the loop was not waiting in polls. Data that arrives while it waits is read at once. */
  function busyMs(since: Mark, now: Mark): number {
    return Math.max(0, now.atMs - since.atMs - (now.idleMs - since.idleMs));
  }

  /** The latest sample since which a complete poll has taken place. */
  function lastPolledSample(now: Mark): Mark {
    const polled = samples.findLast((sample) => sample.pollCount + POLLS_AFTER <= now.pollCount);
    return polled ?? samples[0] ?? started;
  }

  function bufferedMsAt(now: Mark): number {
    return busyMs(lastPolledSample(now), now);
  }

  /** Since the latest probe that was accepted was opened. */
  function sinceProbeMs(now: Mark): number {
    return now.atMs - (probe?.openedAfterMs() ?? -Infinity);
  }

  /** At an accept: moves `acceptQueueEmpty` forward if a poll has found no connection, or the loop has waited, since the last one. */
  function updateAcceptQueue(now: Mark): void {
    if (isExhausted()) return;
    const last = lastAccept;
    const hasPolled = last === null || now.pollCount >= last.pollCount + POLLS_AFTER;
    const hasWaited = last !== null && now.idleMs - last.idleMs > IDLE_MIN_MS;
    if (!hasPolled && !hasWaited) return;
    const sample = lastPolledSample(now);
    acceptQueueEmpty = last !== null && last.atMs > sample.atMs ? last : sample;
  }

  const stop = loop.every(SAMPLE_INTERVAL_MS, () => {
    const now = mark();
    const last = samples.at(-1) ?? started;
    meanTurnMs = busyMs(last, now) / Math.max(1, now.pollCount - last.pollCount);
    samples = [...samples.slice(1 - SAMPLES_KEPT), now];
    const elapsedMs = now.atMs - last.atMs;
    onSample({
      turnMs: meanTurnMs,
      busyShare: busyMs(last, now) / Math.max(1, elapsedMs),
      elapsedMs,
    });
  });

  return {
    accepted: (key) => {
      const now = mark();
      updateAcceptQueue(now);
      lastAccept = now;
      const slot = acceptCount % (ACCEPT_QUEUE_MAX + 1);
      const earlier = accepts[slot] ?? acceptQueueEmpty;
      accepts[slot] = now;
      acceptCount += 1;
      const unprobedMs = Math.min(busyMs(acceptQueueEmpty, now), busyMs(earlier, now));
      accepted.set(key, { ...now, waitedMs: Math.min(unprobedMs, sinceProbeMs(now)) });
      if (unprobedMs > PROBED_WAIT_MS) probe?.send();
      probe?.accepted(key.remotePort);
    },
    probeWith: (open) => {
      probe = acceptProbes.createAcceptProbe(clock, open);
    },
    requestAge: (key) => {
      const now = mark();
      const bufferedMs = bufferedMsAt(now);
      const since = accepted.get(key);
      // On a connection that was accepted in this poll or the one before, the request may have waited with the connection.
      const isNewConnection = since !== undefined && now.pollCount < since.pollCount + POLLS_AFTER;
      const sinceAcceptMs = since === undefined ? 0 : now.atMs - since.atMs;
      if (!isNewConnection) return { bufferedMs, isNewConnection, sinceAcceptMs };
      return {
        bufferedMs: since.waitedMs + busyMs(since, now),
        isNewConnection,
        sinceAcceptMs,
      };
    },
    unreadMs: () => bufferedMsAt(mark()),
    acceptWaitMs: () => {
      const now = mark();
      updateAcceptQueue(now);
      return Math.min(busyMs(acceptQueueEmpty, now), sinceProbeMs(now));
    },
    mayBeStale: () => bufferedMsAt(mark()) > STALE_MS,
    readPending: async () => {
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
