import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as sharedEjectionsModule from './shared-ejections.js';

const test = suite('shared ejections');

// An upstream has crashed, and the platform lists it for three seconds more. Two gateways have lost requests there, so
// its copies no longer count.
test('an upstream that two gateways have ejected counts as ejected until their reports expire', () => {
  const sharedEjections = sharedEjectionsModule.createSharedEjections();
  sharedEjections.applyReport('g1', ['u1'], 1_000);
  assert.not(sharedEjections.isEjectedBySeveral('u1', 4, 1_000));
  sharedEjections.applyReport('g2', ['u1', 'u2'], 1_200);
  assert.ok(sharedEjections.isEjectedBySeveral('u1', 4, 1_200));
  assert.not(sharedEjections.isEjectedBySeveral('u2', 4, 1_200));
  assert.not(sharedEjections.isEjectedBySeveral('u1', 4, 3_000));
});

// One gateway's path to an upstream is cut; the others reach it. Its copies still count.
test('one gateway among several is not sufficient; a single one is', () => {
  const sharedEjections = sharedEjectionsModule.createSharedEjections();
  sharedEjections.applyReport('g1', ['u1'], 0);
  assert.not(sharedEjections.isEjectedBySeveral('u1', 4, 0));
  assert.ok(sharedEjections.isEjectedBySeveral('u1', 1, 0));
});

test('an upstream that answers again is restored', () => {
  const sharedEjections = sharedEjectionsModule.createSharedEjections();
  sharedEjections.applyReport('g1', ['u1'], 0);
  sharedEjections.applyReport('g2', ['u1'], 0);
  sharedEjections.applyReport('g2', [], 250);
  assert.not(sharedEjections.isEjectedBySeveral('u1', 4, 250));
});

test.run();
