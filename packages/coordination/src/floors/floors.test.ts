import { randoms } from '@copperlever/runtime';
import * as fakeClock from '@copperlever/runtime/testing/fake-clock';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import * as faultyStore from '../object-store/faulty-store.js';
import * as memoryStore from '../object-store/memory-store.js';

import * as floors from './floors.js';

test('of two members that move a floor at once, only one succeeds', async () => {
  // Each member would unload its copy after a successful move, so if both succeeded the model would become unreachable.
  // The answer to the winning write is lost and the write is recognised; the other member learns the present holder.
  const clock = fakeClock.createFakeClock();
  const store = faultyStore.createFaultyStore(memoryStore.createMemoryStore(clock), clock);
  const random = randoms.createRandom(1);
  const held = floors.createFloors({ store, clock, random });
  const first = await held.acquire('m', null, { holderId: 'a', incarnation: 1 }, 100);
  store.setFault({ kind: 'answers-lost', count: 1 });
  const moves = ['b', 'c'].map((holderId) =>
    held.acquire('m', first.unwrap(), { holderId, incarnation: 1 }, 5_000),
  );
  await clock.advance(5_000);
  const [b, c] = await Promise.all(moves);
  assert.is(b?.ok, true);
  assert.equal(c?.val, { kind: 'moved', floor: { key: 'm', holderId: 'b', incarnation: 1 } });
});

// Guards against a record of another shape in the store that ends the agent which reads it.
test('a floor that cannot be read counts as a store that does not answer', async () => {
  const clock = fakeClock.createFakeClock();
  const store = memoryStore.createMemoryStore(clock);
  const held = floors.createFloors({ store, clock, random: randoms.createRandom(1) });
  for (const bytes of ['', 'null', '{}']) {
    const key = `m${bytes}`;
    const written = Buffer.from(bytes);
    await store.put(floors.floorObjectKey(key), written, { kind: 'absent' }, 1_000);
    const read = await held.read(key, 1_000);
    const taken = await held.acquire(key, null, { holderId: 'b', incarnation: 1 }, 1_000);
    const kinds = [read, taken].map((one) => (one.err ? one.val.kind : 'ok'));
    assert.equal(kinds, ['store-unavailable', 'store-unavailable']);
  }
});

test.run();
