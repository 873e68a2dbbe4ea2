import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as fixtures from '../../testing/copies-fixture.js';

const test = suite('engine copies');

const SHORT_MS = 20_000;

async function startWith(
  options: Partial<fixtures.FixtureOptions> & Pick<fixtures.FixtureOptions, 'models'>,
) {
  const world = fixtures.createCopiesFixture({ memoryBytes: 100, checksFencing: true, ...options });
  const agent = world.startAgent(1);
  await world.clock.advance(10);
  const load = async (target: string, timeoutMs = SHORT_MS) => {
    const done = agent.copies.ensureReady(target, world.clock.nowMs() + timeoutMs);
    await world.clock.advance(timeoutMs);
    return done;
  };
  return { ...world, agent, load };
}

// A model's version changes while callers use it. The old version serves until the new one is
// ready, both are charged meanwhile, and at no instant is the model out of reach.
test('a new version is loaded beside the old one, which serves until then', async () => {
  const world = await startWith({ models: { draws: { sizeBytes: 40 } }, loadMs: 500 });
  await world.load('draws');
  world.setDocument(
    fixtures.createDocument({
      memoryBytes: 100,
      checksFencing: true,
      models: { draws: { sizeBytes: 50, version: 'v2' } },
    }),
  );
  for (let passedMs = 0; passedMs < 6_000; passedMs += 100) {
    await world.clock.advance(100);
    assert.ok(world.agent.copies.isReady('draws'));
  }
  assert.is(world.engine.peakBytes(), 90);
  assert.equal(
    world.engine.copies().map((copy) => copy.version),
    ['v2'],
  );
});

// The new version does not fit beside the old one and this is the last copy. Unloading first would
// leave callers without the model, so the old one goes on until another agent holds the floor.
test('a last copy stays when its new version does not fit beside it', async () => {
  const world = await startWith({ models: { draws: { sizeBytes: 60 } } });
  await world.load('draws');
  world.floorNames.add('draws');
  const models = { draws: { sizeBytes: 60, version: 'v2' } };
  world.setDocument(fixtures.createDocument({ memoryBytes: 100, checksFencing: true, models }));
  await world.clock.advance(10_000);
  assert.ok(world.agent.copies.isReady('draws'));
  world.floorNames.delete('draws');
  await world.clock.advance(10_000);
  assert.equal(world.engine.copies(), []);
  assert.ok((await world.load('draws')).ok);
  assert.is(world.engine.copies()[0]?.version, 'v2');
});

test('a model that was removed is unloaded once nothing runs on it', async () => {
  const world = await startWith({ models: { draws: { sizeBytes: 60 }, other: { sizeBytes: 10 } } });
  await world.load('draws');
  const release = world.agent.copies.hold('draws');
  const models = { other: { sizeBytes: 10 } };
  world.setDocument(fixtures.createDocument({ memoryBytes: 100, checksFencing: true, models }));
  await world.clock.advance(10_000);
  assert.is(world.engine.copies().length, 1);
  release();
  await world.clock.advance(3_000);
  assert.equal(world.engine.copies(), []);
});

// A caller waits for a model that has no room. The copy that must leave is in use: it takes no new
// work, finishes what it has, and only then leaves; nothing in flight is cut off.
test('a copy in use leaves only after its work, and takes no new work before', async () => {
  const world = await startWith({ models: { draws: { sizeBytes: 60 }, notes: { sizeBytes: 60 } } });
  await world.load('draws');
  const release = world.agent.copies.hold('draws');
  const waiting = world.agent.copies.ensureReady('notes', world.clock.nowMs() + SHORT_MS);
  await world.clock.advance(5_000);
  assert.not.ok(world.agent.copies.isReady('draws'));
  assert.is(world.engine.copies()[0]?.name, 'draws');
  release();
  await world.clock.advance(5_000);
  assert.ok((await waiting).ok);
});

test('a last copy is not unloaded, and the caller is refused at once', async () => {
  const world = await startWith({ models: { draws: { sizeBytes: 60 }, notes: { sizeBytes: 60 } } });
  await world.load('draws');
  world.floorNames.add('draws');
  const waiting = world.agent.copies.ensureReady('notes', world.clock.nowMs() + SHORT_MS);
  await world.clock.advance(50);
  const refused = await waiting;
  assert.ok(refused.err);
  assert.is(refused.val.cause, 'no-memory');
  assert.is(world.engine.copies()[0]?.name, 'draws');
});

// Loads are known to take ten seconds here, and a caller allows two. It is told so at once, not after
// its two seconds; the load goes on, so that its retry finds the model ready.
test('a caller whose deadline a load cannot meet is refused at once', async () => {
  const world = await startWith({
    models: { draws: { sizeBytes: 50 }, notes: { sizeBytes: 50 } },
    loadMs: 10_000,
  });
  await world.load('draws');
  const askedAtMs = world.clock.nowMs();
  const refused = await world.agent.copies.ensureReady('notes', askedAtMs + 2_000);
  assert.ok(refused.err);
  assert.is(refused.val.cause, 'deadline-unreachable');
  assert.ok(refused.val.retryAtMs >= askedAtMs + 9_000);
  await world.clock.advance(12_000);
  assert.ok(world.agent.copies.isReady('notes'));
});

test('a caller is refused at its deadline at the latest while a load hangs', async () => {
  const world = await startWith({ models: { draws: { sizeBytes: 50 } }, loadMs: 60_000 });
  let answeredAtMs = -1;
  void world.agent.copies.ensureReady('draws', world.clock.nowMs() + 3_000).then(() => {
    answeredAtMs = world.clock.nowMs();
  });
  const deadlineMs = world.clock.nowMs() + 3_000;
  await world.clock.advance(10_000);
  assert.is(answeredAtMs, deadlineMs);
});

for (const checksFencing of [true, false]) {
  const kind = checksFencing ? 'checks' : 'ignores';
  // The load order is lost on its way. Its caller still gets the model within its deadline, since
  // the order is sent again; its memory is charged once.
  test(`a lost order to an engine that ${kind} fencing numbers is sent again`, async () => {
    const world = await startWith({ models: { draws: { sizeBytes: 60 } }, checksFencing });
    world.engine.setNextFate({ kind: 'lost' });
    assert.ok((await world.load('draws')).ok);
    assert.is(world.agent.copies.ledger.chargedBytes(), 60);
  });
}

test('a load that fails in the engine is ordered again', async () => {
  const world = await startWith({ models: { draws: { sizeBytes: 60 } } });
  world.engine.failLoads(1);
  assert.ok((await world.load('draws')).ok);
});

// The object API is down. An engine that ignores fencing numbers takes no new orders, for a later
// agent could not know of them; what is loaded goes on serving.
test('in an outage of the object API an engine without fencing takes no orders', async () => {
  const models = { draws: { sizeBytes: 40 }, notes: { sizeBytes: 40 } };
  const world = await startWith({ models, checksFencing: false });
  await world.load('draws');
  world.store.setFault({ kind: 'outage', retryAfterMs: 1_000 });
  const refused = await world.load('notes');
  assert.ok(refused.err);
  assert.is(refused.val.cause, 'load-failed');
  assert.ok(world.agent.copies.isReady('draws'));
  assert.is(world.engine.orderCount('load'), 1);
  world.store.setFault({ kind: 'none' });
  assert.ok((await world.load('notes')).ok);
});

// An agent is paused and replaced. Back again, it finds that the ownership has moved and orders
// nothing any more, whatever it believes.
test('a replaced agent stops ordering', async () => {
  const models = { draws: { sizeBytes: 40 }, notes: { sizeBytes: 40 } };
  const world = await startWith({ models, checksFencing: false });
  world.agent.gate.pause();
  world.startAgent(2);
  await world.clock.advance(5_000);
  world.agent.gate.resume();
  const refused = await world.load('draws');
  assert.ok(refused.err);
  assert.is(world.engine.orderCount('load'), 0);
});

test('an adapter is loaded after its model and leaves with it', async () => {
  const world = await startWith({
    models: { draws: { sizeBytes: 60 }, notes: { sizeBytes: 90 } },
    adapters: { club: { model: 'draws', sizeBytes: 10 } },
  });
  assert.ok((await world.load('club')).ok);
  assert.is(world.engine.usedBytes(), 70);
  assert.ok((await world.load('notes')).ok);
  assert.equal(
    world.engine.copies().map((copy) => copy.name),
    ['notes'],
  );
});

test.run();
