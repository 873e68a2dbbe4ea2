import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as crashFleets from '../../testing/crash-fleet.js';

const test = suite('trials of what is refused');

const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;
const BAD = 'part:bad1';

/** Three gateways that refuse a bad part, which five requests a minute have. */
async function createRefusingFleet(): Promise<crashFleets.CrashFleet> {
  const fleet = crashFleets.createCrashFleet({
    gatewayCount: 3,
    upstreamCount: 8,
    seed: 5,
    exchangeMs: 5 * SECOND_MS,
  });
  await fleet.clock.advance(6 * SECOND_MS);
  const untilMs = fleet.clock.nowMs() + 20 * SECOND_MS;
  fleet.flow(20, untilMs);
  fleet.flow(2, untilMs, BAD);
  await fleet.clock.advance(40 * SECOND_MS);
  assert.ok(
    [...fleet.nodes.values()].every(({ quarantine }) => quarantine.match([BAD], 0) !== null),
  );
  return fleet;
}

// Guards against a part that is tried by each gateway, or again and again, and ends an upstream each time.
test('what goes on ending upstreams reaches them at most three times in a day', async () => {
  const fleet = await createRefusingFleet();
  const before = fleet.arrivals.length;
  fleet.flow(1 / 12, fleet.clock.nowMs() + 240 * MINUTE_MS, BAD);
  await fleet.clock.advance(240 * MINUTE_MS);
  fleet.stop();
  const tried = fleet.arrivals.length - before;
  assert.ok(tried >= 1 && tried <= crashFleets.LATE_MAX, `tried ${tried} times`);
});

// Guards against a part that stays refused after the upstreams' software was mended.
test('what no longer ends upstreams is served again after its trial', async () => {
  const fleet = await createRefusingFleet();
  fleet.cured.add(BAD);
  fleet.flow(1 / 12, fleet.clock.nowMs() + 50 * MINUTE_MS, BAD);
  await fleet.clock.advance(50 * MINUTE_MS);
  const nowMs = fleet.clock.nowMs();
  fleet.stop();
  const refusing = [...fleet.nodes.values()].filter(
    ({ quarantine }) => quarantine.match([BAD], nowMs) !== null,
  );
  assert.is(refusing.length, 0);
});

test.run();
