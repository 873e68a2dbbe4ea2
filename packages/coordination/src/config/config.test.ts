import { randoms } from '@copperlever/runtime';
import * as fakeClock from '@copperlever/runtime/testing/fake-clock';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import * as faultyStore from '../object-store/faulty-store.js';
import * as memoryStore from '../object-store/memory-store.js';
import * as fleets from '../testing/fleet.js';

import * as configStore from './config-store.js';
import * as documentCodec from './document-codec.js';

function createParts(seed = 1) {
  const clock = fakeClock.createFakeClock();
  const store = faultyStore.createFaultyStore(memoryStore.createMemoryStore(clock), clock);
  const codec = documentCodec.createJsonCodec<fleets.Document>();
  const random = randoms.createRandom(seed);
  const config = configStore.createConfigStore({ store, codec, clock, random });
  return { clock, store, config };
}

function withModel(name: string, sizeBytes = 1): fleets.Document {
  return { models: { [name]: { sizeBytes } } };
}

function submission(againstVersion: number, name: string) {
  return { operator: 'minh', patch: { add: name }, againstVersion, document: withModel(name) };
}

test('two patches against one version: the second is stale', async () => {
  const { config } = createParts();
  const first = await config.submit(submission(0, 'a'), 1_000);
  assert.is(first.unwrap().version, 1);
  const second = await config.submit(submission(0, 'b'), 1_000);
  assert.equal(second.val, { kind: 'stale', presentVersion: 1 });
  const read = (await config.read(1_000)).unwrap();
  assert.equal(read?.document, withModel('a'));
});

test('a patch whose answer was lost is recognised, also after a later patch', async () => {
  // The head is written, but the answer is lost. The retry finds a head with its own nonce and must report the patch as
  // accepted, not as stale.
  const { clock, store, config } = createParts();
  store.setFault({ kind: 'answers-lost', count: 9 });
  const pending = config.submit(submission(0, 'a'), 60_000);
  await clock.advance(30_000);
  assert.is((await pending).unwrap().version, 1);
  store.setFault({ kind: 'none' });
  assert.is((await config.submit(submission(1, 'b'), 60_000)).unwrap().version, 2);
  const history = (await config.history(10, 60_000)).unwrap();
  assert.equal(
    history.map((record) => [record.version, record.againstVersion]),
    [
      [2, 1],
      [1, 0],
    ],
  );
});

test('a patch during an outage is refused and changes nothing', async () => {
  const { store, config } = createParts();
  store.setFault({ kind: 'outage', retryAfterMs: 5_000 });
  const refused = await config.submit(submission(0, 'a'), 1_000);
  assert.equal(refused.val, { kind: 'store-unavailable', retryAtMs: 5_000 });
  store.setFault({ kind: 'none' });
  assert.is((await config.read(1_000)).unwrap(), null);
});

test('a patch to one of 1,600 models rewrites a small part of the document', () => {
  const codec = documentCodec.createJsonCodec<fleets.Document>();
  const names = Array.from({ length: 1_600 }, (_, index) => `model-${index}`);
  const models = Object.fromEntries(names.map((name) => [name, { sizeBytes: 1_000_000 }]));
  const before = codec.toParts({ models });
  const after = codec.toParts({ models: { ...models, 'model-7': { sizeBytes: 2 } } });
  const kept = new Set(before.map((part) => part.hash));
  const changed = after.filter((part) => !kept.has(part.hash));
  assert.is(changed.length, 1);
  assert.ok(before.length > 1);
  assert.equal(codec.fromParts(before), { models });
});

test('a patch is in force everywhere within 7 s, although few processes watch', async () => {
  const fleet = await fleets.createFleet(12, 1);
  await fleet.clock.advance(10_000);
  const callsBefore = fleet.store.callCount();
  await fleet.nodes[0]?.config.submit(submission(0, 'a'), fleet.clock.nowMs() + 1_000);
  const isInForce = () => fleet.nodes.every((node) => node.follower.version() === 1);
  const tookMs = await fleet.advanceUntil(isInForce, 7_000);
  assert.is.not(tookMs, null);
  // Six watchers read a head and a part each; the other six make no calls.
  assert.ok(fleet.store.callCount() - callsBefore < 40);
  await fleet.stop();
});

test('a version spreads from peer to peer while the object store is down', async () => {
  // The version was accepted just before the outage, and one process holds it. The others learn of it by gossip and
  // fetch it from the peers that reported it.
  const fleet = await fleets.createFleet(8, 2);
  await fleet.nodes[0]?.config.submit(submission(0, 'a'), fleet.clock.nowMs() + 1_000);
  const holds = (version: number) => () =>
    fleet.nodes.every((node) => node.follower.version() === version);
  await fleet.advanceUntil(holds(1), 20_000);
  await fleet.nodes[0]?.config.submit(submission(1, 'b'), fleet.clock.nowMs() + 1_000);
  const newest = (await fleet.nodes[0]?.config.read(fleet.clock.nowMs() + 1_000))?.unwrap();
  fleet.store.setFault({ kind: 'outage', retryAfterMs: 1_000 });
  if (newest !== null && newest !== undefined) fleet.nodes[5]?.follower.offer(newest);
  assert.is.not(await fleet.advanceUntil(holds(2), 7_000), null);
  await fleet.stop();
});

test('a patch comes into force while all watches are silent', async () => {
  // The connections of all watches have gone silent, so no watcher learns of the new head before its watch ends after
  // 20 s. The process that submitted the patch holds the version and reports it to its peers, which fetch it.
  const fleet = await fleets.createFleet(8, 4);
  await fleet.nodes[0]?.config.submit(submission(0, 'a'), fleet.clock.nowMs() + 1_000);
  const holds = (version: number) => () =>
    fleet.nodes.every((node) => node.follower.version() === version);
  await fleet.advanceUntil(holds(1), 20_000);
  fleet.store.setFault({ kind: 'watches-silent' });
  await fleet.clock.advance(1_000);
  await fleet.nodes[3]?.config.submit(submission(1, 'b'), fleet.clock.nowMs() + 1_000);
  assert.is.not(await fleet.advanceUntil(holds(2), 7_000), null);
  await fleet.stop();
});

test('a process never returns to an older version', async () => {
  const fleet = await fleets.createFleet(2, 3);
  const config = fleet.nodes[0]?.config;
  await config?.submit(submission(0, 'a'), fleet.clock.nowMs() + 1_000);
  const old = (await config?.read(fleet.clock.nowMs() + 1_000))?.unwrap();
  await config?.submit(submission(1, 'b'), fleet.clock.nowMs() + 1_000);
  const follower = fleet.nodes[1]?.follower;
  await fleet.advanceUntil(() => follower?.version() === 2, 20_000);
  if (old !== null && old !== undefined) follower?.offer(old);
  assert.is(follower?.version(), 2);
  await fleet.stop();
});

test.run();
