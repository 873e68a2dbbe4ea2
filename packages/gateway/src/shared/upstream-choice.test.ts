import { createRandom } from '@copperlever/runtime/randoms';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as candidateFixtures from '../testing/candidates.js';
import * as serviceTimesModule from './service-times.js';
import * as upstreamHealthModule from './upstream-health.js';
import * as upstreamChoice from './upstream-choice.js';
import * as upstreamStates from './upstream-states.js';

const test = suite('upstream choice');

const PREFILL_MS_PER_TOKEN = 1 / 18;

/** Engines that prefill 18 tokens in a millisecond. */
const SERVICE_TIMES: serviceTimesModule.ServiceTimes = {
  baseMs: 30,
  msPerToken: PREFILL_MS_PER_TOKEN,
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
    serviceTimes: SERVICE_TIMES,
    plainServiceTime: null,
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

// Many requests in flight whose prompts are prefilled cost little; a few long pending prompts delay the first chunk by
// their whole prefill time.
test('pending prompts weigh more than requests in flight', () => {
  const busy = candidate('busy', { inFlightCount: 20 });
  const prefilling = candidate('reading', {
    inFlightCount: 2,
    prefillAheadMs: PREFILL_MS_PER_TOKEN * 12_000,
  });
  assert.is(idOf(choose([prefilling, busy])), 'busy');
});

// Guards against streams that begin where nobody could take them up, though another version has an equal and two copies.
test('a stream begins where a second upstream of its version could take it up, if that costs little', () => {
  const lone = candidate('lone');
  const peers = [
    candidate('one', { prefillAheadMs: 13 }),
    candidate('two', { prefillAheadMs: 13 }),
  ];
  const versions = ['v2', 'v1', 'v1'];
  assert.is(idOf(choose([lone, ...peers])), 'lone');
  const marked = upstreamChoice.withVersionPeers([lone, ...peers], versions);
  assert.is.not(idOf(choose(marked)), 'lone');
  const busy = peers.map((peer) => ({ ...peer, prefillAheadMs: 300 }));
  const withBusy = upstreamChoice.withVersionPeers([lone, ...busy], versions);
  assert.is(idOf(choose(withBusy)), 'lone');
});

test('copies that are alone at all versions, or of one version, are chosen among as before', () => {
  const all = [candidate('one'), candidate('two'), candidate('none', { copy: 'none' })];
  assert.is(upstreamChoice.withVersionPeers(all, ['v1', 'v2', 'v2']), all);
  assert.is(upstreamChoice.withVersionPeers(all, ['v1', 'v1', 'v2']), all);
});

test('a cached prompt attracts its requests until the queue there outweighs it', () => {
  const cached = candidate('cached', { cachedTokens: 1_400 });
  const other = candidate('other');
  assert.is(idOf(choose([other, cached])), 'cached');
  const queued = candidate('cached', {
    cachedTokens: 1_400,
    prefillAheadMs: PREFILL_MS_PER_TOKEN * 6_000,
  });
  assert.is(idOf(choose([other, queued])), 'other');
});

// An upstream that fails at once is always idle, and by load alone it would get every request.
test('an upstream that fails fast does not attract the traffic', () => {
  const tracker = upstreamHealthModule.createUpstreamHealthTracker();
  for (let count = 0; count < 6; count += 1) tracker.recordOutcome('grey', { kind: 'failed' }, 900);
  const grey = candidate('grey', { health: tracker.health('grey', 950) });
  const healthy = candidate('sound', {
    inFlightCount: 4,
    prefillAheadMs: PREFILL_MS_PER_TOKEN * 1_000,
  });
  assert.is(idOf(choose([grey, healthy])), 'sound');
});

// One upstream answered three seconds late, behind a prompt that another gateway had sent at the same time. It is idle
// again, while the other upstream has a second of prompts to prefill; if the delay were remembered for good, all
// requests would queue at the other one.
test('a late answer is forgotten once the upstream has had time to recover', () => {
  const tracker = upstreamHealthModule.createUpstreamHealthTracker();
  for (let count = 0; count < 8; count += 1) {
    tracker.recordOutcome('late', { kind: 'good', firstChunkMs: 3_300, predictedMs: 300 }, 1_000);
  }
  const queued = candidate('queued', { prefillAheadMs: PREFILL_MS_PER_TOKEN * 9_000 });
  const lateAt = (nowMs: number) => candidate('late', { health: tracker.health('late', nowMs) });
  const shorter = candidate('shorter', { prefillAheadMs: PREFILL_MS_PER_TOKEN * 2_000 });
  assert.is(idOf(choose([lateAt(1_000), shorter])), 'shorter');
  assert.is(idOf(choose([lateAt(4_000), queued])), 'late');
});

test('an upstream that answers nothing is avoided, and used when no other is left', () => {
  const tracker = upstreamHealthModule.createUpstreamHealthTracker();
  tracker.recordOutcome('dark', { kind: 'broken' }, 900);
  tracker.recordOutcome('dark', { kind: 'broken' }, 900);
  const dark = candidate('dark', { health: tracker.health('dark', 950) });
  const loaded = candidate('loaded', {
    inFlightCount: 30,
    prefillAheadMs: PREFILL_MS_PER_TOKEN * 20_000,
  });
  assert.is(idOf(choose([dark, loaded], { queueLimitMs: 60_000 })), 'loaded');
  assert.is(idOf(choose([dark])), 'dark');
});

// Under saturation the first chunk would come after the caller has left. The request is refused at once, not held.
test('a wait beyond the queue limit is refused at once, with the predicted time', () => {
  const full = candidate('full', { prefillAheadMs: PREFILL_MS_PER_TOKEN * 60_000 });
  const choice = choose([full]);
  assert.ok(choice.kind === 'overloaded' && choice.predictedMs > 3_000);
});

// Upstreams have become slow, and a long prompt takes longer than its limit although nothing waits there. Refusing it
// would leave the upstream idle and the caller without an answer.
test('a request that does not queue is sent however long it takes', () => {
  const idle = candidate('idle');
  assert.is(idOf(choose([idle], { promptTokens: 30_000, queueLimitMs: 300 })), 'idle');
  const queued = candidate('queued', { prefillAheadMs: PREFILL_MS_PER_TOKEN * 6_000 });
  assert.is(idOf(choose([queued], { queueLimitMs: 300 })), 'overloaded');
});

test('an adapter is loaded where it saves a long queue, but not a short one', () => {
  const holding = candidate('holding', { prefillAheadMs: PREFILL_MS_PER_TOKEN * 900 });
  const free = candidate('free', { copy: 'no-adapter' });
  assert.is(idOf(choose([holding, free])), 'holding');
  const queued = candidate('holding', { prefillAheadMs: PREFILL_MS_PER_TOKEN * 6_000 });
  const choice = choose([queued, free]);
  assert.ok(choice.kind === 'send' && choice.upstreamId === 'free' && choice.needsAdapter);
});

test('while every copy is blocked the result gives the time until one is not', () => {
  const blocked = [
    candidate('a', { copy: 'blocked', blockedForMs: 4_000 }),
    candidate('b', { copy: 'blocked', blockedForMs: 700 }),
    candidate('c', { copy: 'none' }),
  ];
  assert.equal(choose(blocked), { kind: 'adapter-blocked', forMs: 700 });
  assert.equal(choose([candidate('c', { copy: 'none' })]), { kind: 'model-missing' });
  assert.equal(choose([]), { kind: 'no-upstream' });
});

// A burst of short calls on three upstreams with six slots each: they have to be spread evenly, or one queues while
// others idle.
test('a burst of plain calls spreads over all slots', () => {
  const counts = new Map([
    ['a', 0],
    ['b', 0],
    ['c', 0],
  ]);
  for (let call = 0; call < 18; call += 1) {
    const candidates = [...counts].map(([id, inFlightCount]) =>
      candidate(id, { slots: 6, inFlightCount, localInFlightCount: inFlightCount }),
    );
    const id = idOf(choose(candidates, { kind: 'plain', promptTokens: 0 }));
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  assert.equal([...counts.values()], [6, 6, 6]);
});

// Calls take two milliseconds at the known upstreams. One that has just joined and has answered none yet must not be
// expected to be slower, or it idles beside their queues.
test('an upstream without an answer yet is expected to be as fast as the others', () => {
  const tracker = upstreamHealthModule.createUpstreamHealthTracker();
  tracker.recordOutcome('known', { kind: 'good', firstChunkMs: 2, predictedMs: 2 }, 900);
  const loaded = candidate('known', {
    health: tracker.health('known', 950),
    inFlightCount: 6,
    slots: 8,
  });
  const joined = candidate('joined', { slots: 8 });
  assert.is(idOf(choose([loaded, joined], { kind: 'plain' })), 'joined');
});

const knownState = (latencyRatio: number, transientFactor = 1) => ({
  ...upstreamStates.UNKNOWN_STATE,
  latencyRatio,
  transientFactor,
});

// Guards against equal predictions for upstreams that differ in speed by two or three times, with which the slow ones
// get as many prompts as the fast ones.
test('a fast upstream is chosen until its queue outweighs its speed', () => {
  const slow = candidate('slow', { state: knownState(1.6) });
  const quick = candidate('quick', { state: knownState(0.6) });
  assert.is(idOf(choose([slow, quick])), 'quick');
  const queued = (tokens: number) => ({ ...quick, prefillAheadMs: PREFILL_MS_PER_TOKEN * tokens });
  assert.is(idOf(choose([slow, queued(1_500)])), 'quick');
  assert.is(idOf(choose([slow, queued(4_500)])), 'slow');
});

test('a disturbed upstream is avoided unless it is the only one', () => {
  const disturbed = candidate('disturbed', { state: knownState(1, 2.5) });
  assert.is(idOf(choose([disturbed, candidate('usual')])), 'usual');
  assert.is(idOf(choose([disturbed])), 'disturbed');
});

// Guards against an absurd factor that makes any queue at its upstream look endless.
test('a factor adds to a prediction only within the transient horizon', () => {
  const predictedMs = (transientFactor: number, tokens: number) => {
    const state = knownState(1, transientFactor);
    const choice = choose([candidate('u', { state })], { promptTokens: tokens });
    return choice.kind === 'send' ? choice.predictedMs : NaN;
  };
  assert.ok(predictedMs(10, 18_000) - predictedMs(1, 18_000) < 600);
  assert.ok(predictedMs(10, 100) > 3 * predictedMs(1, 100));
});

test('queue limits are compared with the prediction for the upstream itself', () => {
  const queued = (latencyRatio: number) =>
    candidate('u', { prefillAheadMs: 100, inFlightCount: 5, state: knownState(latencyRatio) });
  assert.is(idOf(choose([queued(1)], { queueLimitMs: 250 })), 'u');
  assert.is(idOf(choose([queued(1.6)], { queueLimitMs: 250 })), 'overloaded');
});

// Guards against a setting that excludes speeds from the choice only in part.
test('without states uneven upstreams are treated as equal', () => {
  const states = upstreamStates.createUpstreamStates({ serviceOf: () => 's' });
  for (let nowMs = 0; nowMs < 100; nowMs += 1) {
    states.recordFirstChunk('slow', 100, 190, nowMs);
    states.recordFirstChunk('quick', 100, 60, nowMs);
  }
  const signal = { runningCount: 0, waitingCount: 0, slots: 8, transientFactor: 2.5 };
  states.applyLoadSignal('slow', signal, 100, 100);
  const upstreams = (setting: 'on' | 'off') => {
    const inUse = upstreamStates.forChoice(setting, states);
    const of = (id: string, readAheadMs: number) =>
      candidate(id, { prefillAheadMs: readAheadMs, preference: 0.9, state: inUse.state(id, 100) });
    return [of('quick', 30), of('slow', 0)];
  };
  assert.is(idOf(choose(upstreams('on'))), 'quick');
  const choice = choose(upstreams('off'));
  assert.ok(choice.kind === 'send' && choice.upstreamId === 'slow');
  assert.is(
    choice.predictedMs,
    serviceTimesModule.predictFirstChunkMs(SERVICE_TIMES, choice.predictionInputs),
  );
  assert.is(choice.predictedMs, choice.baselinePredictedMs);
});

// Guards against a change in behaviour for deployments whose upstreams do not report transient factors.
test('with auto, speeds count only where an upstream of the service reports transient factors', () => {
  const states = upstreamStates.createUpstreamStates({ serviceOf: (id) => id.slice(0, 1) });
  const signal = { runningCount: 1, waitingCount: 0, slots: 8, transientFactor: null };
  states.applyLoadSignal('a1', signal, 0, 0);
  const inUse = upstreamStates.forChoice('auto', states);
  for (let nowMs = 0; nowMs < 100; nowMs += 1) inUse.recordFirstChunk('a1', 100, 190, nowMs);
  assert.equal(inUse.state('a1', 100), upstreamStates.UNKNOWN_STATE);
  assert.is(states.state('a1', 100).latencyRatio, 1);
  states.applyLoadSignal('b1', { ...signal, transientFactor: 2.5 }, 100, 100);
  assert.is(inUse.state('b1', 100).transientFactor, 2.5);
  assert.equal(inUse.state('a1', 100), upstreamStates.UNKNOWN_STATE);
});

// Guards against gateways that all know the same upstreams to be fast, and send to the same one between two updates.
test('among uneven upstreams each gateway has its own preference, which any queue outweighs', () => {
  const slow = candidate('slow', { state: knownState(1.6) });
  const quick = (id: string, preference: number, readAheadMs = 0) =>
    candidate(id, { preference, prefillAheadMs: readAheadMs, state: knownState(0.6) });
  assert.is(idOf(choose([slow, quick('a', 0.9), quick('b', 0.1)])), 'b');
  assert.is(idOf(choose([slow, quick('a', 0.1), quick('b', 0.9)])), 'a');
  assert.is(idOf(choose([slow, quick('a', 0.1, 150), quick('b', 0.9)])), 'b');
});

test('preferences do not apply to plain calls', () => {
  const of = (id: string, preference: number, inFlightCount: number, transientFactor: number) =>
    candidate(id, { preference, slots: 6, inFlightCount, state: knownState(1, transientFactor) });
  const candidates = [of('a', 0, 2, 1), of('b', 1, 1, 1), of('c', 0, 5, 2.5)];
  assert.is(idOf(choose(candidates, { kind: 'plain', promptTokens: 0 })), 'b');
});

test.run();
