import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as demandCounters from '../../shared/placement/demand-counters.js';
import * as placementViews from '../../shared/placement/placement-view.js';
import * as directories from '../../shared/upstream-directory.js';
import * as fixtures from '../../testing/fleet-fixtures.js';
import type * as fleet from '../../types/fleet.js';
import * as placementClients from './placement-client.js';

const test = suite('placement as requests use it');

const ENGINE = fixtures.engineSpec([fixtures.modelSpec('m1')]);
const SERVICE: fleet.Service = { name: 'pool', connectionsMax: 10, engine: ENGINE };

function createFixture(records: readonly fleet.UpstreamRecord[]) {
  const directory = directories.createUpstreamDirectory();
  const stored = records.map((value) => ({ name: value.name, era: 0, revision: 1, value }));
  directory.applyListing({ records: stored, unreadable: [], era: 0, revision: 1 }, 0);
  const view = placementViews.createPlacementView();
  const demand = demandCounters.createDemandCounters();
  const placement = placementClients.createPlacementClient({
    clock: { nowMs: () => 0 },
    view,
    demand,
    directory,
    serviceOf: () => SERVICE,
    expediteExchange: () => {},
  } as unknown as placementClients.PlacementClientDeps);
  return { placement, view, demand };
}

// Guards against a bound stream that waits for a copy at a version at which it cannot go on.
test('a copy on its way at another software version is none for a stream that is bound', () => {
  const { placement, view } = createFixture([
    fixtures.upstreamRecord('u1', { softwareVersion: 'v1' }),
    fixtures.upstreamRecord('u2', { softwareVersion: 'v2', diskModels: ['m1'] }),
  ]);
  const arrival = { service: 'pool', model: 'm1', readyAtMs: 700 };
  const placed = { copies: [], blockedUntilMs: 0, arrival };
  const upstreams = new Map([['u2', placed]]);
  view.apply({ term: 1, version: 1, isWhole: true, upstreams, removedIds: [] });
  assert.equal(placement.expectedReady('pool', 'm1', null), { kind: 'on-its-way', inMs: 700 });
  assert.equal(placement.expectedReady('pool', 'm1', 'v2'), { kind: 'on-its-way', inMs: 700 });
  const atV1 = placement.expectedReady('pool', 'm1', 'v1');
  assert.is(atV1.kind, 'not-ordered');
  assert.ok(atV1.inMs >= 9_000, 'it is staged at another version only');
});

// Guards against misses of bound streams that are counted as if any copy of the model could serve them.
test('demand at one software version is counted apart', () => {
  const { placement, demand } = createFixture([]);
  const asked = { service: 'pool', model: 'm1', adapter: null, isDelayTolerant: false };
  placement.noteDemand({ ...asked, softwareVersion: null, isServed: true });
  placement.noteDemand({ ...asked, softwareVersion: 'v1', isServed: false });
  assert.equal(
    demand.recent(0).map(({ softwareVersion, missedCount }) => [softwareVersion, missedCount]),
    [
      [null, 0],
      ['v1', 1],
    ],
  );
});

test.run();
