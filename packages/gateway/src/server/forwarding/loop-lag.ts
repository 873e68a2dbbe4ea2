/**
 * Lets the event loop read what has come meanwhile before a request that may have lain unread is taken up. Load: a
 * gateway that has just started again, or a small one in a burst, reads requests a second late. Failure: the caller
 * has left, but its close lies behind the request in the same connection and is read one turn later. Symptom: the
 * request is sent on for nobody, and an upstream works for it. After two turns whatever had come before has been
 * read. Without a lag nothing waits.
 */
import type { clocks } from '@copperlever/runtime';

export type LoopLag = {
  /** Resolves at once, or after the connections have been read once more. */
  settle: () => Promise<void>;
  stop: () => void;
};

/** Notices a lag before callers do, at the cost of twenty wake-ups a second. */
const BEAT_MS = 50;
/** Well below the shortest time after which callers leave, some hundred milliseconds; above the jitter of a timer. */
const LAG_MS = 60;
/** For so long after a late beat requests are still taken up that lay unread before it. */
const KEPT_MS = 250;
/** The first ends the present turn; connections are read in the second. */
const TURNS = 2;

function nextTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

export function createLoopLag(clock: Pick<clocks.Clock, 'nowMs'>): LoopLag {
  let beatMs = clock.nowMs();
  let lateMs = -Infinity;

  function isLateBy(nowMs: number): boolean {
    return nowMs - beatMs > BEAT_MS + LAG_MS;
  }

  const timer = setInterval(() => {
    const nowMs = clock.nowMs();
    if (isLateBy(nowMs)) lateMs = nowMs;
    beatMs = nowMs;
  }, BEAT_MS);
  timer.unref();

  return {
    settle: async () => {
      const nowMs = clock.nowMs();
      if (!isLateBy(nowMs) && nowMs - lateMs > KEPT_MS) return;
      for (let turn = 0; turn < TURNS; turn += 1) await nextTurn();
    },
    stop: () => clearInterval(timer),
  };
}
