import * as fastCheck from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as preSendChecks from './pre-send-check.js';
import * as readDelays from './read-delay.js';

const test = suite('pre-send check');

/** Work that is started later than this after its caller has left counts as wasted. */
const GONE_MS = 500;
const SAMPLE_INTERVAL_MS = 50;
const STALL_MAX_MS = 2_000;
const TURN_MAX_MS = 120;

const noop = () => {};

type Turn = { workMs: number; idleMs: number };

/**
 * An event loop on a virtual clock. Each turn waits, reads closes that have arrived, works, runs the tasks that wait for its
 * end, then the timers.
 */
function startLoop(closeAtMs: number) {
  let nowMs = 0;
  let pollCount = 0;
  let idleMs = 0;
  let nextSampleMs = SAMPLE_INTERVAL_MS;
  let sample = () => {};
  let tasks: (() => void)[] = [];
  let isCloseRead = false;
  const loopAges = readDelays.createReadDelay({ nowMs: () => nowMs }, undefined, {
    pollCount: () => pollCount,
    idleMs: () => idleMs,
    atTurnEnd: (task) => tasks.push(task),
    every: (_periodMs, task) => {
      sample = task;
      return () => {};
    },
  });

  async function settle(): Promise<void> {
    for (let count = 0; count < 5; count += 1) await Promise.resolve();
  }

  return {
    nowMs: () => nowMs,
    look: preSendChecks.createPreSendCheck({ clock: { nowMs: () => nowMs }, loopAges }),
    sink: { isCallerGone: () => isCloseRead },
    /** A request's wait ends in `inPoll` or `inTimers`. */
    turn: async (turn: Turn, inPoll: () => void, inTimers: () => void) => {
      pollCount += 1;
      nowMs += turn.idleMs;
      idleMs += turn.idleMs;
      const polledAtMs = nowMs;
      // The events of a poll are handled in no particular order: the end of a wait may come before the close.
      inPoll();
      await settle();
      isCloseRead ||= closeAtMs <= polledAtMs;
      nowMs += turn.workMs;
      const due = tasks;
      tasks = [];
      due.forEach((task) => task());
      await settle();
      if (nowMs >= nextSampleMs) {
        nextSampleMs = nowMs + SAMPLE_INTERVAL_MS;
        sample();
      }
      inTimers();
      await settle();
    },
  };
}

const turns = fastCheck.array(
  fastCheck.record({
    workMs: fastCheck.oneof(
      { weight: 8, arbitrary: fastCheck.integer({ min: 1, max: TURN_MAX_MS }) },
      { weight: 1, arbitrary: fastCheck.integer({ min: TURN_MAX_MS, max: STALL_MAX_MS }) },
    ),
    idleMs: fastCheck.oneof(fastCheck.constant(0), fastCheck.integer({ min: 0, max: 200 })),
  }),
  { minLength: 12, maxLength: 30 },
);

// While the event loop stalls, the close of a caller's connection stays unread, and work could be started for it afterwards.
test('nothing is sent for a caller that left half a second before, wherever the loop stalls and the wait ends', async () => {
  let goneCount = 0;
  await fastCheck.assert(
    fastCheck.asyncProperty(
      turns,
      fastCheck.integer({ min: 0, max: 6_000 }),
      fastCheck.integer({ min: 0, max: 11 }),
      fastCheck.boolean(),
      async (simulated, closeAtMs, endsIn, endsInPoll) => {
        const loop = startLoop(closeAtMs);
        let decision: preSendChecks.PreSendDecision | null = null;
        let sentAtMs = 0;
        const end = () => {
          void loop.look({ deadlineMs: Infinity }, loop.sink).then((decided) => {
            decision = decided;
            sentAtMs = loop.nowMs();
          });
        };
        for (const [index, turn] of simulated.entries()) {
          const isHere = index === endsIn;
          await loop.turn(
            turn,
            () => (isHere && endsInPoll ? end() : undefined),
            () => (isHere && !endsInPoll ? end() : undefined),
          );
        }
        if (decision === 'caller-gone') goneCount += 1;
        if (decision === 'may-send') {
          assert.ok(sentAtMs - closeAtMs <= GONE_MS, `sent ${sentAtMs - closeAtMs} ms later`);
        }
      },
    ),
    { seed: 38, numRuns: 2_000 },
  );
  assert.ok(goneCount > 100, `${goneCount} seen`);
});

// At a gateway that reads in time, requests must not wait for further turns of the event loop.
test('without a lag the check does not wait', async () => {
  const loop = startLoop(Infinity);
  for (let count = 0; count < 10; count += 1) {
    await loop.turn({ workMs: 5, idleMs: 50 }, noop, noop);
  }
  let decision: preSendChecks.PreSendDecision | null = null;
  const check = () => {
    void loop.look({ deadlineMs: Infinity }, loop.sink).then((decided) => {
      decision = decided;
    });
  };
  await loop.turn({ workMs: 5, idleMs: 0 }, check, () => assert.is(decision, 'may-send'));
  assert.is(decision, 'may-send');
});

test('a request whose deadline has passed is not sent', async () => {
  const loop = startLoop(Infinity);
  assert.is(await loop.look({ deadlineMs: 0 }, loop.sink), 'deadline');
  assert.is(await loop.look({ deadlineMs: 1 }, loop.sink), 'may-send');
});

test.run();
