import type * as membership from '@copperlever/coordination/membership/types';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as suspectsModule from './suspects.js';

const test = suite('suspects');

function createRig() {
  const state = { nowMs: 0 };
  const notices: membership.Notice[] = [];
  const suspects = suspectsModule.createSuspects({
    clock: { nowMs: () => state.nowMs },
    notices: {
      publish: (notice) => notices.push(notice),
      has: (_topic, key) =>
        notices.some((notice) => notice.key === key && notice.expiresAtMs > state.nowMs),
      list: () => notices,
    },
  });
  return { state, notices, suspects };
}

test('one crash is no verdict, two are', () => {
  const { suspects } = createRig();
  suspects.noteCrash('f-1');
  assert.is(suspects.quarantinedUntilMs('f-1'), null);
  suspects.noteCrash('f-1');
  assert.is(suspects.quarantinedUntilMs('f-1'), suspectsModule.QUARANTINE_MS);
});

test('a frequent request that is answered between two crashes is not blamed for them', () => {
  // A health check is in flight whenever an engine dies. It is answered everywhere else.
  const { suspects } = createRig();
  suspects.noteCrash('ping');
  suspects.noteAnswer('ping');
  suspects.noteCrash('ping');
  assert.is(suspects.quarantinedUntilMs('ping'), null);
});

test('a quarantine ends by itself, and old suspicions pass', () => {
  const { state, suspects } = createRig();
  suspects.noteCrash('f-1');
  state.nowMs = 3_600_000;
  suspects.noteCrash('f-1');
  assert.is(suspects.quarantinedUntilMs('f-1'), null);
  suspects.noteCrash('f-1');
  state.nowMs += suspectsModule.QUARANTINE_MS + 1;
  assert.is(suspects.quarantinedUntilMs('f-1'), null);
});

test('agents that run a suspect are known, so that the next one goes elsewhere', () => {
  const { suspects } = createRig();
  suspects.noteStarted('jury-1');
  suspects.noteStarted('jury-1');
  suspects.noteEnded('jury-1');
  assert.equal([...suspects.busyAgentIds()], ['jury-1']);
  suspects.noteEnded('jury-1');
  assert.equal([...suspects.busyAgentIds()], []);
});

test.run();
