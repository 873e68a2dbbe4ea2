import { queues, serviceTimes } from '@copperlever/decisions';
import { agent } from '@copperlever/protocol';
import { clocks, logs, metrics, results } from '@copperlever/runtime';
import * as stopTimes from '@copperlever/runtime/stop-times';
import * as testHolds from '@copperlever/runtime/testing/daemon-holds';
import * as fakeClock from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as answerLogs from '../../shared/answer-log.js';
import * as revocations from '../../shared/revocations.js';
import type * as answers from '../../types/answers.js';
import type * as upstreams from '../../types/upstreams.js';
import * as attemptsModule from './attempts.js';
import * as lossJudges from './loss-judge.js';
import * as runs from './runs.js';

const test = suite('attempts');

type Script = (signal: AbortSignal) => AsyncGenerator<upstreams.UpstreamPart>;

const HEAD: upstreams.UpstreamPart = { kind: 'head', status: 200, headers: [] };
const TICK = 1;

function data(text: string): upstreams.UpstreamPart {
  return { kind: 'data', data: Buffer.from(text) };
}

function createWorld(
  script: Script,
  report: 'same' | 'restarted' | 'down' = 'same',
  memoryMb?: number,
) {
  const clock = fakeClock.createFakeClock();
  const events: string[] = [];
  const started: string[] = [];
  const signals: AbortSignal[] = [];
  const state = { isReady: true, heldCount: 0 };
  const upstream = {
    run: (call: upstreams.UpstreamCall, signal: AbortSignal) => {
      started.push(call.requestId);
      signals.push(signal);
      return script(signal);
    },
    report: async () => {
      if (report === 'down') return results.Err({ kind: 'unreachable', detail: '' } as const);
      const incarnation = report === 'same' ? 1 : 2;
      const nothing = { fencingNumber: 0, memoryBytes: 0, usedBytes: 0, copies: [] };
      return results.Ok({ incarnation, runningCount: 0, ...nothing });
    },
  };
  const times = serviceTimes.createServiceTimeEstimator();
  const copies = {
    knows: () => true,
    isReady: () => state.isReady,
    ensureReady: async () => results.Ok(undefined),
    hold: () => {
      state.heldCount += 1;
      return () => {
        state.heldCount -= 1;
      };
    },
    readyTargets: () => ['draws'],
    engineIncarnation: () => 1,
    onChange: () => {},
  };
  const silent = metrics.createSilentMetrics();
  const holds = testHolds.createTestHolds(memoryMb);
  const lossJudge = lossJudges.createLossJudge({ clock, upstream });
  const attempts = attemptsModule.createAttempts({
    clock,
    log: logs.createSilentLogger(),
    metrics: silent,
    journal: {
      record: (_id, event) => events.push(event),
      flush: async () => {},
      droppedCount: () => 0,
      start: () => {},
      stop: async () => {},
    },
    queue: queues.createWorkQueue({ slotCount: 1, maxWaiting: 10 }, times),
    runs: runs.createRuns({ clock, metrics: silent, times, upstream, copies, lossJudge, holds }),
    revocations: revocations.createRevocations(0),
    copies,
    holds,
    incarnation: 1,
    configVersion: () => 1,
  });

  function dispatch(id: string, fields: Partial<agent.DispatchRequest> = {}) {
    return attempts.dispatch(
      agent.DispatchRequest.fromPartial({
        dispatchId: id,
        requestId: id,
        agentIncarnation: 1,
        agentTick: TICK,
        remainingMs: 60_000,
        target: 'draws',
        loadIfNeeded: true,
        promptTokens: 1,
        outputTokens: 1,
        ...fields,
      }),
    );
  }

  function revoke(dispatchId: string, cancelIfStarted = false) {
    return attempts.revoke({ dispatchId, agentIncarnation: 1, agentTick: TICK, cancelIfStarted });
  }

  return { clock, attempts, events, started, signals, state, holds, dispatch, revoke };
}

/** Reads in the background, as an entry does. */
function readAll(log: answerLogs.AnswerLog, fromBytes = 0) {
  const parts: answers.AnswerPart[] = [];
  void (async () => {
    for await (const part of log.read(fromBytes)) parts.push(part);
  })();
  return parts;
}

function textOf(parts: readonly answers.AnswerPart[]): string {
  return parts.map((part) => (part.kind === 'chunk' ? part.data.toString() : '')).join('');
}

function untilAborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    signal.addEventListener('abort', () => resolve(), { once: true });
  });
}

async function* answering() {
  yield HEAD;
  yield data('whole ');
  yield data('answer');
  yield { kind: 'end' } as const;
}

/** Sends one chunk and then nothing, until it is cancelled. */
async function* hanging(signal: AbortSignal): AsyncGenerator<upstreams.UpstreamPart> {
  yield HEAD;
  yield data('a');
  await untilAborted(signal);
  yield { kind: 'broken', detail: 'cancelled' };
}

// The upstream sends a byte and then nothing, for good. The caller learns it after ten seconds, not
// at its deadline, and the slot is free for the next one.
test('an upstream that goes silent in an answer ends the attempt', async () => {
  const world = createWorld(hanging);
  const parts = readAll(world.dispatch('r/1'));
  await world.clock.advance(9_000);
  assert.is(parts.at(-1)?.kind, 'chunk');
  await world.clock.advance(2_000);
  assert.equal(parts.at(-1), {
    kind: 'failed',
    cause: 'upstream-silent',
    detail: 'no byte for too long',
    upstreamCrashed: false,
  });
  assert.ok(world.signals[0]?.aborted);
  assert.is(world.state.heldCount, 0);
});

// The agent's VM stands still in the middle of an answer. When it goes on, its overdue timers run
// before it reads what the engine sent meanwhile. The engine was not silent, and the answer goes on.
test('data that waited out a pause of the agent is no silence', async () => {
  const world = createWorld(async function* paused() {
    yield HEAD;
    yield data('a');
    await new Promise<void>((resolve) => {
      world.clock.schedule(10_001, resolve);
    });
    yield data('b');
    yield { kind: 'end' };
  });
  const parts = readAll(world.dispatch('r/1'));
  await world.clock.advance(12_000);
  assert.is(textOf(parts), 'ab');
  assert.is(parts.at(-1)?.kind, 'end');
});

// The entry dies while its request runs: nobody reads. The slot is given back after 15 seconds.
test('an idempotent attempt that nobody reads is cancelled', async () => {
  const world = createWorld(hanging);
  world.dispatch('r/1');
  await world.clock.advance(9_900);
  assert.not.ok(world.signals[0]?.aborted);
  const late = createWorld(async function* slow(signal) {
    yield HEAD;
    for (;;) {
      yield data('.');
      await new Promise<void>((resolve) => {
        late.clock.schedule(late.clock.nowMs() + 1_000, resolve);
      });
      if (signal.aborted) break;
    }
    yield { kind: 'broken', detail: '' };
  });
  late.dispatch('r/2');
  await late.clock.advance(17_000);
  assert.ok(late.signals[0]?.aborted);
  assert.ok(late.events.includes('unread'));
});

// A proof submission's entry dies. It may have taken effect, so it goes on to its end, and the
// journal has the outcome for whoever asks later.
test('a non-idempotent attempt that nobody reads goes on, and its outcome is recorded', async () => {
  const world = createWorld(async function* slow() {
    yield HEAD;
    await new Promise<void>((resolve) => {
      world.clock.schedule(25_000, resolve);
    });
    yield { kind: 'end' };
  });
  world.dispatch('r/1', { nonIdempotent: true });
  await world.clock.advance(26_000);
  assert.not.ok(world.signals[0]?.aborted);
  assert.ok(world.events.includes('answered'));
});

for (const [report, crashed] of [
  ['same', false],
  ['restarted', true],
  ['down', true],
] as const) {
  // A connection breaks in the middle of an answer. Only if the engine's process is gone too may
  // the request count as a suspect, or lost connections would quarantine sound requests.
  test(`a broken connection to an engine that is ${report}: crashed is ${crashed}`, async () => {
    const broken: Script = async function* broken() {
      yield HEAD;
      yield { kind: 'broken', detail: 'reset' };
    };
    const world = createWorld(broken, report);
    const parts = readAll(world.dispatch('r/1'));
    await world.clock.advance(10);
    const last = parts.at(-1);
    assert.is(last?.kind === 'failed' && last.upstreamCrashed, crashed);
  });
}

// A reader is slow and the upstream is fast. The upstream is read only as far as the reader can
// follow, so that many slow readers cannot fill the agent's memory.
test('a slow reader slows the upstream', async () => {
  let sentCount = 0;
  const world = createWorld(async function* flood(signal) {
    yield HEAD;
    while (!signal.aborted) {
      sentCount += 1;
      yield { kind: 'data', data: Buffer.alloc(64 * 1024) };
    }
    yield { kind: 'broken', detail: '' };
  });
  const reader = world.dispatch('r/1').read(0)[Symbol.asyncIterator]();
  await reader.next();
  await world.clock.settle();
  assert.ok(sentCount <= 5, `${sentCount} chunks`);
  world.revoke('r/1', true);
  await world.clock.settle();
});

test('an answer beyond the bound fails, and the upstream is cancelled', async () => {
  const world = createWorld(async function* flood(signal) {
    yield HEAD;
    while (!signal.aborted) yield { kind: 'data', data: Buffer.alloc(4 * 1024 * 1024) };
    yield { kind: 'broken', detail: '' };
  });
  const parts = readAll(world.dispatch('r/1'));
  await world.clock.advance(10);
  const last = parts.at(-1);
  assert.is(last?.kind === 'failed' && last.cause, 'answer-too-large');
  assert.ok(world.signals[0]?.aborted);
});

test('a dispatch that arrives twice runs once, and both get the answer', async () => {
  const world = createWorld(answering);
  const first = readAll(world.dispatch('r/1'));
  const second = readAll(world.dispatch('r/1'));
  await world.clock.advance(10);
  assert.is(textOf(first), 'whole answer');
  assert.is(textOf(second), 'whole answer');
  assert.equal(world.started, ['r/1']);
});

// A connection breaks after five bytes. The entry reads on from there, on a new one.
test('an answer is read again from an offset within a chunk', async () => {
  const world = createWorld(answering);
  world.dispatch('r/1');
  await world.clock.advance(10);
  const log = world.attempts.find('r/1')?.log;
  assert.is(log === undefined ? '' : textOf(await drained(log, 4)), 'e answer');
});

async function drained(log: answerLogs.AnswerLog, fromBytes: number) {
  const parts: answers.AnswerPart[] = [];
  for await (const part of log.read(fromBytes)) parts.push(part);
  return parts;
}

// The entry revokes a dispatch that has not arrived yet, and tells its caller "not run". When the
// dispatch arrives late it must not run.
test('a dispatch that arrives after its revoke does not run', async () => {
  const world = createWorld(answering);
  assert.is(world.revoke('r/1'), agent.RevokeOutcome.REVOKE_OUTCOME_REVOKED);
  const parts = readAll(world.dispatch('r/1'));
  await world.clock.advance(10);
  const last = parts.at(-1);
  assert.is(last?.kind === 'refused' && last.cause, 'revoked');
  assert.equal(world.started, []);
});

// The agent stops as planned. An answer that is finished but not yet fetched counts as in flight: the
// entry may be on its way back after a broken connection.
test('a finished answer that nobody has read yet holds up a planned stop, for a while', async () => {
  const world = createWorld(answering);
  const log = world.dispatch('r/1');
  await world.clock.advance(1_000);
  world.attempts.leave();
  assert.is(world.attempts.openCount(), 1);
  readAll(log);
  await world.clock.settle();
  assert.is(world.attempts.openCount(), 0);
  world.dispatch('r/2');
  await world.clock.advance(1_000);
  assert.is(world.attempts.openCount(), 1);
  await world.clock.advance(20_000);
  assert.is(world.attempts.openCount(), 0);
});

test('a closed attempt leaves no timer but the one that forgets it', async () => {
  const world = createWorld(answering);
  readAll(world.dispatch('r/1'));
  await world.clock.advance(10);
  world.attempts.acknowledge(['r/1']);
  assert.is(world.clock.nextTimerMs(), null);
});

const DRAIN_MS = 10_000;

// Guards against a stop that starts what it can't finish, and that goes while entries wait for what it runs.
test('a stop refuses what can not be over, and ends what runs at its end', async () => {
  for (const nonIdempotent of [false, true]) {
    const world = createWorld(hanging);
    const running = readAll(world.dispatch('r/1', { nonIdempotent }));
    const waiting = readAll(world.dispatch('r/2', { nonIdempotent }));
    const short = readAll(world.dispatch('r/3', { remainingMs: 4_000 }));
    const times = stopTimes.drainTimes(world.clock.nowMs(), DRAIN_MS, 0);
    world.attempts.leave();
    world.attempts.stopBy(times);
    await world.clock.settle();
    assert.equal([running.at(-1)?.kind, short.at(-1)?.kind], ['chunk', 'accepted']);
    assert.match(JSON.stringify(waiting.at(-1)), /"refused","cause":"leaving"/);
    await world.clock.advance(9_500);
    world.attempts.stopBy(times);
    await world.clock.settle();
    assert.match(JSON.stringify(running.at(-1)), /"failed","cause":"agent-stopping"/);
    assert.equal([world.started, world.signals[0]?.aborted], [['r/1'], !nonIdempotent]);
    assert.is(world.attempts.openCount(), 0);
  }
});

// Guards against a queue that goes on in a stop with what takes too long by the answers seen.
test('a turn that comes too late in a stop is refused', async () => {
  const slowly = async function* slowly(this: void, signal: AbortSignal) {
    await Promise.race([
      untilAborted(signal),
      clocks.sleepUntil(world.clock, world.clock.nowMs() + 3_000),
    ]);
    yield* answering();
  };
  const world: ReturnType<typeof createWorld> = createWorld(slowly);
  const ended = ['r/1', 'r/2', 'r/3', 'r/4'].map((id) => readAll(world.dispatch(id)));
  await world.clock.advance(3_100);
  const times = stopTimes.drainTimes(world.clock.nowMs(), DRAIN_MS - 1_000, 0);
  world.attempts.stopBy(times);
  await world.clock.advance(6_000);
  const kinds = ended.map((parts) => parts.at(-1)?.kind);
  assert.equal(kinds, ['end', 'end', 'end', 'refused']);
});

/** Sends pieces of that length until it is cancelled. */
async function* endless(signal: AbortSignal, pieceBytes: number) {
  yield HEAD;
  while (!signal.aborted) yield data('x'.repeat(pieceBytes));
}

// Guards against answers of calls that no reader slows down, which together fill the memory, in large pieces or in single bytes.
test('answers are bounded in sum, and what has run is never told as not run', async () => {
  for (const pieceBytes of [64 * 1024, 1]) {
    const world = createWorld((signal) => endless(signal, pieceBytes), 'same', 1);
    const parts = readAll(world.dispatch('r/1', { nonIdempotent: true }));
    await world.clock.advance(6_000);
    const last = parts.at(-1);
    assert.is(last?.kind === 'failed' && last.cause, 'answer-too-large');
    assert.is(world.holds.closed[0]?.bound, 'sum');
    assert.ok(world.signals[0]?.aborted);
    assert.is(world.revoke('r/1'), agent.RevokeOutcome.REVOKE_OUTCOME_FINISHED);
    assert.is(world.holds.answers.heldBytes(), 0);
  }
});

async function* breaking() {
  yield HEAD;
  yield data('a part');
  yield { kind: 'broken', detail: 'reset' } as const;
}

// Guards against the bytes of failed answers, and of requests that are over, which stay for as long as their ids.
test('a failed answer keeps no bytes, and its request none of its body', async () => {
  const world = createWorld(breaking);
  const log = world.dispatch('r/1', { body: Buffer.from('body') });
  await world.clock.advance(2_000);
  assert.equal([world.holds.answers.heldBytes(), world.holds.bodies.heldBytes()], [0, 0]);
  const parts = readAll(log);
  await world.clock.settle();
  assert.equal(
    parts.map(({ kind }) => kind),
    ['failed'],
  );
});

// Guards against bodies that wait in the queue and together fill the memory.
test('a body without room is refused as not run, until another has ended', async () => {
  const world = createWorld(hanging, 'same', 1);
  const body = Buffer.alloc(150_000);
  world.dispatch('r/1', { body });
  const refused = readAll(world.dispatch('r/2', { body }));
  await world.clock.advance(100);
  const [part] = refused;
  assert.is(part?.kind === 'refused' && part.cause, 'queue-full');
  world.revoke('r/1', true);
  await world.clock.advance(100);
  world.dispatch('r/3', { body });
  await world.clock.advance(100);
  assert.equal(world.started, ['r/1', 'r/3']);
});

test.run();
