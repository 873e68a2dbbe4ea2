import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as listBudgets from './list-budget.js';
import * as versionHistories from './version-history.js';

const test = suite('history of software versions');

const LIFE_MS = 120_000;
const BUDGET = listBudgets.listBudget(2_000);
const FRESH_MS = BUDGET.maxOnlyVersionAgeMs;

function createHistory(sinceMs = -Infinity): versionHistories.VersionHistory {
  const streamLifeMs = () => LIFE_MS;
  return versionHistories.createVersionHistory({ sinceMs, streamLifeMs, listBudget: BUDGET });
}

function listed(...versions: string[]): versionHistories.ListedVersion[] {
  return versions.map((softwareVersion) => ({ service: 'pool', softwareVersion }));
}

test('while a release is under way, and for as long as streams live after it, no version is the only one', () => {
  const history = createHistory();
  history.note(listed('v1', 'v1'), 0);
  assert.is(history.onlyVersion('pool', 0, 10), 'v1');
  history.note(listed('v1', 'v2'), 1_000);
  assert.is(history.onlyVersion('pool', 0, 1_000), null);
  history.note(listed('v2'), 2_000);
  assert.is(history.onlyVersion('pool', 0, 2_000 + LIFE_MS), null);
  assert.is(history.onlyVersion('pool', 0, 2_001 + LIFE_MS), 'v2');
});

test('a gateway that started lately does not know that there was only one version', () => {
  const history = createHistory(5_000);
  history.note(listed('v1'), 5_000);
  assert.is(history.onlyVersion('pool', 0, 5_000 + LIFE_MS - 1), null);
  assert.is(history.onlyVersion('pool', 0, 5_000 + LIFE_MS), 'v1');
});

test('an old list does not show that there is only one version', () => {
  const history = createHistory();
  history.note(listed('v1'), 0);
  assert.is(history.onlyVersion('pool', FRESH_MS + 1, 0), null);
  assert.is(history.onlyVersion('pool', null, 0), null);
  assert.is(history.onlyVersion('elsewhere', 0, 0), null);
});

test('streams begin at a new version only once every list that is relied on has it', () => {
  assert.ok(BUDGET.newVersionHoldMs > FRESH_MS);
  const history = createHistory();
  history.note(listed('v1'), 0);
  assert.ok(history.mayBegin('pool', 'v1', 0));
  history.note(listed('v1', 'v2'), 1_000);
  assert.not.ok(history.mayBegin('pool', 'v2', 1_000 + FRESH_MS));
  assert.ok(history.mayBegin('pool', 'v2', 1_000 + BUDGET.newVersionHoldMs));
  assert.not.ok(history.mayBegin('pool', 'v3', 1_000));
});

test('a version that comes back within the life of streams is not new, and an empty one is one of its own', () => {
  const history = createHistory();
  history.note(listed('v1', ''), 0);
  assert.is(history.onlyVersion('pool', 0, 0), null);
  history.note(listed('v1'), 100);
  history.note(listed('v1', ''), 200);
  assert.ok(history.mayBegin('pool', '', 200));
});

test.run();
