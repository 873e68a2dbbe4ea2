/** A clock for tests whose time moves only when the test advances it. */
import type * as clocks from '../clocks.js';

type Timer = { atMs: number; order: number; task: () => void };

/** Event-loop iterations after each timer, so that promise chains settle before the next timer runs. */
const SETTLE_ITERATIONS = 3;

export type FakeClock = clocks.Clock & {
  /** Advances time by `durationMs`, runs each due timer in order and lets promises settle after each. */
  advance: (durationMs: number) => Promise<void>;
  /** Lets pending promises settle without advancing time. */
  settle: () => Promise<void>;
  /** The time of the next timer, or null if none is scheduled. */
  nextTimerMs: () => number | null;
};

function nextIteration(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

export function createFakeClock(startWallMs = Date.UTC(2026, 0, 1)): FakeClock {
  let currentMs = 0;
  let nextOrder = 0;
  const timers = new Set<Timer>();

  function earliestTimer(): Timer | null {
    let found: Timer | null = null;
    for (const timer of timers) {
      const isEarlier =
        found === null ||
        timer.atMs < found.atMs ||
        (timer.atMs === found.atMs && timer.order < found.order);
      if (isEarlier) found = timer;
    }
    return found;
  }

  async function settle(): Promise<void> {
    for (let count = 0; count < SETTLE_ITERATIONS; count += 1) await nextIteration();
  }

  return {
    nowMs: () => currentMs,
    wallMs: () => startWallMs + currentMs,
    schedule: (atMs, task) => {
      const timer = { atMs, order: nextOrder, task };
      nextOrder += 1;
      timers.add(timer);
      return () => timers.delete(timer);
    },
    advance: async (durationMs) => {
      const untilMs = currentMs + durationMs;
      await settle();
      for (
        let timer = earliestTimer();
        timer !== null && timer.atMs <= untilMs;
        timer = earliestTimer()
      ) {
        timers.delete(timer);
        currentMs = Math.max(currentMs, timer.atMs);
        timer.task();
        await settle();
      }
      currentMs = untilMs;
    },
    settle,
    nextTimerMs: () => earliestTimer()?.atMs ?? null,
  };
}
