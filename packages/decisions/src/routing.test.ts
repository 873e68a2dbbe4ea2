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

test('a suspected upstream is chosen only when no other has a copy', () => {
  const suspected = candidate('jury-1', { suspected: true });
  const sound = candidate('jury-2', { predictedWaitMs: 500 });
  assert.equal(
    routing.chooseRoute(request, [suspected, sound], () => 0.1),
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

test('with no known copy every entry walks to the same upstream', () => {
  const candidates = ['jury-1', 'jury-2', 'jury-3'].map((id) => candidate(id, { hasCopy: false }));
  const first = routing.chooseRoute(request, candidates, () => 0.1);
  const second = routing.chooseRoute(request, [...candidates].reverse(), () => 0.9);
  assert.equal(first, second);
});

test.run();
