/** Time that moves from one task to the next, for simulations with hundreds of thousands of tasks. */
export type VirtualClock = {
  nowMs: () => number;
  at: (atMs: number, task: () => void) => void;
  after: (durationMs: number, task: () => void) => void;
  runUntil: (untilMs: number) => void;
};

type Entry = { atMs: number; order: number; task: () => void };

function isBefore(left: Entry, right: Entry): boolean {
  return left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);
}

export function createVirtualClock(): VirtualClock {
  const heap: Entry[] = [];
  let nowMs = 0;
  let nextOrder = 0;

  function push(entry: Entry): void {
    let at = heap.push(entry) - 1;
    while (at > 0) {
      const parent = Math.floor((at - 1) / 2);
      if (!isBefore(entry, heap[parent] as Entry)) break;
      heap[at] = heap[parent] as Entry;
      at = parent;
    }
    heap[at] = entry;
  }

  function pop(): Entry {
    const first = heap[0] as Entry;
    const last = heap.pop() as Entry;
    if (heap.length === 0) return first;
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      if (child >= heap.length) break;
      const right = heap[child + 1];
      if (right !== undefined && isBefore(right, heap[child] as Entry)) child += 1;
      if (!isBefore(heap[child] as Entry, last)) break;
      heap[at] = heap[child] as Entry;
      at = child;
    }
    heap[at] = last;
    return first;
  }

  function schedule(atMs: number, task: () => void): void {
    push({ atMs: Math.max(nowMs, atMs), order: nextOrder, task });
    nextOrder += 1;
  }

  return {
    nowMs: () => nowMs,
    at: schedule,
    after: (durationMs, task) => schedule(nowMs + durationMs, task),
    runUntil: (untilMs) => {
      while ((heap[0]?.atMs ?? Infinity) <= untilMs) {
        const { atMs, task } = pop();
        nowMs = atMs;
        task();
      }
      nowMs = untilMs;
    },
  };
}
