import { schema } from '@copperlever/configuration';
import type { membershipTypes } from '@copperlever/coordination';
import { agent } from '@copperlever/protocol';
import { logs, metrics, randoms, results } from '@copperlever/runtime';
import * as fakeClock from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as containers from '../../container.js';
import * as coordinators from './coordinator.js';
import * as demandBoards from './demand-board.js';
import * as fleetViews from './fleet-view.js';
import type * as types from './types.js';

const test = suite('coordinator');

/** Together some ten slots of work within the memory of the demand. */
const ARRIVALS = 400;
const IDS = ['jury-1', 'jury-2', 'jury-3', 'jury-4'];

function createDocument(): schema.Document {
  const upstreams = IDS.map((id, index) => [
    id,
    {
      kind: 'engine',
      pool: 'jury',
      failureDomain: `domain-${index % 2}`,
      region: 'hanoi',
      acceleratorCount: 1,
      memoryBytes: 100,
      slotCount: 4,
      checksFencing: true,
    },
  ]);
  return schema.documentSchema.parse({
    upstreams: Object.fromEntries(upstreams),
    models: { draws: { version: 'v1', sizeBytes: 40, pools: ['jury'] } },
  });
}

/** Every agent of a small fleet as a coordinator; what they ask for is written down. */
function createWorld(ready: Readonly<Record<string, readonly string[]>>) {
  const clock = fakeClock.createFakeClock();
  const document = createDocument();
  const asked: { agentId: string; request: agent.AddCopyRequest }[] = [];
  const offered: string[] = [];
  const gone = new Set<string>();
  const members = (): membershipTypes.Member[] =>
    IDS.map((id) => ({
      memberId: id,
      incarnation: 1,
      revision: 0,
      status: gone.has(id) ? 'dead' : 'alive',
      address: id,
      region: 'hanoi',
      failureDomain: document.upstreams[id]?.failureDomain ?? '',
      attributes: containers.encodeAttributes(id, ready[id] ?? []),
    }));
  const boards = new Map(IDS.map((id) => [id, demandBoards.createDemandBoard(clock)]));
  const link: types.AgentLink = {
    offer: async (address) => {
      offered.push(address);
      const offer = { possible: true, freeBytes: 100, availableSlots: 4 };
      return results.Ok(agent.OfferReply.fromPartial(offer));
    },
    addCopy: async (address, request) => {
      asked.push({ agentId: address, request });
      return results.Ok({ accepted: true, cause: '' });
    },
    reportDemand: async (address, report) => {
      boards.get(address)?.receive(report);
      return results.Ok({});
    },
    close: () => {},
  };
  const agents = IDS.map((selfId) =>
    coordinators.createCoordinator({
      clock,
      random: randoms.createRandom(3),
      log: logs.createSilentLogger(),
      metrics: metrics.createSilentMetrics(),
      selfId,
      fleet: fleetViews.createFleetView({ members, document: () => document }),
      board: boards.get(selfId) as demandBoards.DemandBoard,
      link,
      document: () => document,
    }),
  );
  const round = async () => {
    for (const one of agents) await one.report();
    for (const one of agents) await one.check();
  };
  return { clock, asked, offered, boards, gone, round };
}

// A model is on no engine. Whoever ranks first for it has it loaded before a caller has to wait.
test('a model without a copy is asked for once, for reachability', async () => {
  const world = createWorld({});
  await world.round();
  assert.is(world.asked.length, 1);
  assert.ok(world.asked[0]?.request.forReachability);
});

// Demand comes in at agents that are not the model's coordinator, and much of it is refused. Told of
// it, the coordinator asks for a second copy, in the other failure domain.
test('demand that its copy cannot serve brings another copy', async () => {
  const world = createWorld({ 'jury-1': ['draws'] });
  for (let arrival = 0; arrival < ARRIVALS; arrival += 1) {
    world.boards.get('jury-2')?.observe('draws', 1_500);
    world.boards.get('jury-1')?.observe('draws', 1_500);
  }
  await world.round();
  assert.is(world.asked.length, 1);
  assert.not.ok(world.asked[0]?.request.forReachability);
  assert.ok(['jury-2', 'jury-4'].includes(world.asked[0]?.agentId ?? ''));
});

test('a copy that is enough costs no call', async () => {
  const world = createWorld({ 'jury-1': ['draws'] });
  world.boards.get('jury-1')?.observe('draws', 1_000);
  await world.round();
  assert.equal([world.asked, world.offered], [[], []]);
});

test('demand that nobody tells of any more is forgotten', async () => {
  const world = createWorld({ 'jury-1': ['draws'] });
  for (let arrival = 0; arrival < ARRIVALS; arrival += 1) {
    world.boards.get('jury-2')?.observe('draws', 3_000);
  }
  await world.round();
  const before = world.asked.length;
  assert.is(before, 1);
  await world.clock.advance(600_000);
  await world.round();
  assert.is(world.asked.length, before);
});

// The coordinator dies. The next in rank finds out from the membership alone and takes its place.
test('another agent coordinates when the first is gone', async () => {
  const world = createWorld({ 'jury-1': ['draws'] });
  for (const id of IDS) world.gone.add(id);
  world.gone.delete('jury-3');
  await world.round();
  assert.equal(
    world.asked.map((one) => one.agentId),
    ['jury-3'],
  );
});

test.run();
