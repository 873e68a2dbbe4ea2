import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as loopAgesModule from './loop-ages.js';

const test = suite('loop ages');

const TURN_MS = 40;

/** A loop whose polls, waits and time are set by hand; there are no beats. */
function startLoop() {
  let nowMs = 0;
  let pollCount = 1;
  let idleMs = 0;
  const ages = loopAgesModule.createLoopAges({ nowMs: () => nowMs }, undefined, {
    pollCount: () => pollCount,
    idleMs: () => idleMs,
    atTurnEnd: () => {},
    every: () => () => {},
  });
  return {
    ages,
    turn: (durationMs: number) => {
      nowMs += durationMs;
      pollCount += 1;
    },
    wait: (durationMs: number) => {
      nowMs += durationMs;
      idleMs += durationMs;
    },
  };
}

// Ten came at once and are accepted one a turn: the last may have waited for nine turns, though no turn was long.
test('a connection behind others is as old as their turns', () => {
  const loop = startLoop();
  loop.turn(TURN_MS);
  loop.turn(TURN_MS);
  loop.wait(1_000);
  const waits = Array.from({ length: 10 }, () => {
    const key = {};
    loop.ages.accepted(key);
    loop.turn(TURN_MS);
    return loop.ages.readAge(key).unreadMs;
  });
  assert.ok((waits[9] as number) >= 10 * TURN_MS, `${waits[9]}`);
  loop.ages.stop();
});

test('after a poll without one the next connection is young again', () => {
  const loop = startLoop();
  for (let count = 0; count < 10; count += 1) {
    loop.ages.accepted({});
    loop.turn(TURN_MS);
  }
  loop.turn(TURN_MS);
  loop.turn(TURN_MS);
  const key = {};
  loop.ages.accepted(key);
  assert.ok(loop.ages.readAge(key).unreadMs <= 3 * TURN_MS);
  loop.ages.stop();
});

test('what comes while the loop waits is read at once', () => {
  const loop = startLoop();
  const key = {};
  loop.ages.accepted(key);
  loop.turn(1);
  loop.turn(1);
  loop.wait(5_000);
  assert.ok(loop.ages.readAge(key).unreadMs < 10);
  assert.is(loop.ages.readAge(key).isNewConnection, false);
  loop.ages.stop();
});

test.run();
