/** A clock for tests: time moves only when the test says so. */
import type * as clocks from '../clocks.js';

type Timer = { atMs: number; order: number; task: () => void };

/** Turns of the event loop after each timer, so that promise chains settle before the next one. */
const SETTLE_TURNS = 3;

export type FakeClock = clocks.Clock & {
  /** Moves time on by `durationMs`, running each due timer in order and letting promises settle. */
  advance: (durationMs: number) => Promise<void>;
  /** Lets pending promises settle without moving time. */
  settle: () => Promise<void>;
  /** The instant of the next timer, or null when none waits. */
  nextTimerMs: () => number | null;
};

function nextTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

export function createFakeClock(startWallMs = Date.UTC(2026, 0, 1)): FakeClock {
  let currentMs = 0;
  let nextOrder = 0;
  const timers = new Set<Timer>();

  function earliest(): Timer | null {
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
    for (let turn = 0; turn < SETTLE_TURNS; turn += 1) await nextTurn();
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
      for (let timer = earliest(); timer !== null && timer.atMs <= untilMs; timer = earliest()) {
        timers.delete(timer);
        currentMs = Math.max(currentMs, timer.atMs);
        timer.task();
        await settle();
      }
      currentMs = untilMs;
    },
    settle,
    nextTimerMs: () => earliest()?.atMs ?? null,
  };
}
