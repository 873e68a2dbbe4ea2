/** An upstream of short calls on a shared machine, on a virtual clock: slots, a bounded queue, spells of slow work. */
import type { clocks, randoms } from '@copperlever/runtime';

import type * as upstreamStates from '../types/upstream-states.js';

export type PlainUpstreamLoad = {
  slots: number;
  /** Calls beyond these and the slots are rejected. */
  queuePlaces: number;
  /** Its lasting speed: 1 is usual, 2 takes twice as long. */
  slowness: number;
  /** How long work takes in the spell that covers this moment, with 1 as usual. */
  spellFactorAt: (atMs: number) => number;
  spellMs: number;
};

export type PlainUpstream = {
  /** Resolves with false at once where it is full, and with true when the call has been served. */
  serve: (workMs: number, priority: number) => Promise<boolean>;
  word: () => upstreamStates.LoadSignal;
  /** Milliseconds that its slots have worked. */
  busyMs: () => number;
};

type Waiting = { workMs: number; priority: number; done: (isServed: boolean) => void };

/** Spells of equal length that differ independently. */
export function drawSpells(
  random: randoms.Random,
  of: { share: number; factor: number; spellMs: number; lengthMs: number },
): (atMs: number) => number {
  const factors = Array.from({ length: Math.ceil(of.lengthMs / of.spellMs) + 20 }, () =>
    random.fraction() < of.share ? of.factor : 1,
  );
  const offsetMs = random.fraction() * of.spellMs;
  return (atMs) => factors[Math.floor((atMs + offsetMs) / of.spellMs)] ?? 1;
}

const STEP_MS = 5;

export function createPlainUpstream(clock: clocks.Clock, load: PlainUpstreamLoad): PlainUpstream {
  const waiting: Waiting[] = [];
  let runningCount = 0;
  let busyMs = 0;

  /** When work that begins now ends, through spells of different speeds. */
  function endMs(workMs: number): number {
    let atMs = clock.nowMs();
    let leftMs = workMs * load.slowness;
    for (;;) {
      const factor = load.spellFactorAt(atMs);
      if (leftMs * factor <= STEP_MS) return atMs + leftMs * factor;
      leftMs -= STEP_MS / factor;
      atMs += STEP_MS;
    }
  }

  function startNext(): void {
    const call = runningCount < load.slots ? waiting.shift() : undefined;
    if (call === undefined) return;
    runningCount += 1;
    const untilMs = endMs(call.workMs);
    busyMs += untilMs - clock.nowMs();
    clock.schedule(untilMs, () => {
      runningCount -= 1;
      call.done(true);
      startNext();
    });
  }

  return {
    serve: (workMs, priority) =>
      new Promise((done) => {
        if (runningCount >= load.slots && waiting.length >= load.queuePlaces) {
          done(false);
          return;
        }
        const behind = waiting.findIndex((other) => other.priority > priority);
        waiting.splice(behind < 0 ? waiting.length : behind, 0, { workMs, priority, done });
        startNext();
      }),
    word: () => ({
      runningCount,
      waitingCount: waiting.length,
      slots: load.slots,
      transientFactor: load.spellFactorAt(clock.nowMs()),
    }),
    busyMs: () => busyMs,
  };
}
