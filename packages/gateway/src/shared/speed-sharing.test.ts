import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as speedSharing from './speed-sharing.js';
import * as statesModule from './upstream-states.js';

const test = suite('speed sharing');

const PERIOD_MS = 250;

function createGateway(gatewayId: string) {
  const states = statesModule.createUpstreamStates({ serviceOf: () => 's' });
  return { gatewayId, states, teller: speedSharing.createSpeedTeller(states) };
}

type Gateway = ReturnType<typeof createGateway>;

/** One question and its answer; returns what was told either way. */
function ask(asker: Gateway, pool: speedSharing.SpeedPool, nowMs: number, periodMs = PERIOD_MS) {
  const question = asker.teller.question(periodMs, nowMs);
  pool.heard(asker.gatewayId, question.speeds, nowMs);
  const answer = pool.newsFor(asker.gatewayId, question.known, periodMs, nowMs);
  asker.teller.answered(answer, nowMs);
  return { asked: question.speeds, answered: answer.speeds };
}

/** Answers of a quick and a slow upstream. */
function learn({ states }: Gateway, count: number): void {
  for (let index = 0; index < count; index += 1) {
    states.answered('quick', 100, 70, index);
    states.answered('slow', 100, 140, index);
  }
}

function word(momentFactor: number) {
  return { runningCount: 1, waitingCount: 0, slots: 8, momentFactor };
}

function slowness({ states }: Gateway, upstreamId: string, nowMs: number): number {
  return states.state(upstreamId, nowMs).slowness;
}

// Failure: a gateway that has just started takes slow upstreams for as quick as all others, for minutes.
test('a gateway without answers starts from what others have learnt', () => {
  const [holder, knowing, fresh] = ['g0', 'g1', 'g2'].map(createGateway) as [
    Gateway,
    Gateway,
    Gateway,
  ];
  const pool = speedSharing.createSpeedPool(holder.states, 1);
  learn(knowing, 60);
  ask(knowing, pool, 100);
  ask(fresh, pool, 100);
  assert.ok(slowness(fresh, 'slow', 100) > 1.1, `${slowness(fresh, 'slow', 100)}`);
  assert.ok(slowness(fresh, 'quick', 100) < 0.9, `${slowness(fresh, 'quick', 100)}`);
});

// Failure: a gateway hears its own figures back from the holder and takes them for those of others.
test('what a gateway has told itself is not taken for what others know', () => {
  const holder = createGateway('g0');
  const pool = speedSharing.createSpeedPool(holder.states, 1);
  const lone = createGateway('g1');
  learn(lone, 10);
  const before = slowness(lone, 'slow', 150);
  for (let nowMs = 150; nowMs < 2_000; nowMs += PERIOD_MS) ask(lone, pool, nowMs);
  assert.ok(before > 1.1 && Math.abs(slowness(lone, 'slow', 150) - before) < 0.01);
});

test('only changes are told, and no more of them than a message holds', () => {
  const holder = createGateway('g0');
  const pool = speedSharing.createSpeedPool(holder.states, 1);
  const asker = createGateway('g1');
  const ids = Array.from({ length: 30 }, (_, index) => `u${index}`);
  ids.forEach((id) => {
    for (let count = 0; count < 20; count += 1) asker.states.answered(id, 100, 100, count);
  });
  const first = ask(asker, pool, 100);
  assert.is(first.asked.length, speedSharing.SPEEDS_MAX);
  assert.is(first.answered.length, speedSharing.SPEEDS_MAX);
  for (let nowMs = 350; nowMs < 1_100; nowMs += PERIOD_MS) ask(asker, pool, nowMs);
  const last = ask(asker, pool, 1_200);
  assert.equal(last, { asked: [], answered: [] });
  const other = createGateway('g2');
  for (let nowMs = 1_200; nowMs < 2_000; nowMs += PERIOD_MS) ask(other, pool, nowMs);
  assert.equal(ask(other, pool, 2_000).answered, []);
});

// Failure: the holder changes, and what the new one has not heard is never told again.
test('a new holder is told everything, and told of by its own changes', () => {
  const [first, second, asker, fresh] = ['g0', 'g1', 'g2', 'g3'].map(createGateway) as [
    Gateway,
    Gateway,
    Gateway,
    Gateway,
  ];
  const pool = speedSharing.createSpeedPool(first.states, 1);
  learn(asker, 60);
  ask(asker, pool, 100);
  const next = speedSharing.createSpeedPool(second.states, 2);
  ask(asker, next, 400);
  ask(asker, next, 650);
  ask(fresh, next, 700);
  assert.ok(slowness(fresh, 'slow', 700) > 1.1);
});

// Failure: the holder no longer answers, and what others have shown is forgotten at once or stands for good.
test('while the holder is silent what others have shown fades', () => {
  const [holder, knowing, fresh] = ['g0', 'g1', 'g2'].map(createGateway) as [
    Gateway,
    Gateway,
    Gateway,
  ];
  const pool = speedSharing.createSpeedPool(holder.states, 1);
  learn(knowing, 60);
  ask(knowing, pool, 100);
  ask(fresh, pool, 100);
  // A question without an answer is told again with the next.
  learn(fresh, 40);
  assert.is(fresh.teller.question(PERIOD_MS, 200).speeds.length, 2);
  assert.is(fresh.teller.question(PERIOD_MS, 450).speeds.length, 2);
  const unheard = createGateway('g3');
  ask(unheard, pool, 500);
  assert.ok(slowness(unheard, 'slow', 3_000) > 1.1);
  assert.is(slowness(unheard, 'slow', 300_000), 1);
});

test('the figures of a gateway that has gone are dropped', () => {
  const [holder, gone, fresh] = ['g0', 'g1', 'g2'].map(createGateway) as [
    Gateway,
    Gateway,
    Gateway,
  ];
  const pool = speedSharing.createSpeedPool(holder.states, 1);
  learn(gone, 60);
  ask(gone, pool, 100);
  ask(fresh, pool, 12_000);
  assert.is(slowness(fresh, 'slow', 12_000), 1);
});

// Failure: a moment that has passed on its way makes others avoid an upstream that is sound again.
test('moments are told while they are young, and the return to the usual after them', () => {
  const [holder, near, far] = ['g0', 'g1', 'g2'].map(createGateway) as [Gateway, Gateway, Gateway];
  const pool = speedSharing.createSpeedPool(holder.states, 1);
  ask(far, pool, 900);
  near.states.told('u1', word(2.5), 950, 950);
  ask(near, pool, 1_000);
  ask(far, pool, 1_100);
  assert.ok(far.states.state('u1', 1_100).momentFactor > 2);
  assert.is(far.states.state('u1', 1_100).momentAgeMs, 150);
  near.states.told('u1', word(1), 1_200, 1_200);
  ask(near, pool, 1_250);
  ask(far, pool, 1_350);
  assert.is(far.states.state('u1', 1_350).momentFactor, 1);
  near.states.told('u1', word(2.5), 1_400, 1_400);
  ask(near, pool, 1_700);
  ask(far, pool, 1_750);
  assert.is(far.states.state('u1', 1_750).momentFactor, 1, 'too old when it could be told');
});

test('gateways that ask seldom tell no moments', () => {
  const holder = createGateway('g0');
  const pool = speedSharing.createSpeedPool(holder.states, 1);
  const asker = createGateway('g1');
  asker.states.told('u1', word(2.5), 950, 950);
  assert.equal(ask(asker, pool, 1_000, 500).asked, []);
});

test('nonsense from a peer is taken for nothing or cut', () => {
  const { states } = createGateway('g1');
  states.heard('u1', { slownessLog: 50, answerCount: 1e9 }, 0);
  assert.ok(states.state('u1', 0).slowness <= 3);
  states.heard('u2', { slownessLog: NaN, answerCount: 5 }, 0);
  assert.is(states.state('u2', 0).slowness, 1);
  states.heardMoment('u3', -3, 0, 10);
  states.heardMoment('u3', 2.5, 500, 10);
  assert.is(states.state('u3', 10).momentFactor, 1);
});

test.run();
