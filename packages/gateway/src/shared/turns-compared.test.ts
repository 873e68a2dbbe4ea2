import { randoms } from '@copperlever/runtime';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as turnFleets from '../testing/turn-fleet.js';

const test = suite('prefill turns over all gateways');

const WARM_UP_MS = 4_000;

const LOAD: turnFleets.TurnLoad = {
  way: 'owners',
  gatewayCount: 23,
  upstreamCount: 29,
  modelsPerUpstream: 1,
  streamsPerSecond: 8,
  fault: 'none',
  lengthMs: WARM_UP_MS + 10_000,
  knowsSpeed: true,
  hasQueueLimit: false,
  warmUpMs: WARM_UP_MS,
};

type Shares = { harmful: number; lateStreams: number; refused: number; lateFirst: number };

function simulate(overrides: Partial<turnFleets.TurnLoad>): Shares {
  const outcome = turnFleets.playTurns({ ...LOAD, ...overrides }, randoms.createRandom(11));
  const { prefills, requests } = outcome;
  assert.ok(prefills > 300, String(prefills));
  return {
    harmful: outcome.harmful / prefills,
    lateStreams: outcome.lateStreams / prefills,
    refused: outcome.refused / requests,
    lateFirst: outcome.lateFirst / prefills,
  };
}

const SHARES_WITHOUT_OWNERS = new Map<number, Shares>();

function sharesWithoutOwners(gatewayCount: number): Shares {
  const known = SHARES_WITHOUT_OWNERS.get(gatewayCount);
  if (known !== undefined) return known;
  const shares = simulate({ ...fleetOf(gatewayCount), way: 'alone' });
  SHARES_WITHOUT_OWNERS.set(gatewayCount, shares);
  return shares;
}

function fleetOf(gatewayCount: number) {
  return { gatewayCount, upstreamCount: gatewayCount === 6 ? 8 : 29 };
}

for (const gatewayCount of [6, 23]) {
  // Guards against prompts of several gateways that coincide and pause streams for longer than their routes allow.
  test(`owners prevent most of the pauses that gateways cause without turns (gateways: ${gatewayCount})`, () => {
    const alone = sharesWithoutOwners(gatewayCount);
    const owners = simulate(fleetOf(gatewayCount));
    assert.ok(owners.harmful < 0.4 * alone.harmful, JSON.stringify({ alone, owners }));
    assert.ok(owners.lateStreams < 0.7 * alone.lateStreams, JSON.stringify({ alone, owners }));
    // The pauses must not be prevented by refusing requests or answering them late.
    assert.ok(owners.refused < alone.refused + 0.01, JSON.stringify({ alone, owners }));
    assert.ok(owners.lateFirst < alone.lateFirst + 0.02, JSON.stringify({ alone, owners }));
  });
}

for (const fault of ['killed', 'paused', 'partitioned', 'duplicated'] as const) {
  // Guards against owners that are gone, silent or duplicated causing more pauses or refusals than no turns at all.
  test(`with owners ${fault}, pauses and refusals are no worse than without turns`, () => {
    const alone = simulate({ way: 'alone', fault });
    const owners = simulate({ fault });
    assert.ok(owners.harmful < alone.harmful, JSON.stringify({ alone, owners }));
    assert.ok(owners.refused < alone.refused + 0.01, JSON.stringify({ alone, owners }));
  });
}

test('an owner that does not know the speeds of its upstreams learns them', () => {
  const owners = simulate({ knowsSpeed: false, lengthMs: WARM_UP_MS + 20_000 });
  assert.ok(owners.harmful < 0.5 * sharesWithoutOwners(23).harmful, JSON.stringify(owners));
});

test.run();
