import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as engineState from './engine-state.js';

const test = suite('engine-state');

function load(fencingNumber: number, name = 'draws', sizeBytes = 60): engineState.Order {
  return { kind: 'load', orderId: 'o', fencingNumber, name, version: 'v1', sizeBytes };
}

test('an engine that checks fencing rejects an old fencing number; one that ignores fencing accepts it', () => {
  const checking = engineState.createEngineState(100, 1);
  assert.is(checking.take({ kind: 'fence', orderId: 'o', fencingNumber: 5 }, true), 'taken');
  assert.is(checking.take(load(4), true), 'old-fencing-number');
  assert.is(checking.take(load(4), false), 'taken');
});

test('memory is never overcommitted, and each attempt is counted', () => {
  const state = engineState.createEngineState(100, 1);
  assert.is(state.take(load(1), true), 'taken');
  assert.is(state.take(load(1, 'protests'), true), 'no-memory');
  assert.is(state.overcommitCount(), 1);
  assert.is(state.report().usedBytes, 60);
});

test('a repeated order has no effect, and a crash loses all copies', () => {
  const state = engineState.createEngineState(100, 1);
  state.take(load(1), true);
  assert.is(state.take(load(1), true), 'taken');
  state.markReady('draws', 'v1');
  assert.is(state.findReady('draws')?.name, 'draws');
  state.crash();
  assert.is(state.findReady('draws'), undefined);
  assert.is(state.report().incarnation, 2);
});

test.run();
