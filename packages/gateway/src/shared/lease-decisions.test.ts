import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as leaseDecisions from './lease-decisions.js';

const test = suite('lease decisions');

const OBSERVATION: leaseDecisions.HolderObservation = {
  seenAtMs: 1_000,
  isReleased: false,
  orderDelayMs: 0,
  isOwn: false,
  lastReceivedMs: null,
  silentSinceMs: null,
};

// The holder is cut off from the store and cannot renew, but places well, and all peers reach it. A takeover would
// only interrupt placement for seconds.
test('a holder that answers its peers keeps the lease without renewals', () => {
  const responsive = { ...OBSERVATION, lastReceivedMs: 9_500 };
  assert.not(leaseDecisions.mayTakeOver(responsive, 10_000));
  assert.ok(leaseDecisions.mayTakeOver({ ...responsive, lastReceivedMs: 4_000 }, 10_000));
});

test('an unchanged lease is taken over only once its holder no longer considers it valid', () => {
  assert.not(leaseDecisions.mayTakeOver(OBSERVATION, 1_000 + leaseDecisions.VALID_MS));
  assert.ok(leaseDecisions.mayTakeOver(OBSERVATION, 4_000));
});

// A killed holder may have given an order just before it fell silent. A new holder that gives orders sooner than the
// lease time after that would compete with it.
test('orders wait for the lease time after the last one that the predecessor may have given', () => {
  const silent = { ...OBSERVATION, silentSinceMs: 1_500 };
  assert.is(leaseDecisions.ordersFromMs(silent, 3_500, 3_000, true), 4_500);
  const leaseEndMs = OBSERVATION.seenAtMs + leaseDecisions.VALID_MS;
  assert.is(leaseDecisions.ordersFromMs(silent, 3_500, 3_000, false), leaseEndMs + 3_000);
  assert.is(leaseDecisions.ordersFromMs(null, 3_500, 3_000, true), 3_500);
  const released = { ...OBSERVATION, seenAtMs: 3_400, isReleased: true };
  assert.is(leaseDecisions.ordersFromMs(released, 3_500, 3_000, true), 6_400);
});

test('orders from an earlier life of the same gateway need no wait', () => {
  const own = { ...OBSERVATION, isOwn: true };
  assert.ok(leaseDecisions.mayTakeOver(own, 1_000));
  assert.is(leaseDecisions.ordersFromMs(own, 1_100, 3_000, false), 1_100);
});

// Guards against orders within the lease time of another holder's, after a holder that was still waiting for it.
test('orders also wait for what the holder before was waiting for itself', () => {
  const own = { ...OBSERVATION, isOwn: true, orderDelayMs: 2_800 };
  assert.is(leaseDecisions.ordersFromMs(own, 1_100, 3_000, false), 3_800);
  const silent = { ...OBSERVATION, silentSinceMs: 100, orderDelayMs: 2_800 };
  assert.is(leaseDecisions.ordersFromMs(silent, 3_500, 3_000, true), 3_800);
  const unstated = { ...own, orderDelayMs: null };
  assert.is(leaseDecisions.ordersFromMs(unstated, 1_100, 3_000, false), 4_000);
});

test('without the store a holder goes on only where upstreams refuse an older fence', () => {
  const held = { ordersFromMs: 0, renewedAtMs: 0, isStoreAway: true };
  assert.ok(leaseDecisions.mayOrder(held, true, 60_000));
  assert.not(leaseDecisions.mayOrder(held, false, 60_000));
  assert.not(leaseDecisions.mayOrder({ ...held, isStoreAway: false }, true, 60_000));
});

const INPUTS: leaseDecisions.LeaseReadInputs = {
  startedAtMs: 0,
  lastReceivedMs: 5_000,
  seenAtMs: null,
  takeDelayMs: 0,
};

// The holder answers late and 17 followers consider it silent. Reading the lease again before it can have ended is
// useless, and each read of each follower is a paid call to the store.
test('a gateway that has read the lease reads it again once it can have ended', () => {
  assert.not(leaseDecisions.shouldReadLease(INPUTS, 5_900));
  assert.ok(leaseDecisions.shouldReadLease(INPUTS, 6_100));
  const hasRead = { ...INPUTS, seenAtMs: 6_100 };
  assert.not(leaseDecisions.shouldReadLease(hasRead, 6_400));
  assert.not(leaseDecisions.shouldReadLease(hasRead, 6_100 + leaseDecisions.VALID_MS));
  assert.ok(leaseDecisions.shouldReadLease(hasRead, 8_600));
  // A message of the holder has been received meanwhile.
  assert.not(leaseDecisions.shouldReadLease({ ...hasRead, lastReceivedMs: 8_000 }, 8_600));
});

// All gateways start together, or lose the holder together: the one with the largest processor is to take the lease
// first.
test('a small gateway leaves the lease to a larger one for a while', () => {
  const small = leaseDecisions.takeDelayMs(120, 1_350);
  assert.is(leaseDecisions.takeDelayMs(1_350, 1_350), 0);
  assert.is(leaseDecisions.takeDelayMs(120, 120), 0);
  assert.is(leaseDecisions.takeDelayMs(120, 0), 0);
  assert.ok(small > leaseDecisions.takeDelayMs(500, 1_350) && small < 500);
  const starting = { ...INPUTS, lastReceivedMs: null };
  assert.ok(leaseDecisions.shouldReadLease(starting, 0));
  assert.not(leaseDecisions.shouldReadLease({ ...starting, takeDelayMs: small }, 200));
  assert.ok(leaseDecisions.shouldReadLease({ ...starting, takeDelayMs: small }, 500));
});

// All gateways start together and know of no other. The first one to take the lease keeps it: one of a quarter of a
// core answered two dozen followers later than they wait.
test('a lease that was never held is taken first by the largest gateway', () => {
  const large = leaseDecisions.firstTakeMs(1_350);
  const small = leaseDecisions.firstTakeMs(243);
  // The difference has to cover a round trip to the store and the interval at which gateways check.
  assert.ok(small - large > 500, `${small - large} ms`);
  assert.is(leaseDecisions.firstTakeMs(1_000), large);
});

test.run();
