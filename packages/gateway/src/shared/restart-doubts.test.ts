import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as restartDoubts from './restart-doubts.js';

const test = suite('doubts about restarts');

// Guards against streams of new software that are noted as those of the version that the list still names.
test('what the list says of an upstream that took no connection is doubted until the list is surely of its new start', () => {
  const doubts = restartDoubts.createRestartDoubts();
  assert.not.ok(doubts.isDoubtful('u1', 0, 0));
  doubts.noteUnreachable('u1');
  assert.ok(doubts.isDoubtful('u1', 0, 10_000));
  doubts.noteAnswered('u1', 10_000);
  doubts.noteAnswered('u1', 12_000);
  assert.ok(doubts.isDoubtful('u1', 0, 12_400));
  assert.ok(doubts.isDoubtful('u1', 1_000, 13_400));
  assert.ok(doubts.isDoubtful('u1', null, 60_000));
  assert.not.ok(doubts.isDoubtful('u1', 1_000, 13_500));
  assert.not.ok(doubts.isDoubtful('u1', 1_000, 13_500));
});

test('an upstream that is listed no longer is forgotten', () => {
  const doubts = restartDoubts.createRestartDoubts();
  doubts.noteUnreachable('u1');
  doubts.retain(new Set(['u2']));
  assert.not.ok(doubts.isDoubtful('u1', 0, 0));
});

test.run();
