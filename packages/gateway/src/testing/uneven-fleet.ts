/**
 * Upstreams of uneven speed on shared machines, and gateways that choose among them, on a virtual clock. An engine reads
 * its prompts one after the other; between events its streams pause for as long as it does so. No part of a platform is
 * imitated beyond that.
 */
import { randoms } from '@copperlever/runtime';

import * as eventIntervals from '../shared/event-intervals.js';
import * as inFlightModule from '../shared/in-flight.js';
import * as serviceTimesModule from '../shared/service-times.js';
import * as preferences from '../shared/preferences.js';
import * as speedSharing from '../shared/speed-sharing.js';
import * as speeds from '../shared/speeds.js';
import * as upstreamHealthModule from '../shared/upstream-health.js';
import * as upstreamChoice from '../shared/upstream-choice.js';
import * as statesModule from '../shared/upstream-states.js';
import type * as upstreamStates from '../types/upstream-states.js';

export type Machine = {
  /** Service time relative to the usual; 1 is usual. */
  slowness: number;
  /** What it reports of the moment, given the true factor; null for nothing. */
  reports: (trueFactor: number, nowMs: number) => number | null;
};

export type FleetPlan = {
  seed: number;
  machines: readonly Machine[];
  gatewayCount: number;
  perSecond: number;
  forMs: number;
  /** Part of the time in which a machine takes 2.5 times as long. */
  disturbedShare: number;
  usesStates: boolean;
  tellsOthers: boolean;
  queueLimitMs: number;
};

export type FleetOutcome = {
  /** From the second half of the time, when all has been learnt. */
  firstEventsMs: readonly number[];
  /** First event against its prediction. */
  ratios: readonly number[];
  refusedCount: number;
  /** Prompts that ended a run of reading of more than 300 ms: streams beside them paused for as long. */
  longRunCount: number;
  countByUpstream: readonly number[];
  /** As the first gateway has learnt it. */
  slowness: readonly number[];
};

type Prompt = { leftMs: number; done: () => void };

type Stream = { decodedMs: number; endsMs: number; gaps: eventIntervals.EventIntervals };

type Engine = {
  streams: Stream[];
  machine: Machine;
  factor: number;
  changesAtMs: number;
  prompts: Prompt[];
  busySinceMs: number | null;
};

type Gateway = {
  id: string;
  preference: (upstreamId: string) => number;
  inFlight: inFlightModule.InFlight;
  paces: serviceTimesModule.ServiceTimeEstimator;
  beliefs: upstreamHealthModule.UpstreamHealthTracker;
  states: Pick<
    upstreamStates.UpstreamStates,
    'state' | 'recordFirstChunk' | 'applyLoadSignal' | 'recordEventInterval'
  >;
  teller: speedSharing.SpeedReporter | null;
};

const STEP_MS = 1;
const DISTURBED_FACTOR = 2.5;
const DISTURBED_MS = 600;
const NEWS_MS = 250;
const MS_PER_TOKEN = 1 / 22;
/** Steps of the engine before the first event, which are not taken one after the other. */
const STEPS_MS = 20;
const EVENT_MS = 27;
const HOLD_MS = 1_500;
const LONG_RUN_MS = 300;
const SLOTS = 64;
const MS_PER_SECOND = 1_000;
const PRIORITY = 1;

export function run(plan: FleetPlan): FleetOutcome {
  const random = randoms.createRandom(plan.seed);
  const ids = plan.machines.map((_, index) => `u${index}`);
  const engines: Engine[] = plan.machines.map((machine) => ({
    machine,
    factor: 1,
    changesAtMs: random.fraction() * DISTURBED_MS,
    prompts: [],
    streams: [],
    busySinceMs: null,
  }));
  function createGateway(index: number): Gateway & { shared: speedSharing.SharedStates | null } {
    const common = {
      id: `g${index}`,
      preference: preferences.createPreferences(`g${index}`),
      inFlight: inFlightModule.createInFlight(),
      paces: serviceTimesModule.createServiceTimeEstimator(),
      beliefs: upstreamHealthModule.createUpstreamHealthTracker(),
    };
    if (!plan.usesStates) {
      const states = { ...statesModule.UNKNOWN_STATES, applyLoadSignal: () => {} };
      return { ...common, states, teller: null, shared: null };
    }
    const states = statesModule.createUpstreamStates({ serviceOf: () => 's' });
    const teller = plan.tellsOthers ? speedSharing.createSpeedReporter(states) : null;
    return { ...common, states, teller, shared: states };
  }
  const gateways = Array.from({ length: plan.gatewayCount }, (_unused, index) =>
    createGateway(index),
  );
  const holderStates = gateways[0]?.shared ?? null;
  const pool =
    holderStates === null || !plan.tellsOthers
      ? null
      : speedSharing.createSpeedAggregator(holderStates, 1);
  const firstEventsMs: number[] = [];
  const ratios: number[] = [];
  const countByUpstream = ids.map(() => 0);
  const outcome = { refusedCount: 0, longRunCount: 0 };
  const ends: { atMs: number; end: () => void }[] = [];
  let nowMs = 0;

  function candidateOf(gateway: Gateway, upstreamId: string): upstreamChoice.Candidate {
    const { msPerToken } = gateway.paces.estimate('s', 'm');
    const ahead = gateway.inFlight.loadAhead(
      upstreamId,
      PRIORITY,
      nowMs,
      (_model, tokens) => tokens * msPerToken,
    );
    return {
      upstreamId,
      failureDomain: 'north',
      slots: SLOTS,
      capacity: null,
      localShare: 1,
      inFlightCount: ahead.inFlightCount,
      localInFlightCount: gateway.inFlight.localCount(upstreamId),
      urgentCount: ahead.urgentCount,
      prefillAheadMs: ahead.prefillMs,
      cachedTokens: 0,
      health: gateway.beliefs.health(upstreamId, nowMs),
      state: gateway.states.state(upstreamId, nowMs),
      preference: gateway.preference(upstreamId),
      copy: 'ready',
      blockedForMs: 0,
      closed: null,
      isLimited: false,
    };
  }

  function send(
    gateway: Gateway,
    promptTokens: number,
    choice: Extract<upstreamChoice.Choice, { kind: 'send' }>,
  ): void {
    const index = ids.indexOf(choice.upstreamId);
    const engine = engines[index] as Engine;
    const {
      upstreamId,
      baselinePredictedMs: usualPredictedMs,
      predictedMs,
      predictionInputs: work,
    } = choice;
    const startedMs = nowMs;
    const isCounted = startedMs > plan.forMs / 2;
    if (isCounted) countByUpstream[index] = (countByUpstream[index] ?? 0) + 1;
    const started = gateway.inFlight.start({
      upstreamId,
      model: 'm',
      priority: PRIORITY,
      promptTokens,
    });
    const firstEvent = () => {
      const tookMs = nowMs - startedMs;
      const transientFactor = engine.machine.reports(engine.factor, nowMs);
      const word = { runningCount: 0, waitingCount: 0, slots: SLOTS, transientFactor };
      gateway.states.applyLoadSignal(upstreamId, word, startedMs, nowMs);
      const speed = gateway.states.state(upstreamId, nowMs);
      if (work.prefillAheadMs <= promptTokens * MS_PER_TOKEN) {
        gateway.states.recordFirstChunk(upstreamId, usualPredictedMs, tookMs, nowMs);
      }
      started.promptPrefilled();
      if (isCounted) {
        firstEventsMs.push(tookMs);
        ratios.push(tookMs / predictedMs);
      }
      const holdMs = HOLD_MS * engine.machine.slowness;
      const end = () => {
        started.end();
        const expectedMs = Math.max(predictedMs, speeds.atSpeed(usualPredictedMs, speed));
        gateway.beliefs.recordOutcome(
          upstreamId,
          { kind: 'good', firstChunkMs: tookMs, predictedMs: expectedMs },
          nowMs,
        );
        const sample = { ...work, service: 's', model: 'm', firstChunkMs: tookMs, speed };
        gateway.paces.recordAnswer({ ...sample, tookMs: tookMs + holdMs }, nowMs);
      };
      ends.push({ atMs: nowMs + holdMs, end });
      const gaps = eventIntervals.createEventIntervals((gapMs, atMs) => {
        gateway.states.recordEventInterval(upstreamId, 'm', gapMs, atMs);
      });
      engine.streams.push({ decodedMs: 0, endsMs: nowMs + holdMs, gaps });
    };
    const done = () => {
      const stepsMs = STEPS_MS * engine.machine.slowness * engine.factor;
      ends.push({ atMs: nowMs + stepsMs, end: firstEvent });
    };
    engine.prompts.push({ leftMs: promptTokens * MS_PER_TOKEN, done });
  }

  function arrive(): void {
    const gateway = gateways[random.below(gateways.length)] as Gateway;
    const promptTokens = 220 + random.fraction() ** 2 * 3_720;
    const choice = upstreamChoice.chooseUpstream(
      {
        kind: 'model',
        promptTokens,
        serviceTimes: gateway.paces.estimate('s', 'm'),
        plainServiceTime: null,
        room: 'any',
        localFailureDomain: 'north',
        excludedIds: new Set(),
        queueLimitMs: plan.queueLimitMs,
      },
      ids.map((id) => candidateOf(gateway, id)),
      nowMs,
      random.fraction,
    );
    if (choice.kind === 'send') send(gateway, promptTokens, choice);
    else if (nowMs > plan.forMs / 2) outcome.refusedCount += 1;
  }

  function disturb(engine: Engine): void {
    if (nowMs < engine.changesAtMs) return;
    engine.factor = random.fraction() < plan.disturbedShare ? DISTURBED_FACTOR : 1;
    engine.changesAtMs = nowMs + DISTURBED_MS * (0.5 + random.fraction());
  }

  function read(engine: Engine): void {
    let budgetMs = STEP_MS / (engine.machine.slowness * engine.factor);
    while (budgetMs > 0) {
      const [prompt] = engine.prompts;
      if (prompt === undefined) {
        engine.busySinceMs = null;
        return;
      }
      engine.busySinceMs ??= nowMs;
      const readMs = Math.min(budgetMs, prompt.leftMs);
      prompt.leftMs -= readMs;
      budgetMs -= readMs;
      if (prompt.leftMs <= 0) {
        engine.prompts.shift();
        const isLong = nowMs - engine.busySinceMs > LONG_RUN_MS && nowMs > plan.forMs / 2;
        if (isLong) outcome.longRunCount += 1;
        prompt.done();
      }
    }
  }

  /** Streams pause while prompts are read. */
  function decode(engine: Engine): void {
    if (engine.prompts.length > 0) return;
    engine.streams = engine.streams.filter(({ endsMs }) => endsMs > nowMs);
    engine.streams.forEach((stream) => {
      stream.decodedMs += STEP_MS / (engine.machine.slowness * engine.factor);
      if (stream.decodedMs < EVENT_MS) return;
      stream.decodedMs -= EVENT_MS;
      stream.gaps.event(nowMs);
    });
  }

  function runEnds(): void {
    for (let index = ends.length - 1; index >= 0; index -= 1) {
      const due = ends[index];
      if (due !== undefined && due.atMs <= nowMs) {
        ends.splice(index, 1);
        due.end();
      }
    }
  }

  function tellOthers(): void {
    gateways.forEach(({ teller }, at) => {
      if (teller === null || pool === null) return;
      const { speeds: applyLoadSignal, known } = teller.createRequest(NEWS_MS, nowMs);
      pool.applySpeeds(`g${at}`, applyLoadSignal, nowMs);
      teller.applyReply(pool.updatesFor(`g${at}`, known, NEWS_MS, nowMs), nowMs);
    });
    gateways.forEach((gateway, at) => {
      gateways.forEach((other, index) => {
        if (index !== at)
          gateway.inFlight.applyRemoteLoads(`g${index}`, other.inFlight.localLoads(), nowMs);
      });
    });
  }

  let nextArrivalMs = 0;
  while (nowMs < plan.forMs) {
    engines.forEach(disturb);
    if (nowMs % NEWS_MS === 0) tellOthers();
    while (nextArrivalMs <= nowMs) {
      nextArrivalMs -= Math.log(1 - random.fraction()) * (MS_PER_SECOND / plan.perSecond);
      arrive();
    }
    engines.forEach(read);
    engines.forEach(decode);
    runEnds();
    nowMs += STEP_MS;
  }
  const first = gateways[0] as Gateway;
  return {
    ...outcome,
    firstEventsMs,
    ratios,
    countByUpstream,
    slowness: ids.map((id) => first.states.state(id, nowMs).latencyRatio),
  };
}

export function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}
