import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as suspectsModule from './suspects.js';

const test = suite('suspects');

// An upstream has crashed, and the platform lists it for three seconds more. Two gateways have lost requests there:
// its copies no longer count.
test('what two gateways avoid is suspect, until they have been silent of it', () => {
  const suspects = suspectsModule.createSuspects();
  suspects.heard('g1', ['u1'], 1_000);
  assert.not(suspects.isSuspect('u1', 4, 1_000));
  suspects.heard('g2', ['u1', 'u2'], 1_200);
  assert.ok(suspects.isSuspect('u1', 4, 1_200));
  assert.not(suspects.isSuspect('u2', 4, 1_200));
  assert.not(suspects.isSuspect('u1', 4, 3_000));
});

// One gateway's path to an upstream is cut; the others reach it. Its copies stay counted.
test('one gateway among several proves nothing; a lone one has to do', () => {
  const suspects = suspectsModule.createSuspects();
  suspects.heard('g1', ['u1'], 0);
  assert.not(suspects.isSuspect('u1', 4, 0));
  assert.ok(suspects.isSuspect('u1', 1, 0));
});

test('an upstream that answers again is trusted again', () => {
  const suspects = suspectsModule.createSuspects();
  suspects.heard('g1', ['u1'], 0);
  suspects.heard('g2', ['u1'], 0);
  suspects.heard('g2', [], 250);
  assert.not(suspects.isSuspect('u1', 4, 250));
});

test.run();
