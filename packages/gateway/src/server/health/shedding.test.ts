import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as logEvents from '../../types/log-events.js';
import * as sheddings from './shedding.js';

const test = suite('shedding');

const INTERVAL_MS = 50;

function createHarness(hasLarger = true) {
  const state = { hasLarger };
  const lines: string[] = [];
  const log = {
    info: (event: keyof logEvents.LogEvents) => lines.push(event),
  } as unknown as Pick<logEvents.GatewayLog, 'info'>;
  const shedding = sheddings.createShedding({ log, hasLarger: () => state.hasLarger });
  const run = (busyShare: number, forMs: number) => {
    for (let atMs = 0; atMs < forMs; atMs += INTERVAL_MS) shedding.noteBusy(busyShare, INTERVAL_MS);
  };
  return { shedding, lines, run, state };
}

// A small gateway gets as many callers as large ones and cannot read their requests for seconds. New connections must
// go to the large ones until it has capacity again.
test('a saturated small gateway sheds new connections until it has capacity', () => {
  const { shedding, lines, run } = createHarness();
  run(1, 10_000);
  assert.ok(shedding.isShedding());
  run(0.7, 10_000);
  assert.ok(shedding.isShedding());
  run(0.2, 5_000);
  assert.not(shedding.isShedding());
  assert.equal(lines, ['shedding-began', 'shedding-ended']);
});

test('a short burst changes nothing', () => {
  const { shedding, run } = createHarness();
  run(0.4, 5_000);
  run(1, 1_000);
  assert.not(shedding.isShedding());
});

// If equal, saturated gateways left the balancer together, those that stay would get all connections.
test('a gateway sheds no connections if no other is larger', () => {
  const { shedding, run } = createHarness(false);
  run(1, 20_000);
  assert.not(shedding.isShedding());
});

test.run();
