/**
 * Gateways before upstreams that cannot serve all that is asked for, on a virtual clock: engines admit and prefill more
 * urgent requests first, and gateways hear of each other's requests some hundred milliseconds late.
 */
import type { randoms } from '@copperlever/runtime';
import { createRandom } from '@copperlever/runtime/randoms';

import * as batchHolding from '../shared/batch-holding.js';
import * as classOrder from '../shared/class-order.js';
import * as inFlightModule from '../shared/in-flight.js';
import * as serviceTimesModule from '../shared/service-times.js';
import * as queueLimits from '../shared/queue-limits.js';
import * as retrySchedules from '../shared/retry-schedule.js';
import * as tokenShares from '../shared/token-shares.js';
import * as upstreamChoice from '../shared/upstream-choice.js';
import * as urgency from '../shared/urgency.js';
import * as candidateFixtures from './candidates.js';

export type RequestClass = {
  name: string;
  perSecond: number;
  /** 0 is the most urgent. */
  priority: number;
  latencyObjectiveMs: number;
  /** Callers give up this long after they first asked. */
  patienceMs: number;
  promptTokens: number;
  outputTokens: number;
};

export type ScarcityLoad = {
  gatewayCount: number;
  upstreamCount: number;
  slots: number;
  classes: readonly RequestClass[];
  /** Demand relative to usual. */
  demandAt: (atMs: number) => number;
  lengthMs: number;
  holdsBatch: boolean;
  spreadsReturns: boolean;
  ordersClasses: boolean;
  sharesFairly: boolean;
  /** One that asks for all where none are named. */
  organisations?: readonly Organisation[];
};

export type Organisation = {
  name: string;
  /** Its part of the demand of each class, and its demand relative to usual. */
  share: number;
  demandAt: (atMs: number) => number;
};

export type ClassOutcome = {
  asked: number;
  /** First events within the objective, counted from when the caller first asked. */
  inTime: number;
  late: number;
  /** Refused, and refused again when they came back. */
  refusedOnce: number;
  refusedTwice: number;
  /** The caller gave up before the first event. */
  left: number;
};

export type ScarcityOutcome = {
  classes: Record<string, ClassOutcome>;
  /** Gaps between events of running streams beyond the objective, and all gaps. */
  longGaps: number;
  gaps: number;
  /** The longest that a request was held, and the most that a gateway held at once. */
  longestHeldMs: number;
  mostHeld: number;
  decisions: readonly Decision[];
};

/** What a gateway decided about a request that came. */
export type Decision = {
  atMs: number;
  gateway: number;
  className: string;
  organisation: string;
  isRefused: boolean;
  /** More urgent classes of which a usual request would have been refused at that moment. */
  refusedNow: readonly string[];
};

type Request = {
  key: string;
  of: RequestClass;
  organisation: string;
  askedAtMs: number;
  arrivedAtMs: number;
  tries: number;
  promptTokens: number;
  outputTokens: number;
  heldAtMs: number | null;
  latestStartMs: number;
};

type Running = {
  request: Request;
  gateway: Gateway;
  priority: number;
  sentAtMs: number;
  started: inFlightModule.InFlightRequest;
  work: serviceTimesModule.PredictionInputs;
  unreadTokens: number;
  leftTokens: number;
  lastEventMs: number | null;
  sinceEvent: number;
};

type Engine = { id: string; waiting: Running[]; running: Running[]; stepEndMs: number };

type Gateway = {
  index: number;
  inFlight: inFlightModule.InFlight;
  paces: serviceTimesModule.ServiceTimeEstimator;
  holding: batchHolding.BatchHolding;
  returns: retrySchedules.RetrySchedule;
  order: classOrder.ClassOrder;
  shares: tokenShares.TokenShares;
  held: Map<string, Request>;
};

const MS_PER_SECOND = 1_000;
const STEP_MS = 6.8;
/** Steps take longer by the prompts that are read beside, as seen in plays. */
const HOLD_FACTOR = 1.5;
const PREFILL_TOKENS_PER_MS = 19;
const CHUNK_TOKENS = 1_024;
const TOKENS_PER_EVENT = 4;
export const PAUSE_OBJECTIVE_MS = 300;
const NEWS_EVERY_MS = 200;
/** Gateways do neither at the same time. */
const NEWS_OFFSET_MS = 37;
const TICK_OFFSET_MS = 11;
const SERVICE = 's';
const MODEL = 'm';
const GROUP = 's m';
/** Callers honour the time to come back up to this part of the time that they have left. */
const HONOURED_SHARE = 1 / 3;
const LEAST_URGENT = 9;
const LEAST_RETRY_MS = 100;
/** What happens in the play is drawn apart from the arrivals. */
const SEED_STEP = 1_000;

/** Between half and one and a half times the mean. */
function around(random: randoms.Random, mean: number): number {
  return Math.round(mean * (0.5 + random.fraction()));
}

/** How often an event of the rate happens within a millisecond. */
function happens(random: randoms.Random, perSecond: number): boolean {
  return random.fraction() < perSecond / MS_PER_SECOND;
}

function createGateway(index: number): Gateway {
  return {
    index,
    inFlight: inFlightModule.createInFlight(),
    paces: serviceTimesModule.createServiceTimeEstimator(),
    holding: batchHolding.createBatchHolding(),
    returns: retrySchedules.createRetrySchedule(),
    order: classOrder.createClassOrder(),
    shares: tokenShares.createTokenShares(),
    held: new Map(),
  };
}

function emptyOutcome(): ClassOutcome {
  return { asked: 0, inTime: 0, late: 0, refusedOnce: 0, refusedTwice: 0, left: 0 };
}

const ONLY_ORGANISATION: Organisation = { name: 'only', share: 1, demandAt: () => 1 };

/** Drawn before the play, so that the same load can be replayed with other decisions. */
function drawArrivals(load: ScarcityLoad, random: randoms.Random): Request[] {
  const arrivals: Request[] = [];
  for (let atMs = 0; atMs < load.lengthMs; atMs += 1) {
    const organisations = load.organisations ?? [ONLY_ORGANISATION];
    const pairs = load.classes.flatMap((of) => organisations.map((from) => ({ of, from })));
    pairs.forEach(({ of, from }) => {
      const demand = load.demandAt(atMs) * from.share * from.demandAt(atMs);
      if (!happens(random, of.perSecond * demand)) return;
      arrivals.push({
        key: String(arrivals.length),
        of,
        organisation: from.name,
        askedAtMs: atMs,
        arrivedAtMs: atMs,
        tries: 0,
        promptTokens: around(random, of.promptTokens),
        outputTokens: around(random, of.outputTokens),
        heldAtMs: null,
        latestStartMs: 0,
      });
    });
  }
  return arrivals;
}

export function playScarcity(load: ScarcityLoad, seed: number): ScarcityOutcome {
  const arrivals = drawArrivals(load, createRandom(seed));
  const random = createRandom(seed + SEED_STEP);
  const gateways = Array.from({ length: load.gatewayCount }, (_, index) => createGateway(index));
  const engines = Array.from({ length: load.upstreamCount }, (_, index): Engine => ({
    id: `u${index}`,
    waiting: [],
    running: [],
    stepEndMs: 0,
  }));
  const decisions: Decision[] = [];
  const outcome: ScarcityOutcome = {
    decisions,
    classes: Object.fromEntries(load.classes.map(({ name }) => [name, emptyOutcome()])),
    longGaps: 0,
    gaps: 0,
    longestHeldMs: 0,
    mostHeld: 0,
  };
  const comingBack: { atMs: number; request: Request }[] = [];
  let nowMs = 0;

  function resultOf(request: Request): ClassOutcome {
    return outcome.classes[request.of.name] as ClassOutcome;
  }

  function isLate(request: Request): boolean {
    return nowMs - request.askedAtMs > request.of.latencyObjectiveMs;
  }

  function priorityOf(request: Request): number {
    return urgency.enginePriority(request.of.priority, request.of, isLate(request));
  }

  function readMs(gateway: Gateway): (model: string, tokens: number) => number {
    return (model, tokens) => tokens * gateway.paces.estimate(SERVICE, model).msPerToken;
  }

  function deadlineMs(request: Request): number {
    return request.askedAtMs + request.of.patienceMs;
  }

  function choose(
    gateway: Gateway,
    request: Request,
    fraction: () => number,
  ): upstreamChoice.Choice {
    const priority = priorityOf(request);
    const limitMs = queueLimits.queueLimitMs({
      isStream: true,
      latencyObjectiveMs: request.of.latencyObjectiveMs,
      pauseObjectiveMs: PAUSE_OBJECTIVE_MS,
      remainingMs: deadlineMs(request) - nowMs,
      waitedMs: nowMs - request.arrivedAtMs,
      isLate: isLate(request),
      limitsLate: load.spreadsReturns,
    });
    const objectiveLeftMs = request.askedAtMs + request.of.latencyObjectiveMs - nowMs;
    const candidates = engines.map(({ id }) => {
      const ahead = gateway.inFlight.loadAhead(id, priority, nowMs, readMs(gateway));
      return candidateFixtures.createCandidate(id, load.slots, {
        inFlightCount: ahead.inFlightCount,
        localInFlightCount: gateway.inFlight.localCount(id),
        urgentCount: ahead.urgentCount,
        prefillAheadMs: ahead.prefillMs,
      });
    });
    const wasHeld = request.heldAtMs !== null;
    const choice = upstreamChoice.chooseUpstream(
      {
        kind: 'model',
        promptTokens: request.promptTokens,
        serviceTimes: gateway.paces.estimate(SERVICE, MODEL),
        plainServiceTime: null,
        room: 'any',
        localFailureDomain: 'north',
        excludedIds: new Set(),
        queueLimitMs: wasHeld ? Math.min(limitMs, objectiveLeftMs) : limitMs,
      },
      candidates,
      nowMs,
      fraction,
    );
    if (choice.kind !== 'send') return choice;
    const isBounded = load.spreadsReturns && isLate(request);
    const isOutOfSlots = isBounded && !queueLimits.hasFreeSlot(choice.predictionInputs);
    if (!isOutOfSlots && !givesWay(gateway, request)) return choice;
    return { kind: 'overloaded', predictedMs: choice.predictedMs };
  }

  function capacityOf(gateway: Gateway, request: Request): batchHolding.Capacity {
    const priority = priorityOf(request);
    const toReadMs = readMs(gateway);
    const places = engines.map(({ id }): batchHolding.UpstreamLoad => {
      const all = gateway.inFlight.loadAhead(id, LEAST_URGENT, nowMs, toReadMs);
      const moreUrgent = gateway.inFlight.loadAhead(id, priority - 1, nowMs, toReadMs);
      return {
        slots: load.slots,
        inFlightCount: all.inFlightCount,
        moreUrgentCount: moreUrgent.urgentCount,
        unreadMs: all.prefillMs,
        ownPrefillMs: toReadMs(MODEL, request.promptTokens),
      };
    });
    const room = givesWay(gateway, request) ? 0 : batchHolding.totalRoom(places);
    return { room, gatewayCount: gateways.length };
  }

  function returnAtMs(gateway: Gateway, request: Request, predictedMs: number): number {
    const latestMs = nowMs + (deadlineMs(request) - nowMs) * HONOURED_SHARE;
    const earliestMs = nowMs + Math.max(LEAST_RETRY_MS, predictedMs);
    if (!load.spreadsReturns) return Math.min(latestMs, earliestMs);
    const intervalMs = retrySchedules.retryIntervalMs({
      requestSeconds: serviceTimesModule.requestSeconds(
        gateway.paces.estimate(SERVICE, MODEL),
        load.slots,
      ),
      copyCount: engines.length,
      gatewayCount: gateways.length,
    });
    const { priority } = request.of;
    const of = {
      group: GROUP,
      priority,
      earliestMs,
      latestMs,
      intervalMs,
      phase: random.fraction(),
    };
    return gateway.returns.scheduleNext(of, nowMs);
  }

  function classKey({ of }: Request): classOrder.ClassKey {
    return { group: GROUP, rank: urgency.enginePriority(of.priority, of, false) };
  }

  function shareKey(request: Request): tokenShares.ShareKey {
    return { ...classKey(request), organisation: request.organisation, weight: 1 };
  }

  /** Looking at what might have been decided must not change the play. */
  const noFraction = () => 0.5;

  /** What would have been decided about usual requests of more urgent classes. */
  function refusedNow(gateway: Gateway, request: Request): readonly string[] {
    const { rank } = classKey(request);
    return load.classes
      .map((of): Request => ({
        ...request,
        of,
        askedAtMs: nowMs,
        arrivedAtMs: nowMs,
        heldAtMs: null,
        promptTokens: of.promptTokens,
      }))
      .filter(
        (other) =>
          classKey(other).rank < rank && choose(gateway, other, noFraction).kind !== 'send',
      )
      .map(({ of }) => of.name);
  }

  function noteDecided(gateway: Gateway, request: Request, isRefused: boolean): void {
    gateway.order.recordDecision(classKey(request), isRefused, nowMs);
    const tokens = request.promptTokens + request.outputTokens;
    gateway.shares.decided(shareKey(request), tokens, isRefused, nowMs);
    decisions.push({
      atMs: nowMs,
      gateway: gateway.index,
      className: request.of.name,
      organisation: request.organisation,
      isRefused,
      refusedNow: isRefused ? [] : refusedNow(gateway, request),
    });
  }

  function givesWay(gateway: Gateway, request: Request): boolean {
    if (load.sharesFairly && gateway.shares.yieldsTo(shareKey(request), nowMs) !== null) {
      return true;
    }
    return load.ordersClasses && gateway.order.yieldsTo(classKey(request), nowMs) !== null;
  }

  function refuse(gateway: Gateway, request: Request, predictedMs: number): void {
    noteDecided(gateway, request, true);
    if (request.tries > 1) {
      resultOf(request).refusedTwice += 1;
      return;
    }
    resultOf(request).refusedOnce += 1;
    comingBack.push({ atMs: returnAtMs(gateway, request, predictedMs), request });
  }

  function send(
    gateway: Gateway,
    request: Request,
    choice: Extract<upstreamChoice.Choice, { kind: 'send' }>,
  ): void {
    noteDecided(gateway, request, false);
    const priority = priorityOf(request);
    const { upstreamId, predictionInputs: work } = choice;
    const { promptTokens, outputTokens } = request;
    const started = gateway.inFlight.start({ upstreamId, model: MODEL, priority, promptTokens });
    const engine = engines.find(({ id }) => id === upstreamId) as Engine;
    engine.waiting.push({
      request,
      gateway,
      priority,
      sentAtMs: nowMs,
      started,
      work,
      unreadTokens: promptTokens,
      leftTokens: outputTokens,
      lastEventMs: null,
      sinceEvent: 0,
    });
  }

  /** Sent, refused or, where the load says so, held. */
  function decide(gateway: Gateway, request: Request, mayHold: boolean): void {
    const choice = choose(gateway, request, random.fraction);
    const isHoldable = choice.kind === 'send' || choice.kind === 'overloaded';
    if (mayHold && load.holdsBatch && urgency.isBatch(request.of) && isHoldable) {
      request.latestStartMs = batchHolding.latestStartMs({
        arrivedAtMs: request.arrivedAtMs,
        elapsedBeforeMs: request.arrivedAtMs - request.askedAtMs,
        deadlineMs: deadlineMs(request),
        latencyObjectiveMs: request.of.latencyObjectiveMs,
        answerMs: choice.predictedMs,
      });
      const { key, latestStartMs } = request;
      const capacity = capacityOf(gateway, request);
      if (choice.kind === 'overloaded') capacity.room = 0;
      const item = { key, group: GROUP, latestStartMs, sizeBytes: 10_000 };
      if (gateway.holding.decideArrival(item, capacity, nowMs) === 'hold') {
        request.heldAtMs ??= nowMs;
        gateway.held.set(key, request);
        outcome.mostHeld = Math.max(outcome.mostHeld, gateway.holding.count());
        return;
      }
    }
    if (choice.kind === 'send') send(gateway, request, choice);
    else if (choice.kind === 'overloaded') refuse(gateway, request, choice.predictedMs);
    else throw new Error(choice.kind);
  }

  function releaseDue(gateway: Gateway): void {
    const first = gateway.held.get(gateway.holding.first(GROUP) ?? '');
    if (first === undefined) return;
    gateway.holding.releaseDue(GROUP, capacityOf(gateway, first), nowMs).forEach(({ key }) => {
      const request = gateway.held.get(key) as Request;
      gateway.held.delete(key);
      const heldMs = nowMs - (request.heldAtMs ?? nowMs);
      outcome.longestHeldMs = Math.max(outcome.longestHeldMs, heldMs);
      decide(gateway, request, false);
    });
  }

  function arrive(request: Request): void {
    request.arrivedAtMs = nowMs;
    request.tries += 1;
    request.heldAtMs = null;
    decide(gateways[random.below(gateways.length)] as Gateway, request, true);
  }

  function exchange(gateway: Gateway): void {
    gateways.forEach((other) => {
      if (other === gateway) return;
      gateway.inFlight.applyRemoteLoads(String(other.index), other.inFlight.localLoads(), nowMs);
    });
  }

  function firstEvent(engine: Engine, running: Running): void {
    const { request, gateway, started, sentAtMs } = running;
    started.promptPrefilled();
    const tookMs = nowMs - request.askedAtMs;
    const result = resultOf(request);
    if (tookMs <= request.of.latencyObjectiveMs) result.inTime += 1;
    else result.late += 1;
    const firstPieceMs = nowMs - sentAtMs;
    // The hold time is told at the end; the prediction needs the first event.
    gateway.paces.recordAnswer(
      {
        ...running.work,
        service: SERVICE,
        model: MODEL,
        firstChunkMs: firstPieceMs,
        tookMs: firstPieceMs + running.leftTokens * STEP_MS * HOLD_FACTOR,
      },
      nowMs,
    );
    running.lastEventMs = nowMs;
  }

  function emit(running: Running): void {
    running.leftTokens -= 1;
    running.sinceEvent += 1;
    if (running.sinceEvent < TOKENS_PER_EVENT && running.leftTokens > 0) return;
    running.sinceEvent = 0;
    outcome.gaps += 1;
    if (nowMs - (running.lastEventMs ?? nowMs) > PAUSE_OBJECTIVE_MS) outcome.longGaps += 1;
    running.lastEventMs = nowMs;
  }

  function dropLeft(engine: Engine): void {
    engine.waiting = engine.waiting.filter((running) => {
      if (nowMs < deadlineMs(running.request)) return true;
      running.started.end();
      resultOf(running.request).left += 1;
      return false;
    });
  }

  /** One step of an engine: a token of each stream that has begun, and a chunk of the prompts. */
  function step(engine: Engine): void {
    dropLeft(engine);
    const order = (a: Running, b: Running) => a.priority - b.priority || a.sentAtMs - b.sentAtMs;
    engine.waiting.sort(order);
    const freeCount = Math.max(0, load.slots - engine.running.length);
    engine.running.push(...engine.waiting.splice(0, freeCount));
    let chunk = CHUNK_TOKENS;
    const toRead = engine.running.filter(({ unreadTokens }) => unreadTokens > 0).sort(order);
    const begun = engine.running.filter(({ lastEventMs }) => lastEventMs !== null);
    const readNow: Running[] = [];
    toRead.forEach((running) => {
      const tokens = Math.min(chunk, running.unreadTokens);
      running.unreadTokens -= tokens;
      chunk -= tokens;
      if (running.unreadTokens === 0 && tokens > 0) readNow.push(running);
    });
    const hasWork = engine.running.length > 0;
    engine.stepEndMs = hasWork
      ? engine.stepEndMs + STEP_MS + (CHUNK_TOKENS - chunk) / PREFILL_TOKENS_PER_MS
      : engine.stepEndMs + 1;
    readNow.forEach((running) => firstEvent(engine, running));
    begun.forEach(emit);
    engine.running = engine.running.filter((running) => {
      if (running.leftTokens > 0) return true;
      running.started.end();
      return false;
    });
  }

  function ask(): void {
    for (let next = arrivals[0]; next !== undefined && next.askedAtMs <= nowMs;) {
      arrivals.shift();
      resultOf(next).asked += 1;
      arrive(next);
      [next] = arrivals;
    }
  }

  function takeBack(): void {
    for (let index = comingBack.length - 1; index >= 0; index -= 1) {
      const back = comingBack[index] as (typeof comingBack)[number];
      if (back.atMs > nowMs) continue;
      comingBack.splice(index, 1);
      arrive(back.request);
    }
  }

  function tick(): void {
    ask();
    takeBack();
    gateways.forEach((gateway) => {
      if ((nowMs + gateway.index * NEWS_OFFSET_MS) % NEWS_EVERY_MS === 0) exchange(gateway);
      if ((nowMs + gateway.index * TICK_OFFSET_MS) % batchHolding.RELEASE_CHECK_INTERVAL_MS === 0)
        releaseDue(gateway);
    });
    engines.forEach((engine) => {
      while (engine.stepEndMs <= nowMs) step(engine);
    });
  }

  for (nowMs = 0; nowMs < load.lengthMs; nowMs += 1) tick();
  return outcome;
}

/** The three classes of a deployment whose capacity does not suffice at the peak of a wave, at a tenth of its size. */
export function threeClasses(promptTokens: number, outputTokens: number): RequestClass[] {
  const interactive = { patienceMs: 8_000, promptTokens, outputTokens };
  return [
    { name: 'urgent', perSecond: 7.2, priority: 0, latencyObjectiveMs: 500, ...interactive },
    { name: 'standard', perSecond: 11.7, priority: 1, latencyObjectiveMs: 600, ...interactive },
    {
      name: 'batch',
      perSecond: 2.8,
      priority: 1,
      latencyObjectiveMs: 6_000,
      patienceMs: 20_000,
      promptTokens: 1.5 * promptTokens,
      outputTokens: 1.5 * outputTokens,
    },
  ];
}

const WAVE_MS = 12_000;
const WAVE_SHARE = 0.5;
const BURST_EVERY_MS = 30_000;
const BURST_FROM_MS = 20_000;
const BURST_MS = 1_500;
const BURST_FACTOR = 1.6;

/** Waves with a burst every half minute. */
export function wavesAndBursts(atMs: number): number {
  const wave = 1 + WAVE_SHARE * Math.sin((2 * Math.PI * atMs) / WAVE_MS);
  const sinceMs = (atMs % BURST_EVERY_MS) - BURST_FROM_MS;
  return sinceMs >= 0 && sinceMs < BURST_MS ? BURST_FACTOR * wave : wave;
}
