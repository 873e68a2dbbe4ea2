import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as preferences from './preferences.js';

const test = suite('preferences');

const GATEWAY_COUNT = 23;
const UPSTREAM_COUNT = 29;

function ids(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index}`);
}

// Guards against ids that differ only in their last digit and get close values, so that gateways prefer the same
// upstreams.
test('gateways prefer different upstreams, and each upstream is preferred by some', () => {
  const preferredIndexes = ids('g', GATEWAY_COUNT).map((gatewayId) => {
    const values = ids('pool', UPSTREAM_COUNT).map((id) => preferences.preference(gatewayId, id));
    assert.ok(values.every((value) => value >= 0 && value < 1));
    return values.indexOf(Math.min(...values));
  });
  assert.ok(
    new Set(preferredIndexes).size > GATEWAY_COUNT / 2,
    `${new Set(preferredIndexes).size}`,
  );
  ids('pool', UPSTREAM_COUNT).forEach((upstreamId) => {
    const values = ids('g', GATEWAY_COUNT).map((id) => preferences.preference(id, upstreamId));
    const mean = values.reduce((sum, value) => sum + value, 0) / GATEWAY_COUNT;
    assert.ok(mean > 0.25 && mean < 0.75, `${upstreamId} ${mean}`);
  });
});

test('a preference is stable', () => {
  const preferenceFor = preferences.createPreferences('g1');
  const first = preferenceFor('u1');
  assert.is(preferenceFor('u1'), first);
  assert.is(preferences.createPreferences('g1')('u1'), first);
  assert.is.not(preferences.createPreferences('g2')('u1'), first);
});

test.run();
