import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as leaseDecisions from './lease-decisions.js';

const test = suite('lease decisions');

const SIGHT: leaseDecisions.HolderSight = {
  seenAtMs: 1_000,
  isReleased: false,
  isOwn: false,
  lastHeardMs: null,
  silentSinceMs: null,
};

// The holder is cut from the store and cannot renew, yet it places well and all peers reach it. Taking
// over would only stop the placing for seconds.
test('a holder that answers its peers keeps the lease without renewals', () => {
  const heard = { ...SIGHT, lastHeardMs: 9_500 };
  assert.not(leaseDecisions.mayTakeOver(heard, 10_000));
  assert.ok(leaseDecisions.mayTakeOver({ ...heard, lastHeardMs: 4_000 }, 10_000));
});

test('an unchanged record is taken over only once its holder has stopped trusting it', () => {
  assert.not(leaseDecisions.mayTakeOver(SIGHT, 1_000 + leaseDecisions.VALID_MS));
  assert.ok(leaseDecisions.mayTakeOver(SIGHT, 4_000));
});

// A killed holder may have given an order just before it fell silent; a new one that orders sooner than the
// lease time after that would take turns with it.
test('orders wait the lease time after the last one that the predecessor may have given', () => {
  const silent = { ...SIGHT, silentSinceMs: 1_500 };
  assert.is(leaseDecisions.ordersFromMs(silent, 3_500, 3_000, true), 4_500);
  const leaseEndMs = SIGHT.seenAtMs + leaseDecisions.VALID_MS;
  assert.is(leaseDecisions.ordersFromMs(silent, 3_500, 3_000, false), leaseEndMs + 3_000);
  assert.is(leaseDecisions.ordersFromMs(null, 3_500, 3_000, true), 3_500);
  const released = { ...SIGHT, seenAtMs: 3_400, isReleased: true };
  assert.is(leaseDecisions.ordersFromMs(released, 3_500, 3_000, true), 6_400);
});

test('what was ordered in an earlier life of the same gateway needs no wait', () => {
  const own = { ...SIGHT, isOwn: true };
  assert.ok(leaseDecisions.mayTakeOver(own, 1_000));
  assert.is(leaseDecisions.ordersFromMs(own, 1_100, 3_000, false), 1_100);
});

test('without the store a holder goes on only where upstreams refuse an older fence', () => {
  const held = { ordersFromMs: 0, renewedAtMs: 0, isStoreAway: true };
  assert.ok(leaseDecisions.mayOrder(held, true, 60_000));
  assert.not(leaseDecisions.mayOrder(held, false, 60_000));
  assert.not(leaseDecisions.mayOrder({ ...held, isStoreAway: false }, true, 60_000));
});

const LOOK: leaseDecisions.LookInput = {
  startedAtMs: 0,
  lastHeardMs: 5_000,
  seenAtMs: null,
  takeDelayMs: 0,
};

// The holder answers late and 17 followers take it for silent. Looking again before the lease can have ended tells
// nothing, and each look of each follower is a call to the store that is paid for.
test('who has looked at the lease looks again when it can have ended', () => {
  assert.not(leaseDecisions.shouldLook(LOOK, 5_900));
  assert.ok(leaseDecisions.shouldLook(LOOK, 6_100));
  const looked = { ...LOOK, seenAtMs: 6_100 };
  assert.not(leaseDecisions.shouldLook(looked, 6_400));
  assert.not(leaseDecisions.shouldLook(looked, 6_100 + leaseDecisions.VALID_MS));
  assert.ok(leaseDecisions.shouldLook(looked, 8_600));
  // It has been heard again meanwhile.
  assert.not(leaseDecisions.shouldLook({ ...looked, lastHeardMs: 8_000 }, 8_600));
});

// All gateways start together, or miss the holder together: the one with the largest processor is to be first.
test('a small gateway leaves the lease to a larger one for a while', () => {
  const small = leaseDecisions.takeDelayMs(120, 1_350);
  assert.is(leaseDecisions.takeDelayMs(1_350, 1_350), 0);
  assert.is(leaseDecisions.takeDelayMs(120, 120), 0);
  assert.is(leaseDecisions.takeDelayMs(120, 0), 0);
  assert.ok(small > leaseDecisions.takeDelayMs(500, 1_350) && small < 500);
  const starting = { ...LOOK, lastHeardMs: null };
  assert.ok(leaseDecisions.shouldLook(starting, 0));
  assert.not(leaseDecisions.shouldLook({ ...starting, takeDelayMs: small }, 200));
  assert.ok(leaseDecisions.shouldLook({ ...starting, takeDelayMs: small }, 500));
});

// All gateways start together and none has heard of another. Whoever is first holds the lease from then on: one of a
// quarter of a core answered two dozen followers later than they wait.
test('a lease that nobody has held is taken first by the largest', () => {
  const large = leaseDecisions.firstTakeMs(1_350);
  const small = leaseDecisions.firstTakeMs(243);
  // Between the two lie a round trip to the store and the steps in which gateways look.
  assert.ok(small - large > 500, `${small - large} ms`);
  assert.is(leaseDecisions.firstTakeMs(1_000), large);
});

test.run();
