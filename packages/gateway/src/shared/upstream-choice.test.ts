import { createRandom } from '@copperlever/runtime/randoms';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as candidateFixtures from '../testing/candidates.js';
import * as pacesModule from './paces.js';
import * as beliefsModule from './upstream-beliefs.js';
import * as upstreamChoice from './upstream-choice.js';
import * as upstreamStates from './upstream-states.js';

const test = suite('upstream choice');

const READ_MS_PER_TOKEN = 1 / 18;

/** Engines that read 18 tokens in a millisecond. */
const PACE: pacesModule.Pace = {
  baseMs: 30,
  msPerToken: READ_MS_PER_TOKEN,
  aheadShare: 1,
  slotWaitShare: 1,
  msPerRequest: 0.05,
  holdMs: 1_500,
  promptTokens: 1_500,
  sampleCount: 100,
  atMs: 0,
};

const SLOTS = 32;

function candidate(upstreamId: string, overrides: Partial<upstreamChoice.Candidate> = {}) {
  return candidateFixtures.createCandidate(upstreamId, SLOTS, overrides);
}

function choose(
  candidates: readonly upstreamChoice.Candidate[],
  overrides: Partial<upstreamChoice.ChoiceRequest> = {},
) {
  const request: upstreamChoice.ChoiceRequest = {
    kind: 'model',
    promptTokens: 1_500,
    pace: PACE,
    plainTime: null,
    room: 'any',
    localFailureDomain: 'north',
    excludedIds: new Set(),
    queueLimitMs: 1_600,
    ...overrides,
  };
  return upstreamChoice.chooseUpstream(request, candidates, 1_000, createRandom(5).fraction);
}

function idOf(choice: upstreamChoice.Choice): string {
  return choice.kind === 'send' ? choice.upstreamId : choice.kind;
}

// Many requests in flight that have long been read cost little; a few long prompts still to be read delay
// the first piece by their whole reading time.
test('unread prompts weigh more than requests in flight', () => {
  const busy = candidate('busy', { inFlightCount: 20 });
  const reading = candidate('reading', {
    inFlightCount: 2,
    readAheadMs: READ_MS_PER_TOKEN * 12_000,
  });
  assert.is(idOf(choose([reading, busy])), 'busy');
});

test('a cached prompt draws its requests until the queue there outweighs it', () => {
  const cached = candidate('cached', { cachedTokens: 1_400 });
  const other = candidate('other');
  assert.is(idOf(choose([other, cached])), 'cached');
  const queued = candidate('cached', {
    cachedTokens: 1_400,
    readAheadMs: READ_MS_PER_TOKEN * 6_000,
  });
  assert.is(idOf(choose([other, queued])), 'other');
});

// An upstream that fails at once is always idle, and by load alone it would get every request.
test('one that fails fast does not draw the traffic', () => {
  const beliefs = beliefsModule.createUpstreamBeliefs();
  for (let count = 0; count < 6; count += 1) beliefs.ended('grey', { kind: 'failed' }, 900);
  const grey = candidate('grey', { belief: beliefs.belief('grey', 950) });
  const sound = candidate('sound', { inFlightCount: 4, readAheadMs: READ_MS_PER_TOKEN * 1_000 });
  assert.is(idOf(choose([grey, sound])), 'sound');
});

// One answer came three seconds late, behind a prompt that crossed it. The upstream is idle again, and beside it
// another has a second of prompts to read; were the late answer remembered for good, all would queue there.
test('a late answer is forgotten once the upstream has had time to recover', () => {
  const beliefs = beliefsModule.createUpstreamBeliefs();
  for (let count = 0; count < 8; count += 1) {
    beliefs.ended('late', { kind: 'good', firstPieceMs: 3_300, predictedMs: 300 }, 1_000);
  }
  const queued = candidate('queued', { readAheadMs: READ_MS_PER_TOKEN * 9_000 });
  const lateAt = (nowMs: number) => candidate('late', { belief: beliefs.belief('late', nowMs) });
  const shorter = candidate('shorter', { readAheadMs: READ_MS_PER_TOKEN * 2_000 });
  assert.is(idOf(choose([lateAt(1_000), shorter])), 'shorter');
  assert.is(idOf(choose([lateAt(4_000), queued])), 'late');
});

test('a dark one gets single probes, and is used when nothing else is left', () => {
  const beliefs = beliefsModule.createUpstreamBeliefs();
  beliefs.ended('dark', { kind: 'broken' }, 900);
  beliefs.ended('dark', { kind: 'broken' }, 900);
  const dark = candidate('dark', { belief: beliefs.belief('dark', 950) });
  const loaded = candidate('loaded', {
    inFlightCount: 30,
    readAheadMs: READ_MS_PER_TOKEN * 20_000,
  });
  assert.is(idOf(choose([dark, loaded], { queueLimitMs: 60_000 })), 'loaded');
  assert.is(idOf(choose([dark])), 'dark');
});

// Saturation: the first piece would come after the caller has left. It is told at once, not held.
test('a wait beyond the patience is refused at once, with the predicted time', () => {
  const full = candidate('full', { readAheadMs: READ_MS_PER_TOKEN * 60_000 });
  const choice = choose([full]);
  assert.ok(choice.kind === 'overloaded' && choice.predictedMs > 3_000);
});

// Upstreams have turned slow, and a long prompt takes longer than its limit although nothing waits there. To refuse
// it would leave the upstream idle and the caller with nothing.
test('what waits for nobody is sent however long it takes', () => {
  const idle = candidate('idle');
  assert.is(idOf(choose([idle], { promptTokens: 30_000, queueLimitMs: 300 })), 'idle');
  const queued = candidate('queued', { readAheadMs: READ_MS_PER_TOKEN * 6_000 });
  assert.is(idOf(choose([queued], { queueLimitMs: 300 })), 'overloaded');
});

test('an adapter is brought where the queues are shorter, not beside a short one', () => {
  const holding = candidate('holding', { readAheadMs: READ_MS_PER_TOKEN * 900 });
  const free = candidate('free', { copy: 'no-adapter' });
  assert.is(idOf(choose([holding, free])), 'holding');
  const queued = candidate('holding', { readAheadMs: READ_MS_PER_TOKEN * 6_000 });
  const choice = choose([queued, free]);
  assert.ok(choice.kind === 'send' && choice.upstreamId === 'free' && choice.needsAdapter);
});

test('while every copy is blocked the caller learns for how long', () => {
  const blocked = [
    candidate('a', { copy: 'blocked', blockedForMs: 4_000 }),
    candidate('b', { copy: 'blocked', blockedForMs: 700 }),
    candidate('c', { copy: 'none' }),
  ];
  assert.equal(choose(blocked), { kind: 'adapter-blocked', forMs: 700 });
  assert.equal(choose([candidate('c', { copy: 'none' })]), { kind: 'model-missing' });
  assert.equal(choose([]), { kind: 'no-upstream' });
});

// A burst of short calls on three upstreams with six slots each: they have to be spread evenly, or one
// queues while others idle.
test('a burst of plain calls spreads over all slots', () => {
  const counts = new Map([
    ['a', 0],
    ['b', 0],
    ['c', 0],
  ]);
  for (let call = 0; call < 18; call += 1) {
    const candidates = [...counts].map(([id, inFlightCount]) =>
      candidate(id, { slots: 6, inFlightCount, ownInFlightCount: inFlightCount }),
    );
    const id = idOf(choose(candidates, { kind: 'plain', promptTokens: 0 }));
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  assert.equal([...counts.values()], [6, 6, 6]);
});

// Calls take two milliseconds at the upstreams that are known. One that has just joined and has answered none yet
// must not be taken for slower than they are, or it idles beside their queues.
test('an upstream without an answer yet is expected to be as quick as the others', () => {
  const beliefs = beliefsModule.createUpstreamBeliefs();
  beliefs.ended('known', { kind: 'good', firstPieceMs: 2, predictedMs: 2 }, 900);
  const known = candidate('known', {
    belief: beliefs.belief('known', 950),
    inFlightCount: 6,
    slots: 8,
  });
  const joined = candidate('joined', { slots: 8 });
  assert.is(idOf(choose([known, joined], { kind: 'plain' })), 'joined');
});

const known = (slowness: number, momentFactor = 1) => ({
  ...upstreamStates.UNKNOWN_STATE,
  slowness,
  momentFactor,
});

// Failure: upstreams that differ in speed by two or three times get the same predictions, and the slow ones as many
// prompts as the quick ones.
test('a quick upstream is chosen until its queue outweighs its speed', () => {
  const slow = candidate('slow', { state: known(1.6) });
  const quick = candidate('quick', { state: known(0.6) });
  assert.is(idOf(choose([slow, quick])), 'quick');
  const queued = (tokens: number) => ({ ...quick, readAheadMs: READ_MS_PER_TOKEN * tokens });
  assert.is(idOf(choose([slow, queued(1_500)])), 'quick');
  assert.is(idOf(choose([slow, queued(4_500)])), 'slow');
});

test('a disturbed upstream is passed over, and not when it is all there is', () => {
  const disturbed = candidate('disturbed', { state: known(1, 2.5) });
  assert.is(idOf(choose([disturbed, candidate('usual')])), 'usual');
  assert.is(idOf(choose([disturbed])), 'disturbed');
});

// Failure: a nonsensical factor makes any queue at its upstream look endless.
test('a factor adds to a prediction for no longer than a moment lasts', () => {
  const predictedMs = (momentFactor: number, tokens: number) => {
    const state = known(1, momentFactor);
    const choice = choose([candidate('u', { state })], { promptTokens: tokens });
    return choice.kind === 'send' ? choice.predictedMs : NaN;
  };
  assert.ok(predictedMs(10, 18_000) - predictedMs(1, 18_000) < 600);
  assert.ok(predictedMs(10, 100) > 3 * predictedMs(1, 100));
});

test('queue limits are compared with what the upstream itself takes', () => {
  const queued = (slowness: number) =>
    candidate('u', { readAheadMs: 100, inFlightCount: 5, state: known(slowness) });
  assert.is(idOf(choose([queued(1)], { queueLimitMs: 250 })), 'u');
  assert.is(idOf(choose([queued(1.6)], { queueLimitMs: 250 })), 'overloaded');
});

// Failure: the setting that takes speeds out of the choice leaves a part of them in.
test('without states uneven upstreams are chosen as if they were alike', () => {
  const states = upstreamStates.createUpstreamStates({ serviceOf: () => 's' });
  for (let nowMs = 0; nowMs < 100; nowMs += 1) {
    states.answered('slow', 100, 190, nowMs);
    states.answered('quick', 100, 60, nowMs);
  }
  const word = { runningCount: 0, waitingCount: 0, slots: 8, momentFactor: 2.5 };
  states.told('slow', word, 100, 100);
  const upstreams = (setting: 'on' | 'off') => {
    const inUse = upstreamStates.forChoice(setting, states);
    const of = (id: string, readAheadMs: number) =>
      candidate(id, { readAheadMs, preference: 0.9, state: inUse.state(id, 100) });
    return [of('quick', 30), of('slow', 0)];
  };
  assert.is(idOf(choose(upstreams('on'))), 'quick');
  const choice = choose(upstreams('off'));
  assert.ok(choice.kind === 'send' && choice.upstreamId === 'slow');
  assert.is(choice.predictedMs, pacesModule.firstPieceMs(PACE, choice.work));
  assert.is(choice.predictedMs, choice.usualPredictedMs);
});

// Failure: a deployment whose upstreams do not tell of their machines is served in another way than before.
test('with auto speeds count only where an upstream of the service tells how long work takes at the moment', () => {
  const states = upstreamStates.createUpstreamStates({ serviceOf: (id) => id.slice(0, 1) });
  const word = { runningCount: 1, waitingCount: 0, slots: 8, momentFactor: null };
  states.told('a1', word, 0, 0);
  const inUse = upstreamStates.forChoice('auto', states);
  for (let nowMs = 0; nowMs < 100; nowMs += 1) inUse.answered('a1', 100, 190, nowMs);
  assert.equal(inUse.state('a1', 100), upstreamStates.UNKNOWN_STATE);
  assert.is(states.state('a1', 100).slowness, 1);
  states.told('b1', { ...word, momentFactor: 2.5 }, 100, 100);
  assert.is(inUse.state('b1', 100).momentFactor, 2.5);
  assert.equal(inUse.state('a1', 100), upstreamStates.UNKNOWN_STATE);
});

// Failure: all gateways know the same upstreams to be quick, and send to the same one of them between two news.
test('among uneven upstreams each gateway has its own preference, which no queue is worth', () => {
  const slow = candidate('slow', { state: known(1.6) });
  const quick = (id: string, preference: number, readAheadMs = 0) =>
    candidate(id, { preference, readAheadMs, state: known(0.6) });
  assert.is(idOf(choose([slow, quick('a', 0.9), quick('b', 0.1)])), 'b');
  assert.is(idOf(choose([slow, quick('a', 0.1), quick('b', 0.9)])), 'a');
  assert.is(idOf(choose([slow, quick('a', 0.1, 150), quick('b', 0.9)])), 'b');
});

test('plain calls know no preference', () => {
  const of = (id: string, preference: number, inFlightCount: number, momentFactor: number) =>
    candidate(id, { preference, slots: 6, inFlightCount, state: known(1, momentFactor) });
  const candidates = [of('a', 0, 2, 1), of('b', 1, 1, 1), of('c', 0, 5, 2.5)];
  assert.is(idOf(choose(candidates, { kind: 'plain', promptTokens: 0 })), 'b');
});

test.run();
