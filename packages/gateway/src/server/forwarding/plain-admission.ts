/**
 * Admission of plain calls. A call is sent at once if an upstream has a free slot; otherwise it waits in a queue of this
 * gateway, ordered by urgency. A call that can't be in time is refused at once, with the time until a slot is expected.
 */
import type { clocks } from '@copperlever/runtime';

import * as plainQueues from '../../shared/plain-queue.js';
import type * as upstreamChoice from '../../shared/upstream-choice.js';

export type PlainAdmissionDeps = { clock: clocks.Clock };

/** A plain call that requests admission. */
export type PlainAdmissionRequest = {
  service: string;
  priority: number;
  /** The latest time at which it can be sent and still be in time. */
  latestStartMs: number;
  bodyBytes: number;
  /** Mean duration of a call of its service. */
  callMs: number;
  /** An upstream may already have run it, so that a refusal now would be reported to its caller as a failure. */
  hasRun: boolean;
  choose: (room: upstreamChoice.Room) => upstreamChoice.Choice;
  isCallerGone: () => boolean;
};

export type PlainAdmissionResult =
  /** `ended` must be called once the call is no longer at the upstream. */
  | { kind: 'passed'; choice: upstreamChoice.Choice; waitedMs: number; ended: () => void }
  | { kind: 'refused'; retryAfterMs: number }
  | { kind: 'caller-gone' };

export type PlainAdmission = {
  admit: (call: PlainAdmissionRequest) => Promise<PlainAdmissionResult>;
  /** Whether a call that is at an upstream would be sent to another one at once if it ended there now. */
  wouldSend: (call: PlainAdmissionRequest) => boolean;
  /** Removes a waiting call whose caller has left. */
  cancel: (call: PlainAdmissionRequest) => void;
  waitingCount: () => number;
  /** The inputs of the decisions about a service's calls, for the log. */
  decisionInputs: (service: string) => { waitingCount: number; ownCount: number };
};

/** Interval at which the queue is checked against what is known of the upstreams: a fraction of a call. */
const CHECK_INTERVAL_MS = 10;
/** Far more calls than one gateway can serve in time. Their bodies stay in memory while they wait. */
const BOUNDS: plainQueues.PlainQueueBounds = { maxEntries: 128, maxBytes: 16 * 1024 * 1024 };
/**
 * How many calls at the head of the queue are tried. The first may be unable to use a free slot, because it has failed at
 * that upstream before.
 */
const HEAD_CALLS_MAX = 4;

type Entry = plainQueues.WaitingCall & {
  call: PlainAdmissionRequest;
  queuedAtMs: number;
  settle: (result: PlainAdmissionResult) => void;
};

type Decision =
  | { kind: 'pass'; choice: upstreamChoice.Choice }
  | { kind: 'refuse'; retryAfterMs: number }
  | { kind: 'queue'; untilFreeMs: number };

type ServiceState = {
  queue: plainQueues.PlainQueue<Entry>;
  /** Calls of this gateway that are at upstreams. */
  ownCount: number;
  cancelCheck: clocks.Cancel | null;
};

export function createPlainAdmission(deps: PlainAdmissionDeps): PlainAdmission {
  const { clock } = deps;
  const services = new Map<string, ServiceState>();

  function stateOf(service: string): ServiceState {
    const known = services.get(service);
    if (known !== undefined) return known;
    const state: ServiceState = {
      queue: plainQueues.createPlainQueue(BOUNDS),
      ownCount: 0,
      cancelCheck: null,
    };
    services.set(service, state);
    return state;
  }

  /** Null if no upstream has a free slot for it. */
  function chooseNow(call: PlainAdmissionRequest): upstreamChoice.Choice | null {
    const choice = call.choose('slot');
    return choice.kind === 'no-room' ? null : choice;
  }

  function admitted(
    state: ServiceState,
    choice: upstreamChoice.Choice,
    waitedMs: number,
  ): PlainAdmissionResult {
    if (choice.kind !== 'send') return { kind: 'passed', choice, waitedMs, ended: () => {} };
    state.ownCount += 1;
    let isOpen = true;
    const ended = () => {
      if (!isOpen) return;
      isOpen = false;
      state.ownCount -= 1;
      checkQueue(state);
    };
    return { kind: 'passed', choice, waitedMs, ended };
  }

  function scheduleCheck(state: ServiceState, atMs: number): void {
    state.cancelCheck?.();
    state.cancelCheck = null;
    if (state.queue.entries().length === 0) return;
    state.cancelCheck = clock.schedule(atMs, () => checkQueue(state));
  }

  function resolveEntry(state: ServiceState, entry: Entry, result: PlainAdmissionResult): void {
    state.queue.remove(entry);
    entry.settle(result);
  }

  /** The first call of the queue's head that can be sent now. */
  function findNext(state: ServiceState): { entry: Entry; choice: upstreamChoice.Choice } | null {
    for (const entry of state.queue.entries().slice(0, HEAD_CALLS_MAX)) {
      const choice = chooseNow(entry.call);
      if (choice !== null) return { entry, choice };
    }
    return null;
  }

  /** Removes calls whose callers have left, decides on those that can wait no longer, and admits the next one if it can be sent. */
  function checkQueue(state: ServiceState): void {
    const nowMs = clock.nowMs();
    state.queue.entries().forEach((entry) => {
      if (entry.call.isCallerGone()) resolveEntry(state, entry, { kind: 'caller-gone' });
      else if (nowMs >= entry.latestStartMs)
        resolveEntry(state, entry, resultOf(state, decideNow(entry.call), entry.queuedAtMs));
    });
    const next = findNext(state);
    if (next === null) {
      scheduleCheck(state, nowMs + CHECK_INTERVAL_MS);
      return;
    }
    resolveEntry(state, next.entry, admitted(state, next.choice, nowMs - next.entry.queuedAtMs));
    // Runs once the call that was just admitted is counted as in flight.
    scheduleCheck(state, nowMs);
  }

  /**
   * Decides on a call that can't wait any longer, or that is late already when it arrives. It is sent only to a free slot, or,
   * if it has already run, wherever it isn't expected to be rejected.
   */
  function decideNow(call: PlainAdmissionRequest): Exclude<Decision, { kind: 'queue' }> {
    const choice = call.choose(call.hasRun ? 'place' : 'slot');
    return choice.kind === 'no-room'
      ? { kind: 'refuse', retryAfterMs: choice.freeInMs }
      : { kind: 'pass', choice };
  }

  function resultOf(
    state: ServiceState,
    decision: Exclude<Decision, { kind: 'queue' }>,
    queuedAtMs: number,
  ): PlainAdmissionResult {
    if (decision.kind === 'refuse') {
      return { kind: 'refused', retryAfterMs: decision.retryAfterMs };
    }
    return admitted(state, decision.choice, clock.nowMs() - queuedAtMs);
  }

  /** Predicted time until a slot is free for a call that joins the queue now. */
  function predictStartInMs(state: ServiceState, call: PlainAdmissionRequest): number {
    const choice = call.choose('slot');
    return plainQueues.expectedWaitMs({
      freeInMs: choice.kind === 'no-room' ? choice.freeInMs : 0,
      aheadCount: state.queue.aheadCount(call),
      localCount: state.ownCount,
      callMs: call.callMs,
    });
  }

  /** Decides on a call without changing anything. `mayTakeSlot`: whether a free slot would be left to it by those that wait. */
  function decide(
    state: ServiceState,
    call: PlainAdmissionRequest,
    mayTakeSlot: boolean,
  ): Decision {
    const nowMs = clock.nowMs();
    if (nowMs >= call.latestStartMs) return decideNow(call);
    const choice = mayTakeSlot ? chooseNow(call) : null;
    if (choice !== null) return { kind: 'pass', choice };
    const untilFreeMs = predictStartInMs(state, call);
    if (nowMs + untilFreeMs <= call.latestStartMs) return { kind: 'queue', untilFreeMs };
    return call.hasRun ? decideNow(call) : { kind: 'refuse', retryAfterMs: untilFreeMs };
  }

  function enqueue(
    state: ServiceState,
    call: PlainAdmissionRequest,
    untilFreeMs: number,
  ): Promise<PlainAdmissionResult> {
    return new Promise((settle) => {
      const { priority, latestStartMs, bodyBytes } = call;
      const queuedAtMs = clock.nowMs();
      const entry: Entry = { priority, latestStartMs, bodyBytes, call, queuedAtMs, settle };
      if (!state.queue.add(entry)) settle({ kind: 'refused', retryAfterMs: untilFreeMs });
      else if (state.cancelCheck === null) scheduleCheck(state, queuedAtMs + CHECK_INTERVAL_MS);
    });
  }

  return {
    admit: async (call) => {
      const state = stateOf(call.service);
      const decision = decide(state, call, state.queue.aheadCount(call) === 0);
      if (decision.kind === 'queue') return enqueue(state, call, decision.untilFreeMs);
      return resultOf(state, decision, clock.nowMs());
    },
    wouldSend: (call) => {
      const state = stateOf(call.service);
      // Once its attempt ends the queue is checked first, and a call that goes after it could take the slot.
      const decision = decide(state, call, state.queue.entries().length === 0);
      return decision.kind === 'pass' && decision.choice.kind === 'send';
    },
    cancel: (call) => {
      const state = stateOf(call.service);
      const entry = state.queue.entries().find((other) => other.call === call);
      if (entry !== undefined) resolveEntry(state, entry, { kind: 'caller-gone' });
    },
    decisionInputs: (service) => {
      const { queue, ownCount } = stateOf(service);
      return { waitingCount: queue.entries().length, ownCount };
    },
    waitingCount: () =>
      [...services.values()].reduce((sum, { queue }) => sum + queue.entries().length, 0),
  };
}
