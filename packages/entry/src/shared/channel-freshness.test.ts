import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as channelFreshness from './channel-freshness.js';

const test = suite('channel-freshness');

/** Connections opened when `requestCount` requests are silent and ask again one after another. */
function openedFor(requestCount: number, heardAtMs: (nowMs: number) => number): number {
  let channel = { openedAtMs: 0, heardAtMs: 0 };
  let openedCount = 0;
  for (let request = 0; request < requestCount; request += 1) {
    const nowMs = 1_000 + request;
    channel = { ...channel, heardAtMs: heardAtMs(nowMs) };
    if (channelFreshness.needsReopening(channel, nowMs)) {
      channel = { openedAtMs: nowMs, heardAtMs: nowMs };
      openedCount += 1;
    }
  }
  return openedCount;
}

test('a hundred requests that wait in one queue open no connection while others are answered', () => {
  assert.is(
    openedFor(100, (nowMs) => nowMs - 50),
    0,
  );
});

test('a connection that went silent for good is replaced once, for all of its requests', () => {
  assert.is(
    openedFor(100, () => 0),
    1,
  );
});

test.run();
