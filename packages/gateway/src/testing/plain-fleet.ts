/** Gateways before a few small upstreams of short calls, on a virtual clock: what becomes of each call. */
import type { clocks, randoms } from '@copperlever/runtime';
import { clocks as clocksModule } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';

import type * as upstreamStates from '../types/upstream-states.js';
import * as plainAdmissions from '../server/forwarding/plain-admission.js';
import * as inFlightModule from '../shared/in-flight.js';
import * as serviceTimes from '../shared/service-times.js';
import * as plainCapacity from '../shared/plain-capacity.js';
import * as plainQueues from '../shared/plain-queue.js';
import * as plainServiceTimesModule from '../shared/plain-service-times.js';
import * as queueLimits from '../shared/queue-limits.js';
import * as ownTokens from '../shared/retries/own-tokens.js';
import * as retryLedgers from '../shared/retries/retry-ledger.js';
import * as retryDecisions from '../shared/retry-decisions.js';
import * as upstreamHealthModule from '../shared/upstream-health.js';
import * as upstreamChoice from '../shared/upstream-choice.js';
import * as statesModule from '../shared/upstream-states.js';
import * as plainUpstreams from './plain-upstream.js';

export type PlainWay = 'as-before' | 'by-finish' | 'queue';

export type PlainFleetLoad = {
  way: PlainWay;
  gatewayCount: number;
  /** Gateways that callers reach; the others are idle. */
  askedGatewayCount: number;
  upstreamCount: number;
  slots: number;
  queuePlaces: number;
  perSecond: number;
  lengthMs: number;
  /** Beside the words in its own answers, each gateway has words of all upstreams of an age up to this; null: none. */
  wordAgeMs: number | null;
  /** The age of what is known of the other gateways' calls. */
  newsAgeMs: { least: number; most: number };
  slownesses: readonly number[];
  disturbedShare: number;
  /** What each upstream tells instead of its load; null: nothing. */
  tells: (upstream: number, word: upstreamStates.LoadSignal) => upstreamStates.LoadSignal | null;
  /** No gateway hears of another: each takes itself for the only one. */
  isAlone: boolean;
  /** An upstream that answers nothing in this time; null: all answer. */
  silent: { upstream: number; fromMs: number; untilMs: number } | null;
};

export const TARGET_LOAD: PlainFleetLoad = {
  way: 'as-before',
  gatewayCount: 23,
  askedGatewayCount: 23,
  upstreamCount: 3,
  slots: 6,
  queuePlaces: 24,
  perSecond: 84,
  lengthMs: 65_000,
  wordAgeMs: null,
  newsAgeMs: { least: 250, most: 500 },
  slownesses: [1, 1, 1],
  disturbedShare: 0.15,
  tells: (_upstream, word) => word,
  isAlone: false,
  silent: null,
};

export type PlainOutcome = {
  asked: number;
  inTime: number;
  late: number;
  /** Given up by the caller, or failed. */
  lost: number;
  /** Callers that were told to come back in the end. */
  refused: number;
  /** Rejections by full upstreams. */
  rejected: number;
  /** Sends beyond a call's first. */
  sentAgain: number;
  /** Attempts that an upstream did not answer. */
  silent: number;
  /** Refusals told, of which some callers came back. */
  toldBack: number;
  latenciesMs: number[];
  /** Calls that each upstream served. */
  served: number[];
};

const RETRY_LIMITS = { ratio: 0.2, slack: 50, windowMs: 10_000 };

type Gateway = {
  id: string;
  inFlight: inFlightModule.InFlight;
  beliefs: upstreamHealthModule.UpstreamHealthTracker;
  states: ReturnType<typeof statesModule.createUpstreamStates>;
  plainTimes: plainServiceTimesModule.PlainServiceTimes;
  incarnation: number;
  ownTokens: ownTokens.OwnTokens;
  retryLedger: retryLedgers.RetryLedger;
  gate: plainAdmissions.PlainAdmission;
  capacity: plainCapacity.PlainCapacity;
};

type FleetCall = {
  arrivedAtMs: number;
  deadlineMs: number;
  elapsedBeforeMs: number;
  workMs: number;
  priority: number;
  fails: boolean;
};

type Ending = { kind: 'answered' | 'gone' | 'failed' } | { kind: 'refused'; retryAfterMs: number };

const SERVICE = 's';
const MEAN_WORK_MS = 60;
const SPREAD = 0.5;
const TAIL_SHARE = 0.01;
const TAIL_FACTOR = 5;
const SPELL_MS = 600;
const DISTURBED_FACTOR = 2.5;
const WAVE_FACTOR = 1.55;
const WAVE_MS = 13_000;
export const OBJECTIVE_MS = 300;
const PATIENCE_MS = 3_000;
/** One in so many calls is of the class of which some fail, */
const FAILING_CLASS = 3;
/** and one in so many of these fails and may be sent once more. */
const FAILS_ONE_IN = 7;
/** As by `urgency.enginePriority`. */
const LATE_STEPS = 2;
/** As `attempt-sender.ts` gives up a silent attempt that may be repeated. */
const SILENT_MIN_MS = 250;
const SILENT_FACTOR = 8;
const NETWORK_MS = 1;
const NEWS_MS = 250;
const MAX_ATTEMPTS = 2;
const MS_PER_SECOND = 1_000;
const LEAST_RETRY_MS = 100;
const NO_ROOM_RETRY_MS = 500;
/** Figures begin when the gateways have learnt something. */
const WARM_UP_MS = 5_000;
const PRIORITIES = 2;

function gaussian(random: randoms.Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
  return radius * Math.cos(2 * Math.PI * random.fraction());
}

function drawWorkMs(random: randoms.Random): number {
  const ms = MEAN_WORK_MS * Math.exp(SPREAD * gaussian(random) - SPREAD ** 2 / 2);
  return random.fraction() < TAIL_SHARE ? ms * TAIL_FACTOR : ms;
}

export async function playPlainFleet(
  load: PlainFleetLoad,
  random: randoms.Random,
): Promise<PlainOutcome> {
  const clock = fakeClocks.createFakeClock();
  const outcome: PlainOutcome = {
    asked: 0,
    inTime: 0,
    late: 0,
    lost: 0,
    refused: 0,
    rejected: 0,
    sentAgain: 0,
    silent: 0,
    toldBack: 0,
    latenciesMs: [],
    served: Array.from({ length: load.upstreamCount }, () => 0),
  };
  const upstreams = Array.from({ length: load.upstreamCount }, (_unused, index) =>
    plainUpstreams.createPlainUpstream(clock, {
      slots: load.slots,
      queuePlaces: load.queuePlaces,
      slowness: load.slownesses[index] ?? 1,
      spellMs: SPELL_MS,
      spellFactorAt: plainUpstreams.drawSpells(random, {
        share: load.disturbedShare,
        factor: DISTURBED_FACTOR,
        spellMs: SPELL_MS,
        lengthMs: load.lengthMs,
      }),
    }),
  );
  const ids = upstreams.map((_unused, index) => `u${index}`);
  const sharedLedger = retryLedgers.createRetryLedger(RETRY_LIMITS);
  const gateways = Array.from({ length: load.gatewayCount }, (_unused, index): Gateway => ({
    id: `g${index}`,
    inFlight: inFlightModule.createInFlight(),
    beliefs: upstreamHealthModule.createUpstreamHealthTracker(),
    states: statesModule.createUpstreamStates(),
    plainTimes: plainServiceTimesModule.createPlainServiceTimes(),
    incarnation: 1,
    ownTokens: ownTokens.createOwnTokens(RETRY_LIMITS),
    // One that knows no other gateway holds its own lease.
    retryLedger: load.isAlone ? retryLedgers.createRetryLedger(RETRY_LIMITS) : sharedLedger,
    gate: plainAdmissions.createPlainAdmission({ clock }),
    capacity: plainCapacity.createPlainCapacity(),
  }));
  const knownGateways = load.isAlone ? 1 : load.gatewayCount;
  const tells = load.way !== 'as-before';

  function candidatesOf(gateway: Gateway, priority: number): upstreamChoice.Candidate[] {
    const nowMs = clock.nowMs();
    return ids.map((upstreamId) => {
      const ahead = gateway.inFlight.loadAhead(upstreamId, priority, nowMs, () => 0);
      return {
        upstreamId,
        failureDomain: 'd',
        slots: load.slots,
        copy: 'ready',
        blockedForMs: 0,
        closed: null,
        isLimited: false,
        inFlightCount: ahead.inFlightCount,
        localInFlightCount: gateway.inFlight.localCount(upstreamId),
        urgentCount: ahead.urgentCount,
        prefillAheadMs: 0,
        cachedTokens: 0,
        health: gateway.beliefs.health(upstreamId, nowMs),
        state: gateway.states.state(upstreamId, nowMs),
        localShare: plainQueues.localShare({ slots: load.slots, gatewayCount: knownGateways }),
        capacity: load.way === 'queue' ? gateway.capacity.capacity(upstreamId, nowMs) : null,
      };
    });
  }

  function choose(
    gateway: Gateway,
    call: FleetCall,
    excludedIds: ReadonlySet<string>,
    room: upstreamChoice.Room,
  ) {
    const nowMs = clock.nowMs();
    const request: upstreamChoice.ChoiceRequest = {
      kind: 'plain',
      promptTokens: 0,
      serviceTimes: serviceTimes.createServiceTimeEstimator().estimate(SERVICE, ''),
      plainServiceTime: gateway.plainTimes.serviceTime(SERVICE),
      room,
      localFailureDomain: 'd',
      excludedIds,
      queueLimitMs: queueLimits.queueLimitMs({
        isStream: false,
        latencyObjectiveMs: OBJECTIVE_MS,
        pauseObjectiveMs: null,
        remainingMs: call.deadlineMs - nowMs,
        waitedMs: nowMs - call.arrivedAtMs,
        isLate: false,
      }),
    };
    const candidates = candidatesOf(gateway, call.priority);
    return upstreamChoice.chooseUpstream(request, candidates, nowMs, random.fraction);
  }

  async function pass(
    gateway: Gateway,
    call: FleetCall,
    excludedIds: ReadonlySet<string>,
    hasRun: boolean,
  ): Promise<plainAdmissions.PlainAdmissionResult> {
    const time = gateway.plainTimes.serviceTime(SERVICE);
    if (load.way !== 'queue' || time === null) {
      const choice = choose(gateway, call, excludedIds, 'any');
      return { kind: 'passed', choice, waitedMs: 0, ended: () => {} };
    }
    return gateway.gate.admit({
      service: SERVICE,
      priority: call.priority,
      latestStartMs: call.arrivedAtMs - call.elapsedBeforeMs + OBJECTIVE_MS - time.meanMs,
      bodyBytes: 0,
      callMs: time.meanMs,
      hasRun,
      choose: (room) => choose(gateway, call, excludedIds, room),
      isCallerGone: () => clock.nowMs() >= call.deadlineMs,
    });
  }

  function noteGood(
    gateway: Gateway,
    choice: Extract<upstreamChoice.Choice, { kind: 'send' }>,
    tookMs: number,
  ): void {
    const nowMs = clock.nowMs();
    const { upstreamId, predictedMs, isQueued } = choice;
    const end = { kind: 'good' as const, firstChunkMs: tookMs, predictedMs };
    gateway.beliefs.recordOutcome(upstreamId, end, nowMs);
    if (isQueued || !tells) return;
    const { transientFactor: momentFactor } = gateway.states.state(upstreamId, nowMs);
    const usual = gateway.plainTimes.serviceTime(SERVICE);
    if (usual !== null)
      gateway.states.recordFirstChunk(upstreamId, usual.geometricMeanMs, tookMs, nowMs);
    gateway.plainTimes.recordAnswer(SERVICE, tookMs, momentFactor);
  }

  function isSilent(index: number): boolean {
    const { silent } = load;
    const nowMs = clock.nowMs();
    return silent?.upstream === index && nowMs >= silent.fromMs && nowMs < silent.untilMs;
  }

  function takeRetry(gateway: Gateway, nowMs: number): boolean {
    if (gateway.ownTokens.take(SERVICE, nowMs)) return true;
    gateways.forEach(({ id, incarnation, ownTokens: tokens, retryLedger }) =>
      retryLedger.receive({ gatewayId: id, incarnation }, tokens.passOn(nowMs), nowMs),
    );
    return gateway.retryLedger.take(SERVICE, true, nowMs);
  }

  function tryAgain(gateway: Gateway): boolean {
    if (!takeRetry(gateway, clock.nowMs())) return false;
    outcome.sentAgain += 1;
    return true;
  }

  async function serve(gateway: Gateway, call: FleetCall): Promise<Ending> {
    gateway.ownTokens.recordRequest(SERVICE, clock.nowMs());
    const excludedIds = new Set<string>();
    let ranCount = 0;
    let sentCount = 0;
    let { fails } = call;
    for (;;) {
      if (clock.nowMs() >= call.deadlineMs) return { kind: 'gone' };
      const passage = await pass(gateway, call, excludedIds, ranCount > 0);
      if (passage.kind === 'caller-gone') return { kind: 'gone' };
      if (passage.kind === 'refused') {
        if (ranCount > 0) return { kind: 'failed' };
        return { kind: 'refused', retryAfterMs: Math.max(LEAST_RETRY_MS, passage.retryAfterMs) };
      }
      const { choice } = passage;
      if (choice.kind !== 'send') {
        if (ranCount > 0) return { kind: 'failed' };
        const predictedMs = choice.kind === 'overloaded' ? choice.predictedMs : NO_ROOM_RETRY_MS;
        return { kind: 'refused', retryAfterMs: predictedMs };
      }
      const index = ids.indexOf(choice.upstreamId);
      const upstream = upstreams[index] as plainUpstreams.PlainUpstream;
      excludedIds.add(choice.upstreamId);
      const sentMs = clock.nowMs();
      const started = gateway.inFlight.start({
        upstreamId: choice.upstreamId,
        model: '',
        priority: call.priority,
        promptTokens: 0,
      });
      const isLate = clock.nowMs() - call.arrivedAtMs + call.elapsedBeforeMs > OBJECTIVE_MS;
      const priority = call.priority + (isLate ? LATE_STEPS : 0);
      await clocksModule.sleepUntil(clock, clock.nowMs() + NETWORK_MS);
      if (isSilent(index)) {
        const usualMs = gateway.beliefs.health(choice.upstreamId, sentMs).firstChunkMs ?? 0;
        let waitMs = Math.max(SILENT_MIN_MS, SILENT_FACTOR * usualMs);
        await clocksModule.sleepUntil(clock, Math.min(call.deadlineMs, sentMs + waitMs));
        gateway.beliefs.recordOutcome(choice.upstreamId, { kind: 'broken' }, clock.nowMs());
        outcome.silent += 1;
        sentCount += 1;
        ranCount += 1;
        // It stays there until it may be sent elsewhere.
        while (clock.nowMs() < call.deadlineMs) {
          if (ranCount < MAX_ATTEMPTS && tryAgain(gateway)) break;
          waitMs *= 2;
          await clocksModule.sleepUntil(clock, Math.min(call.deadlineMs, clock.nowMs() + waitMs));
        }
        started.end();
        passage.ended();
        continue;
      }
      const isServed = await upstream.serve(call.workMs, priority);
      const word = load.tells(index, upstream.word());
      await clocksModule.sleepUntil(clock, clock.nowMs() + NETWORK_MS);
      started.end();
      passage.ended();
      if (tells && word !== null) {
        gateway.states.applyLoadSignal(choice.upstreamId, word, sentMs, clock.nowMs());
      }
      sentCount += 1;
      if (isServed) {
        ranCount += 1;
        outcome.served[index] = (outcome.served[index] ?? 0) + 1;
        if (!fails) {
          noteGood(gateway, choice, clock.nowMs() - sentMs);
          return { kind: 'answered' };
        }
        fails = false;
        gateway.beliefs.recordOutcome(choice.upstreamId, { kind: 'failed' }, clock.nowMs());
        if (ranCount >= MAX_ATTEMPTS || !tryAgain(gateway)) return { kind: 'failed' };
      } else {
        outcome.rejected += 1;
        const nowMs = clock.nowMs();
        gateway.beliefs.recordOutcome(choice.upstreamId, { kind: 'rejected' }, nowMs);
        const { load: toldLoad } = gateway.states.state(choice.upstreamId, nowMs);
        gateway.capacity.recordRejection(choice.upstreamId, toldLoad, nowMs);
        const verdict = retryDecisions.decideAfterAttempt(
          {
            route: { kind: 'idempotent', isResumable: false, maxAttempts: MAX_ATTEMPTS },
            possiblyRunCount: ranCount,
            sentCount,
            hasBegun: false,
            upstreamId: choice.upstreamId,
          },
          { kind: 'rejected', isMisdirected: false, retryAfterMs: null },
        );
        const isEnd = verdict.kind === 'end' || !tryAgain(gateway);
        if (isEnd) {
          const retryAfterMs = verdict.kind === 'end' ? 400 : NO_ROOM_RETRY_MS;
          return ranCount > 0 ? { kind: 'failed' } : { kind: 'refused', retryAfterMs };
        }
      }
    }
  }

  /** A caller comes back once, if it is not told to stay away for more than a third of the time that it has. */
  async function ask(firstGateway: Gateway, call: FleetCall): Promise<void> {
    let ending = await serve(firstGateway, call);
    if (ending.kind === 'refused') {
      outcome.toldBack += 1;
      const leftMs = call.deadlineMs - clock.nowMs();
      if (ending.retryAfterMs <= leftMs / 3) {
        await clocksModule.sleepUntil(clock, clock.nowMs() + ending.retryAfterMs);
        const gateway = gateways[random.below(load.askedGatewayCount)] as Gateway;
        const arrivedAtMs = clock.nowMs();
        const elapsedBeforeMs = arrivedAtMs - call.arrivedAtMs;
        ending = await serve(gateway, { ...call, arrivedAtMs, elapsedBeforeMs });
      }
    }
    if (call.arrivedAtMs < WARM_UP_MS) return;
    outcome.asked += 1;
    const tookMs = clock.nowMs() - call.arrivedAtMs;
    if (ending.kind === 'refused') outcome.refused += 1;
    else if (ending.kind !== 'answered' || clock.nowMs() > call.deadlineMs) outcome.lost += 1;
    else {
      if (tookMs <= OBJECTIVE_MS) outcome.inTime += 1;
      else outcome.late += 1;
      outcome.latenciesMs.push(tookMs);
    }
  }

  function tellLoads(): void {
    if (load.isAlone) return;
    const told = gateways.map(({ id, inFlight }) => ({ id, loads: [...inFlight.localLoads()] }));
    const { least, most } = load.newsAgeMs;
    gateways.forEach((gateway) => {
      const afterMs = least + random.fraction() * Math.max(0, most - least - NEWS_MS);
      clock.schedule(clock.nowMs() + afterMs, () => {
        told
          .filter(({ id }) => id !== gateway.id)
          .forEach(({ id, loads }) => gateway.inFlight.applyRemoteLoads(id, loads, clock.nowMs()));
      });
    });
  }

  /** Words of an even age between nothing and `wordAgeMs`: told every so often, at once. */
  function tellWords(): void {
    if (!tells || load.wordAgeMs === null) return;
    const words = upstreams.map((upstream, index) => load.tells(index, upstream.word()));
    gateways.forEach((gateway) => {
      ids.forEach((id, index) => {
        const word = words[index];
        const nowMs = clock.nowMs();
        if (word != null) gateway.states.applyLoadSignal(id, word, nowMs, nowMs);
      });
    });
  }

  function every(periodMs: number, task: () => void): void {
    task();
    clock.schedule(clock.nowMs() + periodMs, () => every(periodMs, task));
  }

  function arrive(source: clocks.Clock): void {
    const wave = 1 + (WAVE_FACTOR - 1) * Math.sin((2 * Math.PI * source.nowMs()) / WAVE_MS);
    const gapMs = (-Math.log(1 - random.fraction()) * MS_PER_SECOND) / (load.perSecond * wave);
    clock.schedule(clock.nowMs() + gapMs, () => {
      if (clock.nowMs() < load.lengthMs) arrive(source);
      const isFailingClass = random.below(FAILING_CLASS) === 0;
      const gateway = gateways[random.below(load.askedGatewayCount)] as Gateway;
      const nowMs = clock.nowMs();
      void ask(gateway, {
        arrivedAtMs: nowMs,
        deadlineMs: nowMs + PATIENCE_MS,
        elapsedBeforeMs: 0,
        workMs: drawWorkMs(random),
        priority: random.below(PRIORITIES),
        fails: isFailingClass && random.below(FAILS_ONE_IN) === 0,
      });
    });
  }

  every(NEWS_MS, tellLoads);
  if (load.wordAgeMs !== null) every(Math.max(NETWORK_MS, load.wordAgeMs), tellWords);
  arrive(clock);
  await clock.advance(load.lengthMs + 2 * PATIENCE_MS);
  return outcome;
}
