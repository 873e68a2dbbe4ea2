import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as listLag from './list-lag.js';
import type * as storePositions from './store-positions.js';

const test = suite('list lag');

function at(revision: number): storePositions.Position {
  return { era: 0, revision };
}

// The connection of the watch has fallen silent, and a peer has had a newer list for longer than the watch pauses.
test('a change that a peer has had for longer than the pause counts as a lag', () => {
  const lag = listLag.createListLag(1_500);
  lag.applyPeerPosition(at(41), at(40), 0);
  lag.applyPeerPosition(at(44), at(40), 1_000);
  assert.not(lag.isLagging(at(40), 1_400));
  assert.ok(lag.isLagging(at(40), 1_600));
  assert.not(lag.isLagging(at(44), 1_600));
});

// Upstreams change all the time, so a peer is nearly always a revision ahead. If that counted as a lag, each gateway
// would be sent the whole list again and again.
test('being slightly behind all the time is no lag', () => {
  const lag = listLag.createListLag(1_500);
  for (let nowMs = 0; nowMs < 20_000; nowMs += 250) {
    const peerRevision = Math.floor(nowMs / 100) + 1;
    const ownRevision = Math.floor((nowMs - (nowMs % 1_250)) / 100);
    lag.applyPeerPosition(at(peerRevision), at(ownRevision), nowMs);
    assert.not(lag.isLagging(at(ownRevision), nowMs), `${nowMs}`);
  }
});

// Guards against an earlier lag, which has long been made up, hiding a new one when the connection of the watch falls
// silent.
test('a lag is noticed again after an earlier one has passed', () => {
  const lag = listLag.createListLag(1_500);
  lag.applyPeerPosition(at(41), at(40), 0);
  lag.applyPeerPosition(at(41), at(41), 500);
  lag.applyPeerPosition(at(60), at(41), 10_000);
  assert.not(lag.isLagging(at(41), 11_000));
  assert.ok(lag.isLagging(at(41), 11_600));
});

test.run();
