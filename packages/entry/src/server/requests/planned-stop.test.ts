import { agent } from '@copperlever/protocol';
import * as stopTimes from '@copperlever/runtime/stop-times';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as fakeAgents from '../../testing/fake-agents.js';
import * as rigs from '../../testing/rig.js';
import type * as calls from '../../types/calls.js';

const test = suite('calls at a planned stop');
const DRAIN_TIMEOUT_MS = 10_000;
const NOTICE_MS = 2_000;

type Scene = Partial<fakeAgents.Script> & {
  isOnce?: boolean;
  longestMs?: number;
  askAtMs?: number;
};

/** A call at an entry whose stop begins at 0; resolves to its outcome and when it came. */
async function callAtStop(scene: Scene) {
  const rig = rigs.createRig({ agentCount: 1 });
  const { serve, stop } = rig.createEntry('entry-1');
  // An attempt that is silent is asked for again.
  rig.agents.script('desk-a', { resume: () => ['hang'], ...scene });
  if (scene.longestMs !== undefined) stop.noteDuration('entries', scene.longestMs);
  stop.begin(stopTimes.drainTimes(0, DRAIN_TIMEOUT_MS, NOTICE_MS));
  await rig.clock.advance(scene.askAtMs ?? 0);
  const call = rigs.createCall({
    deadlineMs: 60_000,
    idempotencyKey: scene.isOnce === true ? 'k-1' : null,
  });
  const { sink } = rigs.createSink();
  const outcome = await rigs.settle(rig, serve(call, sink, new AbortController().signal));
  const cause = outcome.kind === 'answered' ? '' : outcome.cause;
  const { dispatched, revoked } = rig.agents;
  return { rig, told: `${outcome.kind} ${cause}`, atMs: rig.clock.nowMs(), dispatched, revoked };
}

const hang = { dispatch: (): fakeAgents.Event[] => ['hang'] };
const running = {
  dispatch: (): fakeAgents.Event[] => [fakeAgents.started, 'hang'],
  revoke: () => agent.RevokeOutcome.REVOKE_OUTCOME_STARTED,
};

// Guards against a call that waits at its agent through a stop and starts too late to be over.
test('what waits at an agent is taken back while it can no more be over', async () => {
  const known = await callAtStop({ ...hang, longestMs: 4_000 });
  assert.is(known.told, 'not-run leaving');
  assert.ok(known.atMs >= 5_500 && known.atMs < 5_600, `${known.atMs}`);
  assert.is(known.revoked[0]?.cancelIfStarted, false);
  const notKnown = await callAtStop({ ...hang, isOnce: true });
  assert.is(notKnown.told, 'not-run leaving');
  assert.ok(notKnown.atMs < NOTICE_MS + 100, `${notKnown.atMs}`);
});

// Guards against a refusal as not run of a call that its agent has started meanwhile, or says nothing of.
test('only the word of the agent lets a call be refused as not run', async () => {
  for (const revoke of [running.revoke, () => 'unreachable'] as fakeAgents.Script['revoke'][]) {
    const { told, atMs } = await callAtStop({ ...hang, isOnce: true, revoke });
    assert.is(told, 'unknown stopping');
    assert.ok(atMs >= 9_500 && atMs < 9_850, `${atMs}`);
  }
});

// Guards against a stop that cuts what runs at its end, and against a claim that is settled by it.
test('what runs at the end of a stop is told that it may have run', async () => {
  const idempotent = await callAtStop(running);
  assert.is(idempotent.told, 'failed stopping');
  assert.is(idempotent.revoked.at(-1)?.cancelIfStarted, true);
  const once = await callAtStop({ ...running, isOnce: true });
  assert.is(once.told, 'unknown stopping');
  assert.is(once.revoked.at(-1)?.cancelIfStarted, false);
  // A resend at another entry finds the attempt at its agent.
  const { rig } = once;
  rig.agents.script('desk-a', { resume: () => fakeAgents.answer('ok') });
  const other = rig.createEntry('entry-2');
  const call = rigs.createCall({ requestId: 'r-2', deadlineMs: 60_000, idempotencyKey: 'k-1' });
  const { sink } = rigs.createSink();
  const resent = await rigs.settle(rig, other.serve(call, sink, new AbortController().signal));
  assert.equal(resent, { kind: 'answered', status: 200, replayed: true } satisfies calls.Outcome);
});

// Guards against calls and retries that a stop passes on when they can no more be over.
test('nothing is passed on or tried again that can not be over', async () => {
  const late = await callAtStop({ askAtMs: 3_000 });
  assert.equal([late.told, late.dispatched], ['not-run leaving', []]);
  const inTime = await callAtStop({ askAtMs: 3_000, longestMs: 1_000 });
  assert.is(inTime.told, 'answered ');
  const waits = await callAtStop({ dispatch: () => [fakeAgents.refused('leaving', 5_000)] });
  assert.equal([waits.told, waits.dispatched.length], ['not-run leaving', 1]);
  assert.ok(waits.atMs <= NOTICE_MS + 10, `${waits.atMs}`);
});

test.run();
