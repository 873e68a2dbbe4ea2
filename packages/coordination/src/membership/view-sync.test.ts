import { randoms, results } from '@copperlever/runtime';
import * as fakeClock from '@copperlever/runtime/testing/fake-clock';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import * as notices from './notices.js';
import * as swim from './swim.js';
import type * as types from './types.js';
import * as viewSync from './view-sync.js';

function describe(memberId: string): types.SelfDescription {
  return {
    memberId,
    incarnation: 1,
    address: `${memberId}:1`,
    region: 'r',
    failureDomain: 'd',
    attributes: Buffer.alloc(0),
  };
}

function createParts() {
  const clock = fakeClock.createFakeClock();
  const random = randoms.createRandom(1);
  const state = swim.createSwim(describe('a'), swim.DEFAULT_LIMITS, random);
  state.apply({ ...describe('b'), revision: 0, status: 'alive' }, 0, 'view');
  const asked: string[] = [];
  const sync = viewSync.createViewSync({
    state,
    noticeTable: notices.createNoticeTable(clock),
    transport: {
      listMembers: async (address) => {
        asked.push(address);
        return results.Ok({ members: [], configVersion: 0, notices: [], fromId: 'b' });
      },
    },
    clock,
    random,
    applyReply: () => {},
  });
  const message = {
    fromId: 'b',
    updates: [],
    configVersion: 0,
    notices: [],
    viewHash: 0,
    knownIncarnation: 0,
    knownRevision: 0,
  };
  return { clock, state, sync, asked, message };
}

test('a process that no other process knows announces itself again', async () => {
  // The process knows all others, but its first messages were lost, so that no caller would reach it. Its view differs
  // from every other by its own record, which no fetch can change, so it announces itself once more.
  const { clock, state, sync, asked, message } = createParts();
  while (state.takeUpdates(clock.nowMs()).length > 0);
  await clock.advance(30_000);
  for (let count = 0; count < 3; count += 1) sync.compare(message, undefined);
  await clock.settle();
  assert.equal(asked, ['b:1']);
  const announced = state.takeUpdates(clock.nowMs()).map((member) => member.memberId);
  assert.equal(announced, ['a']);
});

test('views that have just changed are not compared', async () => {
  const { clock, sync, asked, message } = createParts();
  await clock.advance(10_000);
  sync.noteChange();
  for (let count = 0; count < 9; count += 1) sync.compare(message, undefined);
  await clock.settle();
  assert.equal(asked, []);
});

test.run();
