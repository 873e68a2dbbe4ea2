/** A model engine in memory, behind a network that loses, delays and repeats orders on demand. */
import { clocks, results } from '@copperlever/runtime';

import type * as upstreams from '../types/upstreams.js';

/** What happens to the next order. */
export type OrderFate =
  | { kind: 'delivered' }
  | { kind: 'lost' }
  /** It acts, and its answer is lost. */
  | { kind: 'answer-lost' }
  /** It acts `delayMs` later, when nobody waits for its answer any more. */
  | { kind: 'late'; delayMs: number }
  /** It acts at once and, by a fault of the network, once more `delayMs` later. */
  | { kind: 'repeated'; delayMs: number };

export type FakeEngineOptions = {
  clock: clocks.Clock;
  memoryBytes: number;
  checksFencing: boolean;
  loadMs: number;
};

export type FakeEngine = {
  /** A port of one agent; a paused one holds back what it sends and what it is told. */
  createPort: (gate?: Gate) => Pick<upstreams.EnginePort, 'order' | 'report'>;
  setNextFate: (fate: OrderFate) => void;
  /** Loses everything in memory; orders that are still on their way to it are lost with it. */
  restart: () => void;
  setDown: (isDown: boolean) => void;
  /** Makes loads that were taken fail: the copy vanishes instead of becoming ready. */
  failLoads: (count: number) => void;
  usedBytes: () => number;
  /** The most that was ever in memory at one instant. */
  peakBytes: () => number;
  copies: () => readonly upstreams.EngineCopy[];
  orderCount: (kind: upstreams.EngineOrder['kind']) => number;
};

/** Holds back the calls of a process that is paused. */
export type Gate = { pass: () => Promise<void>; pause: () => void; resume: () => void };

export function createGate(): Gate {
  let opened: Promise<void> = Promise.resolve();
  let open: () => void = () => {};
  return {
    pass: () => opened,
    pause: () => {
      opened = new Promise((resolve) => {
        open = resolve;
      });
    },
    resume: () => open(),
  };
}

export function createFakeEngine(options: FakeEngineOptions): FakeEngine {
  const { clock } = options;
  const copies = new Map<string, upstreams.EngineCopy>();
  const counts = new Map<string, number>();
  let fate: OrderFate = { kind: 'delivered' };
  let incarnation = 1;
  let fencingNumber = 0;
  let peakBytes = 0;
  let failingLoads = 0;
  let isDown = false;

  function usedBytes(): number {
    return [...copies.values()].reduce((sumBytes, copy) => sumBytes + copy.sizeBytes, 0);
  }

  function load(order: Extract<upstreams.NumberedOrder, { kind: 'load' }>): void {
    const key = `${order.name}@${order.version}`;
    if (copies.has(key)) return;
    const { name, version, sizeBytes } = order;
    const copy: upstreams.EngineCopy = { name, version, sizeBytes, state: 'loading' };
    copies.set(key, copy);
    // No check of its own: the agent alone must keep the sum within the memory.
    peakBytes = Math.max(peakBytes, usedBytes());
    clock.schedule(clock.nowMs() + options.loadMs, () => {
      if (copies.get(key) !== copy) return;
      if (failingLoads > 0) {
        failingLoads -= 1;
        copies.delete(key);
      } else {
        copies.set(key, { ...copy, state: 'ready' });
      }
    });
  }

  function act(order: upstreams.NumberedOrder): results.Result<void, upstreams.OrderError> {
    if (options.checksFencing && order.fencingNumber < fencingNumber) {
      return results.Err({ kind: 'old-fencing-number' });
    }
    fencingNumber = Math.max(fencingNumber, order.fencingNumber);
    counts.set(order.kind, (counts.get(order.kind) ?? 0) + 1);
    if (order.kind === 'load') load(order);
    if (order.kind === 'unload') copies.delete(`${order.name}@${order.version}`);
    return results.Ok(undefined);
  }

  function actLater(order: upstreams.NumberedOrder, delayMs: number): void {
    const sentTo = incarnation;
    clock.schedule(clock.nowMs() + delayMs, () => {
      if (incarnation === sentTo) act(order);
    });
  }

  async function unanswered(deadlineMs: number) {
    await clocks.sleepUntil(clock, deadlineMs);
    return results.Err({ kind: 'outcome-unknown', detail: 'no answer' } as const);
  }

  async function receive(numbered: upstreams.NumberedOrder, deadlineMs: number) {
    if (isDown) return results.Err({ kind: 'not-sent', detail: 'down' } as const);
    const now = fate;
    fate = { kind: 'delivered' };
    switch (now.kind) {
      case 'delivered':
        return act(numbered);
      case 'lost':
        return unanswered(deadlineMs);
      case 'answer-lost':
        act(numbered);
        return unanswered(deadlineMs);
      case 'late':
        actLater(numbered, now.delayMs);
        return unanswered(deadlineMs);
      case 'repeated':
        actLater(numbered, now.delayMs);
        return act(numbered);
    }
  }

  async function report() {
    if (isDown) return results.Err({ kind: 'unreachable', detail: 'down' } as const);
    const { memoryBytes } = options;
    const held = [...copies.values()];
    return results.Ok({
      incarnation,
      fencingNumber,
      memoryBytes,
      usedBytes: usedBytes(),
      copies: held,
      runningCount: 0,
    });
  }

  return {
    createPort: (gate = createGate()) => ({
      order: async (numbered, deadlineMs) => {
        await gate.pass();
        const answer = await receive(numbered, deadlineMs);
        await gate.pass();
        return answer;
      },
      report: async () => {
        await gate.pass();
        const answer = await report();
        await gate.pass();
        return answer;
      },
    }),
    setNextFate: (next) => {
      fate = next;
    },
    restart: () => {
      copies.clear();
      incarnation += 1;
    },
    setDown: (down) => {
      isDown = down;
    },
    failLoads: (count) => {
      failingLoads = count;
    },
    usedBytes,
    peakBytes: () => peakBytes,
    copies: () => [...copies.values()],
    orderCount: (kind) => counts.get(kind) ?? 0,
  };
}
