/**
 * Lets plain calls through to upstreams: at once where one has a slot, else after a wait in this gateway, in the order
 * of urgency; and refuses at once those that cannot be in time, with the time at which there will be a slot.
 */
import type { clocks } from '@copperlever/runtime';

import * as plainQueues from '../../shared/plain-queue.js';
import type * as upstreamChoice from '../../shared/upstream-choice.js';

export type PlainGateDeps = { clock: clocks.Clock };

/** A call that asks for an upstream. */
export type GateCall = {
  service: string;
  priority: number;
  latestStartMs: number;
  bodyBytes: number;
  /** What a call of its service takes. */
  callMs: number;
  /** An upstream may have run it: refused now, it would have failed. */
  hasRun: boolean;
  choose: (room: upstreamChoice.Room) => upstreamChoice.Choice;
  isCallerGone: () => boolean;
};

export type Passage =
  /** `ended` is to be called when the call is no longer at the upstream. */
  | { kind: 'passed'; choice: upstreamChoice.Choice; waitedMs: number; ended: () => void }
  | { kind: 'refused'; retryAfterMs: number }
  | { kind: 'caller-gone' };

export type PlainGate = {
  pass: (call: GateCall) => Promise<Passage>;
  /** Its caller has left: it gives up its place. */
  callerGone: (call: GateCall) => void;
  waitingCount: () => number;
  /** What decisions about a service's calls rest on. */
  basis: (service: string) => { waitingCount: number; ownCount: number };
};

/** Between two looks at what is known of the upstreams: a fraction of a call. */
const LOOK_MS = 10;
/** Far more calls than can still be in time at one gateway; their bodies are kept while they wait. */
const BOUNDS: plainQueues.PlainQueueBounds = { entriesMax: 128, bytesMax: 16 * 1024 * 1024 };
/** The first of the queue may be unable to use a free slot, having failed at that upstream: so many are tried. */
const LOOKED_AT_MAX = 4;

type Entry = plainQueues.WaitingCall & {
  call: GateCall;
  sinceMs: number;
  settle: (passage: Passage) => void;
};

type ServiceGate = {
  queue: plainQueues.PlainQueue<Entry>;
  /** This gateway's calls at upstreams. */
  ownCount: number;
  cancelLook: clocks.Cancel | null;
};

export function createPlainGate(deps: PlainGateDeps): PlainGate {
  const { clock } = deps;
  const gates = new Map<string, ServiceGate>();

  function gateOf(service: string): ServiceGate {
    const known = gates.get(service);
    if (known !== undefined) return known;
    const gate: ServiceGate = {
      queue: plainQueues.createPlainQueue(BOUNDS),
      ownCount: 0,
      cancelLook: null,
    };
    gates.set(service, gate);
    return gate;
  }

  /** Null when it has to wait. */
  function chooseNow(call: GateCall): upstreamChoice.Choice | null {
    const choice = call.choose('slot');
    return choice.kind === 'no-room' ? null : choice;
  }

  function passed(gate: ServiceGate, choice: upstreamChoice.Choice, waitedMs: number): Passage {
    if (choice.kind !== 'send') return { kind: 'passed', choice, waitedMs, ended: () => {} };
    gate.ownCount += 1;
    let isOpen = true;
    const ended = () => {
      if (!isOpen) return;
      isOpen = false;
      gate.ownCount -= 1;
      look(gate);
    };
    return { kind: 'passed', choice, waitedMs, ended };
  }

  function lookAgain(gate: ServiceGate, atMs: number): void {
    gate.cancelLook?.();
    gate.cancelLook = null;
    if (gate.queue.entries().length === 0) return;
    gate.cancelLook = clock.schedule(atMs, () => look(gate));
  }

  function leave(gate: ServiceGate, entry: Entry, passage: Passage): void {
    gate.queue.remove(entry);
    entry.settle(passage);
  }

  /** The head of the queue that can go now. */
  function findNext(gate: ServiceGate): { entry: Entry; choice: upstreamChoice.Choice } | null {
    for (const entry of gate.queue.entries().slice(0, LOOKED_AT_MAX)) {
      const choice = chooseNow(entry.call);
      if (choice !== null) return { entry, choice };
    }
    return null;
  }

  function look(gate: ServiceGate): void {
    const nowMs = clock.nowMs();
    gate.queue.entries().forEach((entry) => {
      if (entry.call.isCallerGone()) leave(gate, entry, { kind: 'caller-gone' });
      else if (nowMs >= entry.latestStartMs)
        leave(gate, entry, atLatest(gate, entry.call, entry.sinceMs));
    });
    const next = findNext(gate);
    if (next === null) {
      lookAgain(gate, nowMs + LOOK_MS);
      return;
    }
    leave(gate, next.entry, passed(gate, next.choice, nowMs - next.entry.sinceMs));
    // After the call that has just passed is counted as in flight.
    lookAgain(gate, nowMs);
  }

  /**
   * It cannot wait any longer, or came back after a refusal and is late already: it goes only where it makes no other
   * call wait.
   */
  function atLatest(gate: ServiceGate, call: GateCall, sinceMs: number): Passage {
    const choice = call.choose(call.hasRun ? 'place' : 'slot');
    if (choice.kind === 'no-room') return { kind: 'refused', retryAfterMs: choice.freeInMs };
    return passed(gate, choice, clock.nowMs() - sinceMs);
  }

  function startInMs(gate: ServiceGate, call: GateCall): number {
    const choice = call.choose('slot');
    return plainQueues.startInMs({
      freeInMs: choice.kind === 'no-room' ? choice.freeInMs : 0,
      aheadCount: gate.queue.aheadCount(call),
      ownCount: gate.ownCount,
      callMs: call.callMs,
    });
  }

  function wait(gate: ServiceGate, call: GateCall, untilFreeMs: number): Promise<Passage> {
    return new Promise((settle) => {
      const { priority, latestStartMs, bodyBytes } = call;
      const sinceMs = clock.nowMs();
      const entry: Entry = { priority, latestStartMs, bodyBytes, call, sinceMs, settle };
      if (!gate.queue.add(entry)) settle({ kind: 'refused', retryAfterMs: untilFreeMs });
      else if (gate.cancelLook === null) lookAgain(gate, sinceMs + LOOK_MS);
    });
  }

  return {
    pass: async (call) => {
      const gate = gateOf(call.service);
      const nowMs = clock.nowMs();
      if (nowMs >= call.latestStartMs) {
        return atLatest(gate, call, nowMs);
      }
      if (gate.queue.aheadCount(call) === 0) {
        const choice = chooseNow(call);
        if (choice !== null) return passed(gate, choice, 0);
      }
      const untilFreeMs = startInMs(gate, call);
      if (nowMs + untilFreeMs > call.latestStartMs) {
        if (call.hasRun) return atLatest(gate, call, nowMs);
        return { kind: 'refused', retryAfterMs: untilFreeMs };
      }
      return wait(gate, call, untilFreeMs);
    },
    callerGone: (call) => {
      const gate = gateOf(call.service);
      const entry = gate.queue.entries().find((other) => other.call === call);
      if (entry !== undefined) leave(gate, entry, { kind: 'caller-gone' });
    },
    basis: (service) => {
      const { queue, ownCount } = gateOf(service);
      return { waitingCount: queue.entries().length, ownCount };
    },
    waitingCount: () =>
      [...gates.values()].reduce((sum, { queue }) => sum + queue.entries().length, 0),
  };
}
