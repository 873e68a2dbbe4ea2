import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as fixtures from '../../testing/fleet-fixtures.js';
import * as adapterPlan from './adapter-plan.js';

const test = suite('adapter plan');

function upstreamView(
  upstreamId: string,
  adapters: readonly string[],
  overrides: Partial<adapterPlan.AdapterUpstream> = {},
): adapterPlan.AdapterUpstream {
  return {
    upstreamId,
    models: [{ model: 'hot', adapters }],
    freeSlots: 2,
    isBlocked: false,
    has: (_model, adapter) => adapters.includes(adapter),
    ...overrides,
  };
}

const engine = fixtures.engineSpec([fixtures.modelSpec('hot', { adapterCount: 6 })]);

test('a new copy gets the requested adapters, the most recently requested first', () => {
  const loads = adapterPlan.planAdapters({
    engine,
    upstreams: [
      upstreamView('old', ['a1', 'a2', 'a3', 'a4', 'a5', 'a6'], { freeSlots: 0 }),
      upstreamView('new', []),
    ],
    lastRequestedMs: (_model, adapter) => ({ a2: 5_000, a5: 9_000, a6: 1_000 })[adapter] ?? null,
    maxPerUpstream: 2,
  });
  assert.equal(
    loads.map(({ upstreamId, adapter }) => `${upstreamId} ${adapter}`),
    ['new a5', 'new a2'],
  );
});

test('before any demand each adapter is loaded once, and only into free slots', () => {
  const loads = adapterPlan.planAdapters({
    engine,
    upstreams: [
      upstreamView('x', []),
      upstreamView('y', []),
      upstreamView('z', [], { isBlocked: true }),
    ],
    lastRequestedMs: () => null,
    maxPerUpstream: 3,
  });
  assert.equal(
    loads.map(({ upstreamId, adapter }) => `${upstreamId} ${adapter}`),
    ['x a1', 'x a2', 'y a3', 'y a4'],
  );
});

test.run();
