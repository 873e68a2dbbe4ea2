/**
 * Takes a prefill turn for a request between the choice of an upstream and the attempt: waits for it within the request's
 * latency objective, tries the next best upstream where the wait is long, and gives up what it does not use.
 */
import { clocks as clocksModule } from '@copperlever/runtime';
import type { clocks } from '@copperlever/runtime';

import * as queueLimits from '../../shared/queue-limits.js';
import type * as serviceTimesModule from '../../shared/service-times.js';
import type * as upstreamChoice from '../../shared/upstream-choice.js';
import type * as calls from '../../types/calls.js';
import type * as logEvents from '../../types/log-events.js';
import type * as upstreamStates from '../../types/upstream-states.js';
import type * as answers from '../forwarding/answers.js';
import type * as routers from '../forwarding/router.js';
import type * as runs from '../forwarding/run.js';
import type * as metricsModule from '../metrics/metrics.js';
import type * as turnsModule from './turns.js';

export type SendChoice = Extract<upstreamChoice.Choice, { kind: 'send' }>;

export type HeldTurn = {
  /** Tells the owner; only the first call counts. `isPrefilled`: the first event has come. */
  ended: (isPrefilled: boolean, load: upstreamStates.LoadSignal | null) => void;
};

export type TurnVerdict =
  | { kind: 'send'; choice: SendChoice; turn: HeldTurn }
  /** No upstream can take it in time; `predictedMs`: until one could. */
  | { kind: 'refuse'; predictedMs: number }
  /** While it waited the upstream was closed, or the request's time ran out. */
  | { kind: 'choose-again' }
  | { kind: 'caller-gone' };

export type TurnTaker = (
  call: calls.Call,
  run: runs.Run,
  sink: Pick<answers.AnswerSink, 'isCallerGone' | 'onCallerGone'>,
  choice: SendChoice,
) => Promise<TurnVerdict>;

export type TurnTakerDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  metrics: Pick<metricsModule.GatewayMetrics, 'turnWaited'>;
  turns: Pick<turnsModule.Turns, 'isWanted' | 'nextTurnId' | 'ask' | 'end'>;
  states: Pick<upstreamStates.UpstreamStates, 'state'>;
  paces: Pick<serviceTimesModule.ServiceTimeEstimator, 'estimate'>;
  router: Pick<routers.Router, 'needsModel' | 'priorityOf' | 'isLate' | 'choose' | 'chooseOnly'>;
};

/** Prompts that take less, most of them cached, are not worth a question. */
const LEAST_PREFILL_MS = 3;
/** After a longer wait than this another upstream is asked as well. */
const LONG_WAIT_MS = 40;
/** Questions of one request that are open at a time, and upstreams that it asks for in all. */
const PLACES_MAX = 2;
const UPSTREAMS_MAX = 4;
/** One in ten first events takes 1.4 times its prediction or longer. */
const PREDICTED_SHARE = 0.7;
/** A caller that has a part of its stream already waits for the rest. */
const RESUMED_WAIT_MS = 150;
/**
 * Of its caller's patience, which a request that is late already may wait. Load: callers that were refused while their
 * model was on its way come back together once it is there. Harm prevented: their prompts are read at once, and all
 * streams that run there pause for as long.
 */
const LATE_PATIENCE_SHARE = 0.5;
/** Bounds the memory of requests that wait; each keeps its body. */
const WAITING_MAX = 200;
/** What was chosen longer ago is chosen anew before it is sent: the upstream may have closed. */
const CHOICE_KEPT_MS = 5;

const NO_TURN: HeldTurn = { ended: () => {} };

type Place = {
  choice: SendChoice;
  turnId: number;
  ownerId: string | null;
  askAtMs: number;
  latestStartMs: number;
};

type Outcome = 'given' | 'full' | 'unanswered' | 'caller-gone' | 'closed';

export function createTurnTaker(deps: TurnTakerDeps): TurnTaker {
  const { clock, turns, router } = deps;
  let heldCount = 0;

  function msPerTokenOf(call: calls.Call): number {
    return deps.paces.estimate(call.service, call.facts.model ?? '').msPerToken;
  }

  function isWanted(call: calls.Call, choice: SendChoice): boolean {
    if (call.route.kind !== 'stream' || !router.needsModel(call)) return false;
    if (choice.predictionInputs.uncachedTokens * msPerTokenOf(call) < LEAST_PREFILL_MS)
      return false;
    return turns.isWanted(choice.upstreamId);
  }

  /** Its objective has passed, or its caller has a part of the answer: it is not refused for want of a turn. */
  function mustStart(call: calls.Call, run: runs.Run): boolean {
    return run.hasBegun || router.isLate(call);
  }

  function lateWaitMs(call: calls.Call, run: runs.Run, nowMs: number): number {
    if (run.hasBegun) return RESUMED_WAIT_MS;
    const patienceMs = queueLimits.streamTimeoutMs(call.route);
    return LATE_PATIENCE_SHARE * patienceMs - (nowMs - call.arrivedAtMs);
  }

  function canWaitMs(call: calls.Call, run: runs.Run, choice: SendChoice): number {
    const nowMs = clock.nowMs();
    const { latencyRatio: slowness, transientFactor: momentFactor } = deps.states.state(
      choice.upstreamId,
      nowMs,
    );
    const { baseMs, msPerToken } = deps.paces.estimate(call.service, call.facts.model ?? '');
    const prefillMs = msPerToken * choice.predictionInputs.uncachedTokens * slowness * momentFactor;
    const ownMs = (baseMs + prefillMs) / PREDICTED_SHARE;
    const elapsedMs = call.elapsedBeforeMs + nowMs - call.arrivedAtMs;
    const inTimeMs = mustStart(call, run)
      ? lateWaitMs(call, run, nowMs)
      : call.route.latencyObjectiveMs - elapsedMs - ownMs;
    return Math.max(0, Math.min(inTimeMs, call.deadlineMs - nowMs - ownMs));
  }

  function openPlace(call: calls.Call, run: runs.Run, choice: SendChoice): Place {
    const nowMs = clock.nowMs();
    return {
      choice,
      turnId: turns.nextTurnId(),
      ownerId: null,
      askAtMs: nowMs,
      latestStartMs: nowMs + canWaitMs(call, run, choice),
    };
  }

  async function ask(call: calls.Call, run: runs.Run, place: Place) {
    const { choice, turnId, latestStartMs } = place;
    const answer = await turns.ask({
      turnId,
      upstreamId: choice.upstreamId,
      promptTokens: Math.round(choice.predictionInputs.uncachedTokens),
      msPerToken: msPerTokenOf(call),
      priority: router.priorityOf(call),
      pauseObjectiveMs: call.route.pauseObjectiveMs,
      canWaitMs: Math.max(0, latestStartMs - clock.nowMs()),
      mustStart: mustStart(call, run),
    });
    // A place at an owner that has changed since lapses by itself.
    place.ownerId = answer.ownerId;
    return answer;
  }

  function giveUp({ choice, turnId, ownerId }: Place): void {
    if (ownerId === null) return;
    const { upstreamId } = choice;
    turns.end(ownerId, { turnId, upstreamId, isPrefilled: false, tookMs: 0, load: null });
  }

  function hold(place: Place): HeldTurn {
    const { choice, turnId, ownerId } = place;
    const { upstreamId } = choice;
    const startedAtMs = clock.nowMs();
    let hasEnded = ownerId === null;
    return {
      ended: (isPrefilled, load) => {
        if (hasEnded || ownerId === null) return;
        hasEnded = true;
        const tookMs = clock.nowMs() - startedAtMs;
        turns.end(ownerId, { turnId, upstreamId, isPrefilled, tookMs, load });
      },
    };
  }

  /** Wakes when the caller leaves, too. */
  async function sleepUntil(untilMs: number, sink: Parameters<TurnTaker>[2]): Promise<void> {
    if (untilMs <= clock.nowMs()) return;
    const left = new AbortController();
    sink.onCallerGone(() => left.abort());
    await clocksModule.sleepUntil(clock, untilMs, left.signal);
    sink.onCallerGone(null);
  }

  return async (call, run, sink, first) => {
    if (!isWanted(call, first)) return { kind: 'send', choice: first, turn: NO_TURN };
    const startedMs = clock.nowMs();
    const triedIds = new Set([first.upstreamId]);
    let places = [openPlace(call, run, first)];
    let askCount = 0;
    let soonestMs = Infinity;
    let isHeld = false;

    function note(outcome: Outcome, { choice, ownerId }: Pick<Place, 'choice' | 'ownerId'>): void {
      const waitedMs = clock.nowMs() - startedMs;
      deps.metrics.turnWaited(outcome, waitedMs);
      if (outcome === 'given' && askCount === 1) return;
      deps.log.info('turn-waited', {
        requestId: call.requestId,
        upstreamId: choice.upstreamId,
        ownerId,
        outcome,
        waitedMs: Math.round(waitedMs),
        askCount,
        upstreamCount: triedIds.size,
      });
    }

    function leave(): void {
      places.forEach(giveUp);
      places = [];
    }

    function drop(place: Place): void {
      places = places.filter((other) => other !== place);
    }

    /** The next best upstream, if any; null as well while enough are asked. */
    function nextChoice(): SendChoice | null {
      if (places.length >= PLACES_MAX || triedIds.size >= UPSTREAMS_MAX) return null;
      const excludedIds = new Set([...run.excludedIds, ...triedIds]);
      const choice = router.choose(call, { ...run, excludedIds });
      if (choice.kind !== 'send' || choice.needsAdapter) return null;
      triedIds.add(choice.upstreamId);
      return choice;
    }

    /** What was chosen before a wait is looked at again: nothing goes to an upstream that drains or has closed meanwhile. */
    function confirm(place: Place, outcome: 'given' | 'unanswered'): TurnVerdict {
      drop(place);
      leave();
      if (clock.nowMs() - startedMs < CHOICE_KEPT_MS) {
        note(outcome, place);
        return { kind: 'send', choice: place.choice, turn: hold(place) };
      }
      const choice = router.chooseOnly(call, run, place.choice.upstreamId);
      if (choice.kind !== 'send' || choice.needsAdapter) {
        giveUp(place);
        note('closed', place);
        return { kind: 'choose-again' };
      }
      note(outcome, place);
      return { kind: 'send', choice, turn: hold(place) };
    }

    /** A verdict, or null to go on asking. */
    async function askNext(place: Place): Promise<TurnVerdict | null> {
      askCount += 1;
      const answer = await ask(call, run, place);
      if (answer.kind === 'given' || answer.kind === 'unanswered') {
        if (!sink.isCallerGone()) return confirm(place, answer.kind);
        note('caller-gone', place);
        leave();
        return { kind: 'caller-gone' };
      }
      const isOver = answer.kind === 'full' || place.latestStartMs <= clock.nowMs();
      const isCrowded = !isHeld && heldCount >= WAITING_MAX;
      const forMs = answer.kind === 'full' ? answer.retryAfterMs : answer.waitMs;
      if (isOver || isCrowded) {
        if (answer.kind === 'wait') giveUp(place);
        drop(place);
        soonestMs = Math.min(soonestMs, forMs);
        if (mustStart(call, run)) {
          leave();
          note('full', place);
          return { kind: 'send', choice: place.choice, turn: NO_TURN };
        }
      } else {
        place.askAtMs = Math.min(clock.nowMs() + forMs, place.latestStartMs);
        if (!isHeld) heldCount += 1;
        isHeld = true;
      }
      if (!isOver && forMs < LONG_WAIT_MS) return null;
      const next = nextChoice();
      if (next === null) return null;
      const nextPlace = openPlace(call, run, next);
      if (isWanted(call, next)) {
        places.push(nextPlace);
        return null;
      }
      leave();
      note('given', nextPlace);
      return { kind: 'send', choice: next, turn: NO_TURN };
    }

    async function untilVerdict(): Promise<TurnVerdict> {
      for (;;) {
        const [place] = places.toSorted((left, right) => left.askAtMs - right.askAtMs);
        if (place === undefined) {
          note('full', { choice: first, ownerId: null });
          return { kind: 'refuse', predictedMs: soonestMs };
        }
        await sleepUntil(place.askAtMs, sink);
        if (sink.isCallerGone()) {
          note('caller-gone', place);
          leave();
          return { kind: 'caller-gone' };
        }
        if (clock.nowMs() >= call.deadlineMs) {
          leave();
          return { kind: 'choose-again' };
        }
        const verdict = await askNext(place);
        if (verdict !== null) return verdict;
      }
    }

    try {
      return await untilVerdict();
    } finally {
      if (isHeld) heldCount -= 1;
    }
  };
}
