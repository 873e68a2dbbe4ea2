import type * as membership from '@copperlever/coordination/membership/types';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as suspectsModule from './suspects.js';

const test = suite('suspects');

function createRig(notices: membership.Notice[] = []) {
  const state = { nowMs: 0 };
  const listed = (topic: string) =>
    notices.filter((notice) => notice.topic === topic && notice.expiresAtMs > state.nowMs);
  const suspects = suspectsModule.createSuspects({
    clock: { nowMs: () => state.nowMs },
    notices: {
      publish: (notice) => notices.push(notice),
      has: (topic, key) => listed(topic).some((notice) => notice.key === key),
      list: listed,
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

test('a first crash at another entry counts, unless the request was answered here since', () => {
  // A stream has begun when its engine dies, so it is not retried; its caller asks at another entry.
  const first = createRig();
  first.suspects.noteCrash('f-1');
  const second = createRig(first.notices);
  second.suspects.noteCrash('f-1');
  assert.is(second.suspects.quarantinedUntilMs('f-1'), suspectsModule.QUARANTINE_MS);
  const third = createRig();
  third.suspects.noteCrash('ping');
  const fourth = createRig(third.notices);
  fourth.suspects.noteAnswer('ping');
  fourth.suspects.noteCrash('ping');
  assert.is(fourth.suspects.quarantinedUntilMs('ping'), null);
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
