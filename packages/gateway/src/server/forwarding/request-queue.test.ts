import * as fastCheck from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as requestQueues from './request-queue.js';

const test = suite('request queue');

const REQUEST_MS = 16;
const TURN_COUNT = 80;
/** Work that is started later than this after its caller has left counts as wasted; half of it is reserved for the sending. */
const GONE_MS = 500;

function arrived(
  overrides: Partial<requestQueues.QueuedRequest> = {},
): requestQueues.QueuedRequest {
  return {
    dueMs: 1_000,
    deadlineMs: 60_000,
    priorityOf: (isLate) => (isLate ? 2 : 0),
    bufferedMs: 0,
    onCallerGone: () => {},
    ...overrides,
  };
}

/** An event loop on a virtual clock: each turn reads, then runs the tasks that wait for its end. */
function startLoop(acceptWaitMs = 0) {
  let nowMs = 0;
  let pollCount = 0;
  let tasks: (() => void)[] = [];
  const intake = requestQueues.createRequestQueue({
    clock: { nowMs: () => nowMs },
    loopAges: { pollCount: () => pollCount, acceptWaitMs: () => acceptWaitMs },
    atTurnEnd: (task) => tasks.push(task),
  });
  return {
    intake,
    nowMs: () => nowMs,
    pollCount: () => pollCount,
    work: (durationMs: number) => {
      nowMs += durationMs;
    },
    /** `read` runs first; promises settle between the tasks, as in the event loop. */
    turn: async (read: () => void = () => {}) => {
      pollCount += 1;
      read();
      await Promise.resolve();
      const due = tasks;
      tasks = [];
      for (const task of due) {
        task();
        await Promise.resolve();
        await Promise.resolve();
        await Promise.resolve();
      }
    },
  };
}

// Twenty requests that are read in one turn at a small gateway must not all be started in it: a new connection would have
// to wait for all of them before it is accepted.
test('of requests that are read together only a few are started in a turn', async () => {
  const loop = startLoop();
  const startedIn: number[] = [];
  const start = async () => {
    await loop.intake.waitForStart(arrived());
    startedIn.push(loop.pollCount());
    loop.work(REQUEST_MS);
  };
  await loop.turn(() => Array.from({ length: 20 }, () => start()));
  for (let count = 0; count < 40; count += 1) await loop.turn();
  assert.is(startedIn.length, 20);
  const most = Math.max(
    ...startedIn.map((poll) => startedIn.filter((other) => other === poll).length),
  );
  assert.is(most, 1);
});

test('a single request that was read in time does not wait', async () => {
  const loop = startLoop();
  let isStarted = false;
  await loop.turn(() => {
    void loop.intake.waitForStart(arrived()).then(() => {
      isStarted = true;
    });
  });
  assert.ok(isStarted);
});

// With more requests than can be in time, serving the oldest first would make each of them a little late.
test('the most urgent request that can be in time goes first, late ones go last', async () => {
  const loop = startLoop();
  const order: string[] = [];
  const start = async (name: string, dueMs: number) => {
    await loop.intake.waitForStart(arrived({ dueMs }));
    order.push(name);
    loop.work(REQUEST_MS);
  };
  loop.work(100);
  await loop.turn(() => {
    void start('first', 5_000);
    void start('late', 50);
    void start('tolerant', 5_000);
    void start('urgent', 300);
  });
  for (let count = 0; count < 10; count += 1) await loop.turn();
  assert.equal(order, ['first', 'urgent', 'tolerant', 'late']);
});

// Interactive requests that are late must not wait behind batch requests that are not due for long.
test('late interactive requests go before batch requests', async () => {
  const loop = startLoop();
  const order: string[] = [];
  const start = async (name: string, overrides: Partial<requestQueues.QueuedRequest>) => {
    await loop.intake.waitForStart(arrived(overrides));
    order.push(name);
    loop.work(REQUEST_MS);
  };
  await loop.turn(() => {
    void start('first', {});
    void start('overnight', { dueMs: 9_000, priorityOf: () => 4 });
    void start('late', { dueMs: 5 });
  });
  for (let count = 0; count < 5; count += 1) await loop.turn();
  assert.equal(order, ['first', 'late', 'overnight']);
});

// Late requests that wait behind a stream of others must not keep their bodies, and their callers waiting, in vain.
test('a request whose caller leaves or whose deadline passes stops waiting', async () => {
  const loop = startLoop();
  const ended: string[] = [];
  let leave = () => {};
  const onceLeft = (task: () => void) => {
    leave = task;
  };
  await loop.turn(() => {
    void loop.intake.waitForStart(arrived());
    void loop.intake
      .waitForStart(arrived({ dueMs: 0, onCallerGone: onceLeft }))
      .then(() => ended.push('left'));
    void loop.intake
      .waitForStart(arrived({ dueMs: 0, deadlineMs: 5 }))
      .then(() => ended.push('time up'));
    leave();
    loop.work(REQUEST_MS);
  });
  await loop.turn();
  assert.equal(ended.sort(), ['left', 'time up']);
  assert.is(loop.intake.waitingCount(), 0);
});

// Guards against starting a request before the close that follows it on its connection has been read.
test('a request that may have been buffered is started a poll later at the earliest', async () => {
  await fastCheck.assert(
    fastCheck.asyncProperty(
      fastCheck.array(
        fastCheck.record({
          atTurn: fastCheck.integer({ min: 0, max: 12 }),
          dueMs: fastCheck.integer({ min: 0, max: 800 }),
          unreadMs: fastCheck.integer({ min: 0, max: 3_000 }),
          workMs: fastCheck.integer({ min: 0, max: 60 }),
        }),
        { minLength: 1, maxLength: 25 },
      ),
      async (requests) => {
        const loop = startLoop();
        const started: { readIn: number; startedIn: number; unreadMs: number }[] = [];
        for (let turn = 0; turn < TURN_COUNT; turn += 1) {
          await loop.turn(() => {
            requests
              .filter(({ atTurn }) => atTurn === turn)
              .forEach(async ({ dueMs, unreadMs, workMs }) => {
                const readIn = loop.pollCount();
                await loop.intake.waitForStart(arrived({ dueMs, bufferedMs: unreadMs }));
                started.push({ readIn, startedIn: loop.pollCount(), unreadMs });
                loop.work(workMs);
              });
          });
        }
        assert.is(started.length, requests.length);
        assert.ok(
          started.every(
            ({ readIn, startedIn, unreadMs }) => startedIn > readIn || unreadMs <= GONE_MS / 2,
          ),
        );
      },
    ),
    { seed: 15, numRuns: 200 },
  );
});

/** How many requests are started, and in one turn at most, if each caller sends again two turns after its answer. */
async function playRefusals(callerCount: number, acceptWaitMs: number) {
  const loop = startLoop(acceptWaitMs);
  const startedIn = new Map<number, number>();
  async function send(): Promise<void> {
    await loop.intake.waitForStart(arrived({ dueMs: 1_000 + loop.nowMs() }));
    const poll = loop.pollCount();
    startedIn.set(poll, (startedIn.get(poll) ?? 0) + 1);
    loop.work(0.3);
    again.push(poll + 2);
  }
  let again = Array.from({ length: callerCount }, () => 1);
  function read(): void {
    const due = again.filter((poll) => poll <= loop.pollCount());
    again = again.filter((poll) => poll > loop.pollCount());
    due.forEach(() => void send());
  }
  for (let count = 0; count < 400; count += 1) await loop.turn(read);
  const counts = [...startedIn.values()];
  const startedCount = counts.reduce((sum, one) => sum + one, 0);
  return { most: Math.max(...counts), startedCount };
}

// Guards against connections that are not accepted in time, since each turn starts all that a thousand refused callers have sent again.
test('however many callers send again at once, a turn stays short, and shorter while connections wait', async () => {
  const open = await playRefusals(1_200, 0);
  assert.ok(open.most <= 16, JSON.stringify(open));
  assert.ok(open.startedCount >= 400 * 15, JSON.stringify(open));
  const late = await playRefusals(1_200, 500);
  assert.ok(late.most <= 4, JSON.stringify(late));
});

test.run();
