import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as logEvents from '../../types/log-events.js';
import * as sheddings from './shedding.js';

const test = suite('shedding');

const BEAT_MS = 50;

function createRig(hasLarger = true) {
  const state = { hasLarger };
  const lines: string[] = [];
  const log = {
    info: (event: keyof logEvents.LogEvents) => lines.push(event),
  } as unknown as Pick<logEvents.GatewayLog, 'info'>;
  const shedding = sheddings.createShedding({ log, hasLarger: () => state.hasLarger });
  const run = (busyShare: number, forMs: number) => {
    for (let atMs = 0; atMs < forMs; atMs += BEAT_MS) shedding.noteBusy(busyShare, BEAT_MS);
  };
  return { shedding, lines, run, state };
}

// Load: a small gateway gets as many callers as large ones and cannot read them for seconds. Outcome for callers: new
// connections go to the large ones until it has room again.
test('a saturated small gateway asks for no new connections until it has room', () => {
  const { shedding, lines, run } = createRig();
  run(1, 10_000);
  assert.ok(shedding.isShedding());
  run(0.7, 10_000);
  assert.ok(shedding.isShedding());
  run(0.2, 5_000);
  assert.not(shedding.isShedding());
  assert.equal(lines, ['shedding-began', 'shedding-ended']);
});

test('a short burst changes nothing', () => {
  const { shedding, run } = createRig();
  run(0.4, 5_000);
  run(1, 1_000);
  assert.not(shedding.isShedding());
});

// Failure: gateways that are alike and saturated leave the balancer together, and those that stay get everything.
test('where no gateway is larger none asks for fewer connections', () => {
  const { shedding, run } = createRig(false);
  run(1, 20_000);
  assert.not(shedding.isShedding());
});

test.run();
