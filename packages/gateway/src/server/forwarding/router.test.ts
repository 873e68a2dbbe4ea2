import { createRandom } from '@copperlever/runtime/randoms';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as inFlightModule from '../../shared/in-flight.js';
import * as serviceTimesModule from '../../shared/service-times.js';
import * as plainCapacity from '../../shared/plain-capacity.js';
import * as plainServiceTimes from '../../shared/plain-service-times.js';
import * as promptCaches from '../../shared/prompt-caches.js';
import * as upstreamHealthModule from '../../shared/upstream-health.js';
import * as directories from '../../shared/upstream-directory.js';
import * as upstreamStates from '../../shared/upstream-states.js';
import * as fixtures from '../../testing/fleet-fixtures.js';
import type * as calls from '../../types/calls.js';
import type * as fleet from '../../types/fleet.js';
import type * as placementTypes from '../../types/placement.js';
import type * as limitsModule from '../limits/limits.js';
import * as routers from './router.js';
import * as streamCalls from '../../testing/stream-calls.js';
import * as runs from './run.js';

const test = suite('router');

const SLOTS = 8;
const SERVICE: fleet.Service = {
  name: 'pool',
  connectionsMax: 40,
  engine: fixtures.engineSpec([fixtures.modelSpec('m')]),
};

type CallOptions = { priority?: number; objectiveMs?: number; elapsedMs?: number };

function createCall(nowMs: number, options: CallOptions = {}): calls.Call {
  const { priority = 1, objectiveMs = 500, elapsedMs = 0 } = options;
  return {
    requestId: 'r1',
    service: 'pool',
    route: { kind: 'stream', latencyObjectiveMs: objectiveMs, pauseObjectiveMs: 300 },
    facts: {
      model: 'm',
      adapter: null,
      promptTokens: 1_000,
      outputTokens: 200,
      promptParts: [],
      tokenCount: null,
    },
    organisation: null,
    priority,
    arrivedAtMs: nowMs,
    elapsedBeforeMs: elapsedMs,
    deadlineMs: nowMs + 12_000,
  } as unknown as calls.Call;
}

function createFixture(isOn: boolean, versions: readonly string[] = ['v1']) {
  const clock = fakeClocks.createFakeClock();
  const directory = directories.createUpstreamDirectory();
  const records = versions.map((softwareVersion, index) => {
    const name = `u${index + 1}`;
    const value = fixtures.upstreamRecord(name, { slots: SLOTS, softwareVersion });
    return { name, era: 0, revision: 1, value };
  });
  directory.applyListing({ records, unreadable: [], era: 0, revision: 1 }, 0);
  const inFlight = inFlightModule.createInFlight();
  const gaveWay: string[] = [];
  const hasCopies = new Set(records.map(({ name }) => name));
  const demands: placementTypes.Demand[] = [];
  const router = routers.createRouter({
    clock,
    log: { info: () => {}, warn: () => {}, error: () => {} },
    random: createRandom(1),
    directory,
    beliefs: upstreamHealthModule.createUpstreamHealthTracker(),
    inFlight,
    paces: serviceTimesModule.createServiceTimeEstimator(),
    caches: promptCaches.createPromptCaches(),
    placement: {
      copyAt: ({ upstreamId }: fleet.UpstreamRecord) =>
        hasCopies.has(upstreamId) ? 'ready' : 'none',
      noteDemand: (noted: placementTypes.Demand) => demands.push(noted),
      nextCopyInMs: () => null,
    } as unknown as placementTypes.Placement,
    limits: {
      closedForMs: () => null,
      isLimited: () => false,
    } as unknown as limitsModule.Limits,
    pauses: { leftMs: () => 0 },
    plainTimes: plainServiceTimes.createPlainServiceTimes(false),
    plainPlaces: plainCapacity.createPlainCapacity(),
    states: upstreamStates.createUpstreamStates(),
    gatewayId: 'g1',
    serviceOf: () => SERVICE,
    failureDomain: 'north',
    metrics: { gaveWay: (to) => gaveWay.push(to) },
    streams: {
      mayBegin: () => true,
      mayGoOn: ({ softwareVersion }, version) => softwareVersion === version,
    },
    listAgeMs: () => 0,
    gatewayCount: () => 1,
    ordersAdmission: () => isOn,
    sharesFairly: () => false,
    weightOf: () => 1,
  });
  function fill(count: number, priority: number): void {
    for (let index = 0; index < count; index += 1) {
      const request = { upstreamId: 'u1', model: 'm', priority, promptTokens: 0 };
      inFlight.start(request).promptPrefilled();
    }
  }
  return { clock, router, fill, gaveWay, hasCopies, demands };
}

// With equal retry times, callers that are refused together retry together and are refused again.
test('callers that are refused together get staggered retry times, where that is switched on', () => {
  const timesOf = (isOn: boolean) => {
    const { router } = createFixture(isOn);
    return [1, 2, 3].map(() => router.overloadRetryMs(createCall(0), runs.createRun(), 900));
  };
  const [first = 0, second = 0, third = 0] = timesOf(true);
  assert.ok(first >= 900 && second > first && third > second, `${first} ${second} ${third}`);
  assert.ok(third <= 4_000, `${third}`);
  assert.equal(timesOf(false), [900, 900, 900]);
});

test('a late request does not wait for a slot where admission is ordered, and may where it is not', () => {
  const late = createCall(0, { elapsedMs: 900 });
  const kindsOf = (isOn: boolean) => {
    const fixture = createFixture(isOn);
    fixture.fill(SLOTS - 1, 1);
    const before = fixture.router.choose(late, runs.createRun()).kind;
    fixture.fill(1, 1);
    const run = runs.createRun();
    const after = fixture.router.choose(late, run).kind;
    if (after === 'overloaded') fixture.router.overloadRetryMs(late, run, 900);
    return [before, after, ...fixture.gaveWay];
  };
  assert.equal(kindsOf(true), ['send', 'overloaded', 'free-slots']);
  assert.equal(kindsOf(false), ['send', 'send']);
});

test('a less urgent request yields after a more urgent one was refused, but a retry of it does not', () => {
  const { router, gaveWay } = createFixture(true);
  router.overloadRetryMs(createCall(0, { priority: 0 }), runs.createRun(), 900);
  const run = runs.createRun();
  assert.is(router.choose(createCall(0), run).kind, 'overloaded');
  assert.is(run.yieldReason, 'more-urgent');
  router.overloadRetryMs(createCall(0), run, 900);
  assert.equal(gaveWay, ['more-urgent']);
  // Refusing a request that has been sent to an upstream would waste the work done there.
  const retry = { ...runs.createRun(), sentCount: 1 };
  assert.is(router.choose(createCall(0), retry).kind, 'send');
});

test('the load before a batch request counts all requests in flight, and those that are more urgent', () => {
  const fixture = createFixture(true);
  const batch = createCall(0, { objectiveMs: 6_000 });
  fixture.fill(2, 1);
  fixture.fill(1, 5);
  const [place] = fixture.router.upstreamLoads(batch, runs.createRun());
  assert.is(place?.inFlightCount, 3);
  assert.is(place?.moreUrgentCount, 2);
  const excluded = { ...runs.createRun(), excludedIds: new Set(['u1']) };
  assert.equal(fixture.router.upstreamLoads(batch, excluded), []);
});

// A request that was held for most of its objective would be late if it could queue for all of it again.
test('the time for which a request was held is subtracted from its queue limit', async () => {
  const fixture = createFixture(true);
  const batch = createCall(0, { objectiveMs: 6_000 });
  await fixture.clock.advance(5_900);
  fixture.fill(SLOTS + 40, 1);
  const held = { ...runs.createRun(), heldSinceMs: 0 };
  assert.is(fixture.router.choose(batch, held).kind, 'overloaded');
  assert.is(fixture.router.choose(batch, runs.createRun()).kind, 'send');
});

// Guards against a plan for one model alone, ahead of all others, where a copy at any upstream would serve the stream.
test('a bound stream asks for a copy at its version only where there are others', () => {
  const askedAt = (versions: readonly string[]) => {
    const { router, hasCopies, demands } = createFixture(false, versions);
    hasCopies.delete('u1');
    const call = { ...createCall(0), route: streamCalls.RESUMABLE_ROUTE };
    router.recordDemand(call, { ...runs.createRun(), boundVersion: 'v1' }, 'missing');
    return demands.map(({ softwareVersion, isServed }) => [softwareVersion, isServed]);
  };
  assert.equal(askedAt(['v1']), [[null, false]]);
  assert.equal(askedAt(['v1', 'v2']), [['v1', false]]);
  assert.equal(askedAt(['v1', 'v1', 'v2']), []);
});

test.run();
