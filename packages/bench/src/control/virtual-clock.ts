/** A clock for a thousand processes in one: time jumps to the next timer, found by a heap. */
import type { clocks } from '@copperlever/runtime';

type Timer = { atMs: number; order: number; task: () => void; isCancelled: boolean };

export type VirtualClock = clocks.Clock & {
  /** Runs every timer that is due within `durationMs`, in order. */
  advance: (durationMs: number) => Promise<void>;
};

/** Promise chains settle before the immediate of the same turn. */
function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

function isEarlier(a: Timer, b: Timer): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/** A binary heap with the earliest timer at its root. */
function createTimerHeap() {
  const heap: Timer[] = [];

  function swap(a: number, b: number): void {
    [heap[a], heap[b]] = [heap[b] as Timer, heap[a] as Timer];
  }

  function isAhead(a: number, b: number): boolean {
    return isEarlier(heap[a] as Timer, heap[b] as Timer);
  }

  function sink(): void {
    let index = 0;
    for (;;) {
      let first = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < heap.length && isAhead(child, first)) first = child;
      }
      if (first === index) return;
      swap(index, first);
      index = first;
    }
  }

  return {
    peek: () => heap[0],
    push: (timer: Timer) => {
      let index = heap.push(timer) - 1;
      while (index > 0) {
        const parent = Math.floor((index - 1) / 2);
        if (!isAhead(index, parent)) return;
        swap(index, parent);
        index = parent;
      }
    },
    pop: () => {
      swap(0, heap.length - 1);
      const earliest = heap.pop();
      sink();
      return earliest;
    },
  };
}

export function createVirtualClock(): VirtualClock {
  const timers = createTimerHeap();
  let currentMs = 0;
  let nextOrder = 0;
  return {
    nowMs: () => currentMs,
    wallMs: () => currentMs,
    schedule: (atMs, task) => {
      const timer = { atMs, order: nextOrder, task, isCancelled: false };
      nextOrder += 1;
      timers.push(timer);
      return () => {
        timer.isCancelled = true;
      };
    },
    advance: async (durationMs) => {
      const untilMs = currentMs + durationMs;
      await settle();
      for (let next = timers.peek(); next !== undefined && next.atMs <= untilMs;) {
        timers.pop();
        if (!next.isCancelled) {
          currentMs = Math.max(currentMs, next.atMs);
          next.task();
          await settle();
        }
        next = timers.peek();
      }
      currentMs = untilMs;
    },
  };
}
