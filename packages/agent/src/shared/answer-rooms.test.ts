import * as byteBudgets from '@copperlever/runtime/byte-budget';
import * as fakeClock from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as answerRooms from './answer-rooms.js';

const test = suite('rooms of answers');

const MEGABYTE = 1024 * 1024;
const WAIT_MS = 6_000;

function createWorld(maxBytes = 9 * MEGABYTE) {
  const budget = byteBudgets.createByteBudget(maxBytes);
  const clock = fakeClock.createFakeClock();
  const rooms = answerRooms.createAnswerRooms(clock, budget, 4 * MEGABYTE);
  const discarded: string[] = [];

  function open(name: string, isReadWhole = false, readers = 0) {
    const room: answerRooms.AnswerRoom = rooms.open({
      isReadWhole: () => isReadWhole,
      readerCount: () => readers,
      discard: () => {
        discarded.push(name);
        room.release();
      },
    });
    return room;
  }

  async function take(room: answerRooms.AnswerRoom, bytes: number): Promise<boolean> {
    const taken = room.take(bytes);
    await clock.advance(WAIT_MS);
    return taken;
  }

  async function keep(name: string, isReadWhole: boolean, readers = 0): Promise<void> {
    const room = open(name, isReadWhole, readers);
    assert.ok(await take(room, 2 * MEGABYTE));
    room.finish();
  }

  return { clock, budget, discarded, open, take, keep };
}

// Guards against finished answers that fill the memory, or that go before those which nobody will ask for again.
test('finished answers make room: those read whole first, the oldest first', async () => {
  const { budget, discarded, open, take, keep } = createWorld();
  await keep('unread', false);
  await keep('being read', true, 1);
  await keep('read', true);
  const room = open('open');
  // A long answer takes the room of the longest.
  assert.ok(await take(room, 2 * MEGABYTE));
  assert.equal(discarded, ['read']);
  assert.ok(await take(room, 2 * MEGABYTE));
  assert.ok(await take(open('short'), MEGABYTE));
  assert.equal(discarded, ['read', 'unread']);
  room.release();
  assert.is(budget.heldBytes(), 3 * MEGABYTE);
});

// Guards against unread answers that are thrown away for one that gets no room even so.
test('finished answers are kept where their room would not be enough', async () => {
  const { discarded, open, take, keep } = createWorld(11 * MEGABYTE);
  await keep('unread', false);
  assert.ok(await take(open('first'), 2 * MEGABYTE));
  assert.ok(await take(open('second'), MEGABYTE));
  assert.ok(await take(open('third'), MEGABYTE));
  assert.not(await take(open('fourth'), 4 * MEGABYTE));
  assert.equal(discarded, []);
});

// Guards against long answers that each hold what the others wait for, so that none can end.
test('of long answers as many go on as can end, and one that ends lets the next go on', async () => {
  const { clock, discarded, open, take } = createWorld();
  const [first, second, third] = ['first', 'second', 'third'].map((name) => open(name));
  assert.ok(first !== undefined && second !== undefined && third !== undefined);
  assert.ok(await take(first, 2 * MEGABYTE));
  assert.ok(await take(second, 2 * MEGABYTE));
  const waiting = third.take(2 * MEGABYTE);
  await clock.advance(1_000);
  assert.ok(await first.take(2 * MEGABYTE));
  first.release();
  await clock.advance(100);
  assert.ok(await waiting);
  assert.not(await take(open('fourth'), 2 * MEGABYTE));
  assert.equal(discarded, []);
});

// Guards against a long answer that waits in vain, since later ones take each room that becomes free.
test('long answers go on in the order in which they came', async () => {
  const { clock, open, take } = createWorld();
  const [first, second, early, late] = ['a', 'b', 'c', 'd'].map((name) => open(name));
  assert.ok(first !== undefined && second !== undefined);
  assert.ok(await take(first, 2 * MEGABYTE));
  assert.ok(await take(second, 2 * MEGABYTE));
  const waited = early?.take(2 * MEGABYTE);
  first.release();
  const overtaking = late?.take(2 * MEGABYTE);
  await clock.advance(100);
  assert.ok(await waited);
  await clock.advance(WAIT_MS);
  assert.not(await overtaking);
});

// Guards against a long answer that has its room and waits behind one that waits for its end.
test('an answer that grows past the room of the longest goes on before those that wait', async () => {
  const { clock, open, take } = createWorld(10 * MEGABYTE);
  const [first, second, waiting] = ['a', 'b', 'c'].map((name) => open(name));
  assert.ok(first !== undefined && second !== undefined);
  assert.ok(await take(first, 4 * MEGABYTE));
  assert.ok(await take(second, 4 * MEGABYTE));
  const waited = waiting?.take(2 * MEGABYTE);
  const grown = first.take(1_000);
  await clock.advance(100);
  assert.ok(await grown);
  first.release();
  await clock.advance(100);
  assert.ok(await waited);
});

test.run();
