import * as byteBudgets from '@copperlever/runtime/byte-budget';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as answerRooms from './answer-rooms.js';

const test = suite('rooms of answers');

const MEGABYTE = 1024 * 1024;

function createWorld(maxBytes = 9 * MEGABYTE) {
  const budget = byteBudgets.createByteBudget(maxBytes);
  const rooms = answerRooms.createAnswerRooms(budget);
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

  function keep(name: string, isReadWhole: boolean, readers = 0): void {
    const room = open(name, isReadWhole, readers);
    assert.ok(room.take(2 * MEGABYTE));
    room.finish();
  }

  return { budget, discarded, open, keep };
}

// Guards against finished answers that fill the memory, or that go before those which nobody will ask for again.
test('finished answers make room: those read whole first, the oldest first', () => {
  const { budget, discarded, open, keep } = createWorld();
  keep('unread', false);
  keep('read', true);
  keep('read later', true);
  keep('being read', true, 1);
  const room = open('open');
  assert.ok(room.take(2 * MEGABYTE));
  assert.equal(discarded, ['read']);
  assert.ok(room.take(2 * MEGABYTE));
  assert.ok(room.take(2 * MEGABYTE));
  assert.equal(discarded, ['read', 'read later', 'unread']);
  assert.not(room.take(2 * MEGABYTE));
  room.release();
  assert.is(budget.heldBytes(), 2 * MEGABYTE);
});

test('an open answer is never discarded for another', () => {
  const { discarded, open } = createWorld();
  assert.ok(open('first', true).take(8 * MEGABYTE));
  assert.not(open('second').take(MEGABYTE));
  assert.equal(discarded, []);
});

test.run();
