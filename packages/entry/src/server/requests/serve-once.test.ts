import { agent } from '@copperlever/protocol';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as fakeAgents from '../../testing/fake-agents.js';
import * as rigs from '../../testing/rig.js';

const test = suite('serve: requests that run at most once');
const { REVOKE_OUTCOME_STARTED, REVOKE_OUTCOME_FINISHED } = agent.RevokeOutcome;
const never = new AbortController().signal;

function submission(requestId: string, fields = {}) {
  return rigs.createCall({ requestId, idempotencyKey: 'boat-7', ...fields });
}

async function serveAt(rig: rigs.Rig, entryId: string, call = submission('r-1')) {
  const { sink, text } = rigs.createSink();
  const entry = rig.createEntry(entryId);
  const outcome = await rigs.settle(rig, entry.serve(call, sink, never));
  return { outcome, text, entry };
}

function scriptAll(rig: rigs.Rig, script: Partial<fakeAgents.Script>): void {
  rig.members.forEach((member) => rig.agents.script(member.memberId, script));
}

test('sent twice, to two entries, it runs once and both get the answer', async () => {
  const rig = rigs.createRig();
  scriptAll(rig, { dispatch: () => fakeAgents.answer('lane 4') });
  await serveAt(rig, 'entry-1');
  await rig.clock.advance(100);
  const second = await serveAt(rig, 'entry-2', submission('r-2'));
  assert.equal(second.outcome, { kind: 'answered', status: 200, replayed: true });
  assert.is(second.text(), 'lane 4');
  assert.is(rig.agents.dispatched.length, 1);
});

test('with the object API down it is refused at once, and what may run twice goes on', async () => {
  // Without its claim a submission could run at two agents. The caller has a deadline of ten
  // seconds and needs most of it to ask again: it hears at once, not at the end.
  const rig = rigs.createRig();
  rig.state.storeIsDown = true;
  const { outcome } = await serveAt(rig, 'entry-1');
  assert.is(outcome.kind === 'not-run' && outcome.cause, 'claim-store-unavailable');
  assert.is(outcome.kind === 'not-run' && outcome.retryAtMs, 3_000);
  assert.ok(rig.clock.nowMs() <= 1_000);
  assert.is(rig.agents.dispatched.length, 0);
  const other = await serveAt(rig, 'entry-1', rigs.createCall());
  assert.is(other.outcome.kind, 'answered');
});

test('a resend while the first still runs joins its answer, and does not disturb it', async () => {
  const rig = rigs.createRig({ agentCount: 1 });
  let hasRun = false;
  rig.agents.script('desk-a', {
    dispatch: () => [fakeAgents.started, 'hang'],
    resume: () => (hasRun ? fakeAgents.answer('lane 4') : ['hang']),
    revoke: () => REVOKE_OUTCOME_STARTED,
  });
  const first = rigs.createSink();
  const second = rigs.createSink();
  const firstDone = rig.createEntry('entry-1').serve(submission('r-1'), first.sink, never);
  await rig.clock.advance(100);
  const secondDone = rig.createEntry('entry-2').serve(submission('r-2'), second.sink, never);
  await rig.clock.advance(100);
  hasRun = true;
  await rigs.settle(rig, Promise.all([firstDone, secondDone]));
  assert.is(first.text(), 'lane 4');
  assert.is(second.text(), 'lane 4');
  assert.is(rig.agents.dispatched.length, 1);
  assert.is(rig.agents.revoked.length, 0);
});

test('an answer that could not be noted is not acknowledged until it is', async () => {
  // The object API goes down while a submission runs. Its caller has the answer; a resend must get
  // the same one, so the agent keeps it until the claim has it, minutes later.
  const rig = rigs.createRig({ agentCount: 1 });
  rig.agents.script('desk-a', {
    dispatch: () => {
      rig.state.storeIsDown = true;
      return fakeAgents.answer('lane 4');
    },
  });
  const { outcome } = await serveAt(rig, 'entry-1');
  assert.is(outcome.kind, 'answered');
  await rig.clock.advance(120_000);
  assert.equal(rig.agents.acknowledged, []);
  rig.state.storeIsDown = false;
  await rig.clock.advance(30_000);
  assert.equal(rig.agents.acknowledged, ['r-1/1']);
  const second = await serveAt(rig, 'entry-2', submission('r-2', { deadlineMs: 200_000 }));
  assert.is(second.text(), 'lane 4');
  assert.is(rig.agents.dispatched.length, 1);
});

test('an agent that is lost leaves "unknown", and a resend does not run it again', async () => {
  const rig = rigs.createRig({ agentCount: 2 });
  scriptAll(rig, {
    dispatch: () => [fakeAgents.started, 'lost'],
    resume: () => ['lost'],
    revoke: () => 'unreachable',
  });
  const { outcome } = await serveAt(rig, 'entry-1');
  assert.is(outcome.kind === 'unknown' && outcome.cause, 'agent-lost');
  const fields = { deadlineMs: rig.clock.nowMs() + 20_000 };
  const second = await serveAt(rig, 'entry-2', submission('r-2', fields));
  assert.is(second.outcome.kind, 'unknown');
  assert.is(rig.agents.dispatched.length, 1);
});

test('what ran, and whose answer the agent has let go, is not run again', async () => {
  // The entry dies after the answer and before the claim has it. The resend finds an open claim, and
  // an agent that knows the attempt ran but not what it answered.
  const rig = rigs.createRig({ agentCount: 1 });
  rig.agents.script('desk-a', {
    dispatch: () => [fakeAgents.started, 'hang'],
    revoke: () => REVOKE_OUTCOME_FINISHED,
  });
  void rig.createEntry('entry-1').serve(submission('r-1'), rigs.createSink().sink, never);
  await rig.clock.advance(100);
  const second = await serveAt(rig, 'entry-2', submission('r-2'));
  assert.is(second.outcome.kind, 'unknown');
  assert.is(rig.agents.dispatched.length, 1);
});

test('a claim whose dispatch never arrived is taken over, once', async () => {
  // The first entry dies between claim and dispatch. The agent has never heard of the attempt and
  // promises to refuse it, should it still come.
  const rig = rigs.createRig({ agentCount: 1 });
  rig.agents.script('desk-a', { dispatch: () => ['hang'], resume: () => ['hang'] });
  void rig.createEntry('entry-1').serve(submission('r-1'), rigs.createSink().sink, never);
  await rig.clock.advance(100);
  rig.agents.script('desk-a', {
    dispatch: () => fakeAgents.answer('lane 4'),
    resume: () => [fakeAgents.failed('attempt-unknown')],
  });
  const second = await serveAt(rig, 'entry-2', submission('r-2'));
  assert.equal(second.outcome, { kind: 'answered', status: 200, replayed: false });
  assert.equal(
    rig.agents.revoked.map((request) => request.dispatchId),
    ['r-1/1'],
  );
});

test('a refused submission leaves a claim that a resend takes over without asking', async () => {
  const rig = rigs.createRig({ agentCount: 1 });
  rig.agents.script('desk-a', { dispatch: () => [fakeAgents.refused('queue-full')] });
  const first = await serveAt(rig, 'entry-1');
  assert.is(first.outcome.kind, 'not-run');
  await rig.clock.advance(100);
  rig.agents.script('desk-a', { dispatch: () => fakeAgents.answer('lane 4') });
  const second = await serveAt(rig, 'entry-2', submission('r-2'));
  assert.is(second.outcome.kind, 'answered');
  assert.equal(rig.agents.revoked, []);
  assert.equal(rig.agents.resumed, []);
});

test('the dispatch carries the tick from before its claim', async () => {
  // An entry is paused between claim and dispatch for longer than the agent remembers a revoke. Had
  // the dispatch a fresh tick, the agent would run what a resend has revoked and run elsewhere.
  const rig = rigs.createRig({ agentCount: 1 });
  await serveAt(rig, 'entry-1');
  await rig.clock.advance(100);
  const stored = await rig.store.get('claims/club-a%2Fboat-7', 1_000);
  const claim = JSON.parse(stored.unwrap()?.value.toString() ?? '{}') as {
    target: { tick: number };
  };
  assert.is(claim.target.tick, rig.agents.requests[0]?.agentTick);
});

test('a caller that goes away does not stop a submission: its resend gets the answer', async () => {
  const rig = rigs.createRig({ agentCount: 1 });
  const caller = new AbortController();
  rig.agents.script('desk-a', {
    dispatch: () => [fakeAgents.started, 'hang'],
    resume: () => fakeAgents.answer('lane 4'),
  });
  const { sink } = rigs.createSink();
  const serving = rig.createEntry('entry-1').serve(submission('r-1'), sink, caller.signal);
  await rig.clock.advance(50);
  caller.abort();
  assert.is((await rigs.settle(rig, serving)).kind, 'answered');
  assert.equal(rig.agents.revoked, []);
});

test('one key for two different requests is refused', async () => {
  const rig = rigs.createRig();
  await serveAt(rig, 'entry-1');
  const second = await serveAt(rig, 'entry-2', submission('r-2', { fingerprint: 'f-2' }));
  assert.is(second.outcome.kind === 'not-run' && second.outcome.cause, 'idempotency-key-reused');
});

// Guards against a submission that is told as failed, or not run, since the entry of its resend had no room for the answer.
test('without room for its answer a submission is told as run, and a resend as in progress', async () => {
  const rig = rigs.createRig({ agentCount: 1 });
  scriptAll(rig, {
    dispatch: () => [fakeAgents.started, 'hang'],
    resume: () => fakeAgents.answer('lane 4'),
    revoke: () => REVOKE_OUTCOME_STARTED,
  });
  const full = { ...rigs.createSink().sink, takeRoom: async () => 'no-room' as const };
  const first = rigs.createSink();
  const firstDone = rig.createEntry('entry-1').serve(submission('r-1'), first.sink, never);
  await rig.clock.advance(100);
  const joined = rig.createEntry('entry-2').serve(submission('r-2'), full, never);
  const told = await rigs.settle(rig, joined);
  assert.is(told.kind === 'unknown' && told.cause, 'in-progress');
  await rigs.settle(rig, firstDone);
  assert.is(first.text(), 'lane 4');
  scriptAll(rig, { dispatch: () => fakeAgents.answer('lane 5') });
  const call = submission('r-3', { idempotencyKey: 'boat-8' });
  const ran = await rigs.settle(rig, rig.createEntry('entry-3').serve(call, full, never));
  assert.is(ran.kind === 'failed' && ran.cause, 'answer-too-large');
});

test.run();
