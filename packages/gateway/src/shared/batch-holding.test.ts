import { createRandom } from '@copperlever/runtime/randoms';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as scarcityFleet from '../testing/scarcity-fleet.js';
import * as batchHolding from './batch-holding.js';

const test = suite('batch holding');

const GROUP = 's m';
const NO_ROOM = { room: 0, gatewayCount: 1 };

function heldRequest(key: string, latestStartMs: number, sizeBytes = 10): batchHolding.HeldRequest {
  return { key, group: GROUP, latestStartMs, sizeBytes };
}

function keysOf(releases: readonly batchHolding.Release[]): string[] {
  return releases.map(({ key }) => key);
}

function upstreamLoad(
  overrides: Partial<batchHolding.UpstreamLoad> = {},
): batchHolding.UpstreamLoad {
  return {
    slots: 48,
    inFlightCount: 10,
    moreUrgentCount: 8,
    unreadMs: 0,
    ownPrefillMs: 100,
    ...overrides,
  };
}

test('nothing is held where the upstreams have no more urgent requests', () => {
  const full = upstreamLoad({ inFlightCount: 48, moreUrgentCount: 0, unreadMs: 900 });
  const room = batchHolding.totalRoom([full, full]);
  const holding = batchHolding.createBatchHolding();
  assert.is(holding.decideArrival(heldRequest('a', 4_000), { room, gatewayCount: 3 }, 0), 'send');
});

test('there is no room where the last slots or the next prefill would be taken from urgent requests', () => {
  assert.ok(batchHolding.roomAt(upstreamLoad()) >= 1);
  assert.is(batchHolding.roomAt(upstreamLoad({ inFlightCount: 46 })), 0);
  assert.is(batchHolding.roomAt(upstreamLoad({ unreadMs: 150 })), 0);
  // A prompt that takes longer to prefill than the limit is admitted where no other prompt is pending.
  assert.ok(batchHolding.roomAt(upstreamLoad({ ownPrefillMs: 2_000 })) >= 1);
  assert.is(batchHolding.roomAt(upstreamLoad({ ownPrefillMs: 2_000, unreadMs: 1 })), 0);
});

test('requests are sent in the order of their latest starts, as many as there is room for', () => {
  const holding = batchHolding.createBatchHolding();
  holding.decideArrival(heldRequest('late', 5_000), NO_ROOM, 0);
  holding.decideArrival(heldRequest('early', 2_000), NO_ROOM, 0);
  holding.decideArrival(heldRequest('middle', 3_000), NO_ROOM, 0);
  assert.equal(holding.releaseDue(GROUP, NO_ROOM, 100), []);
  const room = { room: 2, gatewayCount: 1 };
  const sent = [400, 500, 600, 700, 800].flatMap((nowMs) => holding.releaseDue(GROUP, room, nowMs));
  assert.equal(keysOf(sent).slice(0, 2), ['early', 'middle']);
});

// Upstreams become free, and all gateways learn of it at the same time. If they did not divide the room, all would
// send at once what only one of them has room for.
test('gateways divide the room that all of them see', () => {
  const gateways = Array.from({ length: 30 }, () => batchHolding.createBatchHolding());
  gateways.forEach((holding) => {
    for (let index = 0; index < 20; index += 1) {
      holding.decideArrival(heldRequest(String(index), 60_000 + index), NO_ROOM, 0);
    }
    holding.releaseDue(GROUP, NO_ROOM, 0);
  });
  const room = { room: 45, gatewayCount: 30 };
  const sentCounts = [50, 100, 150, 200, 250, 300].flatMap((nowMs) =>
    gateways.map((holding) => holding.releaseDue(GROUP, room, nowMs).length),
  );
  const sentCount = sentCounts.reduce((sum, count) => sum + count, 0);
  assert.ok(sentCount > 0 && sentCount <= 45, `${sentCount}`);
});

// Under urgent load that never ends, batch requests would wait until their callers leave if they had no latest start.
test('a held request is released at its latest start whatever room there is', () => {
  const holding = batchHolding.createBatchHolding();
  holding.decideArrival(heldRequest('a', 2_000), NO_ROOM, 0);
  assert.equal(holding.releaseDue(GROUP, NO_ROOM, 1_999), []);
  assert.equal(holding.releaseDue(GROUP, NO_ROOM, 2_000), [{ key: 'a', cause: 'latest-start' }]);
  assert.is(holding.count(), 0);
  assert.is(holding.decideArrival(heldRequest('b', 2_000), NO_ROOM, 2_000), 'send');
});

test('a request that arrives while others are held is queued behind those with an earlier latest start', () => {
  const holding = batchHolding.createBatchHolding();
  holding.decideArrival(heldRequest('a', 2_000), NO_ROOM, 0);
  const room = { room: 1, gatewayCount: 1 };
  assert.is(holding.decideArrival(heldRequest('b', 3_000), room, 400), 'hold');
  assert.is(holding.first(GROUP), 'a');
});

test('the latest start reserves time for the answer, also where predictions exceed the objective', () => {
  const input = {
    arrivedAtMs: 1_000,
    elapsedBeforeMs: 0,
    deadlineMs: 21_000,
    latencyObjectiveMs: 6_000,
    answerMs: 500,
  };
  const usualMs = batchHolding.latestStartMs(input);
  assert.ok(usualMs > 3_000 && usualMs + 500 < 7_000, `${usualMs}`);
  assert.ok(batchHolding.latestStartMs({ ...input, answerMs: 9_000 }) > 3_000);
  // A request that comes late already, or whose caller is about to leave, is not held.
  assert.ok(batchHolding.latestStartMs({ ...input, elapsedBeforeMs: 6_000 }) < 1_000);
  assert.ok(batchHolding.latestStartMs({ ...input, deadlineMs: 1_500 }) < 1_000);
});

test('memory is bounded by requests and by bytes, and freed when callers leave', () => {
  const holding = batchHolding.createBatchHolding({ requestsMax: 3, bytesMax: 100 });
  assert.is(holding.decideArrival(heldRequest('a', 2_000, 60), NO_ROOM, 0), 'hold');
  assert.is(holding.decideArrival(heldRequest('b', 2_000, 60), NO_ROOM, 0), 'full');
  assert.is(holding.decideArrival(heldRequest('c', 2_000, 20), NO_ROOM, 0), 'hold');
  assert.is(holding.decideArrival(heldRequest('d', 2_000, 10), NO_ROOM, 0), 'hold');
  assert.is(holding.decideArrival(heldRequest('e', 2_000, 1), NO_ROOM, 0), 'full');
  holding.withdraw('a');
  holding.withdraw('a');
  assert.is(holding.decideArrival(heldRequest('f', 2_000, 60), NO_ROOM, 0), 'hold');
  assert.is(holding.count(), 3);
});

test('stopping the gateway releases all held requests', () => {
  const holding = batchHolding.createBatchHolding();
  holding.decideArrival(heldRequest('a', 2_000), NO_ROOM, 0);
  holding.decideArrival({ ...heldRequest('b', 2_000), group: 's other' }, NO_ROOM, 0);
  assert.equal(keysOf(holding.releaseAll()).sort(), ['a', 'b']);
  assert.is(holding.count(), 0);
  assert.equal(holding.groups(), []);
});

/** Requests arrive and callers leave at random while the room changes. Returns the faults found. */
function simulateRandomly(seed: number) {
  const random = createRandom(seed);
  const limits = { requestsMax: 20, bytesMax: 4_000 };
  const holding = batchHolding.createBatchHolding(limits);
  const held = new Map<string, batchHolding.HeldRequest>();
  const faults: string[] = [];
  let room = 0;

  function release(nowMs: number, { key, cause }: batchHolding.Release): void {
    const request = held.get(key);
    if (request === undefined) faults.push(`${key} released twice, or after its caller left`);
    else if (nowMs > request.latestStartMs + 50) faults.push(`${key} released too late`);
    else if (cause === 'latest-start' && nowMs < request.latestStartMs)
      faults.push(`${key} released too early`);
    held.delete(key);
  }

  function arrive(nowMs: number): void {
    const key = String(nowMs);
    const latestStartMs = nowMs + random.below(5_000);
    const group = `s m${random.below(3)}`;
    const request = { key, group, latestStartMs, sizeBytes: random.below(600) };
    const decision = holding.decideArrival(request, { room, gatewayCount: 3 }, nowMs);
    if (decision === 'hold') held.set(key, request);
  }

  for (let nowMs = 0; nowMs < 60_000; nowMs += 50) {
    if (random.below(40) === 0) room = random.below(3) * random.below(10);
    if (random.below(3) > 0) arrive(nowMs);
    const [leaving] = held.keys();
    if (leaving !== undefined && random.below(20) === 0) {
      holding.withdraw(leaving);
      held.delete(leaving);
    }
    const capacity = { room, gatewayCount: 3 };
    const releases = holding
      .groups()
      .flatMap((group) => holding.releaseDue(group, capacity, nowMs));
    releases.forEach((one) => release(nowMs, one));
    const bytes = [...held.values()].reduce((sum, { sizeBytes }) => sum + sizeBytes, 0);
    if (held.size > limits.requestsMax || bytes > limits.bytesMax)
      faults.push('memory limits exceeded');
    if (holding.count() !== held.size) faults.push('a request was lost');
  }
  return faults;
}

test('under random load, each held request is released once and by its latest start, within the memory limits', () => {
  for (let seed = 1; seed <= 20; seed += 1)
    assert.equal(simulateRandomly(seed), [], `seed ${seed}`);
});

const SEEDS = [1, 2, 3, 4];

/** Sums over seeds. The same requests are sent with and without holding. */
function simulate(holdsBatch: boolean, promptTokens: number, outputTokens: number) {
  const outcomes = SEEDS.map((seed) =>
    scarcityFleet.playScarcity(
      {
        gatewayCount: 4,
        upstreamCount: 4,
        slots: 48,
        classes: scarcityFleet.threeClasses(promptTokens, outputTokens),
        demandAt: scarcityFleet.wavesAndBursts,
        lengthMs: 60_000,
        holdsBatch,
        spreadsReturns: false,
        ordersClasses: false,
        sharesFairly: false,
      },
      seed,
    ),
  );
  const shareOf = (name: string, key: Exclude<keyof scarcityFleet.ClassOutcome, 'asked'>) => {
    const classes = outcomes.map(({ classes: byName }) => byName[name]);
    const asked = classes.reduce((sum, of) => sum + (of?.asked ?? 0), 0);
    return classes.reduce((sum, of) => sum + (of?.[key] ?? 0), 0) / asked;
  };
  const sharesOf = (name: string) => ({
    inTime: shareOf(name, 'inTime'),
    refusedOnce: shareOf(name, 'refusedOnce'),
    served: shareOf(name, 'inTime') + shareOf(name, 'late'),
  });
  return {
    urgent: sharesOf('urgent'),
    standard: sharesOf('standard'),
    batch: sharesOf('batch'),
    longestHeldMs: Math.max(...outcomes.map(({ longestHeldMs }) => longestHeldMs)),
  };
}

// Waves and bursts exceed the capacity. Without holding, batch requests are prefilled and run at the peak while
// urgent ones are refused.
test('in waves beyond the capacity, fewer urgent requests are refused and batch work is in time', () => {
  const notHeld = simulate(false, 2_300, 300);
  const held = simulate(true, 2_300, 300);
  const details = JSON.stringify({ notHeld, held });
  assert.ok(held.urgent.refusedOnce < 0.7 * notHeld.urgent.refusedOnce, details);
  assert.ok(held.standard.refusedOnce < notHeld.standard.refusedOnce, details);
  assert.ok(held.urgent.inTime > notHeld.urgent.inTime + 0.03, details);
  assert.ok(held.standard.inTime > notHeld.standard.inTime + 0.03, details);
  assert.ok(held.batch.refusedOnce <= notHeld.batch.refusedOnce, details);
  assert.ok(held.batch.inTime > 0.95, details);
  assert.ok(held.longestHeldMs < 6_000, details);
});

// The mean demand exceeds the capacity, so there is never room, and batch work must not starve.
test('batch work is served even where there is never room', () => {
  const notHeld = simulate(false, 3_000, 300);
  const held = simulate(true, 3_000, 300);
  const details = JSON.stringify({ notHeld, held });
  assert.ok(held.batch.served > 0.95, details);
  assert.ok(held.batch.refusedOnce < notHeld.batch.refusedOnce, details);
  assert.ok(held.urgent.inTime > notHeld.urgent.inTime, details);
  assert.ok(held.longestHeldMs < 6_000, details);
});

test('where waves exhaust the slots, fewer urgent requests are refused and batch work is in time', () => {
  const notHeld = simulate(false, 1_000, 700);
  const held = simulate(true, 1_000, 700);
  const details = JSON.stringify({ notHeld, held });
  assert.ok(held.urgent.refusedOnce < notHeld.urgent.refusedOnce, details);
  assert.ok(held.standard.refusedOnce < notHeld.standard.refusedOnce, details);
  assert.ok(held.batch.inTime > 0.98, details);
});

test.run();
