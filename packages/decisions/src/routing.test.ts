import * as randoms from '@copperlever/runtime/randoms';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as routing from './routing.js';

const test = suite('routing');

function candidate(upstreamId: string, fields: Partial<routing.Candidate>): routing.Candidate {
  return {
    upstreamId,
    failureDomain: 'long-bien',
    region: 'hanoi',
    hasCopy: true,
    suspected: false,
    predictedWaitMs: 0,
    inFlightCount: 0,
    ...fields,
  };
}

const request: routing.RoutingRequest = {
  target: 'draws',
  prefixKey: '',
  localRegion: 'hanoi',
  excludedIds: new Set(),
};

const CHOICES = 1_000;

/** How often each upstream is chosen for the same request. */
function countChoices(
  candidates: readonly routing.Candidate[],
  wanted: routing.RoutingRequest,
  random: () => number,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (let index = 0; index < CHOICES; index += 1) {
    const route = routing.chooseRoute(wanted, candidates, random);
    if (route.kind === 'send') {
      counts.set(route.upstreamId, (counts.get(route.upstreamId) ?? 0) + 1);
    }
  }
  return counts;
}

test('a suspected upstream is chosen only when no other has a copy', () => {
  const suspected = candidate('jury-1', { suspected: true });
  const unsuspected = candidate('jury-2', { predictedWaitMs: 500 });
  assert.equal(
    routing.chooseRoute(request, [suspected, unsuspected], () => 0.1),
    {
      kind: 'send',
      upstreamId: 'jury-2',
      loadIfNeeded: true,
    },
  );
  assert.equal(
    routing.chooseRoute(request, [suspected], () => 0.1),
    {
      kind: 'send',
      upstreamId: 'jury-1',
      loadIfNeeded: true,
    },
  );
});

test('without a known copy every entry chooses the same upstream', () => {
  const candidates = ['jury-1', 'jury-2', 'jury-3'].map((id) => candidate(id, { hasCopy: false }));
  const first = routing.chooseRoute(request, candidates, () => 0.1);
  const second = routing.chooseRoute(request, [...candidates].reverse(), () => 0.9);
  assert.equal(first, second);
});

test('a slow upstream is used less than the others, but is never excluded', () => {
  // Jury-3 takes five times as long as the others, so its callers would wait five times as long. It must get few
  // requests, but still some, since only its own answers can show that it has recovered.
  const random = randoms.createRandom(1);
  const candidates = [
    candidate('jury-1', {}),
    candidate('jury-2', {}),
    candidate('jury-3', { latencyRatio: 5 }),
  ];
  const counts = countChoices(candidates, { ...request, expectedMs: 0 }, random.fraction);
  assert.ok((counts.get('jury-3') ?? 0) > 0);
  assert.ok((counts.get('jury-3') ?? 0) < 0.15 * CHOICES);
});

test('when all copies are slow or suspected the request is still sent to one of them', () => {
  const slow = ['jury-1', 'jury-2'].map((id) =>
    candidate(id, { latencyRatio: 9, suspected: true }),
  );
  const route = routing.chooseRoute(request, slow, () => 0.99);
  assert.is(route.kind, 'send');
});

test('requests with one prefix stay together until their upstream is over its share', () => {
  const idle = ['jury-1', 'jury-2', 'jury-3'].map((id) => candidate(id, {}));
  const popular = { ...request, prefixKey: 'rules-of-racing' };
  const random = randoms.createRandom(1);
  const counts = countChoices(idle, popular, random.fraction);
  assert.is(counts.size, 1);
  const [affineId] = [...counts.keys()];
  const loaded = idle.map((other) =>
    other.upstreamId === affineId ? { ...other, inFlightCount: 9 } : other,
  );
  assert.not.ok(countChoices(loaded, popular, random.fraction).has(affineId as string));
});

test('another region is used only when the request would have to wait in the local one', () => {
  const near = candidate('jury-1', { predictedWaitMs: 50 });
  const far = candidate('jury-2', { region: 'hue' });
  const random = randoms.createRandom(1);
  assert.equal(countChoices([near, far], request, random.fraction), new Map([['jury-1', CHOICES]]));
  const busy = { ...near, predictedWaitMs: 2_000 };
  assert.equal(countChoices([busy, far], request, random.fraction), new Map([['jury-2', CHOICES]]));
});

test('with stale data in many entries no upstream is overloaded', () => {
  // Of ten upstreams, one looks slightly better to all entries. If each entry chose the best one it knows of, that
  // upstream would get all requests; with the better of two random ones it gets a fifth.
  const candidates = Array.from({ length: 10 }, (_, index) =>
    candidate(`jury-${index}`, { predictedWaitMs: index === 4 ? 10 : 20 }),
  );
  const counts = countChoices(candidates, request, randoms.createRandom(1).fraction);
  assert.ok((counts.get('jury-4') ?? 0) < 0.25 * CHOICES);
});

test('an upstream that a request must not go to again is not chosen', () => {
  const candidates = [candidate('jury-1', {}), candidate('jury-2', {})];
  const excluded = { ...request, excludedIds: new Set(['jury-1', 'jury-2']) };
  assert.equal(
    routing.chooseRoute(excluded, candidates, () => 0),
    { kind: 'nowhere' },
  );
});

test.run();
