import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as listBudgets from './list-budget.js';
import * as versionHistories from './version-history.js';

const test = suite('history of software versions');

const LIFE_MS = 120_000;
const BUDGET = listBudgets.listBudget(2_000);
const FRESH_MS = BUDGET.maxOnlyVersionAgeMs;
const HOLD_MS = BUDGET.newVersionHoldMs;
const LATER = { mayMaintain: false, isFirst: false, isUnheld: false };

function createHistory(sinceMs = 0): versionHistories.VersionHistory {
  const streamLifeMs = () => LIFE_MS;
  return versionHistories.createVersionHistory({ sinceMs, streamLifeMs, listBudget: BUDGET });
}

function listed(...versions: string[]): versionHistories.ListedVersion[] {
  return versions.map((softwareVersion) => ({ service: 'pool', softwareVersion }));
}

function record(...versions: string[]): versionHistories.RecordedVersions {
  return { service: 'pool', versions, isComplete: true };
}

/** The store confirms the list every second. */
function confirm(history: versionHistories.VersionHistory, fromMs: number, untilMs: number): void {
  for (let atMs = fromMs; atMs < untilMs; atMs += 1_000) history.noteConfirmed(atMs);
}

/** As of a gateway that was there when the record was begun, or that has read it whole. */
function createInformed(...versions: string[]): versionHistories.VersionHistory {
  const history = createHistory();
  history.note(listed(...versions), 0);
  history.applyRecord([record(...versions)], true, 0);
  return history;
}

test('while a release is under way, and for as long as streams live after it, no version is the only one', () => {
  const history = createInformed('v1');
  assert.is(history.onlyVersion('pool', 0, 10), 'v1');
  history.note(listed('v1', 'v2'), 1_000);
  assert.is(history.onlyVersion('pool', 0, 1_000), null);
  history.note(listed('v2'), 2_000);
  history.applyRecord([record('v1', 'v2')], true, 3_000);
  confirm(history, 1_000, 2_000 + LIFE_MS);
  assert.is(history.onlyVersion('pool', 0, 2_000 + LIFE_MS), null);
  assert.is(history.onlyVersion('pool', 0, 2_001 + LIFE_MS), 'v2');
});

// Guards against refusing all streams of before for as long as streams live, after all gateways were killed.
test('a gateway that has just started knows from the record what streams began at', () => {
  const history = createHistory(5_000);
  history.note(listed('v1'), 5_000);
  assert.is(history.onlyVersion('pool', 0, 5_000), null);
  history.applyRecord([record('v1')], true, 5_010);
  assert.is(history.onlyVersion('pool', 0, 5_010), 'v1');
  assert.ok(history.mayBegin('pool', 'v1', 5_010));
});

// Guards against the listed version of two that is taken for that of streams whose version has just left.
test('a version that only the record names counts until streams of it have ended', () => {
  const history = createHistory(5_000);
  history.note(listed('v2'), 5_000);
  history.applyRecord([record('v1', 'v2')], true, 5_010);
  assert.is(history.onlyVersion('pool', 0, 5_010), null);
  confirm(history, 5_010, 5_011 + LIFE_MS);
  history.note(listed('v2'), 5_011 + LIFE_MS);
  assert.is(history.onlyVersion('pool', 0, 5_011 + LIFE_MS), 'v2');
});

// Guards against trusting a record that a return of the store from a copy, or an earlier build, may have left incomplete.
test('a record that may lack versions does not show that there was only one', () => {
  for (const [one, isLossless] of [
    [record('v1'), false],
    [{ ...record('v1'), isComplete: false }, true],
  ] as const) {
    const history = createHistory(5_000);
    history.note(listed('v1'), 5_000);
    history.applyRecord([one], isLossless, 5_000);
    confirm(history, 5_000, 5_000 + LIFE_MS);
    assert.is(history.onlyVersion('pool', 0, 5_000 + LIFE_MS - 1), null);
    assert.is(history.onlyVersion('pool', 0, 5_000 + LIFE_MS), 'v1');
  }
});

// Guards against a version at which others began streams while this gateway could not see the list, and that has left before it could.
test('after a gap in the list the record is needed anew', () => {
  const gapMs = HOLD_MS + 1;
  const history = createInformed('v1');
  assert.is(history.onlyVersion('pool', 0, HOLD_MS), 'v1');
  assert.is(history.onlyVersion('pool', 0, HOLD_MS + gapMs), null);
  assert.not.ok(history.isRecordCurrent());
  history.applyRecord([record('v1')], true, HOLD_MS + gapMs);
  assert.is(history.onlyVersion('pool', 0, HOLD_MS + gapMs), 'v1');
  assert.is(history.onlyVersion('pool', 0, HOLD_MS + 2 * gapMs), null);
  history.applyRecord([record('v1', 'v2')], true, HOLD_MS + 2 * gapMs);
  assert.is(history.onlyVersion('pool', 0, HOLD_MS + 2 * gapMs), null);
  assert.ok(history.mayBegin('pool', 'v1', HOLD_MS + 2 * gapMs));
});

test('an old list does not show that there is only one version', () => {
  const history = createInformed('v1');
  assert.is(history.onlyVersion('pool', FRESH_MS + 1, 0), null);
  assert.is(history.onlyVersion('pool', null, 0), null);
  assert.is(history.onlyVersion('elsewhere', 0, 0), null);
});

test('streams begin at a new version once it is recorded, which is after every list that is relied on has it', () => {
  assert.ok(HOLD_MS > FRESH_MS);
  const history = createInformed('v1');
  assert.ok(history.mayBegin('pool', 'v1', 0));
  history.note(listed('v1', 'v2'), 1_000);
  const wanted = (nowMs: number) => history.wanted('pool', record('v1'), LATER, nowMs)?.versions;
  assert.is(wanted(1_000 + FRESH_MS), undefined);
  history.noteConfirmed(1_000 + HOLD_MS);
  assert.equal(wanted(1_000 + HOLD_MS), ['v1', 'v2']);
  assert.not.ok(history.mayBegin('pool', 'v2', 1_000 + HOLD_MS));
  history.applyRecord([record('v1', 'v2')], true, 1_000 + HOLD_MS);
  assert.ok(history.mayBegin('pool', 'v2', 1_000 + HOLD_MS));
  assert.not.ok(history.mayBegin('pool', 'v3', 1_000 + HOLD_MS));
});

// Guards against a gateway that was stopped and records a version that has left meanwhile, which the lists of others may never have had.
test('a version is not recorded by an old list', () => {
  const history = createInformed('v1');
  history.note(listed('v1', 'v2'), 1_000);
  history.noteConfirmed(1_000);
  const heldMs = 1_000 + HOLD_MS;
  assert.not.ok(history.lacksRecord('pool', false, heldMs));
  assert.is(history.wanted('pool', record('v1'), LATER, heldMs), null);
  history.noteConfirmed(heldMs - FRESH_MS);
  assert.ok(history.lacksRecord('pool', false, heldMs));
  assert.equal(history.wanted('pool', record('v1'), LATER, heldMs)?.versions, ['v1', 'v2']);
});

// Guards against a gateway that starts while a version is new, and takes it for one that has long been listed.
test('a version that is listed and not recorded is new, also to a gateway that has just started', () => {
  const history = createHistory(5_000);
  history.note(listed('v1', 'v2'), 5_000);
  history.applyRecord([record('v1')], true, 5_000);
  assert.not.ok(history.mayBegin('pool', 'v2', 5_000));
  assert.is(history.onlyVersion('pool', 0, 5_000), null);
});

test('the first versions of a service need no wait', () => {
  const history = createHistory();
  history.note(listed('v1'), 0);
  const first = history.wanted('pool', null, { ...LATER, isFirst: true, isUnheld: true }, 0);
  assert.equal(first, record('v1'));
});

// Guards against a gateway that serves nothing after a start while the store is away.
test('while the record was never read streams begin at what has been listed for long enough', () => {
  const history = createHistory();
  history.note(listed('v1'), 0);
  assert.not.ok(history.mayBegin('pool', 'v1', HOLD_MS - 1));
  assert.ok(history.mayBegin('pool', 'v1', HOLD_MS));
  assert.is(history.onlyVersion('pool', 0, HOLD_MS), null);
});

// Guards against a version that comes back after so long that the lists of others need not have it.
test('a version that was gone for long is new when it comes back, whatever the record says', () => {
  const history = createInformed('v1', 'v2');
  history.note(listed('v1'), 100);
  history.note(listed('v1', 'v2'), 200);
  assert.ok(history.mayBegin('pool', 'v2', 200));
  history.note(listed('v1'), 300);
  history.note(listed('v1'), 301 + LIFE_MS / 2);
  history.note(listed('v1', 'v2'), 302 + LIFE_MS / 2);
  history.applyRecord([record('v1', 'v2')], true, 302 + LIFE_MS / 2);
  assert.not.ok(history.mayBegin('pool', 'v2', 302 + LIFE_MS / 2));
  const heldMs = 302 + LIFE_MS / 2 + HOLD_MS;
  history.noteConfirmed(heldMs);
  assert.ok(history.lacksRecord('pool', false, heldMs));
  history.applyRecord([record('v1', 'v2')], true, heldMs);
  assert.ok(history.mayBegin('pool', 'v2', heldMs));
});

// Guards against the same where nothing else was listed meanwhile, and where the record still names one that was forgotten.
test('a version that comes back after a quiet time is new, however long that was', () => {
  for (const goneForMs of [LIFE_MS / 2 + 1, LIFE_MS + 1]) {
    const history = createInformed('v1', 'v2');
    history.note(listed('v1'), 300);
    history.note(listed('v1', 'v2'), 300 + goneForMs);
    history.applyRecord([record('v1', 'v2')], true, 300 + goneForMs);
    assert.not.ok(history.mayBegin('pool', 'v2', 300 + goneForMs), `${goneForMs}`);
    history.applyRecord([record('v1', 'v2')], true, 300 + goneForMs + HOLD_MS);
    assert.ok(history.mayBegin('pool', 'v2', 300 + goneForMs + HOLD_MS));
  }
});

test('a version leaves the record after its streams have ended, by one gateway', () => {
  const history = createInformed('v1', 'v2');
  history.note(listed('v2'), 1_000);
  const endMs = 2 * LIFE_MS + 1_000;
  history.note(listed('v2'), endMs);
  assert.is(history.wanted('pool', record('v1', 'v2'), LATER, endMs), null);
  const maintained = { ...LATER, mayMaintain: true };
  assert.equal(history.wanted('pool', record('v1', 'v2'), maintained, endMs)?.versions, ['v2']);
});

test.run();
