import { agent } from '@copperlever/protocol';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as fakeAgents from '../../testing/fake-agents.js';
import * as rigs from '../../testing/rig.js';

const test = suite('serve');
const { REVOKE_OUTCOME_STARTED } = agent.RevokeOutcome;
const never = new AbortController().signal;

/** Serves one call at a new entry of `rig`. */
async function serveOne(rig: rigs.Rig, call = rigs.createCall(), signal = never) {
  const { sink, text } = rigs.createSink();
  const outcome = await rigs.settle(rig, rig.createEntry('entry-1').serve(call, sink, signal));
  return { outcome, text: text() };
}

function scriptAll(rig: rigs.Rig, script: Partial<fakeAgents.Script>): void {
  rig.members.forEach((member) => rig.agents.script(member.memberId, script));
}

test('a refusal by one agent is answered by another', async () => {
  const rig = rigs.createRig();
  let isFirst = true;
  scriptAll(rig, {
    dispatch: () => {
      const events = isFirst ? [fakeAgents.refused('queue-full')] : fakeAgents.answer('lane 4');
      isFirst = false;
      return events;
    },
  });
  const { outcome, text } = await serveOne(rig);
  assert.equal(outcome, { kind: 'answered', status: 200, replayed: false });
  assert.is(text, 'lane 4');
  assert.is(new Set(rig.agents.dispatched.map((line) => line.split(' ')[0])).size, 2);
});

test('when all refuse, the caller hears the soonest time that any of them named', async () => {
  const rig = rigs.createRig();
  rig.agents.script('desk-a', { dispatch: () => [fakeAgents.refused('queue-full', 9_000)] });
  rig.agents.script('desk-b', { dispatch: () => [fakeAgents.refused('queue-full', 4_000)] });
  const { outcome } = await serveOne(rig);
  assert.is(outcome.kind, 'not-run');
  assert.is(outcome.kind === 'not-run' && outcome.cause, 'queue-full');
  assert.is(outcome.kind === 'not-run' && outcome.retryAtMs, 4_000);
  assert.is(rig.clock.nowMs(), 0);
});

test('"not run" is never said of a request whose first attempt may have run', async () => {
  // The caller sends an idempotent request. Its first agent is lost while it may run it, the second
  // refuses. "Not run" would be true of the second only; the caller hears of the first.
  const rig = rigs.createRig();
  let isFirst = true;
  scriptAll(rig, {
    dispatch: () => {
      const events: fakeAgents.Event[] = isFirst ? ['lost'] : [fakeAgents.refused('queue-full')];
      isFirst = false;
      return events;
    },
    resume: () => ['lost'],
    revoke: () => 'unreachable',
  });
  const { outcome } = await serveOne(rig);
  assert.is(outcome.kind, 'failed');
  assert.is(outcome.kind === 'failed' && outcome.cause, 'agent-lost');
  assert.is(rig.reported.length, 1);
});

test('a caller that goes away while its request runs is not told "not run"', async () => {
  // The journal is what an operator reads later: it must not say that a request did not run which
  // an engine had begun. The attempt is cancelled at the engine.
  const rig = rigs.createRig();
  const caller = new AbortController();
  scriptAll(rig, {
    dispatch: () => [fakeAgents.started, 'hang'],
    revoke: () => REVOKE_OUTCOME_STARTED,
  });
  const serving = serveOne(rig, rigs.createCall(), caller.signal);
  await rig.clock.advance(50);
  caller.abort();
  const { outcome } = await serving;
  assert.is(outcome.kind, 'failed');
  assert.is(outcome.kind === 'failed' && outcome.cause, 'cancelled');
  assert.is(rig.agents.revoked[0]?.cancelIfStarted, true);
});

test('a caller that goes away while its request waits: not run, by the word of the agent', async () => {
  const rig = rigs.createRig();
  const caller = new AbortController();
  scriptAll(rig, { dispatch: () => ['hang'] });
  const serving = serveOne(rig, rigs.createCall(), caller.signal);
  await rig.clock.advance(50);
  caller.abort();
  const { outcome } = await serving;
  assert.is(outcome.kind === 'not-run' && outcome.cause, 'caller-gone');
});

test('what passes by itself is waited for: an agent that starts', async () => {
  const rig = rigs.createRig({ agentCount: 1 });
  rig.agents.script('desk-a', {
    dispatch: () =>
      rig.clock.nowMs() < 900 ? [fakeAgents.refused('starting', 500)] : fakeAgents.answer('ok'),
  });
  const { outcome } = await serveOne(rig);
  assert.is(outcome.kind, 'answered');
});

test('no retry is begun that would end after the deadline', async () => {
  const rig = rigs.createRig({ agentCount: 1 });
  rig.agents.script('desk-a', { dispatch: () => [fakeAgents.refused('starting', 500)] });
  const { outcome } = await serveOne(rig, rigs.createCall({ deadlineMs: 400 }));
  assert.is(outcome.kind === 'not-run' && outcome.cause, 'starting');
  assert.is(rig.clock.nowMs(), 0);
});

test('a stale tick is renewed at the same agent, from what its refusal brought', async () => {
  const rig = rigs.createRig({ agentCount: 1 });
  const load = { incarnation: 7, tick: 40, queueLength: 0, predictedWaitMs: 0, runningCount: 0 };
  rig.agents.loads.set('desk-a', load);
  rig.agents.script('desk-a', {
    dispatch: (request) =>
      request.agentTick < 40 ? [fakeAgents.refused('stale-dispatch')] : fakeAgents.answer('ok'),
  });
  const { outcome } = await serveOne(rig);
  assert.is(outcome.kind, 'answered');
});

test('a new incarnation that the membership does not know yet is learned from its refusal', async () => {
  const rig = rigs.createRig({ agentCount: 1 });
  const load = { incarnation: 8, tick: 1, queueLength: 0, predictedWaitMs: 0, runningCount: 0 };
  rig.agents.loads.set('desk-a', load);
  rig.agents.script('desk-a', {
    dispatch: (request) =>
      request.agentIncarnation === 8
        ? fakeAgents.answer('ok')
        : [fakeAgents.refused('other-incarnation')],
  });
  const { outcome } = await serveOne(rig);
  assert.is(outcome.kind, 'answered');
});

test('a request that crashes two engines is refused at once by every entry', async () => {
  // Its caller sends it again and again. Each engine that runs it goes down, and with it all that
  // runs there. The third engine never sees it.
  const rig = rigs.createRig({ agentCount: 3 });
  scriptAll(rig, {
    dispatch: () => [fakeAgents.started, fakeAgents.failed('upstream-broken', true)],
  });
  const first = await serveOne(rig);
  assert.is(first.outcome.kind === 'failed' && first.outcome.cause, 'quarantined');
  assert.is(rig.agents.dispatched.length, 2);
  const second = await serveOne(rig, rigs.createCall({ requestId: 'r-2' }));
  assert.is(second.outcome.kind === 'not-run' && second.outcome.cause, 'quarantined');
  assert.is(rig.agents.dispatched.length, 2);
  const other = rigs.createCall({ requestId: 'r-3', fingerprint: 'f-2' });
  scriptAll(rig, { dispatch: () => fakeAgents.answer('ok') });
  assert.is((await serveOne(rig, other)).outcome.kind, 'answered');
});

test('a request that shared one crash with the culprit is answered elsewhere', async () => {
  const rig = rigs.createRig();
  let isFirst = true;
  scriptAll(rig, {
    dispatch: () => {
      const events = isFirst
        ? [fakeAgents.failed('upstream-broken', true)]
        : fakeAgents.answer('ok');
      isFirst = false;
      return events;
    },
  });
  assert.is((await serveOne(rig)).outcome.kind, 'answered');
});

test('without budget a refusal is passed on, so that retries cannot feed an overload', async () => {
  const retryBudget = { noteSuccess: () => {}, tryTake: () => false };
  const rig = rigs.createRig({ retryBudget });
  scriptAll(rig, { dispatch: () => [fakeAgents.refused('queue-full')] });
  const { outcome } = await serveOne(rig);
  assert.is(outcome.kind === 'not-run' && outcome.cause, 'queue-full');
  assert.is(rig.agents.dispatched.length, 1);
});

test('a stream that has begun is never begun again elsewhere', async () => {
  const rig = rigs.createRig();
  scriptAll(rig, {
    dispatch: () => [
      fakeAgents.head,
      fakeAgents.chunk('half'),
      fakeAgents.failed('upstream-broken'),
    ],
  });
  const { sink, text } = rigs.createSink(true);
  const call = rigs.createCall();
  const outcome = await rigs.settle(rig, rig.createEntry('entry-1').serve(call, sink, never));
  assert.is(outcome.kind, 'failed');
  assert.is(text(), 'half');
  assert.is(rig.agents.dispatched.length, 1);
});

test('a request that waits past its deadline: not run, once the agent has let it go', async () => {
  const rig = rigs.createRig();
  scriptAll(rig, { dispatch: () => ['hang'], resume: () => ['hang'] });
  const { outcome } = await serveOne(rig, rigs.createCall({ deadlineMs: 700 }));
  assert.is(outcome.kind === 'not-run' && outcome.cause, 'expired-waiting');
});

test.run();
