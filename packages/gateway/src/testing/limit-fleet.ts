/** Gateways before one upstream that names a limit, on a virtual clock: what reaches it while gateways come and go. */
import type { randoms } from '@copperlever/runtime';

import * as limitsModule from '../server/limits/limits.js';
import * as upstreamLimits from '../shared/upstream-limits.js';

const UPSTREAM_ID = 'u1';
export const STEP_MS = 10;
const ANSWER_MS = 30;
const EXCHANGE_MS = 250;
/** Until a new holder takes the place of one that has gone. */
const LEASE_MS = 3_000;
const MS_PER_SECOND = 1_000;
const WINDOW_MS = 4_000;
/** Loads begin to name their limit then, */
export const NAMED_FROM_MS = 2_000;
/** and it binds so much later. */
export const CONTACT_MS = 3_000;
/** Told so long before: what was on its way then does not count. */
const TOLD_MS = 500;

export type GatewayEvent =
  | { kind: 'restart' | 'join' | 'leave'; atMs: number; gateway: number }
  /** It reaches callers and the upstream, and no other gateway. */
  | { kind: 'cut'; atMs: number; gateway: number; forMs: number };

export type LimitLoad = {
  gatewayCount: number;
  /** The part of the requests that each gateway gets. */
  weights: readonly number[];
  askedPerSecond: number;
  /** Null where the upstream names none. */
  limitAt: (atMs: number) => number | null;
  events: readonly GatewayEvent[];
  lengthMs: number;
};

/** A request that reached the upstream. */
export type Arrival = { atMs: number; gateway: number; wasTold: boolean; isExcused: boolean };

export type LimitOutcome = { arrivals: readonly Arrival[]; asked: number };

type Gateway = {
  index: number;
  isUp: boolean;
  incarnation: number;
  startedMs: number;
  cutUntilMs: number;
  /** When it first passed on an answer that named a limit, in this life. */
  toldMs: number | null;
  beliefs: upstreamLimits.UpstreamLimits;
  limits: limitsModule.Limits;
  nextExchangeMs: number;
  holderHeardMs: number;
};

type Answer = {
  gateway: Gateway;
  incarnation: number;
  sentMs: number;
  atMs: number;
  limit: number | null;
};

/** After a restart or a cut. */
const EXCUSED_MS = 3_000;

export async function playLimit(load: LimitLoad, random: randoms.Random): Promise<LimitOutcome> {
  let nowMs = 0;
  const clock = { nowMs: () => nowMs };
  const arrivals: Arrival[] = [];
  const answers: Answer[] = [];
  let asked = 0;
  let holder: { gateway: Gateway; incarnation: number; term: number } | null = null;
  let holderGoneMs = -LEASE_MS;
  let lastTerm = 0;

  const gateways = Array.from({ length: load.gatewayCount }, (_unused, index): Gateway => {
    const beliefs = upstreamLimits.createUpstreamLimits();
    return {
      index,
      isUp: true,
      incarnation: 1,
      startedMs: -EXCUSED_MS,
      cutUntilMs: -Infinity,
      toldMs: null,
      beliefs,
      limits: createLimits(index, beliefs),
      nextExchangeMs: random.below(EXCHANGE_MS),
      holderHeardMs: -Infinity,
    };
  });

  function isCut(gateway: Gateway): boolean {
    return gateway.cutUntilMs > nowMs;
  }

  /** What one knows of the others: those that live and are not cut off from it. */
  function fleetOf(index: number) {
    const up = gateways.filter(({ isUp }) => isUp);
    const self = gateways[index] as Gateway;
    const isAlone = isCut(self) || nowMs - self.startedMs < EXCHANGE_MS;
    const known = up.filter((other) => other === self || (!isAlone && !isCut(other)));
    return { knownIds: known.map((other) => `g${other.index}`), size: known.length };
  }

  function heldTerm(index: number): number | null {
    return holder?.gateway.index === index && holds() ? holder.term : null;
  }

  function createLimits(index: number, beliefs: upstreamLimits.UpstreamLimits) {
    return limitsModule.createLimits({
      clock,
      upstreamLimits: beliefs,
      gatewayId: `g${index}`,
      fleet: () => fleetOf(index),
      heldTerm: () => heldTerm(index),
      holderAgeMs: () => nowMs - (gateways[index] as Gateway).holderHeardMs,
      told: (limit) => beliefs.applyRemoteLimit(limit, nowMs),
      ask: async (wanted) => {
        const isReached = holds() && !isCut(gateways[index] as Gateway);
        return isReached ? (holder?.gateway.limits.give(wanted) ?? null) : null;
      },
    });
  }

  function startAnew(gateway: Gateway): void {
    gateway.isUp = true;
    gateway.incarnation += 1;
    gateway.startedMs = nowMs;
    gateway.toldMs = null;
    gateway.beliefs = upstreamLimits.createUpstreamLimits();
    gateway.limits = createLimits(gateway.index, gateway.beliefs);
    gateway.nextExchangeMs = nowMs + random.below(EXCHANGE_MS);
    gateway.holderHeardMs = -Infinity;
  }

  function strike(event: GatewayEvent): void {
    const gateway = gateways[event.gateway % gateways.length] as Gateway;
    switch (event.kind) {
      case 'restart':
      case 'join':
        startAnew(gateway);
        return;
      case 'leave':
        gateway.isUp = false;
        return;
      case 'cut':
        gateway.cutUntilMs = nowMs + event.forMs;
    }
  }

  function holds(): boolean {
    if (holder === null) return false;
    const { gateway, incarnation } = holder;
    return gateway.isUp && gateway.incarnation === incarnation && !isCut(gateway);
  }

  function chooseHolder(): void {
    if (holds()) return;
    if (holder !== null) {
      holder = null;
      holderGoneMs = nowMs;
    }
    if (nowMs - holderGoneMs < LEASE_MS) return;
    const gateway = gateways.find((other) => other.isUp && !isCut(other));
    if (gateway === undefined) return;
    lastTerm += 1;
    holder = { gateway, incarnation: gateway.incarnation, term: lastTerm };
  }

  function exchange(gateway: Gateway): void {
    gateway.nextExchangeMs = nowMs + EXCHANGE_MS;
    if (holder === null || !holds() || isCut(gateway)) return;
    const other = holder.gateway;
    gateway.beliefs
      .reportedLimits(nowMs)
      .forEach((limit) => other.beliefs.applyRemoteLimit(limit, nowMs));
    other.beliefs
      .reportedLimits(nowMs)
      .forEach((limit) => gateway.beliefs.applyRemoteLimit(limit, nowMs));
    gateway.holderHeardMs = nowMs;
  }

  async function ask(gateway: Gateway): Promise<void> {
    asked += 1;
    if (gateway.limits.closedForMs(UPSTREAM_ID) !== null) return;
    if (!(await gateway.limits.take(UPSTREAM_ID))) return;
    const wasTold = gateway.toldMs !== null && nowMs - gateway.toldMs >= TOLD_MS;
    const isExcused =
      nowMs - gateway.startedMs < EXCUSED_MS || nowMs - gateway.cutUntilMs < EXCUSED_MS;
    arrivals.push({ atMs: nowMs, gateway: gateway.index, wasTold, isExcused });
    answers.push({
      gateway,
      incarnation: gateway.incarnation,
      sentMs: nowMs,
      atMs: nowMs + ANSWER_MS,
      limit: load.limitAt(nowMs),
    });
  }

  function takeAnswers(): void {
    while ((answers[0]?.atMs ?? Infinity) <= nowMs) {
      const answer = answers.shift() as Answer;
      const { gateway, limit, sentMs } = answer;
      if (gateway.incarnation !== answer.incarnation) continue;
      const word =
        limit === null
          ? ({ kind: 'unlimited' } as const)
          : { kind: 'named' as const, perSecond: limit };
      gateway.beliefs.answered(UPSTREAM_ID, word, sentMs, nowMs);
      if (limit !== null) gateway.toldMs ??= nowMs;
    }
  }

  function pickGateway(): Gateway | undefined {
    const total = load.weights.reduce((sum, weight) => sum + weight, 0);
    let rest = random.fraction() * total;
    return gateways.find(({ index }) => {
      rest -= load.weights[index] ?? 0;
      return rest < 0;
    });
  }

  /** What happens in a step before its requests. */
  function step(): void {
    load.events.filter(({ atMs }) => atMs === nowMs).forEach(strike);
    chooseHolder();
    takeAnswers();
    gateways
      .filter(({ isUp, nextExchangeMs }) => isUp && nowMs >= nextExchangeMs)
      .forEach(exchange);
  }

  let untilNextMs = 0;
  for (; nowMs < load.lengthMs; nowMs += STEP_MS) {
    step();
    for (untilNextMs -= STEP_MS; untilNextMs < 0;) {
      untilNextMs += (-Math.log(1 - random.fraction()) * MS_PER_SECOND) / load.askedPerSecond;
      const gateway = pickGateway();
      if (gateway?.isUp === true) await ask(gateway);
    }
  }
  return { arrivals, asked };
}

export type Excess = { atMs: number; count: number; allowed: number };

/** What falls counts half a second later, as what was first named does. */
function limitInForce({ limitAt }: LimitLoad, atMs: number): number {
  return Math.max(limitAt(atMs) ?? Infinity, limitAt(atMs - TOLD_MS) ?? Infinity);
}

/** Half more than the limit lets through in the window, and five. */
function allowedIn(load: LimitLoad, fromMs: number): number {
  let through = 0;
  for (let atMs = fromMs; atMs < fromMs + WINDOW_MS; atMs += STEP_MS) {
    through += (limitInForce(load, atMs) * STEP_MS) / 1_000;
  }
  return 1.5 * through + 5;
}

/** Windows of four seconds in which more arrived from gateways that had been told than is allowed. */
export function findExcess(load: LimitLoad, { arrivals }: LimitOutcome): Excess[] {
  const counted = arrivals.filter(
    ({ atMs, wasTold, isExcused }) => wasTold && !isExcused && atMs >= NAMED_FROM_MS + CONTACT_MS,
  );
  return counted.flatMap(({ atMs }) => {
    const count = counted.filter(
      (other) => other.atMs >= atMs && other.atMs < atMs + WINDOW_MS,
    ).length;
    const allowed = allowedIn(load, atMs);
    return count > allowed ? [{ atMs, count, allowed }] : [];
  });
}
