import { faultyStore, floors, memoryStore } from '@copperlever/coordination';
import { logs, metrics, randoms } from '@copperlever/runtime';
import * as fakeClock from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as floorDecisions from '../../shared/floor-decisions.js';
import * as floorKeepers from './floor-keeper.js';

const test = suite('floor keeper');

function createWorld() {
  const clock = fakeClock.createFakeClock();
  const store = faultyStore.createFaultyStore(memoryStore.createMemoryStore(clock), clock);
  const standings = new Map<string, floorDecisions.HolderStanding>();
  const reloaded: string[] = [];
  const staying = new Set(['agent-1', 'agent-2']);

  function createAgent(holderId: string, ready: string[], incarnation = 1) {
    const random = randoms.createRandom(7);
    return floorKeepers.createFloorKeeper({
      clock,
      random,
      log: logs.createSilentLogger(),
      metrics: metrics.createSilentMetrics(),
      floors: floors.createFloors({ store, clock, random }),
      self: { holderId, incarnation },
      readyModels: () => ready,
      standingOf: (id) => standings.get(id) ?? 'keeping',
      isStaying: () => staying.has(holderId),
      reload: (model) => reloaded.push(model),
    });
  }

  return { clock, store, standings, staying, reloaded, createAgent };
}

// Two agents have a model and both want its memory for others. Both ask for the floor, one gets it,
// and only the other may unload: else the model would be nowhere and its callers refused.
test('of two agents with a model exactly one must keep it', async () => {
  const world = createWorld();
  const first = world.createAgent('agent-1', ['draws']);
  const second = world.createAgent('agent-2', ['draws']);
  assert.ok(first.isFloorHere('draws') && second.isFloorHere('draws'));
  await Promise.all([first.check(), second.check()]);
  const keepers = [first, second].filter((agent) => agent.isFloorHere('draws'));
  assert.is(keepers.length, 1);
});

test('with the object API down floors stay, and what was never read is kept', async () => {
  const world = createWorld();
  const first = world.createAgent('agent-1', ['draws']);
  await first.check();
  world.store.setFault({ kind: 'outage', retryAfterMs: 1_000 });
  const second = world.createAgent('agent-2', ['draws']);
  await second.check();
  assert.ok(second.isFloorHere('draws'));
  world.standings.set('agent-1', 'going');
  await first.check();
  assert.equal(first.heldModels(), ['draws']);
});

// An upstream is to be emptied. Its agent goes on keeping the model until another agent that has it
// ready has taken the floor; only then may the copy leave.
test('a floor leaves a draining upstream only to an agent with the model ready', async () => {
  const world = createWorld();
  const ready: string[] = [];
  const first = world.createAgent('agent-1', ['draws']);
  const second = world.createAgent('agent-2', ready);
  await first.check();
  world.standings.set('agent-1', 'going');
  world.staying.delete('agent-1');
  await second.check();
  assert.ok(first.isFloorHere('draws'));
  ready.push('draws');
  await second.check();
  assert.equal(second.heldModels(), ['draws']);
  await world.clock.advance(100_000);
  await first.check();
  assert.not.ok(first.isFloorHere('draws'));
});

// An agent is paused and replaced; awake again it finds its floors held under its own name by its
// successor. It leaves them there: or the two would take them from each other for ever.
test('a replaced process does not take the floors back', async () => {
  const world = createWorld();
  const old = world.createAgent('agent-1', ['draws'], 1);
  await old.check();
  const successor = world.createAgent('agent-1', ['draws'], 2);
  await successor.check();
  await world.clock.advance(100_000);
  const callsBefore = world.store.callCount();
  await old.check();
  assert.is(world.store.callCount(), callsBefore + 1);
});

// The membership has not yet told that the taker has the model. Its taking the floor did: a floor is
// taken only by one that has the model ready, so the giver need not wait for the membership.
test('a floor that was just taken frees the copy though the membership lags', async () => {
  const world = createWorld();
  const first = world.createAgent('agent-1', ['draws']);
  await first.check();
  world.standings.set('agent-1', 'going');
  world.staying.delete('agent-1');
  world.standings.set('agent-2', 'without-copy');
  await world.createAgent('agent-2', ['draws']).check();
  await world.clock.advance(100_000);
  await first.check();
  assert.not.ok(first.isFloorHere('draws'));
});

test('a holder whose engine lost the model loads it again', async () => {
  const world = createWorld();
  const ready = ['draws'];
  const holder = world.createAgent('agent-1', ready);
  await holder.check();
  ready.pop();
  await holder.check();
  assert.equal(world.reloaded, ['draws']);
});

test('a holder that stays without the copy loses the floor to one that has it', async () => {
  const world = createWorld();
  const first = world.createAgent('agent-1', ['draws']);
  const second = world.createAgent('agent-2', ['draws']);
  await first.check();
  await second.check();
  world.standings.set('agent-1', 'without-copy');
  await second.check();
  assert.equal(second.heldModels(), []);
  await world.clock.advance(31_000);
  await second.check();
  assert.equal(second.heldModels(), ['draws']);
});

test.run();
