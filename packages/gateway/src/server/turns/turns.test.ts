import { logs, randoms } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as prefillTurns from '../../shared/prefill-turns.js';
import * as statesModule from '../../shared/upstream-states.js';
import type * as logEvents from '../../types/log-events.js';
import type * as settingsModule from '../../types/settings.js';
import * as turnCodec from './turn-codec.js';
import * as turnsModule from './turns.js';

const test = suite('turns of several gateways');

type Member = {
  turns: turnsModule.Turns;
  states: ReturnType<typeof statesModule.createUpstreamStates>;
};

function createFleet(count: number, mode: settingsModule.Settings['promptTurns'] = 'on') {
  const clock = fakeClocks.createFakeClock();
  const members = new Map<string, Member>();
  const ids = Array.from({ length: count }, (_unused, index) => `g${index}`);
  const messages = { taken: 0, told: 0, ended: 0 };
  /** Killed, paused or cut off. */
  const silentIds = new Set<string>();
  /** Answers come after so long. */
  const delay = { ms: 1 };
  /** Of every gateway. */
  const loopTurn = { ms: 1 };

  function afterDelay(): Promise<void> {
    return new Promise((resolve) => {
      clock.schedule(clock.nowMs() + delay.ms, resolve);
    });
  }

  ids.forEach((gatewayId) => {
    const states = statesModule.createUpstreamStates();
    const turns = turnsModule.createTurns({
      clock,
      random: randoms.createRandom(1),
      log: logs.createSilentLogger() as logEvents.GatewayLog,
      metrics: { turnAnswered: () => {} },
      states,
      mode,
      gatewayId,
      ownerIds: () => ids,
      loopTurnMs: () => loopTurn.ms,
      unreadTokens: () => 0,
      takeFrom: async (ownerId, asked) => {
        messages.taken += 1;
        const request = turnCodec.fromTakeTurnRequest(turnCodec.toTakeTurnRequest(asked));
        if (silentIds.has(ownerId)) return new Promise(() => {});
        await afterDelay();
        const reply = members.get(ownerId)?.turns.take(request) as prefillTurns.TurnReply;
        return turnCodec.fromTakeTurnReply(turnCodec.toTakeTurnReply(reply));
      },
      tellEnded: (ownerId, ended) => {
        messages.told += 1;
        messages.ended += ended.length;
        const request = turnCodec.toEndTurnsRequest(gatewayId, ended);
        if (silentIds.has(ownerId)) return;
        members.get(ownerId)?.turns.ended(turnCodec.fromEndTurnsRequest(request));
      },
    });
    members.set(gatewayId, { turns, states });
  });

  function member(gatewayId: string): Member {
    return members.get(gatewayId) as Member;
  }

  /** The answer, with time moved on until it has come. */
  async function ask(gatewayId: string, overrides: Partial<turnsModule.TurnQuestion> = {}) {
    const { turns } = member(gatewayId);
    let answer: turnsModule.TurnAnswer | null = null;
    void turns.ask(question(turns.nextTurnId(), overrides)).then((value) => {
      answer = value;
    });
    for (let step = 0; step < 50 && answer === null; step += 1) await clock.advance(1);
    return answer as turnsModule.TurnAnswer | null;
  }

  return { clock, ids, member, messages, silentIds, delay, loopTurn, ask };
}

function question(turnId: number, overrides: Partial<turnsModule.TurnQuestion> = {}) {
  return {
    turnId,
    upstreamId: 'u1',
    promptTokens: 2_000,
    msPerToken: 0.05,
    priority: 1,
    pauseObjectiveMs: 300,
    canWaitMs: 600,
    mustStart: false,
    ...overrides,
  };
}

// Failure: each gateway bounds its own prompts, and those of six together are six times as many.
test('one owner counts the turns of all gateways', async () => {
  const { ids, ask } = createFleet(6);
  const kinds = [];
  for (const id of ids) kinds.push((await ask(id))?.kind);
  assert.equal(kinds, ['given', 'given', 'wait', 'wait', 'wait', 'wait']);
});

// Failure: a gateway whose loop is slow waits in vain for each answer, and both sides pay for the question.
test('a gateway that would read the answer too late asks nobody but itself', () => {
  const { ids, member, loopTurn } = createFleet(4);
  const wanting = () => ids.filter((id) => member(id).turns.isWanted('u1'));
  assert.equal(wanting(), ids);
  loopTurn.ms = 40;
  assert.is(wanting().length, 1);
});

test('the owner asks itself without a call', async () => {
  const { ids, ask, messages } = createFleet(4);
  const ownerId = (await ask('g0'))?.ownerId as string;
  messages.taken = 0;
  assert.is((await ask(ownerId))?.ownerId, ownerId);
  assert.is(messages.taken, 0);
  await ask(ids.find((id) => id !== ownerId) as string);
  assert.is(messages.taken, 1);
});

// Failure: an owner is killed or paused, and each request to its upstreams waits for its answer until the peers miss it.
test('without an answer in 20 ms a request goes on, and the next owner is asked', async () => {
  const { ids, ask, silentIds, clock } = createFleet(4);
  const ownerId = (await ask('g0'))?.ownerId as string;
  const askerId = ids.find((id) => id !== ownerId) as string;
  silentIds.add(ownerId);
  const startedMs = clock.nowMs();
  assert.is((await ask(askerId))?.kind, 'unanswered');
  assert.ok(clock.nowMs() - startedMs <= 21, String(clock.nowMs() - startedMs));
  const next = await ask(askerId);
  assert.is.not(next?.ownerId, ownerId);
  assert.is(next?.kind, 'given');
  silentIds.delete(ownerId);
  await clock.advance(2_000);
  assert.is((await ask(askerId))?.ownerId, ownerId);
});

// Failure: a turn that was given too late to be heard of is never ended, since the asker does not know of it.
test('an owner that answers late hears of the end of the turn', async () => {
  const { ids, ask, member, delay, clock } = createFleet(2);
  const ownerId = (await ask('g0', { promptTokens: 100 }))?.ownerId as string;
  const askerId = ids.find((id) => id !== ownerId) as string;
  delay.ms = 30;
  const { turns } = member(askerId);
  let answer: turnsModule.TurnAnswer | null = null;
  void turns.ask(question(77, { promptTokens: 4_000 })).then((value) => {
    answer = value;
  });
  await clock.advance(35);
  assert.equal(answer, { ownerId, kind: 'unanswered' });
  assert.is((await ask(ownerId))?.kind, 'wait');
  turns.end(ownerId, {
    turnId: 77,
    upstreamId: 'u1',
    isPrefilled: false,
    tookMs: 0,
    load: null,
  });
  await clock.advance(10);
  assert.is((await ask(ownerId))?.kind, 'given');
});

// Failure: an owner that is late now and then is taken for gone, and two owners give turns at one upstream; the prompt that
// was sent meanwhile is counted by neither.
test('an owner that was only late stays the owner, and counts what was sent without its answer', async () => {
  const { ids, ask, member, delay, clock } = createFleet(3);
  const ownerId = (await ask('g0', { promptTokens: 2_000 }))?.ownerId as string;
  assert.is((await ask(ownerId, { promptTokens: 2_000 }))?.kind, 'given');
  const askerId = ids.find((id) => id !== ownerId) as string;
  delay.ms = 30;
  let answer: turnsModule.TurnAnswer | null = null;
  void member(askerId)
    .turns.ask(question(77, { promptTokens: 1_500 }))
    .then((value) => {
      answer = value;
    });
  await clock.advance(100);
  assert.equal(answer, { ownerId, kind: 'unanswered' });
  delay.ms = 1;
  assert.is((await ask(askerId, { promptTokens: 0, priority: 0 }))?.ownerId, ownerId);
  // Asked again it has a turn: the place in the queue became one.
  const again = member(ownerId).turns.take({ ...question(77), gatewayId: askerId });
  assert.is(again.kind, 'given');
});

test('ends are told in batches, with what the upstream told of its load', async () => {
  const { ids, ask, member, messages, clock } = createFleet(3);
  const ownerId = (await ask('g0', { promptTokens: 0 }))?.ownerId as string;
  const askerId = ids.find((id) => id !== ownerId) as string;
  const load = { runningCount: 3, waitingCount: 1, slots: 8, transientFactor: 2.5 };
  for (const turnId of [1, 2, 3]) {
    const end = { turnId, upstreamId: 'u1', isPrefilled: true, tookMs: 100, load };
    member(askerId).turns.end(ownerId, end);
  }
  await clock.advance(10);
  assert.equal({ told: messages.told, ended: messages.ended }, { told: 1, ended: 3 });
  const state = member(ownerId).states.state('u1', clock.nowMs());
  assert.is(state.load?.runningCount, 3);
  assert.ok(state.transientFactor > 2);
  // The slow moment counts at once: a prompt of 50 ms takes 125 ms now.
  assert.is((await ask(askerId, { promptTokens: 1_000 }))?.kind, 'given');
  assert.is((await ask(ownerId, { promptTokens: 1_000 }))?.kind, 'wait');
});

test('auto asks where the upstream tells its present speed; on always; off never', () => {
  const load = { runningCount: 1, waitingCount: 0, slots: 8, transientFactor: 1 };
  const expected = { auto: [false, true], on: [true, true], off: [false, false] } as const;
  (['auto', 'on', 'off'] as const).forEach((mode) => {
    const { turns, states } = createFleet(1, mode).member('g0');
    states.applyLoadSignal('quiet', { ...load, transientFactor: null }, 0, 0);
    states.applyLoadSignal('telling', load, 0, 0);
    assert.equal([turns.isWanted('quiet'), turns.isWanted('telling')], expected[mode], mode);
  });
});

// Failure: a message with absurd figures ends the owner, or closes its upstream.
test('absurd messages are tolerated', () => {
  const { member } = createFleet(1);
  const { turns } = member('g0');
  const base = { gatewayId: 'g9', upstreamId: 'u1', priority: 0, pauseObjectiveMs: 300 };
  const absurd = { promptTokens: 2 ** 32 - 1, msPerToken: Number.MAX_VALUE, canWaitMs: 0 };
  turns.take({ ...base, ...absurd, turnId: 1, mustStart: true });
  turns.take({ ...base, ...absurd, turnId: 2, msPerToken: -1, mustStart: false });
  const load = { runningCount: 0, waitingCount: 0, slots: 0, transientFactor: 4e7 };
  turns.ended([
    {
      gatewayId: 'g9',
      turnId: 1,
      upstreamId: 'u1',
      isPrefilled: true,
      tookMs: 2 ** 32 - 1,
      load,
    },
  ]);
  assert.is(turns.take({ ...base, ...question(3), mustStart: true, canWaitMs: 0 }).kind, 'given');
});

test.run();
