/** One gateway is out of step with the others while servers of other versions join and leave. */
import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as originFleets from '../../testing/origin-fleet.js';

const test = suite('streams at a gateway that is out of step');

type Fleet = originFleets.OriginFleet;

const SETTLE_MS = 3_000;
const TAKE_UP_MAX_STEPS = 12;
const GATEWAYS = ['g1', 'g2', 'g3', 'g4', 'g5'];
const PLAYS = Number(process.env.OUT_OF_STEP_PLAYS ?? 40);
const SEED = Number(process.env.OUT_OF_STEP_SEED ?? 72);

/** `served`: taken up while two upstreams of their version were listed. */
type Tally = Record<'taken' | 'served' | 'servedOn' | 'mixed' | 'tried' | 'began', number>;

function createTally(): Tally {
  return { taken: 0, served: 0, servedOn: 0, mixed: 0, tried: 0, began: 0 };
}

function upstreamCount(fleet: Fleet, version: string): number {
  return [...fleet.listed.values()].filter((one) => one.softwareVersion === version).length;
}

function describe({ taken, served, servedOn, mixed, tried, began }: Tally): string {
  return `${taken} taken up, ${mixed} mixed, ${servedOn} of ${served} that two served went on; ${began} of ${tried} new ones began`;
}

async function withFleet(
  versions: readonly string[],
  seed: number,
  run: (fleet: Fleet) => Promise<void>,
): Promise<void> {
  const fleet = originFleets.createOriginFleet({ gatewayCount: GATEWAYS.length, seed });
  versions.forEach((version, index) => fleet.list(`${version}-${index + 1}`, version));
  fleet.startAll();
  try {
    await fleet.clock.advance(SETTLE_MS);
    await run(fleet);
  } finally {
    fleet.stop();
  }
}

function beginAt(fleet: Fleet, gatewayId: string, tally: Tally): originFleets.Begun[] {
  const begun = fleet.begin(gatewayId);
  tally.tried += 1;
  tally.began += begun === null ? 0 : 1;
  return begun === null ? [] : [begun];
}

async function takeUpAll(
  fleet: Fleet,
  gatewayId: string,
  streams: readonly originFleets.Begun[],
  tally: Tally,
): Promise<void> {
  const tries = streams.map(async ({ requestId, version }) => {
    const taken = await fleet.takeUp(gatewayId, { requestId });
    const isOn = taken.kind === 'went-on';
    const isServed = upstreamCount(fleet, version) >= 2;
    tally.taken += 1;
    tally.served += isServed ? 1 : 0;
    tally.servedOn += isServed && isOn ? 1 : 0;
    tally.mixed += isOn && taken.version !== version ? 1 : 0;
  });
  await fleet.clock.advance(500);
  const waiting = Promise.all(tries).then(() => 'answered' as const);
  // A gateway that is stopped answers once it goes on.
  for (let count = 0; count < TAKE_UP_MAX_STEPS; count += 1) {
    if ((await Promise.race([waiting, Promise.resolve('waits' as const)])) === 'answered') return;
    await fleet.clock.advance(500);
  }
}

type Way = { name: string; leave: (fleet: Fleet, gatewayId: string) => void };

const WAYS: readonly Way[] = [
  { name: 'cut off from the others', leave: (fleet, id) => fleet.disrupt(id, { isAlone: true }) },
  { name: 'cut off from the store', leave: (fleet, id) => fleet.withoutStore.add(id) },
  {
    name: 'cut off from both',
    leave: (fleet, id) => {
      fleet.withoutStore.add(id);
      fleet.disrupt(id, { isAlone: true });
    },
  },
  { name: 'stopped', leave: (fleet, id) => fleet.disrupt(id, { isPaused: true }) },
  { name: 'slowed', leave: (fleet, id) => fleet.disrupt(id, { slowMs: 1_500 }) },
  {
    name: 'answered late by the store',
    leave: (fleet, id) => fleet.disrupt(id, { lateMs: 4_000 }),
  },
  {
    name: 'answered late by the store, alone',
    leave: (fleet, id) => fleet.disrupt(id, { lateMs: 1_500, isAlone: true }),
  },
  {
    name: 'answered by the store with what was true before',
    leave: (fleet, id) => fleet.disrupt(id, { behindMs: 4_000 }),
  },
  {
    name: 'answered by the store with what was true before, alone',
    leave: (fleet, id) => fleet.disrupt(id, { behindMs: 4_000, isAlone: true }),
  },
  {
    name: 'told by one that the store answers with what was true before',
    leave: (fleet, id) => {
      const other = id === 'g1' ? 'g2' : 'g1';
      fleet.disrupt(other, { behindMs: 4_000 });
      fleet.disrupt(id, { relayedBy: other });
    },
  },
  {
    name: 'told by one that is cut off from the store',
    leave: (fleet, id) => {
      const other = id === 'g1' ? 'g2' : 'g1';
      fleet.withoutStore.add(other);
      fleet.disrupt(id, { relayedBy: other });
    },
  },
];

function rejoin(fleet: Fleet): void {
  fleet.withoutStore.clear();
  GATEWAYS.forEach(fleet.inStep);
}

type Release = { versions: readonly string[]; goesBack: boolean };

const RELEASES: readonly Release[] = [
  { versions: ['v2'], goesBack: false },
  { versions: ['v2'], goesBack: true },
  { versions: ['v2', 'v3'], goesBack: false },
  { versions: ['v2', 'v3'], goesBack: true },
];

type Case = { way: Way; release: Release; outId: string; seed: number };

/** Streams begin at all versions through the gateways in step, which are killed; they are taken up at the other before and after it is back. */
async function play({ way, release, outId, seed }: Case, tally: Tally): Promise<void> {
  await withFleet(['v1', 'v1'], seed, async (fleet) => {
    const others = GATEWAYS.filter((id) => id !== outId);
    way.leave(fleet, outId);
    await fleet.clock.advance(100);
    for (const version of release.versions) {
      [1, 2].forEach((index) => fleet.list(`${version}-${index}`, version));
      await fleet.clock.advance(SETTLE_MS);
    }
    const streams: originFleets.Begun[] = [];
    for (let count = 0; count < 24; count += 1) {
      streams.push(...beginAt(fleet, others[count % 2] ?? '', tally));
      await fleet.clock.advance(40);
    }
    if (release.goesBack) {
      release.versions.forEach((version) =>
        [1, 2].forEach((index) => fleet.unlist(`${version}-${index}`)),
      );
      await fleet.clock.advance(SETTLE_MS);
    }
    if (fleet.nodes.has(outId) && way.name !== 'stopped')
      await takeUpAll(fleet, outId, streams, tally);
    others.forEach(fleet.kill);
    rejoin(fleet);
    await takeUpAll(fleet, outId, streams, tally);
    others.forEach((id) => fleet.start(id));
    await fleet.clock.advance(SETTLE_MS);
    await takeUpAll(fleet, outId, streams, tally);
  });
}

// Guards against a gateway that takes the only version of its list for that of streams which began while it heard of none.
test('whatever one gateway is cut off from, no stream goes on there at another version', async () => {
  const broken: string[] = [];
  const total = createTally();
  for (const way of WAYS) {
    const tally = createTally();
    for (const release of RELEASES) {
      for (const outId of ['g1', 'g3']) {
        const { mixed } = tally;
        await play({ way, release, outId, seed: 1 }, tally);
        const name = `${way.name}, ${outId}, ${release.versions.join('+')}${release.goesBack ? ' and back' : ''}`;
        if (tally.mixed > mixed) broken.push(`${name}: ${tally.mixed - mixed} mixed`);
      }
    }
    process.stdout.write(`${way.name}: ${describe(tally)}\n`);
    (Object.keys(total) as (keyof Tally)[]).forEach((key) => {
      total[key] += tally[key];
    });
  }
  assert.equal(broken, []);
  const { served, servedOn, tried, began } = total;
  assert.ok(servedOn / served >= began / tried / 2, describe(total));
});

const stepKinds = [
  ...['begin', 'begin', 'begin', 'begin', 'begin', 'begin'],
  ...['take-up', 'take-up', 'take-up', 'take-up', 'take-up', 'take-up'],
  ...['wait', 'wait', 'wait', 'wait', 'join', 'leave', 'kill', 'kill', 'rejoin'],
  ...['alone', 'without-store', 'cut-off', 'stop', 'slow', 'late', 'behind', 'relayed'],
] as const;

type Step = { kind: (typeof stepKinds)[number]; at: number; forMs: number };

const steps: fc.Arbitrary<Step[]> = fc.array(
  fc.record({ kind: fc.constantFrom(...stepKinds), at: fc.nat(1_000), forMs: fc.nat(6_000) }),
  { minLength: 40, maxLength: 100 },
);

const VERSIONS = ['v1', 'v2', 'v3'];

function leave(fleet: Fleet, { kind, at, forMs }: Step): void {
  const gatewayId = GATEWAYS[at % GATEWAYS.length] ?? '';
  switch (kind) {
    case 'alone':
      return fleet.disrupt(gatewayId, { isAlone: true });
    case 'without-store':
      fleet.withoutStore.add(gatewayId);
      return undefined;
    case 'cut-off':
      fleet.withoutStore.add(gatewayId);
      return fleet.disrupt(gatewayId, { isAlone: true });
    case 'stop':
      return fleet.disrupt(gatewayId, { isPaused: true });
    case 'slow':
      return fleet.disrupt(gatewayId, { slowMs: 1 + (forMs % 2_000) });
    case 'late':
      return fleet.disrupt(gatewayId, { lateMs: forMs });
    case 'behind':
      return fleet.disrupt(gatewayId, { behindMs: forMs });
    case 'relayed':
      return fleet.disrupt(gatewayId, {
        relayedBy: GATEWAYS[Math.floor(at / GATEWAYS.length) % GATEWAYS.length] ?? null,
      });
    default:
      return undefined;
  }
}

/** Versions join and leave whole; one stays at least. */
function change(fleet: Fleet, { kind, at }: Step): void {
  const version = VERSIONS[at % VERSIONS.length] ?? '';
  const ids = [1, 2].map((index) => `${version}-${index}`);
  if (kind === 'join') ids.forEach((id) => fleet.list(id, version));
  else if (fleet.listed.size > 2) ids.forEach(fleet.unlist);
}

async function playSteps(fleet: Fleet, plan: readonly Step[], tally: Tally): Promise<void> {
  const streams: originFleets.Begun[] = [];
  const tries: Promise<void>[] = [];
  for (const step of plan) {
    const { kind, at, forMs } = step;
    const gatewayId = GATEWAYS[at % GATEWAYS.length] ?? '';
    switch (kind) {
      case 'begin':
        for (let count = 0; count < 3; count += 1)
          streams.push(...beginAt(fleet, gatewayId, tally));
        await fleet.clock.advance(20);
        break;
      case 'take-up':
        tries.push(takeUpAll(fleet, gatewayId, streams.slice(-12), tally));
        await tries.at(-1);
        break;
      case 'wait':
        await fleet.clock.advance(forMs);
        break;
      case 'join':
      case 'leave':
        change(fleet, step);
        break;
      case 'kill':
        fleet.kill(gatewayId);
        fleet.start(gatewayId);
        break;
      case 'rejoin':
        rejoin(fleet);
        break;
      default:
        leave(fleet, step);
    }
  }
}

// Guards against any order of joins, leaves, cuts, stops and late or earlier answers of the store in which a stream goes on at another version.
test('no stream goes on at another version, whichever gateways are out of step', async () => {
  const tally = createTally();
  const property = fc.asyncProperty(steps, fc.nat(1_000), async (plan, seed) => {
    const { mixed } = tally;
    await withFleet(['v1', 'v1'], seed, (fleet) => playSteps(fleet, plan, tally));
    assert.is(tally.mixed, mixed);
  });
  await fc.assert(property, { numRuns: PLAYS, seed: SEED });
  process.stdout.write(`${PLAYS} plays: ${describe(tally)}\n`);
  const { served, servedOn, tried, began } = tally;
  assert.ok(servedOn / served >= began / tried / 2, describe(tally));
});

test.run();
