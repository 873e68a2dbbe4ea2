/** Gateways that admit for one organisation on a virtual clock, by way of what an enforcement of its quota gives. */
import type { randoms } from '@copperlever/runtime';

import * as quotaCredits from '../shared/quota-credits.js';
import * as quotaLedger from '../shared/quota-ledger.js';

const ORGANISATION = 'o1';
const STEP_MS = 10;
const EXCHANGE_MS = 250;
const MS_PER_SECOND = 1_000;

export type QuotaPolicy =
  /** Credits out of one ledger. */
  | 'credits'
  /** Each gateway has an equal part, and nobody is told anything. */
  | 'equal-parts'
  /** All requests come to one place, which knows everything: what the others are measured against. */
  | 'one-place';

export type QuotaLoad = {
  gatewayCount: number;
  /** The part of the requests that each gateway gets; drawn anew where left out. */
  weights: readonly number[];
  limit: quotaCredits.OrganisationLimit;
  meanCost: number;
  /** What callers ask for at a time, in units of cost per second. */
  askedPerSecond: (atMs: number) => number;
  /** Gateways that cannot reach the holder at a time. */
  isCut: (gateway: number, atMs: number) => boolean;
  /** All gateways restart at these times and have lost what they knew; so has the holder. */
  restartsMs: readonly number[];
  lengthMs: number;
};

export type Admitted = { atMs: number; cost: number };

export type QuotaOutcome = { admitted: readonly Admitted[]; asked: number; refused: number };

type Gateway = {
  credits: quotaCredits.QuotaCredits;
  nextExchangeMs: number;
};

function startGateways(load: QuotaLoad, random: randoms.Random, atMs: number): Gateway[] {
  return Array.from({ length: load.gatewayCount }, () => ({
    credits: quotaCredits.createQuotaCredits(() => load.gatewayCount, random),
    nextExchangeMs: atMs + random.below(EXCHANGE_MS),
  }));
}

function startLedger(load: QuotaLoad, term: number, startedMs: number): quotaLedger.QuotaLedger {
  return quotaLedger.createQuotaLedger({
    term,
    startedMs,
    limitOf: () => load.limit,
    gatewayCount: () => load.gatewayCount,
    silentAfterMs: quotaCredits.HOLDER_TIMEOUT_MS,
  });
}

function pickWeighted(random: randoms.Random, weights: readonly number[]): number {
  let rest = random.fraction() * weights.reduce((sum, weight) => sum + weight, 0);
  const at = weights.findIndex((weight) => {
    rest -= weight;
    return rest < 0;
  });
  return Math.max(0, at);
}

/** Costs are spread as prompts are: many small ones, few that are several times the mean. */
function drawCost(random: randoms.Random, meanCost: number): number {
  return Math.min(3, -Math.log(1 - random.fraction())) * meanCost;
}

type Fleet = { gateways: Gateway[]; ledger: quotaLedger.QuotaLedger; incarnation: number };

function startFleet(
  load: QuotaLoad,
  random: randoms.Random,
  incarnation: number,
  atMs: number,
): Fleet {
  return {
    gateways: startGateways(load, random, atMs),
    ledger: startLedger(load, incarnation, atMs),
    incarnation,
  };
}

function lendTo(
  { ledger, incarnation }: Fleet,
  index: number,
  report: quotaCredits.QuotaReport,
  nowMs: number,
): quotaCredits.QuotaLoan {
  return ledger.report({ gatewayId: `g${index}`, incarnation }, report, nowMs);
}

function exchangeDue(fleet: Fleet, load: QuotaLoad, nowMs: number): void {
  fleet.gateways.forEach((gateway, index) => {
    if (nowMs < gateway.nextExchangeMs) return;
    gateway.nextExchangeMs = nowMs + EXCHANGE_MS;
    if (load.isCut(index, nowMs)) return;
    const loan = lendTo(fleet, index, gateway.credits.report(nowMs), nowMs);
    gateway.credits.applyLoan(loan, nowMs);
  });
}

/** A request that waits for the holder's answer. */
type Waiting = {
  gateway: Gateway;
  index: number;
  cost: number;
  question: quotaCredits.QuotaReport;
};

/** Asks gateways on behalf of callers, and counts what becomes of it; the holder answers within a step. */
function createCallers(load: QuotaLoad) {
  const admitted: Admitted[] = [];
  const counts = { asked: 0, refused: 0 };
  let waiting: readonly Waiting[] = [];
  const note = (kind: 'admitted' | 'refused', cost: number, nowMs: number): void => {
    if (kind === 'admitted') admitted.push({ atMs: nowMs, cost });
    else counts.refused += cost;
  };
  const ask = (fleet: Fleet, index: number, cost: number, nowMs: number): void => {
    const gateway = fleet.gateways[index] as Gateway;
    const charge = { cost, isLate: false };
    const verdict = gateway.credits.take(ORGANISATION, load.limit, charge, nowMs);
    counts.asked += cost;
    if (verdict.kind === 'undecided') {
      const question = gateway.credits.reportFor(ORGANISATION);
      waiting = [...waiting, { gateway, index, cost, question }];
    } else note(verdict.kind, cost, nowMs);
  };
  const settleOne = (fleet: Fleet, { gateway, index, cost, question }: Waiting, nowMs: number) => {
    // Its gateway was killed, and its caller's connection with it.
    if (fleet.gateways[index] !== gateway) {
      note('refused', cost, nowMs);
      return;
    }
    const isCut = load.isCut(index, nowMs);
    if (!isCut) gateway.credits.applyLoan(lendTo(fleet, index, question, nowMs), nowMs);
    const answer = isCut ? 'silent' : 'answered';
    const verdict = gateway.credits.settle(ORGANISATION, load.limit, cost, answer, nowMs);
    note(verdict.kind, cost, nowMs);
  };
  const settle = (fleet: Fleet, nowMs: number): void => {
    const due = waiting;
    waiting = [];
    due.forEach((request) => settleOne(fleet, request, nowMs));
  };
  return { ask, settle, outcome: (): QuotaOutcome => ({ admitted, ...counts }) };
}

/** Requests in order, and each step of the clock before those that come in it. */
function forEachRequest(
  load: QuotaLoad,
  random: randoms.Random,
  take: (cost: number, nowMs: number) => void,
  step: (nowMs: number) => void = () => {},
): void {
  let untilNextMs = 0;
  for (let nowMs = 0; nowMs < load.lengthMs; nowMs += STEP_MS) {
    step(nowMs);
    const requestsPerMs = load.askedPerSecond(nowMs) / load.meanCost / MS_PER_SECOND;
    untilNextMs = requestsPerMs > 0 ? untilNextMs - STEP_MS : 0;
    for (; untilNextMs < 0;) {
      untilNextMs += -Math.log(1 - random.fraction()) / requestsPerMs;
      take(drawCost(random, load.meanCost), nowMs);
    }
  }
}

function playInOnePlace(load: QuotaLoad, random: randoms.Random): QuotaOutcome {
  const admitted: Admitted[] = [];
  let asked = 0;
  let refused = 0;
  let level = load.limit.capacity;
  let lastMs = 0;
  forEachRequest(load, random, (cost, nowMs) => {
    const gained = (load.limit.perSecond * (nowMs - lastMs)) / MS_PER_SECOND;
    level = Math.min(load.limit.capacity, level + gained);
    lastMs = nowMs;
    asked += cost;
    if (level >= cost / 2) {
      level -= cost;
      admitted.push({ atMs: nowMs, cost });
    } else refused += cost;
  });
  return { admitted, asked, refused };
}

function playAtGateways(
  load: QuotaLoad,
  policy: 'credits' | 'equal-parts',
  random: randoms.Random,
): QuotaOutcome {
  const callers = createCallers(load);
  let fleet = startFleet(load, random, 1, 0);
  const step = (nowMs: number): void => {
    if (load.restartsMs.includes(nowMs)) {
      const scarce = fleet.ledger.scarce();
      fleet = startFleet(load, random, fleet.incarnation + 1, nowMs);
      fleet.gateways.forEach(({ credits }) => credits.applyStored(scarce));
    }
    callers.settle(fleet, nowMs);
    if (policy === 'credits') exchangeDue(fleet, load, nowMs);
  };
  const take = (cost: number, nowMs: number): void => {
    callers.ask(fleet, pickWeighted(random, load.weights), cost, nowMs);
  };
  forEachRequest(load, random, take, step);
  return callers.outcome();
}

export function playQuota(
  load: QuotaLoad,
  policy: QuotaPolicy,
  random: randoms.Random,
): QuotaOutcome {
  switch (policy) {
    case 'credits':
    case 'equal-parts':
      return playAtGateways(load, policy, random);
    case 'one-place':
      return playInOnePlace(load, random);
  }
}

/** The most that was admitted in any window of that length. */
export function worstWindow(admitted: readonly Admitted[], windowMs: number): number {
  let first = 0;
  let total = 0;
  let worst = 0;
  admitted.forEach(({ atMs, cost }) => {
    total += cost;
    while (atMs - (admitted[first]?.atMs ?? atMs) > windowMs) {
      total -= admitted[first]?.cost ?? 0;
      first += 1;
    }
    worst = Math.max(worst, total);
  });
  return worst;
}
