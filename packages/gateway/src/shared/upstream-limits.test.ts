import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as dialects from '../types/dialects.js';
import * as upstreamLimits from './upstream-limits.js';

const test = suite('upstream limits');

const UNLIMITED: dialects.LimitSignal = { kind: 'unlimited' };
const UNREADABLE: dialects.LimitSignal = { kind: 'unreadable' };

function named(perSecond: number): dialects.LimitSignal {
  return { kind: 'named', perSecond };
}

test('a limit is named, falls, rises and ends', () => {
  const limits = upstreamLimits.createUpstreamLimits();
  assert.is(limits.answered('u1', UNLIMITED, 0, 10), null);
  assert.equal(limits.answered('u1', named(4), 10, 20), {
    kind: 'named',
    perSecond: 4,
    before: null,
  });
  assert.is(limits.answered('u1', named(4), 20, 30), null);
  limits.answered('u1', named(1.5), 30, 40);
  assert.is(limits.perSecond('u1'), 1.5);
  limits.answered('u1', named(0), 40, 50);
  assert.is(limits.perSecond('u1'), 0);
  assert.equal(limits.limitedIds(), ['u1']);
  limits.answered('u1', named(9), 50, 60);
  assert.is(limits.perSecond('u1'), 9);
  assert.equal(limits.answered('u1', UNLIMITED, 60, 70), { kind: 'ended', before: 9 });
  assert.is(limits.perSecond('u1'), null);
});

// Guards against an answer from before the limit that arrives after it and lifts it.
test('an answer to a request that was sent before the limit was named does not lift or raise it', () => {
  const limits = upstreamLimits.createUpstreamLimits();
  limits.answered('u1', named(2), 0, 100);
  limits.answered('u1', UNLIMITED, 50, 110);
  limits.answered('u1', named(8), 60, 120);
  assert.is(limits.perSecond('u1'), 2);
  limits.answered('u1', named(1), 70, 130);
  assert.is(limits.perSecond('u1'), 1);
});

// Guards against taking an unreadable value for the end of the limit.
test('an unreadable value changes nothing', () => {
  const limits = upstreamLimits.createUpstreamLimits();
  limits.answered('u1', named(2), 0, 100);
  assert.is(limits.answered('u1', UNREADABLE, 200, 300), null);
  assert.is(limits.perSecond('u1'), 2);
  assert.is(limits.answered('u2', UNREADABLE, 200, 300), null);
  assert.is(limits.perSecond('u2'), null);
});

// Guards against two gateways that report one answer to each other forever, so that an ended limit never ends.
test('a limit from another gateway applies if it is new, and does not circulate', () => {
  const first = upstreamLimits.createUpstreamLimits();
  const second = upstreamLimits.createUpstreamLimits();
  first.answered('u1', named(3), 0, 100);
  first.reportedLimits(200).forEach((limit) => second.applyRemoteLimit(limit, 220));
  assert.is(second.perSecond('u1'), 3);
  for (let atMs = 300; atMs < 5_000; atMs += 100) {
    second.reportedLimits(atMs).forEach((limit) => first.applyRemoteLimit(limit, atMs + 20));
    first.reportedLimits(atMs).forEach((limit) => second.applyRemoteLimit(limit, atMs + 20));
  }
  assert.ok((first.ageMs('u1', 5_000) ?? 0) >= 4_900);
  second.answered('u1', UNLIMITED, 5_000, 5_100);
  second.reportedLimits(5_200).forEach((limit) => first.applyRemoteLimit(limit, 5_210));
  assert.is(first.perSecond('u1'), null);
});

// Guards against losing the limit of an upstream whose entry lapses while the store is away.
test('a limit is kept when the entry of its upstream lapses', () => {
  const limits = upstreamLimits.createUpstreamLimits();
  limits.answered('u1', named(3), 0, 100);
  limits.retain(new Set(), 60_000);
  assert.is(limits.perSecond('u1'), 3);
  limits.retain(new Set(['u1']), 1_000_000);
  assert.is(limits.perSecond('u1'), 3);
  limits.retain(new Set(), 1_000_000);
  assert.is(limits.perSecond('u1'), null);
});

test.run();
